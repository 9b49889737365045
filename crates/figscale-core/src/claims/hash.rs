//! A hash of several words that is the same in every process and version.

use figscale_types::hash;

/// Hashes the parts in order; well mixed in all bits.
pub(super) fn hash(parts: &[&str]) -> u64 {
    let bytes = parts.iter().flat_map(|part| part.bytes().chain([0]));
    mix(hash::fnv1a(bytes))
}

/// Finalizer of splitmix64, since FNV-1a mixes the high bits badly.
fn mix(mut state: u64) -> u64 {
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}

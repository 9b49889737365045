//! Hashes that are stable across processes and versions.

/// Offset basis of 64-bit FNV-1a.
const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// 64-bit FNV-1a of the bytes; its high bits are poorly mixed.
pub fn fnv1a(bytes: impl IntoIterator<Item = u8>) -> u64 {
    bytes.into_iter().fold(OFFSET, |state, byte| {
        (state ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// Hashes the parts in order; all bits are well mixed.
pub fn hash(parts: &[&str]) -> u64 {
    let bytes = parts.iter().flat_map(|part| part.bytes().chain([0]));
    mix(fnv1a(bytes))
}

/// Hash of two hashes, for which their order matters.
pub fn combine(one: u64, other: u64) -> u64 {
    mix(one ^ other.rotate_left(32))
}

/// Finalizer of splitmix64; needed because FNV-1a mixes the high bits poorly.
fn mix(mut state: u64) -> u64 {
    state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}

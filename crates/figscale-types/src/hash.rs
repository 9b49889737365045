//! A hash that is the same in every process and version.

/// Offset basis of 64-bit FNV-1a.
const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// Prime of 64-bit FNV-1a.
const PRIME: u64 = 0x0000_0100_0000_01b3;

/// 64-bit FNV-1a of the bytes; its high bits are mixed badly.
pub fn fnv1a(bytes: impl IntoIterator<Item = u8>) -> u64 {
    bytes.into_iter().fold(OFFSET, |state, byte| {
        (state ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

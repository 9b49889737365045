//! Guards against a change of the hash that assigns homes: data stored at a home
//! would no longer be found.

use figscale_types::hash;
use rstest::rstest;

/// Published test vectors of 64-bit FNV-1a.
#[rstest]
#[case("", 0xcbf2_9ce4_8422_2325)]
#[case("a", 0xaf63_dc4c_8601_ec8c)]
#[case("foobar", 0x8594_4171_f739_67e8)]
fn fnv1a(#[case] text: &str, #[case] expected: u64) {
    assert_eq!(hash::fnv1a(text.bytes()), expected);
}

//! Values that each process of a fleet computes by itself and on which all of them must agree.

use super::*;

/// Digests and the ranks of lease candidates depend on this hash.
#[test]
fn the_hash_of_two_numbers_stays_the_same() {
    let cases = [
        ((0, 0), 0x6db6_ca64_564d_aeaa),
        ((1, 0), 0x68ef_3324_a381_e9ba),
        ((515, 3), 0x154e_8b04_49f8_0636),
        ((u64::MAX, u64::MAX), 0x4771_ca14_95ff_3d5a),
    ];
    for ((first, second), hash) in cases {
        assert_eq!(mix(first, second), hash, "{:#x}", mix(first, second));
    }
}

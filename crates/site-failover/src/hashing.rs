//! Pseudo-random numbers by hashing: the same inputs give the same number on every gateway, so that all attempts of a
//! request are routed alike without any state.

/// Increment of the splitmix64 generator: 2^64 divided by the golden ratio.
const SPLITMIX_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Bits of precision of an `f64` fraction.
const FRACTION_BITS: u32 = 53;

/// Returns the splitmix64 hash of 64 bits (Steele, Lea and Flood, "Fast splittable pseudorandom number generators").
fn splitmix64(input: u64) -> u64 {
    let bits = input.wrapping_add(SPLITMIX_INCREMENT);
    let bits = (bits ^ bits >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ bits >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ bits >> 31
}

/// Returns a number that is uniformly distributed in `[0, 1)`, determined by `key` and `purpose`. Numbers of different
/// purposes are independent of one another.
pub(crate) fn uniform_from_hash(key: u64, purpose: u64) -> f64 {
    let hash = splitmix64(key ^ splitmix64(purpose));
    (hash >> (u64::BITS - FRACTION_BITS)) as f64 / (1_u64 << FRACTION_BITS) as f64
}

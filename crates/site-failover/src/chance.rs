//! Numbers that are the same wherever they are drawn from the same thing: a request's id, a gateway's number.

/// 64 bits that look random, of any 64 bits (the finisher of splitmix64).
pub(crate) fn mixed(bits: u64) -> u64 {
    let bits = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let bits = (bits ^ bits >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let bits = (bits ^ bits >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ bits >> 31
}

/// Evenly from 0 up to but not 1, of any 64 bits and what it is drawn for.
pub(crate) fn unit(bits: u64, what: u64) -> f64 {
    (mixed(bits ^ mixed(what)) >> 11) as f64 / (1_u64 << 53) as f64
}

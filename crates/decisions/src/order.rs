//! Orders that instances work out alone: arithmetic, no decision.

/// The greatest number that divides both.
pub(crate) fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}

/// Bits in no order, the same wherever they are worked out; 53 of them. Unlike figures stay unlike.
pub(crate) fn mix(n: u64) -> u64 {
    let n = (n ^ (n >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (n ^ (n >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 11
}

//! Arithmetic that instances do alike: no decision, no state.

/// The greatest number that divides both.
pub(crate) fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}

/// Bits in no order, the same wherever they are worked out; 53 of them. Unlike figures stay unlike.
pub(crate) fn mix(n: u64) -> u64 {
    let n = (n ^ (n >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (n ^ (n >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 11
}

/// A share from 0 to 1 for each number, neighbours far apart: multiples of the golden ratio.
pub(crate) fn golden(n: usize) -> f64 {
    n as f64 * 0.618_033_988_75
}

/// Weight of a new figure, so long (µs) after the one before, in a mean over this time (µs).
pub(crate) fn catch_up(apart: f64, over: f64) -> f64 {
    1.0 - (-apart / over).exp()
}

//! Hash functions and numeric helpers. Every dispatcher has to compute the same values from the
//! same inputs.

/// Bits of precision of an `f64`.
const FRACTION_BITS: u32 = 53;
/// 2^64 divided by the golden ratio, the multiplier of Fibonacci hashing.
const FIBONACCI_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Fractional part of the golden ratio.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_75;
/// A multiplier of the splitmix64 generator.
const SPLITMIX_MULTIPLIER: u64 = 0xbf58_476d_1ce4_e5b9;
/// Multiplier of the 64-bit FNV hash.
const FNV_PRIME: u64 = 0x100_0000_01b3;

/// The greatest common divisor.
pub(crate) fn gcd(a: usize, b: usize) -> usize {
    if b == 0 { a } else { gcd(b, a % b) }
}

/// A 53-bit hash of a number, the same on every dispatcher.
pub(crate) fn hash(value: u64) -> u64 {
    let mixed = (value ^ (value >> 32)).wrapping_mul(FIBONACCI_MULTIPLIER);
    (mixed ^ (mixed >> 29)).wrapping_mul(SPLITMIX_MULTIPLIER) >> (64 - FRACTION_BITS)
}

/// A 53-bit hash of a text.
pub(crate) fn hash_text(text: &str) -> u64 {
    text.bytes()
        .fold(0, |state, byte| hash(state ^ u64::from(byte)))
}

/// The FNV-1a hash of a text, with the given offset basis.
pub(crate) fn fnv1a(basis: u64, text: &str) -> u64 {
    text.bytes().fold(basis, |state, byte| {
        (state ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    })
}

/// A hash from 0 (inclusive) to 1 (exclusive); the hashes of different values are evenly
/// distributed.
pub(crate) fn unit_hash(value: u64) -> f64 {
    let bits = value.wrapping_mul(FIBONACCI_MULTIPLIER) >> (64 - FRACTION_BITS);
    bits as f64 / (1u64 << FRACTION_BITS) as f64
}

/// A multiple of the golden ratio's fractional part. The fractional parts of these multiples are
/// evenly distributed, and those of consecutive indices are far apart.
pub(crate) fn golden_multiple(index: usize) -> f64 {
    index as f64 * GOLDEN_RATIO_FRACTION
}

/// Weight of a new sample in an exponentially weighted moving average, from the time since the
/// previous sample and the time constant, both in microseconds.
pub(crate) fn ewma_weight(elapsed_us: f64, time_constant_us: f64) -> f64 {
    1.0 - decay(elapsed_us, time_constant_us)
}

/// The factor of an exponential decay over a time with a time constant, both in microseconds.
pub(crate) fn decay(elapsed_us: f64, time_constant_us: f64) -> f64 {
    (-elapsed_us / time_constant_us).exp()
}

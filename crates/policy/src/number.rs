//! Conversions between counts and floating-point numbers, exponential decay, and mixing of hashes.

use std::time::Duration;

/// A count as a floating-point number.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of tokens and money stay far below 2^53, and estimates bear the rounding"
)]
pub(crate) const fn float(count: u64) -> f64 {
    count as f64
}

/// Rounds a number down to a count; negative numbers and NaN become zero.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float to integer cast saturates, which is what is wanted at both ends"
)]
pub(crate) const fn floor(value: f64) -> u64 {
    value as u64
}

/// Rounds a number down to a 32-bit count, at most [`u32::MAX`].
pub(crate) fn floor_u32(value: f64) -> u32 {
    u32::try_from(floor(value)).unwrap_or(u32::MAX)
}

/// A duration of `value` seconds. Negative values and NaN become zero, values that are too large
/// the longest duration.
pub(crate) fn seconds(value: f64) -> Duration {
    if value.is_nan() || value <= 0.0 {
        return Duration::ZERO;
    }
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX)
}

/// What is left of a weight of one after `age`, with the half-life `half_life`.
pub(crate) fn decay(age: Duration, half_life: Duration) -> f64 {
    if age.is_zero() {
        return 1.0;
    }
    (-age.as_secs_f64() / half_life.as_secs_f64().max(f64::MIN_POSITIVE)).exp2()
}

/// Converts random bits to a number in `[0, 1)`, by the upper 53 bits, which a float holds exactly.
pub(crate) const fn unit_interval(random: u64) -> f64 {
    float(random >> 11) / float(1 << 53)
}

/// Mixes two words into one, each bit of which depends on all bits of both (the finalizer of
/// `SplitMix64`).
pub(crate) const fn mix(left: u64, right: u64) -> u64 {
    let mut word = left ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}

//! What a link carries each way.

use std::fmt;
use std::num::NonZeroU64;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;
use snafu::Snafu;

/// Bytes per second in a megabit per second.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Unit of the text form.
const UNIT: &str = "Mbit/s";

/// A bandwidth, in bytes per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Bandwidth(NonZeroU64);

/// The number or text is no bandwidth.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{found} is not a bandwidth, which is at least one byte per second"))]
pub struct Error {
    found: CompactString,
}

impl Bandwidth {
    /// A bandwidth in megabits per second.
    ///
    /// # Errors
    ///
    /// [`Error`] if it is no number, or rounds to less than a byte per second.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the cast saturates, and negative values and NaN become zero"
    )]
    pub fn from_mbps(mbps: f64) -> Result<Self, Error> {
        let bytes = (mbps * BYTES_PER_MBIT).round() as u64;
        NonZeroU64::new(bytes).map(Self).ok_or_else(|| Error {
            found: CompactString::from(mbps.to_string()),
        })
    }

    /// The bandwidth in bytes per second.
    #[must_use]
    #[expect(
        clippy::cast_precision_loss,
        reason = "bandwidths stay far below 2^53 bytes per second"
    )]
    pub const fn bytes_per_second(self) -> f64 {
        self.0.get() as f64
    }

    /// What passes in a time, in bytes.
    #[must_use]
    pub fn bytes_in(self, time: Duration) -> f64 {
        self.bytes_per_second() * time.as_secs_f64()
    }
}

impl fmt::Display for Bandwidth {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {UNIT}", self.bytes_per_second() / BYTES_PER_MBIT)
    }
}

impl FromStr for Bandwidth {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let number = text.strip_suffix(UNIT).map(str::trim);
        let number = number.and_then(|number| number.parse().ok());
        let mbps: f64 = number.ok_or_else(|| Error { found: text.into() })?;
        Self::from_mbps(mbps)
    }
}

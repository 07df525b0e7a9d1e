//! Fractions between 0 and 1 with exact equality, for quality, weights and probabilities.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// Parts in the whole: a share is counted in millionths.
pub const PARTS: u32 = 1_000_000;

/// A fraction between 0 and 1, stored in millionths.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "f64", into = "f64")]
pub struct Share(u32);

/// The number or text is not a fraction between 0 and 1.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{found} is not a share between 0 and 1"))]
pub struct Error {
    found: CompactString,
}

impl Share {
    /// The share 0.
    pub const ZERO: Self = Self(0);
    /// The share 1.
    pub const ONE: Self = Self(PARTS);

    /// A share of `parts` millionths, capped at 1.
    #[must_use]
    pub const fn from_parts(parts: u32) -> Self {
        if parts > PARTS {
            Self::ONE
        } else {
            Self(parts)
        }
    }

    /// The share in millionths.
    #[must_use]
    pub const fn parts(self) -> u32 {
        self.0
    }

    /// The share as a number between 0 and 1.
    #[must_use]
    pub fn value(self) -> f64 {
        f64::from(self.0) / f64::from(PARTS)
    }
}

impl TryFrom<f64> for Share {
    type Error = Error;
    fn try_from(value: f64) -> Result<Self, Error> {
        if !(0.0..=1.0).contains(&value) {
            let found = CompactString::from(value.to_string());
            return Err(Error { found });
        }
        // In range by the check above; rounding cannot leave the range of `u32`.
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let parts = (value * f64::from(PARTS)).round() as u32;
        Ok(Self(parts))
    }
}

impl From<Share> for f64 {
    fn from(share: Share) -> Self {
        share.value()
    }
}

impl fmt::Display for Share {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.value().fmt(f)
    }
}

impl FromStr for Share {
    type Err = Error;
    fn from_str(text: &str) -> Result<Self, Error> {
        let value: f64 = text.parse().map_err(|_| Error { found: text.into() })?;
        Self::try_from(value)
    }
}

//! Requests a second that an endpoint takes from all VMs together.

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;

use snafu::ResultExt;
use snafu::Snafu;

/// Requests a second that an endpoint takes. Not negative, and finite.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Limit(f64);

/// Why a text is no limit.
#[derive(Debug, Clone, PartialEq, Snafu)]
pub enum Error {
    /// It is no number.
    #[snafu(display("no number of requests a second: {source}"))]
    Syntax {
        /// Why.
        source: ParseFloatError,
    },
    /// It is negative, infinite or not a number.
    #[snafu(display("{number} is no number of requests a second"))]
    Range {
        /// The number.
        number: f64,
    },
}

impl Limit {
    /// Requests a second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for Limit {
    type Error = Error;

    fn try_from(number: f64) -> Result<Self, Error> {
        if number.is_finite() && number >= 0.0 {
            return Ok(Self(number));
        }
        Err(Error::Range { number })
    }
}

impl FromStr for Limit {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let number: f64 = text.trim().parse().context(SyntaxSnafu)?;
        Self::try_from(number)
    }
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

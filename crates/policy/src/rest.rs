//! Time for which an endpoint that turned a request away wants none from this VM.

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;
use std::time::Duration;

use snafu::ResultExt;
use snafu::Snafu;

/// The longest rest that is kept. An endpoint that wants more turns one request away after it.
const MAX_REST: Duration = Duration::from_mins(10);

/// The most by which a rest is prolonged, and that as a share of it. VMs that were turned away together would
/// otherwise all come back at the same moment.
const MAX_SPREAD: Duration = Duration::from_secs(1);
const SPREAD_SHARE: f64 = 0.2;

/// A rest: not negative and at most ten minutes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rest(Duration);

/// Why a value is not a rest.
#[derive(Debug, Clone, PartialEq, Snafu)]
pub enum Error {
    /// The text is not a number.
    #[snafu(display("not a number of seconds: {source}"))]
    Syntax {
        /// The parse error.
        source: ParseFloatError,
    },
    /// The number is negative, infinite or NaN.
    #[snafu(display("{seconds} is not a valid number of seconds"))]
    Range {
        /// The number.
        seconds: f64,
    },
}

impl Rest {
    /// The rest as a duration.
    #[must_use]
    pub const fn duration(self) -> Duration {
        self.0
    }

    /// The rest, prolonged by a part from 0 to 1 of the most that it may be.
    #[must_use]
    pub fn spread(self, part: f64) -> Duration {
        let most = self.0.mul_f64(SPREAD_SHARE).min(MAX_SPREAD);
        self.0 + most.mul_f64(part.clamp(0.0, 1.0))
    }
}

impl From<Duration> for Rest {
    fn from(duration: Duration) -> Self {
        Self(duration.min(MAX_REST))
    }
}

impl FromStr for Rest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let seconds: f64 = text.trim().parse().context(SyntaxSnafu)?;
        if !seconds.is_finite() || seconds < 0.0 {
            return Err(Error::Range { seconds });
        }
        Ok(Duration::try_from_secs_f64(seconds)
            .unwrap_or(MAX_REST)
            .into())
    }
}

impl fmt::Display for Rest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0.as_secs_f64())
    }
}

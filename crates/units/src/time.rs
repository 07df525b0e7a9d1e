//! Timestamps of two clocks, and durations.
//!
//! [`Moment`] is a monotonic timestamp for timeouts and deadlines. [`Wall`] is a wall-clock timestamp
//! for the age of ids and records. Callers pass both in; this module reads no clock.

use std::fmt;
use std::ops::Add;
use std::str::FromStr;
use std::time::Duration;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// A timestamp of a monotonic clock: nanoseconds since a start that the process chose. Moments of
/// different processes can't be compared.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Moment(u64);

impl Moment {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// A moment `nanos` after the start.
    #[must_use]
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// A moment `millis` after the start.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000_000))
    }

    /// Nanoseconds since the start.
    #[must_use]
    pub const fn nanos(self) -> u64 {
        self.0
    }

    /// Time from `earlier` to this moment; zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }

    /// The moment `span` before this one, but not before the start of the clock.
    #[must_use]
    pub fn before(self, span: Duration) -> Self {
        let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(nanos))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;
    fn add(self, span: Duration) -> Self {
        let nanos = u64::try_from(span.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(nanos))
    }
}

impl fmt::Display for Moment {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", Duration::from_nanos(self.0))
    }
}

/// A wall-clock timestamp in milliseconds since the Unix epoch.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Wall(u64);

impl Wall {
    /// A time `millis` after the Unix epoch.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the Unix epoch.
    #[must_use]
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// Time from `earlier` to this time; zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Wall {
    type Output = Self;
    fn add(self, span: Duration) -> Self {
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(millis))
    }
}

impl fmt::Display for Wall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

/// A duration in whole milliseconds, as it appears in settings and records. Code computes
/// with [`Duration`].
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Span(u64);

/// The text is not a duration such as `250ms`, `30s`, `5m`, `2h` or `30d`.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not a length of time such as 250ms, 30s, 5m, 2h or 30d"))]
pub struct Error {
    text: CompactString,
}

/// Unit suffixes with their milliseconds, longest unit first, so that `Display` uses the largest
/// unit that divides the span.
const UNITS: [(&str, u64); 5] = [
    ("d", 86_400_000),
    ("h", 3_600_000),
    ("m", 60_000),
    ("s", 1_000),
    ("ms", 1),
];

impl Span {
    /// The empty span.
    pub const ZERO: Self = Self(0);

    /// A span of `millis` milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// A span of `seconds` seconds.
    #[must_use]
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds.saturating_mul(1_000))
    }

    /// The span in milliseconds.
    #[must_use]
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// The span as a standard [`Duration`].
    #[must_use]
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Self {
        Self(u64::try_from(duration.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let unit = UNITS
            .iter()
            .find(|(_, millis)| self.0 >= *millis && self.0.is_multiple_of(*millis));
        match unit {
            Some((suffix, millis)) => write!(f, "{}{suffix}", self.0 / millis),
            None => write!(f, "{}ms", self.0),
        }
    }
}

impl FromStr for Span {
    type Err = Error;
    fn from_str(text: &str) -> Result<Self, Error> {
        parse(text)
            .map(Self)
            .ok_or_else(|| Error { text: text.into() })
    }
}

fn parse(text: &str) -> Option<u64> {
    let digits = text.bytes().take_while(u8::is_ascii_digit).count();
    let (number, suffix) = text.split_at(digits);
    let (_, millis) = UNITS.iter().find(|(unit, _)| *unit == suffix)?;
    number.parse::<u64>().ok()?.checked_mul(*millis)
}

//! Counts of model tokens, the unit in which the work of a request is measured.

use std::fmt;
use std::iter::Sum;
use std::num::ParseIntError;
use std::ops::Add;
use std::ops::AddAssign;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// A number of tokens. Arithmetic saturates.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Tokens(pub u64);

impl Tokens {
    /// Zero.
    pub const ZERO: Self = Self(0);

    /// The most that a call is taken to have. A larger number means that its caller names no limit.
    pub const MAX_CALL: Self = Self(1 << 40);

    /// The number of tokens that a caller names, at most [`MAX_CALL`](Self::MAX_CALL), so that sums of many are
    /// exact.
    #[must_use]
    pub fn of_call(number: u64) -> Self {
        Self(number).min(Self::MAX_CALL)
    }

    /// The difference, or zero if `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Tokens {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Tokens {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sum for Tokens {
    fn sum<I: Iterator<Item = Self>>(counts: I) -> Self {
        counts.fold(Self::ZERO, Add::add)
    }
}

impl fmt::Display for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Tokens {
    type Err = ParseIntError;
    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

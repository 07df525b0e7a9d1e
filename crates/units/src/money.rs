//! Money in millionths of the deployment's currency unit, so that sums are exact.

use std::fmt;
use std::iter::Sum;
use std::ops::Add;
use std::ops::AddAssign;
use std::ops::Sub;
use std::str::FromStr;

use compact_str::CompactString;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;

/// Micro-units in one currency unit.
pub const MICROS: u64 = 1_000_000;

/// A non-negative amount of money in micro-units. Arithmetic saturates.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Money(u64);

/// The text is not an amount such as `12.5`, or has more than six decimals.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text:?} is not an amount with at most six decimals"))]
pub struct Error {
    text: CompactString,
}

impl Money {
    /// Zero.
    pub const ZERO: Self = Self(0);
    /// The largest amount.
    pub const MAX: Self = Self(u64::MAX);

    /// An amount of `micros` millionths.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// The amount in millionths.
    #[must_use]
    pub const fn micros(self) -> u64 {
        self.0
    }

    /// The difference, or zero if `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The difference, or `None` if `other` is larger.
    #[must_use]
    pub const fn checked_sub(self, other: Self) -> Option<Self> {
        match self.0.checked_sub(other.0) {
            Some(micros) => Some(Self(micros)),
            None => None,
        }
    }

    /// The amount times `numerator / denominator`, rounded up.
    ///
    /// # Panics
    ///
    /// If `denominator` is zero.
    #[must_use]
    pub fn scale(self, numerator: u64, denominator: u64) -> Self {
        assert!(denominator > 0, "the denominator must not be zero");
        let product = u128::from(self.0) * u128::from(numerator);
        let scaled = product.div_ceil(u128::from(denominator));
        Self(u64::try_from(scaled).unwrap_or(u64::MAX))
    }
}

impl Add for Money {
    type Output = Self;
    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Money {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Money {
    type Output = Self;
    fn sub(self, other: Self) -> Self {
        self.saturating_sub(other)
    }
}

impl Sum for Money {
    fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
        amounts.fold(Self::ZERO, Add::add)
    }
}

impl fmt::Display for Money {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / MICROS, self.0 % MICROS)
    }
}

impl FromStr for Money {
    type Err = Error;
    fn from_str(text: &str) -> Result<Self, Error> {
        parse(text)
            .map(Self)
            .ok_or_else(|| Error { text: text.into() })
    }
}

fn parse(text: &str) -> Option<u64> {
    let (whole, decimals) = text.split_once('.').unwrap_or((text, ""));
    let digits = |part: &str| part.bytes().all(|b| b.is_ascii_digit());
    if whole.is_empty() || decimals.len() > 6 || !digits(whole) || !digits(decimals) {
        return None;
    }
    let whole: u64 = whole.parse().ok()?;
    let micros: u64 = format!("{decimals:0<6}").parse().ok()?;
    whole.checked_mul(MICROS)?.checked_add(micros)
}

//! Requests that a bound still allows, and those that one node lets another one have.

use std::fmt;
use std::str::FromStr;

use snafu::OptionExt;
use snafu::Snafu;

const THOUSAND: u32 = 1_000;

/// A number of requests that a bound allows, to a thousandth.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Room(u32);

/// A text is no room.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{text} is no number of requests"))]
pub struct ParseError {
    text: String,
}

impl Room {
    /// No request.
    pub const ZERO: Self = Self(0);

    /// A room of this many thousandths of a request.
    #[must_use]
    pub const fn from_thousandths(thousandths: u32) -> Self {
        Self(thousandths)
    }

    /// Rounded down; less than nothing is nothing.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a float to integer cast saturates"
    )]
    pub fn from_requests(requests: f64) -> Self {
        Self((requests * f64::from(THOUSAND)) as u32)
    }

    /// The thousandths of a request.
    #[must_use]
    pub const fn thousandths(self) -> u32 {
        self.0
    }

    /// The number of requests.
    #[must_use]
    pub fn requests(self) -> f64 {
        f64::from(self.0) / f64::from(THOUSAND)
    }

    /// Whether there is none.
    #[must_use]
    pub const fn is_zero(self) -> bool {
        self.0 == 0
    }

    const fn saturating_add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Room {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:03}", self.0 / THOUSAND, self.0 % THOUSAND)
    }
}

impl FromStr for Room {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let requests: Option<f64> = text.parse().ok();
        let valid = requests.filter(|requests| requests.is_finite() && *requests >= 0.0);
        let requests = valid.context(ParseSnafu { text })?;
        Ok(Self::from_requests(requests))
    }
}

/// What one node has passed on of its bound to others, and got from them, since an order.
///
/// Both are sums that only grow, so that a sum may be told as often as one likes, and in any order. A lender
/// goes without what it lends from the moment at which it tells so. What is lost on the way is used by nobody.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Transfers {
    /// By the incarnation of the borrower, sorted.
    lent: Vec<(u64, Room)>,
    /// By the incarnation of the lender, sorted.
    borrowed: Vec<(u64, Room)>,
}

impl Transfers {
    /// Lends more to a node.
    pub fn lend(&mut self, borrower: u64, room: Room) {
        match self
            .lent
            .binary_search_by_key(&borrower, |(incarnation, _)| *incarnation)
        {
            Ok(place) => self.lent[place].1 = self.lent[place].1.saturating_add(room),
            Err(place) => self.lent.insert(place, (borrower, room)),
        }
    }

    /// All that was lent to a node.
    #[must_use]
    pub fn lent_to(&self, borrower: u64) -> Room {
        let found = self
            .lent
            .binary_search_by_key(&borrower, |(incarnation, _)| *incarnation);
        found.map_or(Room::ZERO, |place| self.lent[place].1)
    }

    /// Records all that a node has lent to this one.
    pub fn borrow(&mut self, lender: u64, total: Room) {
        let lenders = &mut self.borrowed;
        match lenders.binary_search_by_key(&lender, |(incarnation, _)| *incarnation) {
            Ok(place) => lenders[place].1 = lenders[place].1.max(total),
            Err(place) => lenders.insert(place, (lender, total)),
        }
    }

    /// What was borrowed less what was lent, in requests.
    #[must_use]
    pub fn balance(&self) -> f64 {
        let sum = |all: &[(u64, Room)]| all.iter().map(|(_, room)| room.requests()).sum::<f64>();
        sum(&self.borrowed) - sum(&self.lent)
    }
}

//! Requests a second that an endpoint takes from all VMs together.
//!
//! **Load:** an endpoint in need names a limit, and many VMs send to it. **Without it:** each VM sends what
//! it would have sent, or keeps the limit by itself, so that all of them together break it, the more VMs
//! the more so; buckets that begin full do so in the first second. **How:** of the VMs that may send there
//! a few own a part each, as many as the limit has requests in a second; the others send nothing. A part
//! is earned over time, beginning with nothing.
//!
//! **Grounds:** a token bucket for each part, and rendezvous hashing (Thaler and Ravishankar, 1998) for
//! whose it is, so that VMs which know the same others need not talk about it.

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;
use std::time::Duration;

use pimento_units::Moment;
use snafu::ResultExt;
use snafu::Snafu;

use crate::number;

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

/// How long an owner of a part waits for its next request at most: there are no more owners than the limit
/// has requests in this time, and one.
const MAX_OWNER_INTERVAL: Duration = Duration::from_secs(1);

/// Part of the limit that is given out. A request that was sent may arrive later than the next one.
const UTILIZATION: f64 = 0.9;

/// The lowest rate that is kept to, in requests a second: somebody has to ask whether the limit holds on.
const MIN_RATE: f64 = 0.1;

/// Time for which an owner may save up, if that is more than one request.
const BURST_WINDOW: Duration = Duration::from_millis(250);

/// This VM's part of an endpoint's limit, in requests a second; 0 if others have it all.
///
/// `participants` are all VMs that may send there, each by a hash of its name; none if this one is alone. A limit below
/// one request for each of them is not split among all, or the first second would bring as many requests as
/// there are VMs: it has a few owners, found by rendezvous hashing, so that all who know the same participants
/// find the same ones, and most keep their part when one leaves.
#[must_use]
pub fn share(limit: Limit, endpoint: u64, own: u64, participants: &[u64]) -> f64 {
    let rate = (limit.0 * UTILIZATION).max(MIN_RATE);
    if participants.is_empty() {
        return rate;
    }
    if !participants.contains(&own) {
        return 0.0;
    }
    let max_owners =
        number::floor_u32(limit.0 * MAX_OWNER_INTERVAL.as_secs_f64()).saturating_add(1);
    let count = u32::try_from(participants.len()).unwrap_or(u32::MAX);
    let owners = max_owners.min(count);
    let weight = |vm: u64| number::mix(endpoint, vm);
    let heavier = participants.iter().filter(|vm| weight(**vm) > weight(own));
    let rank = u32::try_from(heavier.count()).unwrap_or(u32::MAX);
    if rank < owners {
        rate / f64::from(owners)
    } else {
        0.0
    }
}

/// What this VM may send to an endpoint with a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Throttle {
    /// Requests a second.
    rate: f64,
    /// Requests that may be sent now.
    available: f64,
    /// As of when.
    updated: Moment,
}

impl Throttle {
    /// Begins with nothing saved up: VMs hear of a limit together, and would send at once together.
    #[must_use]
    pub const fn new(rate: f64, now: Moment) -> Self {
        Self {
            rate,
            available: 0.0,
            updated: now,
        }
    }

    /// The part is another one from now on.
    pub fn set_rate(&mut self, rate: f64, now: Moment) {
        self.available = self.available(now).min(burst(rate));
        self.rate = rate;
        self.updated = now;
    }

    /// Requests a second.
    #[must_use]
    pub const fn rate(&self) -> f64 {
        self.rate
    }

    fn available(&self, now: Moment) -> f64 {
        let earned = now.since(self.updated).as_secs_f64() * self.rate;
        (self.available + earned).min(burst(self.rate).max(self.available))
    }

    /// Whether a request may be sent now.
    #[must_use]
    pub fn is_open(&self, now: Moment) -> bool {
        self.rate > 0.0 && self.available(now) >= 1.0
    }

    /// A request is sent.
    pub fn consume(&mut self, now: Moment) {
        self.available = self.available(now) - 1.0;
        self.updated = now;
    }

    /// How long until the next request may be sent; none if none ever may.
    #[must_use]
    pub fn wait(&self, now: Moment) -> Option<Duration> {
        if self.rate <= 0.0 {
            return None;
        }
        let missing = (1.0 - self.available(now)).max(0.0);
        Some(number::seconds(missing / self.rate))
    }
}

/// The most requests that are saved up.
fn burst(rate: f64) -> f64 {
    (rate * BURST_WINDOW.as_secs_f64()).max(1.0)
}

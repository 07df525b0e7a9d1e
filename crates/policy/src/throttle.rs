//! Distributed rate limit: requests per second that an endpoint accepts from all VMs together. The limit on
//! concurrent calls is that of [`crate::limit`].
//!
//! An endpoint under stress names a limit, and many VMs send to it. If each VM applied the whole limit by
//! itself, all of them together would exceed it, the more so the more VMs there are. Token buckets that
//! start full would exceed it in the first second.
//!
//! A few of the VMs that may send to the endpoint own an equal share of the limit, about one owner per
//! request per second; the other VMs send nothing. An owner's token bucket starts empty.
//!
//! Owners are chosen by rendezvous hashing (Thaler and Ravishankar, 1998), so that VMs which know the same
//! VMs agree on the owners without communication.

use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;
use std::time::Duration;

use pimento_units::Moment;
use snafu::ResultExt;
use snafu::Snafu;

use crate::number;

/// Requests per second that an endpoint accepts; finite and not negative.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

/// Why a value is not a limit.
#[derive(Debug, Clone, PartialEq, Snafu)]
pub enum Error {
    /// The text is not a number.
    #[snafu(display("not a number of requests per second: {source}"))]
    Syntax {
        /// The parse error.
        source: ParseFloatError,
    },
    /// The number is negative, infinite or NaN.
    #[snafu(display("{number} is not a valid number of requests per second"))]
    Range {
        /// The number.
        number: f64,
    },
}

impl RateLimit {
    /// Returns the limit in requests per second.
    #[must_use]
    pub const fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = Error;

    fn try_from(number: f64) -> Result<Self, Error> {
        if number.is_finite() && number >= 0.0 {
            return Ok(Self(number));
        }
        Err(Error::Range { number })
    }
}

impl FromStr for RateLimit {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let number: f64 = text.trim().parse().context(SyntaxSnafu)?;
        Self::try_from(number)
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The number of owners is one more than the number of requests that the limit allows in this time.
const OWNER_INTERVAL: Duration = Duration::from_secs(1);

/// Share of the limit that is used. Delays in transit can bring requests closer together than they were
/// sent.
const UTILIZATION: f64 = 0.9;

/// Minimum rate in requests per second. With a limit of zero, some VM must still send requests to learn whether
/// the limit has changed.
const MIN_RATE: f64 = 0.1;

/// A bucket holds as many requests as it earns in this time, and at least one.
const BURST_WINDOW: Duration = Duration::from_millis(250);

/// Returns this VM's share of an endpoint's limit, in requests per second; zero if it is not an owner.
///
/// `participants` are hashes of the names of all VMs that may send to the endpoint; if there are none, this
/// VM has the whole limit. A limit of less than one request per second for each of them is not split among
/// all, or the first second would bring as many requests as there are VMs. It has a few owners, chosen by
/// rendezvous hashing: all VMs that know the same participants find the same owners, and most owners stay
/// when one VM leaves.
#[must_use]
pub fn share(limit: RateLimit, endpoint: u64, own: u64, participants: &[u64]) -> f64 {
    let rate = (limit.0 * UTILIZATION).max(MIN_RATE);
    if participants.is_empty() {
        return rate;
    }
    let max_owners = number::floor_u32(limit.0 * OWNER_INTERVAL.as_secs_f64()).saturating_add(1);
    let count = u32::try_from(participants.len()).unwrap_or(u32::MAX);
    let owners = max_owners.min(count);
    match rank(endpoint, own, participants) {
        Some(rank) if rank < owners => rate / f64::from(owners),
        _ => 0.0,
    }
}

/// Returns this VM's place among the VMs that may send to an endpoint, from 0; `None` if it is not one of
/// them.
pub(crate) fn rank(endpoint: u64, own: u64, participants: &[u64]) -> Option<u32> {
    if !participants.contains(&own) {
        return None;
    }
    let weight = |vm: u64| number::mix(endpoint, vm);
    let heavier = participants.iter().filter(|vm| weight(**vm) > weight(own));
    Some(u32::try_from(heavier.count()).unwrap_or(u32::MAX))
}

/// Returns the rate at which a [`Throttle`] lets no more than `calls` pass in any one second.
pub(crate) fn rate_within(calls: u32) -> f64 {
    let calls = f64::from(calls);
    let with_full_bucket = calls / (1.0 + BURST_WINDOW.as_secs_f64());
    let with_one_saved = calls - 1.0;
    with_full_bucket.min(with_one_saved).max(SINGLE_CALL_RATE)
}

/// Calls per second of a VM that may make one call in any one second. With less than one, the bucket never
/// holds two calls for the same second.
const SINGLE_CALL_RATE: f64 = 0.9;

/// Token bucket for the requests that this VM may send to an endpoint with a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Throttle {
    /// Requests per second.
    rate: f64,
    /// Requests that could be sent at `updated`. Negative after a request that was sent too early.
    available: f64,
    /// When `available` was computed.
    updated: Moment,
}

impl Throttle {
    /// Creates an empty bucket: all VMs receive a limit at about the same time, and full buckets would let
    /// them all send at once.
    #[must_use]
    pub const fn new(rate: f64, now: Moment) -> Self {
        Self {
            rate,
            available: 0.0,
            updated: now,
        }
    }

    /// Allows the first request after this part of the time between two, from 0 to 1. Buckets of several VMs
    /// that were created together would otherwise fill at the same moment.
    #[must_use]
    pub const fn with_phase(mut self, phase: f64) -> Self {
        self.available = 1.0 - phase;
        self
    }

    /// Changes the rate, and removes what exceeds the new capacity.
    pub fn set_rate(&mut self, rate: f64, now: Moment) {
        self.available = self.available(now).min(burst(rate));
        self.rate = rate;
        self.updated = now;
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub const fn rate(&self) -> f64 {
        self.rate
    }

    fn available(&self, now: Moment) -> f64 {
        let earned = now.since(self.updated).as_secs_f64() * self.rate;
        (self.available + earned).min(burst(self.rate).max(self.available))
    }

    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn can_send(&self, now: Moment) -> bool {
        self.rate > 0.0 && self.available(now) >= 1.0
    }

    /// Takes one request from the bucket.
    pub fn consume(&mut self, now: Moment) {
        self.available = self.available(now) - 1.0;
        self.updated = now;
    }

    /// Returns the time until the next request may be sent, or `None` if this VM may send none.
    #[must_use]
    pub fn wait(&self, now: Moment) -> Option<Duration> {
        if self.rate <= 0.0 {
            return None;
        }
        let missing = (1.0 - self.available(now)).max(0.0);
        Some(number::seconds(missing / self.rate))
    }
}

/// Capacity of a bucket, in requests.
fn burst(rate: f64) -> f64 {
    (rate * BURST_WINDOW.as_secs_f64()).max(1.0)
}

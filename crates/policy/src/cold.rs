//! Cold starts: how many calls an endpoint that has just started may get from all VMs together.
//!
//! An endpoint that has just started crashes if it gets too many calls in one second. It is also empty and
//! idle, so that every VM would choose it for its next call, and one call from each of hundreds of VMs is
//! too many. A mean rate says nothing here: the bound holds for any one second.
//!
//! As with the limits of [`crate::throttle`], a few VMs own an equal share each and the others send
//! nothing. An owner's share bounds its calls in any one second, and its token bucket starts empty.
//! VMs that were cut off or have just started may know other VMs than the rest do, and so find other
//! owners. The owners that one VM finds therefore use only a part of the bound.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use crate::number;
use crate::throttle;
use crate::throttle::RateLimit;

/// The highest number of calls in any one second from all VMs together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bound(u32);

impl Bound {
    /// Returns the bound for an endpoint that takes `rate` while it is cold, and up to `overshoot` times as
    /// many calls and `slack` more in one second.
    #[must_use]
    pub fn new(rate: RateLimit, overshoot: f64, slack: u32) -> Self {
        let calls = rate.per_second() * overshoot;
        Self(number::floor_u32(calls.max(0.0)).saturating_add(slack))
    }

    /// Returns the number of calls.
    #[must_use]
    pub const fn calls(self) -> u32 {
        self.0
    }
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Bound {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.trim().parse().map(Self)
    }
}

/// Number of groups of VMs that may each know only the VMs of their group.
const GROUPS: u32 = 3;

/// Returns this VM's calls per second to a cold endpoint, for a [`throttle::Throttle`]; zero if it is not an
/// owner. `participants` are hashes of the names of all VMs that may send to it.
#[must_use]
pub fn share(bound: Bound, endpoint: u64, own: u64, participants: &[u64]) -> f64 {
    let calls = (bound.0 / GROUPS).max(1);
    let count = u32::try_from(participants.len()).unwrap_or(u32::MAX);
    let owners = calls.min(count);
    match throttle::rank(endpoint, own, participants) {
        Some(rank) if rank < owners => throttle::rate_within(calls / owners),
        _ => 0.0,
    }
}

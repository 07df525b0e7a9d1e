//! The bound on the requests that a version in roll-out gets, by number.
//!
//! A share of the sessions is no bound on requests: one session may send most of them, retries come on top, and a
//! version that nobody can tell is bad ends up with all sessions. So each node counts what it sends from the order to
//! its deadline, and keeps to the bound by its own counts alone. Where each node keeps to its part, all of them
//! together keep to the whole, whoever has the callers and whichever nodes hear each other. A node that starts
//! meanwhile knows nothing of what it sent before, so that its part has no slack.

use std::time::Duration;

/// Part of the slack that is used. Requests that were sent may not arrive, and then don't raise the bound.
const USABLE_SLACK: f64 = 0.85;

/// Nodes by which the slack is divided at least. A node that has not discovered the others yet must not use their
/// parts.
const MIN_NODES: usize = 8;

/// Factor by which requests may come faster than before.
const RATE_MARGIN: f64 = 1.05;

/// Requests that were sent, repeats included.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sent {
    /// Those to the new version.
    pub new: u32,
    /// Those to any version.
    pub all: u32,
}

impl Sent {
    /// Counts a request. `new` is set if it uses the new version.
    pub const fn count(&mut self, new: bool) {
        self.all = self.all.saturating_add(1);
        if new {
            self.new = self.new.saturating_add(1);
        }
    }
}

/// A part of a bound.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Part {
    /// Of the share, from 0 to 1.
    pub share: f64,
    /// Of the slack, from 0 to 1.
    pub slack: f64,
}

impl Part {
    /// The whole bound.
    pub const WHOLE: Self = Self {
        share: 1.0,
        slack: 1.0,
    };
}

/// The bound of one node.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Share of the requests that the new version may get.
    share: f64,
    /// Requests beyond that share.
    slack: f64,
}

impl Bound {
    /// The bound of a node that has counted all that it sent since the order, as one of `nodes`.
    #[must_use]
    pub fn new(share: f64, slack: u32, nodes: usize) -> Self {
        let nodes = u32::try_from(nodes.max(MIN_NODES)).unwrap_or(u32::MAX);
        Self {
            share,
            slack: f64::from(slack) * USABLE_SLACK / f64::from(nodes),
        }
    }

    /// The bound of a node that started after the order.
    #[must_use]
    pub const fn without_slack(share: f64) -> Self {
        Self { share, slack: 0.0 }
    }

    /// Whether the bound still holds if all requests go to the new version for a time, at this rate a second and
    /// some more.
    #[must_use]
    pub fn allows_all_for(&self, sent: Sent, rate: f64, time: Duration) -> bool {
        let further = rate * time.as_secs_f64() * RATE_MARGIN;
        let allowed = self.share * (f64::from(sent.all) + further) + self.slack;
        f64::from(sent.new) + further <= allowed
    }

    /// Whether this part of the bound allows another request to the new version.
    #[must_use]
    pub fn allows(&self, sent: Sent, part: Part) -> bool {
        let all = f64::from(sent.all) + 1.0;
        let allowed = part.share * self.share * all + part.slack * self.slack;
        f64::from(sent.new) + 1.0 <= allowed
    }
}

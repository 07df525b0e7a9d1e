//! The bound on the requests that a version in roll-out gets, by number.
//!
//! A share of the sessions is no bound on requests: one session may send most of them, retries come on top, and a
//! version that nobody can tell is bad ends up with all sessions. So each node counts what it sends from the order to
//! its deadline, and keeps to the bound by its own counts alone. Where each node keeps to its part, all of them
//! together keep to the whole, whoever has the callers and whichever nodes hear each other. A node that starts
//! meanwhile knows nothing of what it sent before, so that its part has no slack.
//!
//! A node may pass room on to others: one that stops needs none, and one that started, or whose callers became
//! more, needs what others have left. The sum stays the same.

mod room;

use std::time::Duration;

pub use self::room::ParseError;
pub use self::room::Room;
pub use self::room::Transfers;

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
    /// What was got from other nodes, less what was passed on to them, in requests.
    transferred: f64,
}

/// What a node expects to send until the deadline.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Requests a second.
    pub rate: f64,
    /// Time until the deadline.
    pub left: Duration,
    /// Time in which all requests would be as many as those to the new version until the deadline.
    pub new: Duration,
}

impl Bound {
    /// The bound of a node that has counted all that it sent since the order, as one of `nodes`.
    #[must_use]
    pub fn new(share: f64, slack: u32, nodes: usize) -> Self {
        let nodes = u32::try_from(nodes.max(MIN_NODES)).unwrap_or(u32::MAX);
        Self {
            share,
            slack: f64::from(slack) * USABLE_SLACK / f64::from(nodes),
            transferred: 0.0,
        }
    }

    /// The bound of a node that started after the order.
    #[must_use]
    pub const fn without_slack(share: f64) -> Self {
        Self {
            share,
            slack: 0.0,
            transferred: 0.0,
        }
    }

    /// The same with what was passed between nodes.
    #[must_use]
    pub fn with_transfers(self, transfers: &Transfers) -> Self {
        Self {
            transferred: transfers.balance(),
            ..self
        }
    }

    /// Requests to the new version that are allowed now.
    fn left(&self, sent: Sent) -> f64 {
        let allowed = self.share * f64::from(sent.all) + self.slack + self.transferred;
        allowed - f64::from(sent.new)
    }

    /// What the node will lack until the deadline.
    #[must_use]
    pub fn want(&self, sent: Sent, forecast: &Forecast) -> Room {
        let Forecast { rate, left, new } = forecast;
        let earned = self.share * rate * left.as_secs_f64();
        Room::from_requests(rate * new.as_secs_f64() - earned - self.left(sent))
    }

    /// What the node can pass on now: what it has and will not need itself.
    #[must_use]
    pub fn surplus(&self, sent: Sent, forecast: &Forecast) -> Room {
        let Forecast { rate, left, new } = forecast;
        let earned = self.share * rate * left.as_secs_f64();
        let needed = rate * new.as_secs_f64() * RATE_MARGIN;
        let has = self.left(sent);
        Room::from_requests(has.min(has + earned - needed))
    }

    /// Whether the bound still holds if all requests go to the new version for a time, at this rate a second and
    /// some more.
    #[must_use]
    pub fn allows_all_for(&self, sent: Sent, rate: f64, time: Duration) -> bool {
        let further = rate * time.as_secs_f64() * RATE_MARGIN;
        let allowed = self.share * (f64::from(sent.all) + further) + self.slack + self.transferred;
        f64::from(sent.new) + further <= allowed
    }

    /// Whether this part of the bound allows another request to the new version.
    #[must_use]
    pub fn allows(&self, sent: Sent, part: Part) -> bool {
        let all = f64::from(sent.all) + 1.0;
        // What was lent is gone from every part.
        let transferred = self.transferred.min(part.share * self.transferred);
        let allowed = part.share * self.share * all + part.slack * self.slack + transferred;
        f64::from(sent.new) + 1.0 <= allowed
    }
}

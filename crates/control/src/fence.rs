//! Decides whether an order may be sent, sans-IO.
//!
//! A lease holder may be paused past the end of its lease without noticing. Engines that refuse old
//! fencing numbers reject its late orders. For engines that ignore the number, and for pools
//! without a setting, two waits replace the check: the holder stops a margin before its lease ends
//! and checks the clock right before each order, and a successor waits for the maximum time that an
//! order may take before it sends its first one.

use std::time::Duration;

use pimento_contract::service::Fencing;
use pimento_coordination::lease;
use tokio::time::Instant;

/// Whether an order may be sent now, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// It may be sent, with this fencing number.
    Open(u64),
    /// Orders of an earlier holder may be in flight until then.
    WaitUntil(Instant),
    /// The lease is not held or is about to expire.
    Closed,
}

/// Decides on an order that would be sent at `now`. `order_timeout` is the maximum time that an
/// order may take to reach its engine.
#[must_use]
pub fn gate(
    held: Option<lease::Held>,
    fencing: Fencing,
    order_timeout: Duration,
    now: Instant,
) -> Gate {
    let Some(held) = held.filter(|held| now < held.until) else {
        return Gate::Closed;
    };
    let safe_at = held.since + order_timeout;
    match fencing {
        Fencing::Ignores if now < safe_at => Gate::WaitUntil(safe_at),
        Fencing::Ignores | Fencing::Refuses => Gate::Open(held.number.0),
    }
}

//! Decides whether an order may be sent, without a clock or I/O.
//!
//! A lease holder may be paused past the end of its lease without noticing. Engines that refuse old
//! fencing numbers reject its late orders. For engines that ignore the number, and for pools
//! without a setting, two waits replace the check: the holder stops a margin before its lease ends
//! and checks the clock right before each order, and a successor waits for the timeout of an order
//! before it sends its first one.

use std::time::Duration;

use pimento_contract::service::Fencing;
use pimento_coordination::lease;
use tokio::time::Instant;

/// Whether an order may be sent now, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It may be sent, with this fencing number.
    Allowed(u64),
    /// Orders of an earlier holder may be in flight until this time.
    WaitUntil(Instant),
    /// The lease is not held or is about to expire.
    Denied,
}

/// Decides on an order that would be sent at `now`. `order_timeout` is the timeout of an order,
/// including its response.
#[must_use]
pub fn decide(
    held: Option<lease::Held>,
    fencing: Fencing,
    order_timeout: Duration,
    now: Instant,
) -> Decision {
    let Some(held) = held.filter(|held| now < held.until) else {
        return Decision::Denied;
    };
    let safe_at = held.since + order_timeout;
    match fencing {
        Fencing::Ignores if now < safe_at => Decision::WaitUntil(safe_at),
        Fencing::Ignores | Fencing::Refuses => Decision::Allowed(held.number.0),
    }
}

//! When an order may be given, sans-IO.
//!
//! A holder of a lease may be paused past its end without knowing. Engines that refuse old fencing
//! numbers are safe from its late orders by themselves. For engines that ignore the number, and for
//! those of which nobody said what they do, two waits stand in: the holder stops a margin before
//! the end of its lease and looks at the clock right before each order, and a successor lets the
//! longest flight of an order pass before its first one.

use std::time::Duration;

use pimento_contract::service::Fencing;
use pimento_coordination::lease;
use tokio::time::Instant;

/// Whether an order may be given now, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gate {
    /// With this fencing number.
    Open(u64),
    /// Orders of an earlier holder may still be on their way until then.
    Settling(Instant),
    /// The lease is not held, or about to end.
    Closed,
}

/// Decides on an order that is given at `now`. `flight` is the longest time that an order may take
/// to its engine.
#[must_use]
pub fn gate(
    held: Option<lease::Fencing>,
    fencing: Fencing,
    flight: Duration,
    now: Instant,
) -> Gate {
    let Some(held) = held.filter(|held| now < held.until) else {
        return Gate::Closed;
    };
    let settled = held.since + flight;
    match fencing {
        Fencing::Ignores if now < settled => Gate::Settling(settled),
        Fencing::Ignores | Fencing::Refuses => Gate::Open(held.number.0),
    }
}

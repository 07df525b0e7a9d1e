//! Small fakes at the platform's interfaces, shared by the tests of this crate.

#![allow(dead_code, reason = "each test program uses its own part of this")]

pub mod memory;
pub mod nodes;
pub mod relay;

use std::time::Duration;

use tokio::time::Instant;

/// The bound of every wait on an event; reached only when a test fails.
pub const BOUND: Duration = Duration::from_secs(20);

/// Waits until `look` finds something.
///
/// # Panics
///
/// If it does not within [`BOUND`].
pub async fn eventually<T>(what: &str, look: impl AsyncFn() -> Option<T>) -> T {
    let end = Instant::now() + BOUND;
    while Instant::now() < end {
        if let Some(found) = look().await {
            return found;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("not seen within {BOUND:?}: {what}");
}

/// The moment at which a test gives up.
pub fn bound() -> Instant {
    Instant::now() + BOUND
}

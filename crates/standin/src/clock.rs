//! The wall clock.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use pimento_units::Wall;

/// The current time; the Unix epoch if the machine's clock is earlier than that.
#[must_use]
pub fn now() -> Wall {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Wall::from_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

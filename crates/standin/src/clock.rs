//! The wall clock in the units of the wire.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use pimento_units::Wall;

/// The present time; the epoch itself if the machine's clock stands before it.
#[must_use]
pub fn now() -> Wall {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Wall::from_millis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

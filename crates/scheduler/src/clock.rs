//! The two clocks of the process. They are read here and passed to decisions as plain numbers.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use pimento_units::Moment;
use pimento_units::Wall;
use tokio::time::Instant;

/// The clocks of one process.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock {
    /// Returns the time since the process began, on the monotonic clock. It is for what the process does
    /// itself, such as attempts, deadlines and queues. It stops while the VM is suspended, so that the age
    /// of data from other processes is measured by the relay's boot-time clock. Moments of the two clocks
    /// must not be compared.
    #[must_use]
    pub fn now(&self) -> Moment {
        self.moment(Instant::now())
    }

    /// Converts an instant to a moment; instants before the start become the start.
    #[must_use]
    pub fn moment(&self, instant: Instant) -> Moment {
        Moment::ZERO + instant.saturating_duration_since(self.start)
    }

    /// Converts a moment to an instant.
    #[must_use]
    pub fn instant(&self, moment: Moment) -> Instant {
        self.start + Duration::from_nanos(moment.nanos())
    }

    /// Returns the time of the wall clock.
    #[must_use]
    pub fn wall(&self) -> Wall {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let millis = since.unwrap_or_default().as_millis();
        Wall::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }
}

//! When the phases of a shift begin, and how many requests the new version gets until the deadline.

use std::time::Duration;

use super::Config;

/// The phases of a shift, by the age of the order.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Schedule {
    /// When the share begins to rise.
    pub trial_end: Duration,
    /// How long it rises.
    ramp: Duration,
}

impl Schedule {
    /// How far the share has risen, from 0; at 1 all sessions have moved.
    pub fn ramp_progress(&self, age: Duration) -> f64 {
        let risen = age.saturating_sub(self.trial_end);
        risen.as_secs_f64() / self.ramp.as_secs_f64()
    }
}

impl Config {
    pub(super) fn schedule(&self, time_limit: Duration, exposure: f64) -> Schedule {
        let earliest = time_limit.mul_f64(self.trial_time) + self.clock_margin;
        // For this long before the deadline the new version may get all requests.
        let left = (self.usable_part - self.trial_part.share) * exposure.clamp(0.0, 1.0);
        let left = time_limit.mul_f64(left);
        let ramp = left.mul_f64(self.ramp).max(Duration::from_millis(1));
        // A share that rises evenly gets half of the requests.
        let trial_end = time_limit.saturating_sub(left + ramp / 2).max(earliest);
        Schedule { trial_end, ramp }
    }

    /// The time in which all requests would be as many as those that the new version gets from this age of the
    /// order until the deadline.
    #[must_use]
    pub fn time_on_new(&self, age: Duration, time_limit: Duration, exposure: f64) -> Duration {
        let Schedule { trial_end, ramp } = self.schedule(time_limit, exposure);
        let trial_share = (exposure * self.trial_exposure).clamp(0.0, 1.0);
        let trial = trial_end.saturating_sub(age.max(self.observation));
        let moved = (trial_end + ramp).min(time_limit);
        let rise = moved.saturating_sub(age.max(trial_end));
        let risen = 1.0 - rise.as_secs_f64() / ramp.as_secs_f64();
        let mean = f64::midpoint(
            trial_share + (1.0 - trial_share) * risen.clamp(0.0, 1.0),
            1.0,
        );
        let all = time_limit.saturating_sub(age.max(moved));
        trial.mul_f64(trial_share) + rise.mul_f64(mean) + all
    }
}

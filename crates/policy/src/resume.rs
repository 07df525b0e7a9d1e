//! When another engine takes over a run that is silent.
//!
//! An engine that prefills long prompts of others, or pauses, makes its runs silent for a second and
//! then goes on. Taking such a run over at once costs another engine the whole prompt, which stalls
//! the runs there in turn, and the caller waits for that prefill instead of for the next event. A run
//! whose engine is gone stays silent for good, and only another engine helps.
//!
//! A run is taken over if the other engine is expected to deliver the next event while it is still on
//! time, or if the silence has lasted for a multiple of what the other engine takes: the longer a run
//! has been silent, the longer it can be expected to stay so.

use std::time::Duration;

/// Multiple of the expected time at the other engine that a silence must last where the next event is
/// late either way. A run that only pauses is often back sooner than another engine could answer, and
/// each takeover costs a prefill.
const PATIENCE: u32 = 2;

/// A run from which nothing has come for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SilentRun {
    /// Time since its last event.
    pub silent: Duration,
    /// Longest time between events for which the answer is on time; none if the route sets no target.
    pub max_gap: Option<Duration>,
    /// Expected time to the next event at another engine.
    pub expected: Duration,
}

impl SilentRun {
    /// Returns how long the run is left at its engine from now on; zero if it is to be taken over.
    #[must_use]
    pub fn patience(&self) -> Duration {
        let on_time = self
            .max_gap
            .is_some_and(|gap| self.silent + self.expected <= gap);
        if on_time {
            return Duration::ZERO;
        }
        (self.expected * PATIENCE).saturating_sub(self.silent)
    }
}

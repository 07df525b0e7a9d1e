//! The estimate for a prompt, before it is placed.

use std::time::Duration;

/// What a prompt would find at the engine that it would get.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// Wait for the prompts sent before.
    pub wait: Duration,
    /// Time to prefill the tokens that the engine has not cached.
    pub prefill: Duration,
    /// The part of `prefill` in which other prompts wait.
    pub engine_time: Duration,
    /// The same if nothing of the prompt is cached.
    pub full_engine_time: Duration,
    /// Wait of the next prompt: the mean over the less busy half of the local zone's engines once this
    /// prompt is placed.
    pub next_wait: Duration,
}

impl Estimate {
    /// Returns the expected time to the first token.
    #[must_use]
    pub fn time_to_first_token(&self) -> Duration {
        self.wait + self.prefill
    }
}

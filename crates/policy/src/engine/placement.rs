//! The choice of the engine for a prompt.

use std::time::Duration;

use crate::number;

/// Weights of the choice among engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Factor by which a prompt's own prefill time counts more than the wait: all calls behind a prompt
    /// wait for its prefill.
    pub prefill_weight: f64,
    /// Time to the first token that an engine in another zone must save. Sending a prompt's bytes between
    /// zones costs a twentieth to a tenth of the value of its answer.
    pub remote_penalty: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            prefill_weight: 2.2,
            remote_penalty: Duration::from_millis(400),
        }
    }
}

/// An engine to which a prompt may be sent.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Candidate {
    /// Hash of the engine's name, the same at every node.
    pub name_hash: u64,
    /// Whether it may be chosen.
    pub usable: bool,
    /// Whether it is in another zone.
    pub remote: bool,
    /// Wait for the prompts sent there before.
    pub wait: Duration,
    /// Time to prefill the tokens that the engine has not cached.
    pub prefill_time: Duration,
    /// Whether it has no memory left for the prompt.
    pub full: bool,
}

impl Candidate {
    /// Returns the expected time to the first token.
    #[must_use]
    pub fn time_to_first_token(&self) -> Duration {
        self.wait + self.prefill_time
    }

    fn cost(&self, config: &Config) -> f64 {
        let penalty = if self.remote {
            config.remote_penalty
        } else {
            Duration::ZERO
        };
        let prefill = self.prefill_time.as_secs_f64() * config.prefill_weight;
        self.wait.as_secs_f64() + prefill + penalty.as_secs_f64()
    }
}

/// Cost difference in seconds up to which engines count as equal. Among equal engines the hash of prefix
/// and engine decides, so that nodes without any shared state send the same prefix to the same engine.
const COST_TOLERANCE: f64 = 0.01;

/// Returns the index of the engine for a prompt, or `None` if no engine is usable. `prefix` is the hash of
/// the prompt's shared prefix. An engine that is full is chosen only if all usable ones are: what a node knows
/// of its memory is an estimate, and the request would be refused otherwise.
#[must_use]
pub fn choose(candidates: &[Candidate], prefix: u64, config: &Config) -> Option<usize> {
    let any_room = candidates.iter().any(|c| c.usable && !c.full);
    let may_get = |c: &Candidate| c.usable && !(any_room && c.full);
    let usable = || candidates.iter().enumerate().filter(|(_, c)| may_get(c));
    let least = usable()
        .map(|(_, c)| c.cost(config))
        .min_by(f64::total_cmp)?;
    let cheapest = usable().filter(|(_, c)| c.cost(config) <= least + COST_TOLERANCE);
    cheapest
        .max_by_key(|(_, c)| number::mix(c.name_hash, prefix))
        .map(|(index, _)| index)
}

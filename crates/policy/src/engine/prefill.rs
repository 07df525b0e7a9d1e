//! Prefill speed of models, learned from prompts that found their engine idle.

use std::time::Duration;

use pimento_units::Tokens;

use super::Pending;
use crate::number;

/// Estimates how long engines take to prefill prompts.
#[derive(Debug, Clone, Default)]
pub struct PrefillEstimator {
    /// Seconds to a first token besides the prefill of its prompt; `None` before any was measured.
    start_seconds: Option<f64>,
    /// Seconds per token of each model, sorted by model.
    models: Vec<(u64, f64)>,
    samples: u32,
}

/// How long a prompt took that found its engine idle.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Timing {
    /// The time that the pool's median engine was expected to take.
    pub expected: Duration,
    /// The time that the engine took.
    pub took: Duration,
}

/// Least prefill of a prompt whose time is compared. Less is drowned by the delay of the network and by the
/// steps of the batch.
const MIN_TIMED_PREFILL: Duration = Duration::from_millis(20);

/// Samples after which the estimates are reported to other nodes, and engines are compared by them: enough for
/// several models. While the estimates still change, engines would differ by when they were measured.
const MIN_SAMPLES: u32 = 40;

/// Seconds per token before any were measured: a medium-sized model on a fast accelerator. The first prompt
/// that finds an idle engine corrects the estimate. An initial value that is too high would never be
/// corrected, since the model would seem too slow to be used.
const INITIAL_SECONDS_PER_TOKEN: f64 = 0.000_015;

/// Weights of samples below and above the estimate. A measured time includes the prompt's own prefill and
/// at times that of an unknown other prompt, so low samples are more reliable.
const WEIGHT_BELOW: f64 = 0.3;
const WEIGHT_ABOVE: f64 = 0.05;

/// A sample above `OUTLIER_ABOVE` times the estimate only raises it by the factor `OUTLIER_GROWTH`. Fifteen
/// such samples make up for an estimate that is seven times too low, the widest difference between the
/// models of one pool.
const OUTLIER_ABOVE: f64 = 2.0;
const OUTLIER_GROWTH: f64 = 1.15;

/// A sample below this share of the estimate means that the prompt's parts were cached without this node
/// knowing. After a restart of this node, that is the case for all cached parts. Such a sample only lowers the
/// estimate by the factor `OUTLIER_DECAY`. With the usual weight, ten such samples would make the largest model
/// look free, and all prompts would go to it. Twenty in a row still lower an estimate that is much too high.
const OUTLIER_BELOW: f64 = 0.2;
const OUTLIER_DECAY: f64 = 0.95;

/// Minimum prefill of a sample for the seconds per token. With fewer tokens most of the time to the first
/// token is not prefill, and the sample counts for the start time instead.
const MIN_SAMPLE_TOKENS: Tokens = Tokens(400);

/// Seconds to a first token besides its prefill, before any were measured: two steps of a batch and the
/// network round trip. Known engines take 8 to 50 ms. If the start time were fixed, a longer one would
/// count as prefill, mostly of short prompts, and long prompts would look up to twice as slow as they are.
const INITIAL_START_SECONDS: f64 = 0.008;

/// Increase of a token's prefill time, relative to a first token, for each token before it, which it
/// attends to. A token of a prompt of 30,000 tokens takes a fifth longer on average than one of 10,000.
const ATTENTION_PER_TOKEN: f64 = 0.000_02;

/// Returns the last `uncached` of `total` tokens, each weighted by its prefill time relative to a first
/// token.
fn weighted_tokens(uncached: Tokens, total: Tokens) -> f64 {
    let count = number::float(uncached.0);
    let before = number::float(total.0.max(uncached.0)) - count / 2.0;
    count * (1.0 + ATTENTION_PER_TOKEN * before)
}

/// Returns the estimate after a sample.
fn update_estimate(known: f64, sample: f64) -> f64 {
    if sample < known * OUTLIER_BELOW {
        known * OUTLIER_DECAY
    } else if sample > known * OUTLIER_ABOVE {
        known * OUTLIER_GROWTH
    } else {
        let weight = if sample < known {
            WEIGHT_BELOW
        } else {
            WEIGHT_ABOVE
        };
        known + weight * (sample - known)
    }
}

impl PrefillEstimator {
    /// Returns the seconds to prefill a token that has no tokens before it.
    #[must_use]
    pub fn seconds_per_token(&self, model: u64) -> f64 {
        let found = self.models.binary_search_by_key(&model, |(m, _)| *m);
        found.map_or(INITIAL_SECONDS_PER_TOKEN, |index| self.models[index].1)
    }

    /// Returns the time to a first token, without any wait, if the last `uncached` of `total` tokens are
    /// not cached.
    #[must_use]
    pub fn prefill_time(&self, model: u64, uncached: Tokens, total: Tokens) -> Duration {
        number::seconds(
            self.start_seconds() + self.seconds_per_token(model) * weighted_tokens(uncached, total),
        )
    }

    /// Returns the part of a time to a first token in which the engine prefills the prompt, and other
    /// prompts wait. Without this, the time of two steps and a round trip would count against each
    /// short prompt as if it kept the engine from others.
    #[must_use]
    pub fn engine_time(&self, prefill_time: Duration) -> Duration {
        prefill_time.saturating_sub(number::seconds(self.start_seconds()))
    }

    fn start_seconds(&self) -> f64 {
        self.start_seconds.unwrap_or(INITIAL_START_SECONDS)
    }

    /// Returns what a prompt tells of its engine's speed, whose first token arrived `took` after it was sent to
    /// the idle engine. Returns `None` if it tells nothing, since its prefill is too short or the model's speed
    /// is not known yet.
    pub(super) fn timing(&self, pending: &Pending, took: Duration) -> Option<Timing> {
        let known = self
            .models
            .binary_search_by_key(&pending.model, |(m, _)| *m);
        if known.is_err() || self.samples < MIN_SAMPLES {
            return None;
        }
        let expected = self.prefill_time(pending.model, pending.prefill_tokens, pending.total);
        let prefill = self.engine_time(expected);
        (prefill >= MIN_TIMED_PREFILL).then_some(Timing { expected, took })
    }

    /// Learns from a prompt whose first token arrived `took` after it was sent to an idle engine.
    pub(super) fn record(&mut self, pending: &Pending, took: Duration) {
        let (model, uncached) = (pending.model, pending.prefill_tokens);
        let tokens = weighted_tokens(uncached, pending.total);
        if uncached < MIN_SAMPLE_TOKENS {
            self.record_start(took.as_secs_f64() - self.seconds_per_token(model) * tokens);
            return;
        }
        let sample = (took.as_secs_f64() - self.start_seconds()) / tokens;
        if sample <= 0.0 {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        match self.models.binary_search_by_key(&model, |(m, _)| *m) {
            Ok(index) => {
                let known = &mut self.models[index].1;
                *known = update_estimate(*known, sample);
            }
            // The first sample sets the order of magnitude, unless the parts seem to have been cached.
            Err(index) if sample >= INITIAL_SECONDS_PER_TOKEN * OUTLIER_BELOW => {
                self.models.insert(index, (model, sample));
            }
            Err(_) => {}
        }
    }

    /// Learns from the time that a short prompt took besides its prefill.
    fn record_start(&mut self, sample: f64) {
        if sample > 0.0 {
            self.start_seconds = Some(
                self.start_seconds
                    .map_or(sample, |known| update_estimate(known, sample)),
            );
        }
    }

    /// Merges another node's estimates: adds those for models that are unknown here.
    pub fn merge_estimates(&mut self, models: impl IntoIterator<Item = (u64, f64)>) {
        for (model, seconds) in models {
            if let Err(index) = self.models.binary_search_by_key(&model, |(m, _)| *m) {
                self.models.insert(index, (model, seconds));
                // The other node's estimates rest on at least as many samples.
                self.samples = self.samples.max(MIN_SAMPLES);
            }
        }
    }

    /// Returns the seconds per token of each model, sorted by model, or an empty slice before they rest on
    /// enough samples to be reported to other nodes.
    #[must_use]
    pub fn reportable(&self) -> &[(u64, f64)] {
        if self.samples < MIN_SAMPLES {
            return &[];
        }
        &self.models
    }
}

//! How fast models read, learnt from prompts that found their engine idle.

use std::time::Duration;

use pimento_units::Tokens;

use super::Pending;
use crate::number;

/// How fast each model reads, sorted by model.
#[derive(Debug, Clone, Default)]
pub struct PrefillEstimator {
    /// Seconds to a first token beside the reading; none before it was measured.
    start_seconds: Option<f64>,
    models: Vec<(u64, f64)>,
    samples: u32,
}

/// Prompts after which paces are told to others: some of each of three models.
const MIN_SAMPLES: u32 = 40;

/// Seconds for a token before any was measured: a middling model on a fast accelerator. The first
/// prompt that finds an idle engine puts it right. A guess that is too high would never be put right:
/// the model would seem too slow to be asked.
const INITIAL_SECONDS_PER_TOKEN: f64 = 0.000_015;

/// Weight of a sample that is below the estimate, and of one above it. A prompt's time is its own
/// reading and at times somebody else's that was not known of, so that low samples tell the speed.
const WEIGHT_BELOW: f64 = 0.3;
const WEIGHT_ABOVE: f64 = 0.05;

/// Times the estimate from which on a sample counts as OUTLIER_GROWTH above it: fifteen such make up for an
/// estimate that is seven times too low, the widest between the models of one pool.
const OUTLIER_ABOVE: f64 = 2.0;
const OUTLIER_GROWTH: f64 = 1.15;

/// Share of the estimate below which a prompt's parts were kept and nobody here knew, as of all that
/// came before a restart. Taken at their word, ten of them made the largest model look free, and all
/// prompts went to it. Twenty in a row still bring down an estimate that is much too high.
const OUTLIER_BELOW: f64 = 0.2;
const OUTLIER_DECAY: f64 = 0.95;

/// Prompts from this size on tell a speed. For shorter ones the time to a first token outweighs their
/// own reading, and they tell that.
const MIN_SAMPLE_TOKENS: Tokens = Tokens(400);

/// Seconds to a first token beside the reading, before any was measured: two steps of a batch and the
/// way there and back. Engines that were met take 8 to 50 ms. Taken for fixed it was counted as reading
/// where it is longer, most of all by short prompts, and long ones looked up to twice as long.
const INITIAL_START_SECONDS: f64 = 0.008;

/// What attention to the tokens before adds to the reading of a token, for each of them: reading a
/// prompt of 30,000 tokens takes a fifth longer for a token than one of 10,000.
const ATTENTION_PER_TOKEN: f64 = 0.000_02;

/// The last `uncached` of `total` tokens, each weighed by the time that it takes against a first one.
fn weighted_tokens(uncached: Tokens, total: Tokens) -> f64 {
    let count = number::float(uncached.0);
    let before = number::float(total.0.max(uncached.0)) - count / 2.0;
    count * (1.0 + ATTENTION_PER_TOKEN * before)
}

/// What an estimate becomes by a sample.
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
    /// Seconds for the first token of a prompt.
    #[must_use]
    pub fn seconds_per_token(&self, model: u64) -> f64 {
        let found = self.models.binary_search_by_key(&model, |(m, _)| *m);
        found.map_or(INITIAL_SECONDS_PER_TOKEN, |place| self.models[place].1)
    }

    /// How long reading the last `uncached` of `total` tokens takes.
    #[must_use]
    pub fn prefill_time(&self, model: u64, uncached: Tokens, total: Tokens) -> Duration {
        number::seconds(
            self.start_seconds() + self.seconds_per_token(model) * weighted_tokens(uncached, total),
        )
    }

    fn start_seconds(&self) -> f64 {
        self.start_seconds.unwrap_or(INITIAL_START_SECONDS)
    }

    /// Learns from a prompt that was read in `took`, beside its wait.
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
            Ok(place) => {
                let known = &mut self.models[place].1;
                *known = update_estimate(*known, sample);
            }
            // The first tells the order of size, if its parts were not kept.
            Err(place) if sample >= INITIAL_SECONDS_PER_TOKEN * OUTLIER_BELOW => {
                self.models.insert(place, (model, sample));
            }
            Err(_) => {}
        }
    }

    /// Learns from what a short prompt took beside its reading.
    fn record_start(&mut self, sample: f64) {
        if sample > 0.0 {
            self.start_seconds = Some(
                self.start_seconds
                    .map_or(sample, |known| update_estimate(known, sample)),
            );
        }
    }

    /// Takes what another node learnt of models that are not known here.
    pub fn seed(&mut self, models: impl IntoIterator<Item = (u64, f64)>) {
        for (model, seconds) in models {
            if let Err(place) = self.models.binary_search_by_key(&model, |(m, _)| *m) {
                self.models.insert(place, (model, seconds));
                // It rested on as many there, and is as good to be passed on.
                self.samples = self.samples.max(MIN_SAMPLES);
            }
        }
    }

    /// The seconds for a token of each model, sorted by model; none before they rest on enough
    /// prompts to be told to others.
    #[must_use]
    pub fn reportable(&self) -> &[(u64, f64)] {
        if self.samples < MIN_SAMPLES {
            return &[];
        }
        &self.models
    }
}

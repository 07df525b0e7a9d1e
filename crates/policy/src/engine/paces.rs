//! How fast models read, learnt from prompts that found their engine idle.

use std::time::Duration;

use pimento_units::Tokens;

use super::Pending;
use crate::number;

/// How fast each model reads, sorted by model.
#[derive(Debug, Clone, Default)]
pub struct Paces {
    /// Seconds to a first token beside the reading; none before it was measured.
    start: Option<f64>,
    models: Vec<(u64, f64)>,
    samples: u32,
}

/// Prompts after which paces are told to others: some of each of three models.
const ENOUGH: u32 = 40;

/// Seconds for a token before any was measured: a middling model on a fast accelerator. The first
/// prompt that finds an idle engine puts it right. A guess that is too high would never be put right:
/// the model would seem too slow to be asked.
const FIRST_PACE: f64 = 0.000_015;

/// Weight of a sample that is below the estimate, and of one above it. A prompt's time is its own
/// reading and at times somebody else's that was not known of, so that low samples tell the speed.
const DOWN: f64 = 0.3;
const UP: f64 = 0.05;

/// Times the estimate from which on a sample counts as FAR above it: fifteen such make up for an
/// estimate that is seven times too low, the widest between the models of one pool.
const ABOVE: f64 = 2.0;
const FAR: f64 = 1.15;

/// Share of the estimate below which a prompt's parts were kept and nobody here knew, as of all that
/// came before a restart. Taken at their word, ten of them made the largest model look free, and all
/// prompts went to it. Twenty in a row still bring down an estimate that is much too high.
const BELOW: f64 = 0.2;
const KEPT: f64 = 0.95;

/// Prompts from this size on tell a speed. For shorter ones the time to a first token outweighs their
/// own reading, and they tell that.
const LEAST: Tokens = Tokens(400);

/// Seconds to a first token beside the reading, before any was measured: two steps of a batch and the
/// way there and back. Engines that were met take 8 to 50 ms. Taken for fixed it was counted as reading
/// where it is longer, most of all by short prompts, and long ones looked up to twice as long.
const FIRST_START: f64 = 0.008;

/// What attention to the tokens before adds to the reading of a token, for each of them: reading a
/// prompt of 30,000 tokens takes a fifth longer for a token than one of 10,000.
const ATTENTION: f64 = 0.000_02;

/// The last `unread` of `total` tokens, each weighed by the time that it takes against a first one.
fn weight(unread: Tokens, total: Tokens) -> f64 {
    let count = number::float(unread.0);
    let before = number::float(total.0.max(unread.0)) - count / 2.0;
    count * (1.0 + ATTENTION * before)
}

/// What an estimate becomes by a sample.
fn follow(known: f64, sample: f64) -> f64 {
    if sample < known * BELOW {
        known * KEPT
    } else if sample > known * ABOVE {
        known * FAR
    } else {
        let weight = if sample < known { DOWN } else { UP };
        known + weight * (sample - known)
    }
}

impl Paces {
    /// Seconds for the first token of a prompt.
    #[must_use]
    pub fn pace(&self, model: u64) -> f64 {
        let found = self.models.binary_search_by_key(&model, |(m, _)| *m);
        found.map_or(FIRST_PACE, |place| self.models[place].1)
    }

    /// How long reading the last `unread` of `total` tokens takes.
    #[must_use]
    pub fn work(&self, model: u64, unread: Tokens, total: Tokens) -> Duration {
        number::seconds(self.start() + self.pace(model) * weight(unread, total))
    }

    fn start(&self) -> f64 {
        self.start.unwrap_or(FIRST_START)
    }

    /// Learns from a prompt that was read in `took`, beside its wait.
    pub(super) fn learn(&mut self, pending: &Pending, took: Duration) {
        let (model, unread) = (pending.model, pending.unread);
        let tokens = weight(unread, pending.total);
        if unread < LEAST {
            self.learn_start(took.as_secs_f64() - self.pace(model) * tokens);
            return;
        }
        let sample = (took.as_secs_f64() - self.start()) / tokens;
        if sample <= 0.0 {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        match self.models.binary_search_by_key(&model, |(m, _)| *m) {
            Ok(place) => {
                let known = &mut self.models[place].1;
                *known = follow(*known, sample);
            }
            // The first tells the order of size, if its parts were not kept.
            Err(place) if sample >= FIRST_PACE * BELOW => {
                self.models.insert(place, (model, sample));
            }
            Err(_) => {}
        }
    }

    /// Learns from what a short prompt took beside its reading.
    fn learn_start(&mut self, sample: f64) {
        if sample > 0.0 {
            self.start = Some(self.start.map_or(sample, |known| follow(known, sample)));
        }
    }

    /// Takes what another node learnt of models that are not known here.
    pub fn seed(&mut self, models: impl IntoIterator<Item = (u64, f64)>) {
        for (model, pace) in models {
            if let Err(place) = self.models.binary_search_by_key(&model, |(m, _)| *m) {
                self.models.insert(place, (model, pace));
                // It rested on as many there, and is as good to be passed on.
                self.samples = self.samples.max(ENOUGH);
            }
        }
    }

    /// The seconds for a token of each model, sorted by model; none before they rest on enough
    /// prompts to be told to others.
    #[must_use]
    pub fn told(&self) -> &[(u64, f64)] {
        if self.samples < ENOUGH {
            return &[];
        }
        &self.models
    }
}

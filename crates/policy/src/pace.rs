//! How fast models generate, to tell whether a run can end in time.

use std::time::Duration;

use pimento_units::Tokens;

use crate::number;

/// Weight of a new run in the mean.
const WEIGHT: f64 = 0.1;

/// The pace of one model.
#[derive(Debug, Clone, Copy)]
struct Pace {
    model: u64,
    /// Mean of the runs, in seconds per generated token.
    seconds_per_token: f64,
}

/// The paces of all models that were seen.
#[derive(Debug, Clone, Default)]
pub struct Paces {
    /// Sorted by model.
    paces: Vec<Pace>,
}

impl Paces {
    /// Records a complete run: its generated tokens, and the time from the first to the last of them.
    pub fn record(&mut self, model: u64, tokens: Tokens, took: Duration) {
        if tokens.0 == 0 {
            return;
        }
        let seconds_per_token = took.as_secs_f64() / number::float(tokens.0);
        match self.paces.binary_search_by_key(&model, |pace| pace.model) {
            Ok(place) => {
                let mean = &mut self.paces[place].seconds_per_token;
                *mean += WEIGHT * (seconds_per_token - *mean);
            }
            Err(place) => self.paces.insert(
                place,
                Pace {
                    model,
                    seconds_per_token,
                },
            ),
        }
    }

    /// How long a model takes to generate `tokens`; none before its first run.
    #[must_use]
    pub fn expect(&self, model: u64, tokens: Tokens) -> Option<Duration> {
        let found = self.paces.binary_search_by_key(&model, |pace| pace.model);
        let known = self.paces[found.ok()?];
        let seconds = known.seconds_per_token * number::float(tokens.0);
        Some(number::seconds(seconds))
    }
}

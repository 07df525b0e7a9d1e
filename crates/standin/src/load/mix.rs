//! Mixes of load: flows of one customer to one target, from which arrivals are drawn.
//!
//! ```toml
//! seconds = 20
//!
//! [[flow]]
//! customer = "garage-gatenga"
//! target = "stock"     # or "service:order-desk"
//! rate = 2.0           # calls a second, Poisson
//! prompt = 60          # tokens on average, drawn between half and one and a half of it
//! output = 40
//! stream = 0.5         # share of streamed answers
//! sessions = 5         # sessions among which calls are spread; 0 for none
//! twice = 0.2          # share of calls to a service that are sent twice on one id
//! from = 0.0           # seconds; both may be left out
//! until = 20.0
//! ```

use std::time::Duration;

use compact_str::format_compact;
use pimento_units::Share;
use pimento_units::Tokens;
use pimento_units::id;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use snafu::Snafu;

use crate::load::trace::Arrival;
use crate::load::trace::Target;

/// A mix of load.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// How long calls are made.
    pub seconds: f64,
    /// The flows.
    #[serde(rename = "flow")]
    pub flows: Vec<Flow>,
}

/// Calls of one customer to one target.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// By whom.
    pub customer: id::Customer,
    /// To what: a class, or `service:` and a plain service.
    pub target: String,
    /// Calls a second.
    pub rate: f64,
    /// Tokens of a prompt, on average.
    #[serde(default = "prompt")]
    pub prompt: u64,
    /// Tokens of an answer, on average.
    #[serde(default)]
    pub output: u64,
    /// Share of streamed answers.
    #[serde(default)]
    pub stream: Share,
    /// Sessions among which calls are spread.
    #[serde(default)]
    pub sessions: u32,
    /// Share of calls to a service that are sent twice on one id.
    #[serde(default)]
    pub twice: Share,
    /// When the flow begins, in seconds.
    #[serde(default)]
    pub from: f64,
    /// When it ends, in seconds; the end of the run if not set.
    #[serde(default)]
    pub until: Option<f64>,
}

const fn prompt() -> u64 {
    40
}

/// What is wrong with a mix.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("flow {number} ({customer}): {reason}"))]
pub struct Finding {
    number: usize,
    customer: id::Customer,
    reason: String,
}

/// How long after the first call the second one on the same id goes out, at most. Long enough that
/// the first is sometimes still running and sometimes done.
const AGAIN_MS: u64 = 400;

impl Mix {
    /// Draws the arrivals, in order.
    ///
    /// # Errors
    ///
    /// All findings.
    pub fn arrivals(&self, seed: u64) -> Result<Vec<Arrival>, Vec<Finding>> {
        let mut arrivals = Vec::new();
        let mut findings = Vec::new();
        for (number, flow) in (1..).zip(&self.flows) {
            let rng = StdRng::seed_from_u64(seed.wrapping_add(number as u64));
            match flow.check() {
                Ok(target) => flow.draw(number, &target, self.seconds, rng, &mut arrivals),
                Err(reason) => findings.push(Finding {
                    number,
                    customer: flow.customer.clone(),
                    reason,
                }),
            }
        }
        if !findings.is_empty() {
            return Err(findings);
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        Ok(arrivals)
    }
}

impl Flow {
    fn check(&self) -> Result<Target, String> {
        if !(self.rate.is_finite() && self.rate > 0.0) {
            return Err(format!("rate: {} is not above zero", self.rate));
        }
        if !(self.from.is_finite() && self.from >= 0.0) {
            return Err(format!("from: {} is not a time", self.from));
        }
        self.target
            .parse()
            .map_err(|error| format!("target: {error}"))
    }

    fn draw(
        &self,
        number: usize,
        target: &Target,
        seconds: f64,
        mut rng: StdRng,
        arrivals: &mut Vec<Arrival>,
    ) {
        let until = self.until.unwrap_or(seconds).min(seconds);
        let mut at = self.from;
        for call in 0_u64.. {
            // Exponential gaps make a Poisson process; the draw lies in [0, 1), so its logarithm
            // is taken of a number above zero.
            at -= (1.0 - rng.random::<f64>()).ln() / self.rate;
            if at >= until {
                return;
            }
            let service = matches!(target, Target::Service(_));
            let arrival = Arrival {
                at: Duration::from_micros(micros(at)),
                customer: self.customer.clone(),
                target: target.clone(),
                prompt: Tokens(spread(self.prompt, &mut rng)),
                output: Tokens(spread(self.output, &mut rng)),
                stream: !service && rng.random::<f64>() < self.stream.value(),
                session: self.session(&mut rng),
                idempotency: service.then(|| format_compact!("f{number}-{call}")),
            };
            if service && rng.random::<f64>() < self.twice.value() {
                let mut again = arrival.clone();
                again.at += Duration::from_millis(rng.random_range(0..AGAIN_MS));
                arrivals.push(again);
            }
            arrivals.push(arrival);
        }
    }

    fn session(&self, rng: &mut StdRng) -> Option<u32> {
        (self.sessions > 0).then(|| rng.random_range(0..self.sessions))
    }
}

// Runs last minutes, so that neither the sign nor the size of a double is lost.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

fn spread(mean: u64, rng: &mut StdRng) -> u64 {
    rng.random_range(mean / 2..=mean + mean / 2).max(1)
}

//! Load mixes. A mix consists of flows, each of one customer to one target, from which arrivals are
//! drawn.
//!
//! ```toml
//! seconds = 20
//!
//! [[flow]]
//! customer = "garage-gatenga"
//! target = "stock"     # or "service:order-desk"
//! rate = 2.0           # calls per second, Poisson
//! prompt = 60          # mean in tokens, drawn uniformly from half to one and a half of it
//! output = 40
//! stream = 0.5         # share of streamed answers
//! sessions = 5         # number of sessions that calls are spread over; 0 for none
//! twice = 0.2          # share of calls to a service that are sent twice with the same id
//! from = 0.0           # seconds; `from` and `until` are optional
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

/// A load mix.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Mix {
    /// Duration of the run, in seconds.
    pub seconds: f64,
    /// The flows.
    #[serde(rename = "flow")]
    pub flows: Vec<Flow>,
}

/// The calls of one customer to one target.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// The customer.
    pub customer: id::Customer,
    /// A class, or `service:` followed by the name of a plain service.
    pub target: String,
    /// Calls per second.
    pub rate: f64,
    /// Mean number of tokens in a prompt.
    #[serde(default = "default_prompt")]
    pub prompt: u64,
    /// Mean number of tokens in an answer.
    #[serde(default)]
    pub output: u64,
    /// Share of streamed answers.
    #[serde(default)]
    pub stream: Share,
    /// Number of sessions that calls are spread over.
    #[serde(default)]
    pub sessions: u32,
    /// Share of calls to a service that are sent twice with the same id.
    #[serde(default)]
    pub twice: Share,
    /// When the flow starts, in seconds.
    #[serde(default)]
    pub from: f64,
    /// When the flow ends, in seconds; none for the end of the run.
    #[serde(default)]
    pub until: Option<f64>,
}

const fn default_prompt() -> u64 {
    40
}

/// An error in a mix.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("flow {number} ({customer}): {reason}"))]
pub struct Finding {
    number: usize,
    customer: id::Customer,
    reason: String,
}

/// Maximum delay of the second call with the same id, in milliseconds. Long enough that the first
/// call is sometimes still running and sometimes done.
const MAX_REPEAT_DELAY_MS: u64 = 400;

impl Mix {
    /// Draws the arrivals, sorted by time.
    ///
    /// # Errors
    ///
    /// All errors found.
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
            // A Poisson process has exponentially distributed gaps. The draw is in [0, 1), so the
            // argument of the logarithm is above zero.
            at -= (1.0 - rng.random::<f64>()).ln() / self.rate;
            if at >= until {
                return;
            }
            let service = matches!(target, Target::Service(_));
            let arrival = Arrival {
                at: Duration::from_micros(micros(at)),
                customer: self.customer.clone(),
                target: target.clone(),
                prompt: Tokens(draw_around(self.prompt, &mut rng)),
                output: Tokens(draw_around(self.output, &mut rng)),
                stream: !service && rng.random::<f64>() < self.stream.value(),
                session: self.session(&mut rng),
                idempotency: service.then(|| format_compact!("f{number}-{call}")),
            };
            if service && rng.random::<f64>() < self.twice.value() {
                let mut repeat = arrival.clone();
                repeat.at += Duration::from_millis(rng.random_range(0..MAX_REPEAT_DELAY_MS));
                arrivals.push(repeat);
            }
            arrivals.push(arrival);
        }
    }

    fn session(&self, rng: &mut StdRng) -> Option<u32> {
        (self.sessions > 0).then(|| rng.random_range(0..self.sessions))
    }
}

// Runs last minutes, so the value is positive and small enough.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

fn draw_around(mean: u64, rng: &mut StdRng) -> u64 {
    rng.random_range(mean / 2..=mean + mean / 2).max(1)
}

//! Concurrency limit of each endpoint, derived from its latency and from the load that it reports. Limits in
//! requests per second are those of [`crate::throttle`].
//!
//! Without a limit, work piles up at a slow endpoint, since it stays there longest. A fixed limit is either
//! too low for a healthy endpoint or too high for one that is slow or has lost capacity.
//!
//! The gradient is the long-term time per token over the recent one. While it stays within the tolerance
//! and the limit is used, the limit grows by one each round; beyond the tolerance it shrinks by the
//! gradient. A report of more calls than fit also shrinks it, since then all nodes together send too much.
//!
//! The gradient over two averages is that of Netflix's `concurrency-limits` (Gradient2, 2018). Additive
//! increase and multiplicative decrease (Chiu and Jain, 1989) lead nodes that share an endpoint to equal
//! shares without any communication.

use std::time::Duration;

use pimento_units::Tokens;

use crate::number;

/// Parameters of a [`Limiter`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// The initial limit.
    pub initial: f64,
    /// The minimum limit; at least one, or the endpoint would never be measured again.
    pub min: f64,
    /// The maximum limit.
    pub max: f64,
    /// Multiple of the long-term time per token that still counts as healthy. In a full batch each call
    /// runs at about a third of the speed that it has alone, which is no sign of overload.
    pub tolerance: f64,
    /// Weight of an answer in the short average.
    pub short_weight: f64,
    /// Weight of an answer in the long average.
    pub long_weight: f64,
    /// Factor of the largest decrease after one answer.
    pub backoff_ratio: f64,
    /// Batches of calls that may be at the endpoint, running and waiting. Waiting calls keep the batch full
    /// between an answer and the next call, and leave a free slot under load at the endpoint that has a
    /// prompt's prefix cached. Engines honour priorities, so short calls don't wait for long ones there.
    /// More than one waiting batch would be a queue whose calls can no longer be refused.
    pub max_batches: f64,
    /// Added to the limit before it is rounded down. A node's share of a batch is a small number, such as
    /// 2.7 of 16 for each of six nodes. If all nodes rounded down, a quarter of the batch would stay empty.
    /// It should be drawn at random between 0 and 1 for each limiter.
    pub rounding_offset: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            initial: 8.0,
            min: 1.0,
            max: 256.0,
            tolerance: 4.0,
            short_weight: 0.2,
            long_weight: 0.01,
            backoff_ratio: 0.8,
            max_batches: 2.0,
            rounding_offset: 0.5,
        }
    }
}

/// How a call at an endpoint ended, with regard to the endpoint's load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer.
    Served {
        /// Tokens of the prompt and the answer.
        tokens: Tokens,
        /// Time from sending to the last byte.
        took: Duration,
    },
    /// The endpoint refused the call because of overload, or did not answer in time.
    Overload,
    /// The outcome carries no information about load: the call was cancelled, or failed at once.
    Unknown,
}

/// Load that an endpoint reported.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Calls in the running batch.
    pub running: u32,
    /// Calls that wait at the endpoint.
    pub waiting: u32,
    /// Maximum number of calls in a batch; zero if it is not known.
    pub batch: u32,
}

/// The limit of one endpoint as seen by one node.
#[derive(Debug, Clone)]
pub struct Limiter {
    config: Config,
    limit: f64,
    in_flight: u32,
    short_average: f64,
    long_average: f64,
}

impl Limiter {
    /// Creates a limiter without any measurements.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            config,
            limit: config.initial,
            in_flight: 0,
            short_average: 0.0,
            long_average: 0.0,
        }
    }

    /// Acquires a slot if one is free, and returns whether it did. Each acquired slot must be given back
    /// with [`release`](Self::release).
    #[must_use]
    pub fn acquire(&mut self) -> bool {
        let acquired = self.free() > 0;
        if acquired {
            self.in_flight += 1;
        }
        acquired
    }

    /// Releases a slot and learns from the call's outcome.
    pub fn release(&mut self, outcome: Outcome) {
        let used = self.is_used();
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Served { tokens, took } => self.record_served(tokens, took, used),
            Outcome::Overload => self.shrink(self.config.backoff_ratio),
            Outcome::Unknown => {}
        }
    }

    /// Adapts the limit to the load that the endpoint reports: this node's calls in flight are scaled by
    /// the capacity over the calls present, as every node scales its own. The base is the number of calls
    /// in flight and not the limit, since reports lag: three reports on one burst would lower the limit
    /// three times. The limit is raised only while it is used.
    pub fn apply_report(&mut self, report: Report) {
        let capacity = f64::from(report.batch) * self.config.max_batches;
        let present = f64::from(report.running) + f64::from(report.waiting);
        if report.batch == 0 || present <= 0.0 {
            return;
        }
        let share = f64::from(self.in_flight) * capacity / present;
        if present > capacity {
            self.limit = self.limit.min(share.max(self.config.min.max(1.0)));
        } else if self.is_used() {
            self.limit = self.limit.max(share).min(self.config.max);
        }
    }

    /// Returns whether enough of the limit is used that a higher limit might be used, too.
    fn is_used(&self) -> bool {
        f64::from(self.in_flight) * 2.0 >= self.limit
    }

    /// Returns the number of this node's calls in flight.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the current limit.
    #[must_use]
    pub fn limit(&self) -> u32 {
        number::floor_u32(self.limit + self.config.rounding_offset).max(1)
    }

    /// Returns the number of free slots.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.limit().saturating_sub(self.in_flight)
    }

    /// Returns the short average of the seconds per token; zero before the first answer.
    #[must_use]
    pub const fn seconds_per_token(&self) -> f64 {
        self.short_average
    }

    fn record_served(&mut self, tokens: Tokens, took: Duration, used: bool) {
        let seconds = took.as_secs_f64() / number::float(tokens.0.max(1));
        if self.long_average <= 0.0 {
            self.short_average = seconds;
            self.long_average = seconds;
        }
        self.short_average += self.config.short_weight * (seconds - self.short_average);
        self.long_average += self.config.long_weight * (seconds - self.long_average);
        // A long average above the short one is left over from a slow period. Unless it is pulled down, the
        // endpoint would be allowed the latency of that period for hundreds of answers.
        if self.long_average > self.short_average {
            self.long_average +=
                self.config.short_weight * (self.short_average - self.long_average);
        }
        let gradient =
            self.config.tolerance * self.long_average / self.short_average.max(f64::MIN_POSITIVE);
        if gradient < 1.0 {
            self.shrink(gradient);
        } else if used {
            self.limit = (self.limit + 1.0 / self.limit).min(self.config.max);
        }
    }

    fn shrink(&mut self, factor: f64) {
        let factor = factor.clamp(self.config.backoff_ratio, 1.0);
        self.limit = (self.limit * factor).max(self.config.min.max(1.0));
    }
}

//! Concurrency limit of each endpoint, found from latency and from the load that it reports.
//!
//! **Load:** a slow endpoint, lost capacity, a batch that is full. **Without it:** work piles up
//! where it is slowest, since that is where it stays longest; a fixed limit is either too low for
//! a well endpoint or too high for a sick one. **How:** time for a token over its long-term value
//! is the gradient. While it stays within the tolerance and the limit is used, the limit grows by
//! one each round; beyond, it shrinks by the gradient. A report with waiting calls shrinks it too,
//! since then all nodes together send more than the batch holds.
//!
//! **Grounds:** Netflix's `concurrency-limits` (Gradient2, 2018) for the gradient over two
//! averages, and Chiu and Jain (1989) for additive growth and multiplicative shrinking, which
//! leads nodes that share an endpoint to equal parts without talking to each other.

use std::time::Duration;

use pimento_units::Tokens;

use crate::number;

/// Figures of a [`Limiter`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// The first limit.
    pub initial: f64,
    /// The lowest limit; at least one, or the endpoint would never be measured again.
    pub min: f64,
    /// The highest limit.
    pub max: f64,
    /// Times the usual time for a token that is still taken for well. In a full batch each call
    /// runs at about a third of the speed that it has alone, which is no sign of overload.
    pub tolerance: f64,
    /// Weight of an answer in the short average.
    pub short_weight: f64,
    /// Weight of an answer in the long average.
    pub long_weight: f64,
    /// The most that one answer shrinks the limit to.
    pub backoff_ratio: f64,
    /// Times the batch that may be at the endpoint, running and waiting. Waiting calls keep the
    /// batch full between an answer and the next call, and leave the owner of a cached prefix a
    /// free slot under load; engines honour priorities, so that short calls don't wait for long
    /// ones there. More than another batch would be a queue that no longer can be refused.
    pub max_batches: f64,
    /// Added to the limit before it is rounded down. A node's share of a batch is a small number,
    /// such as 2.7 of 16 for each of six nodes: if all nodes rounded down, a quarter of the batch
    /// would stay empty. Best drawn at random between 0 and 1 for each limiter.
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

/// How a call at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Served {
        /// Tokens of the prompt and the answer.
        tokens: Tokens,
        /// Time from sending to the last byte.
        took: Duration,
    },
    /// Refused for overload, or not answered in time.
    Overload,
    /// It says nothing about load: cancelled, or failed at once.
    Unknown,
}

/// The load that an endpoint reported.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Report {
    /// Calls in the running batch.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// The most calls in a batch.
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
    /// A limiter that has measured nothing yet.
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

    /// Takes a slot, if one is free. Each slot taken must be given back by
    /// [`release`](Self::release).
    #[must_use]
    pub fn acquire(&mut self) -> bool {
        let acquired = self.free() > 0;
        if acquired {
            self.in_flight += 1;
        }
        acquired
    }

    /// Gives a slot back and learns from the call.
    pub fn release(&mut self, outcome: Outcome) {
        let used = self.is_used();
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Served { tokens, took } => self.record_served(tokens, took, used),
            Outcome::Overload => self.shrink(self.config.backoff_ratio),
            Outcome::Unknown => {}
        }
    }

    /// Learns from the load that the endpoint reports: this node's part of the calls there is
    /// scaled to what fits over what is there, in the same measure as everybody's. The base is
    /// what is in flight and not the limit, since reports lag: three reports on one burst would
    /// cut the limit three times. Up, this goes only while the limit is in use.
    pub fn report(&mut self, report: Report) {
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

    /// Whether enough of the limit is in use that a higher one might be, too.
    fn is_used(&self) -> bool {
        f64::from(self.in_flight) * 2.0 >= self.limit
    }

    /// Calls in flight from this node.
    #[must_use]
    pub const fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The limit now.
    #[must_use]
    pub fn limit(&self) -> u32 {
        number::floor_u32(self.limit + self.config.rounding_offset).max(1)
    }

    /// Free slots.
    #[must_use]
    pub fn free(&self) -> u32 {
        self.limit().saturating_sub(self.in_flight)
    }

    /// Seconds for a token lately; zero before the first answer.
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
        // A long average above the short one is left over from a slow spell; without the pull the
        // endpoint would be allowed that spell's latency for hundreds of answers.
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

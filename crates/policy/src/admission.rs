//! Admission control: a request that cannot start in time is refused at once.
//!
//! Without it, a queue under overload grows past every deadline: each answer comes too late, and
//! goodput falls to zero while every endpoint is busy (receive livelock). Work is counted in
//! estimated tokens, because answers differ a hundredfold in length. The expected wait is the work
//! that the fair queue serves first, divided by the measured drain rate. A request that would start
//! later than its deadline allows is refused, with the time after which it may come back.
//!
//! Deciding on waiting time rather than queue length follows `CoDel` (Nichols and Jacobson, 2012)
//! and DAGOR (`WeChat`, 2018). Goodput stays level because a request is refused before any work is
//! spent on it. `docs/design/load.md` explains this project's own figures.

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::Tokens;

use crate::number;

/// Prompt tokens that an engine prefills in the time it takes to generate one token. Prefill is
/// bound by compute and generation by memory bandwidth; on engines with continuous batching the
/// ratio is about ten. It is only used to weigh long prompts against long answers.
pub const PREFILL_RATIO: u64 = 10;

/// Work of a call, in generated tokens.
#[must_use]
pub const fn work(input: Tokens, output: Tokens) -> Tokens {
    Tokens(output.0.saturating_add(input.0 / PREFILL_RATIO))
}

/// Generated tokens in the work of a call whose prompt has `input` tokens.
#[must_use]
pub const fn output(work: Tokens, input: Tokens) -> Tokens {
    Tokens(work.0.saturating_sub(input.0 / PREFILL_RATIO))
}

/// Running mean of the answer length of one class. The length of an answer is not known before it
/// ends.
#[derive(Debug, Clone, Copy)]
pub struct AnswerLength {
    mean: f64,
}

impl AnswerLength {
    /// Weight of a new answer in the mean.
    const WEIGHT: f64 = 0.05;

    /// Starts with a length that is assumed before the first answer.
    #[must_use]
    pub const fn new(expected: Tokens) -> Self {
        Self {
            mean: number::float(expected.0),
        }
    }

    /// Records the length of an answer.
    pub fn record(&mut self, output: Tokens) {
        self.mean += Self::WEIGHT * (number::float(output.0) - self.mean);
    }

    /// The expected length, at most `most`, the caller's limit.
    #[must_use]
    pub fn estimate(&self, most: Tokens) -> Tokens {
        Tokens(number::floor(self.mean).max(1)).min(most)
    }
}

/// Settings of a [`Gate`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Share of the time left that waiting and running together are expected to take at most. It
    /// is below one because the estimates err: of the requests admitted up to the last moment,
    /// about half would be late.
    pub usable_share: f64,
    /// The same share for a request that comes back after its `Retry-After`.
    pub returning_usable_share: f64,
    /// Share of the drain rate that is set aside for returning requests. `Retry-After` times are
    /// spaced by it.
    pub returning_share: f64,
    /// Half-life of the measurements behind the drain rate.
    pub half_life: Duration,
    /// Tokens per second that one slot is assumed to serve until the first answer is measured.
    pub initial_rate: f64,
    /// The shortest `Retry-After`; the header counts whole seconds.
    pub min_retry_after: Duration,
    /// The longest `Retry-After`. With a longer one, callers would learn late of a recovery.
    pub max_retry_after: Duration,
    /// Random extra share of `Retry-After`, so that refused callers don't return at the same time.
    pub jitter: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            usable_share: 0.5,
            returning_usable_share: 0.9,
            returning_share: 0.3,
            half_life: Duration::from_secs(10),
            initial_rate: 50.0,
            min_retry_after: Duration::from_secs(1),
            max_retry_after: Duration::from_mins(2),
            jitter: 0.25,
        }
    }
}

/// A request's needs and the work that is served before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Work that goes first, from [`crate::queue::Queue::work_ahead`].
    pub ahead: Tokens,
    /// Slots of the pool: the sum of the endpoints' limits.
    pub slots: u32,
    /// Slots that are free now.
    pub free: u32,
    /// How long the request itself is expected to run, from [`Gate::run_time`].
    pub run_time: Duration,
    /// When the whole answer must be complete.
    pub deadline: Moment,
}

/// An admission decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The request may wait for a slot until `start_by`.
    Admit {
        /// The latest start that still leaves time for the whole answer.
        start_by: Moment,
    },
    /// The request is refused now and does not run.
    Refuse {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Measures the drain rate of one pool and decides on the requests for it. It is not the gate of a
/// roll-out (`pimento_contract::rollout::Gate`), which sets limits for a new version.
#[derive(Debug, Clone)]
pub struct Gate {
    config: Config,
    /// Decaying sum of served tokens.
    tokens: f64,
    /// Decaying sum of the seconds that slots were held.
    busy: f64,
    /// When the sums were last updated.
    updated: Moment,
    /// The time that the next refused request is told to come back, at the earliest.
    next_return: Moment,
}

impl Gate {
    /// Creates a gate without measurements.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            config,
            tokens: config.initial_rate,
            busy: 1.0,
            updated: Moment::ZERO,
            next_return: Moment::ZERO,
        }
    }

    /// Records an answer of `tokens` that held a slot for `took`.
    pub fn record(&mut self, tokens: Tokens, took: Duration, now: Moment) {
        let decay = number::decay(now.since(self.updated), self.config.half_life);
        self.updated = self.updated.max(now);
        self.tokens = self.tokens * decay + number::float(tokens.0);
        self.busy = self.busy * decay + took.as_secs_f64();
    }

    /// Tokens per second that one busy slot serves. Only busy time counts: with idle slots, the
    /// rate of answers would measure demand instead of capacity.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let rate = self.tokens / self.busy.max(f64::MIN_POSITIVE);
        if rate.is_finite() && rate > 0.0 {
            rate
        } else {
            self.config.initial_rate
        }
    }

    /// How long a call of `tokens` holds a slot.
    #[must_use]
    pub fn run_time(&self, tokens: Tokens) -> Duration {
        number::seconds(number::float(tokens.0) / self.rate())
    }

    /// How long `slots` take for `work`.
    #[must_use]
    pub fn drain_time(&self, work: Tokens, slots: u32) -> Duration {
        let rate = self.rate() * f64::from(slots.max(1));
        number::seconds(number::float(work.0) / rate)
    }

    /// Decides on a request that comes for the first time.
    #[must_use]
    pub fn decide(&mut self, demand: Demand, now: Moment, random: u64) -> Verdict {
        self.decide_within(demand, self.config.usable_share, now, random)
    }

    /// Decides on a request that was refused before and comes back after its `Retry-After`. It may
    /// use more of its time for waiting than a new request, so that it is served as announced. Any
    /// node can recognise such a request by the caller's request id, which tells when it was made.
    #[must_use]
    pub fn decide_returning(&mut self, demand: Demand, now: Moment, random: u64) -> Verdict {
        self.decide_within(demand, self.config.returning_usable_share, now, random)
    }

    fn decide_within(
        &mut self,
        demand: Demand,
        usable_share: f64,
        now: Moment,
        random: u64,
    ) -> Verdict {
        let time_left = demand.deadline.since(now);
        let max_wait = time_left
            .mul_f64(usable_share)
            .saturating_sub(demand.run_time);
        let wait = self.expected_wait(demand);
        if wait <= max_wait && !time_left.is_zero() {
            let start_by = now + time_left.saturating_sub(demand.run_time);
            return Verdict::Admit { start_by };
        }
        let retry_after = self.schedule_return(demand, wait.saturating_sub(max_wait), now, random);
        Verdict::Refuse { retry_after }
    }

    /// When a request that expired in the queue may come back: after the work that is still ahead
    /// of it has drained.
    #[must_use]
    pub fn retry_after(&mut self, demand: Demand, now: Moment, random: u64) -> Duration {
        let wait = self.expected_wait(demand);
        self.schedule_return(demand, wait, now, random)
    }

    /// Assigns a return time that no other caller was given. Return times are spaced by
    /// `returning_share` of the drain rate. With one time for all, the callers would come back
    /// together and be refused again.
    fn schedule_return(
        &mut self,
        demand: Demand,
        wait: Duration,
        now: Moment,
        random: u64,
    ) -> Duration {
        let earliest = (now + wait.max(self.config.min_retry_after)).max(self.next_return);
        let latest = now + self.config.max_retry_after;
        let slots = f64::from(demand.slots.max(1)) * self.config.returning_share.max(0.01);
        let spacing = number::seconds(demand.run_time.as_secs_f64() / slots);
        self.next_return = (earliest + spacing).min(latest);
        self.add_jitter(earliest.min(latest).since(now), random)
    }

    fn expected_wait(&self, demand: Demand) -> Duration {
        if demand.free > 0 && demand.ahead == Tokens::ZERO {
            return Duration::ZERO;
        }
        self.drain_time(demand.ahead, demand.slots)
    }

    fn add_jitter(&self, wait: Duration, random: u64) -> Duration {
        let factor = 1.0 + self.config.jitter * number::unit_interval(random);
        number::seconds(wait.as_secs_f64() * factor).max(self.config.min_retry_after)
    }
}

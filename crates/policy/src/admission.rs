//! Admission at the door: a request that cannot start in time is refused at once.
//!
//! **Load:** overload and bursts. **Without it:** the queue grows past every deadline, each answer
//! comes too late, and goodput falls to nothing while every endpoint is busy (receive livelock).
//! **How:** work is counted in estimated tokens, as answers differ a hundredfold in length. The
//! wait is the work that goes first, by the fair queue's own order, over the measured drain rate.
//! Who would start later than the deadline allows is refused with the time at which it may start.
//!
//! **Grounds:** deciding on waiting time and not on queue length is `CoDel` (Nichols and Jacobson,
//! 2012) and DAGOR (`WeChat`, 2018); refusing before any work was spent is what keeps goodput level
//! there. Figures that are our own stand in `docs/design/load.md`.

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::Tokens;

use crate::number;

/// Prompt tokens that an engine reads in the time in which it generates one. Reading is a product
/// of large matrices and generating is bound by memory, so that the ratio is about ten on engines
/// with continuous batching. It only weighs long prompts against long answers.
pub const PREFILL_RATIO: u64 = 10;

/// Work of a call, in generated tokens.
#[must_use]
pub const fn work(input: Tokens, output: Tokens) -> Tokens {
    Tokens(output.0.saturating_add(input.0 / PREFILL_RATIO))
}

/// The usual length of the answers of one class, as answers are as long as they turn out to be.
#[derive(Debug, Clone, Copy)]
pub struct Length {
    mean: f64,
}

impl Length {
    /// Weight of a new answer.
    const WEIGHT: f64 = 0.05;

    /// Starts from a length that is expected before any was seen.
    #[must_use]
    pub const fn new(expected: Tokens) -> Self {
        Self {
            mean: number::float(expected.0),
        }
    }

    /// Counts an answer.
    pub fn record(&mut self, output: Tokens) {
        self.mean += Self::WEIGHT * (number::float(output.0) - self.mean);
    }

    /// The length to expect, at most what the caller allows.
    #[must_use]
    pub fn expect(&self, most: Tokens) -> Tokens {
        Tokens(number::floor(self.mean).max(1)).min(most)
    }
}

/// Figures of a [`Gate`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Share of the time left that waiting and running may be expected to take. Below one, as the
    /// estimates err: a request admitted to the last moment is as often late as not.
    pub headroom: f64,
    /// The same share for a request that comes back when it was told to.
    pub returning_headroom: f64,
    /// Share of the drain by which the refused are called back in.
    pub returning_share: f64,
    /// Half-life of the drain rate's memory.
    pub half_life: Duration,
    /// Tokens a second that one slot serves, until the first answers were measured.
    pub initial_rate: f64,
    /// The shortest `Retry-After`; the header counts whole seconds.
    pub min_retry_after: Duration,
    /// The longest `Retry-After`. A caller told to stay away for longer hears of a recovery late.
    pub max_retry_after: Duration,
    /// Share of `Retry-After` that is spread at random, so that the refused don't return at once.
    pub jitter: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            headroom: 0.5,
            returning_headroom: 0.9,
            returning_share: 0.3,
            half_life: Duration::from_secs(10),
            initial_rate: 50.0,
            min_retry_after: Duration::from_secs(1),
            max_retry_after: Duration::from_mins(2),
            jitter: 0.25,
        }
    }
}

/// What the door knows of a request and of the work before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Work that goes first, from [`crate::queue::Queue::ahead`].
    pub ahead: Tokens,
    /// Slots of the pool: the sum of the endpoints' limits.
    pub slots: u32,
    /// Slots that are free now.
    pub free: u32,
    /// How long the request itself is expected to run, from [`Gate::run_time`].
    pub run_time: Duration,
    /// When the whole answer must be there.
    pub deadline: Moment,
}

/// The decision at the door.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may wait for a slot, at most until `start_by`.
    Admit {
        /// The last moment at which it can start and still be whole in time.
        start_by: Moment,
    },
    /// It is refused now, not run.
    Refuse {
        /// When to come back.
        retry_after: Duration,
    },
}

/// Measures the drain rate of one pool and decides on requests for it.
#[derive(Debug, Clone)]
pub struct Gate {
    config: Config,
    tokens: f64,
    busy: f64,
    at: Moment,
    called: Moment,
}

impl Gate {
    /// A gate that has measured nothing yet.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            config,
            tokens: config.initial_rate,
            busy: 1.0,
            at: Moment::ZERO,
            called: Moment::ZERO,
        }
    }

    /// Counts an answer of `tokens` that held a slot for `took`.
    pub fn record(&mut self, tokens: Tokens, took: Duration, now: Moment) {
        let kept = number::decay(now.since(self.at), self.config.half_life);
        self.at = self.at.max(now);
        self.tokens = self.tokens * kept + number::float(tokens.0);
        self.busy = self.busy * kept + took.as_secs_f64();
    }

    /// Tokens a second that one busy slot serves. Measured while busy: the rate of answers would
    /// show the demand, not the capacity, as long as slots are idle.
    #[must_use]
    pub fn rate(&self) -> f64 {
        let rate = self.tokens / self.busy.max(f64::MIN_POSITIVE);
        if rate.is_finite() && rate > 0.0 {
            rate
        } else {
            self.config.initial_rate
        }
    }

    /// How long `tokens` hold a slot.
    #[must_use]
    pub fn run_time(&self, tokens: Tokens) -> Duration {
        number::seconds(number::float(tokens.0) / self.rate())
    }

    /// How long `work` takes on `slots`.
    #[must_use]
    pub fn drain_time(&self, work: Tokens, slots: u32) -> Duration {
        let rate = self.rate() * f64::from(slots.max(1));
        number::seconds(number::float(work.0) / rate)
    }

    /// Decides on a request that comes for the first time.
    #[must_use]
    pub fn decide(&mut self, demand: Demand, now: Moment, random: u64) -> Verdict {
        self.judge(demand, self.config.headroom, now, random)
    }

    /// Decides on a request that was refused before and comes back when it was told to. It may
    /// wait longer than a new one, so that the time it was given is kept; a caller's request id
    /// tells, at any node, that it was made a while ago.
    #[must_use]
    pub fn decide_returning(&mut self, demand: Demand, now: Moment, random: u64) -> Verdict {
        self.judge(demand, self.config.returning_headroom, now, random)
    }

    fn judge(&mut self, demand: Demand, headroom: f64, now: Moment, random: u64) -> Verdict {
        let whole = demand.deadline.since(now);
        let slack = whole.mul_f64(headroom).saturating_sub(demand.run_time);
        let wait = self.expected(demand);
        if wait <= slack && !whole.is_zero() {
            let start_by = now + whole.saturating_sub(demand.run_time);
            return Verdict::Admit { start_by };
        }
        let retry_after = self.promise(demand, wait.saturating_sub(slack), now, random);
        Verdict::Refuse { retry_after }
    }

    /// When a request that was given up on while it waited may come back: once the work that is
    /// still ahead of it has drained.
    #[must_use]
    pub fn retry_after(&mut self, demand: Demand, now: Moment, random: u64) -> Duration {
        let wait = self.expected(demand);
        self.promise(demand, wait, now, random)
    }

    /// Gives a time to come back that nobody else was given: the refused are called in one after
    /// the other, by the share of the drain that is kept for them. Told all the same, they would
    /// come all at once and be refused again.
    fn promise(&mut self, demand: Demand, wait: Duration, now: Moment, random: u64) -> Duration {
        let earliest = (now + wait.max(self.config.min_retry_after)).max(self.called);
        let latest = now + self.config.max_retry_after;
        let slots = f64::from(demand.slots.max(1)) * self.config.returning_share.max(0.01);
        let hold = number::seconds(demand.run_time.as_secs_f64() / slots);
        self.called = (earliest + hold).min(latest);
        self.after(earliest.min(latest).since(now), random)
    }

    fn expected(&self, demand: Demand) -> Duration {
        if demand.free > 0 && demand.ahead == Tokens::ZERO {
            return Duration::ZERO;
        }
        self.drain_time(demand.ahead, demand.slots)
    }

    fn after(&self, wait: Duration, random: u64) -> Duration {
        let spread = 1.0 + self.config.jitter * number::unit(random);
        number::seconds(wait.as_secs_f64() * spread).max(self.config.min_retry_after)
    }
}

//! Limits on retries, of two kinds: a [`Budget`], which the entry uses, and a [`Window`], which the
//! relay uses.
//!
//! When endpoints fail and each failed attempt becomes two or three, a pool that lost half its
//! capacity gets twice its load and does not recover. In a budget, each success adds a fraction of
//! a retry to the balance, and each retry withdraws one. There is one budget for each customer and
//! one for each pool, and both must cover the retry. Only repeatable requests are retried, at
//! another endpoint, within the deadline of the first attempt. A window allows as many retries as a
//! share of the requests in a sliding time, plus a constant.
//!
//! Retry budgets are those of Finagle's `RetryBudget` and of the SRE book's chapter on overload (10
//! to 20% of requests). The reserve lets customers with little traffic retry at all.

use std::time::Duration;

use pimento_units::Moment;

use crate::number;

/// Settings of a [`Budget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Retries that one success pays for.
    pub retries_per_success: f64,
    /// The largest balance, in retries.
    pub max_balance: f64,
    /// Retries added per second without any success, up to a balance of one.
    pub reserve_per_second: f64,
    /// Half-life of the balance above one, so that an hour of successes does not pay for a storm of
    /// retries.
    pub half_life: Duration,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            retries_per_success: 0.2,
            max_balance: 20.0,
            reserve_per_second: 0.1,
            half_life: Duration::from_secs(10),
        }
    }
}

/// A balance of retries that may be made.
#[derive(Debug, Clone)]
pub struct Budget {
    config: Config,
    balance: f64,
    /// When the balance was last updated.
    updated: Moment,
}

impl Budget {
    /// Creates a budget that holds one retry.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            config,
            balance: 1.0,
            updated: Moment::ZERO,
        }
    }

    /// Adds to the balance for a success.
    pub fn record_success(&mut self, now: Moment) {
        self.update(now);
        self.balance =
            (self.balance + self.config.retries_per_success).min(self.config.max_balance);
    }

    /// Whether the balance covers a retry or hedge now.
    #[must_use]
    pub fn can_withdraw(&self, now: Moment) -> bool {
        self.balance_at(now) >= 1.0
    }

    /// Withdraws one retry or hedge if the balance covers it, and returns whether it did.
    #[must_use]
    pub fn withdraw(&mut self, now: Moment) -> bool {
        self.update(now);
        let paid = self.balance >= 1.0;
        if paid {
            self.balance -= 1.0;
        }
        paid
    }

    /// Returns a retry that was withdrawn and not made.
    pub fn refund(&mut self) {
        self.balance = (self.balance + 1.0).min(self.config.max_balance);
    }

    fn update(&mut self, now: Moment) {
        self.balance = self.balance_at(now);
        self.updated = self.updated.max(now);
    }

    /// The part of the balance above one decays. The reserve fills the balance up to one. So
    /// idleness neither accumulates many retries nor leaves a customer with little traffic without
    /// its one retry.
    fn balance_at(&self, now: Moment) -> f64 {
        let age = now.since(self.updated);
        let above = (self.balance - 1.0).max(0.0) * number::decay(age, self.config.half_life);
        let below = self.balance.min(1.0) + self.config.reserve_per_second * age.as_secs_f64();
        above + below.min(1.0)
    }
}

/// Slices that a window is counted in. Requests and retries leave the window a slice at a time,
/// which errs by a twentieth of the window at most.
const SLICES: usize = 20;

/// Settings of a [`Window`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowConfig {
    /// Retries allowed per request.
    pub share: f64,
    /// Retries allowed in addition.
    pub extra: f64,
    /// Length of the window.
    pub span: Duration,
}

/// Limits retries, the calls beyond one for each request, by the number of requests in a sliding
/// window.
#[derive(Debug, Clone)]
pub struct Window {
    config: WindowConfig,
    /// Requests and retries in each slice.
    slices: [(u32, u32); SLICES],
    /// Number of the newest slice.
    newest: u64,
}

impl Window {
    /// Creates an empty window.
    #[must_use]
    pub const fn new(config: WindowConfig) -> Self {
        Self {
            config,
            slices: [(0, 0); SLICES],
            newest: 0,
        }
    }

    /// Sets how many retries are allowed in addition to the share.
    pub const fn set_extra(&mut self, extra: f64) {
        self.config.extra = extra;
    }

    /// Records a request.
    pub fn record_request(&mut self, now: Moment) {
        let index = self.advance(now);
        self.slices[index].0 = self.slices[index].0.saturating_add(1);
    }

    /// Retries that are still allowed; may be negative.
    #[must_use]
    pub fn remaining(&mut self, now: Moment) -> f64 {
        self.advance(now);
        let sums = self.slices.iter().fold((0.0, 0.0), |sums, slice| {
            (sums.0 + f64::from(slice.0), sums.1 + f64::from(slice.1))
        });
        let (requests, repeats) = sums;
        requests * self.config.share + self.config.extra - repeats
    }

    /// Whether a retry is allowed.
    #[must_use]
    pub fn can_acquire(&mut self, now: Moment) -> bool {
        self.remaining(now) >= 1.0
    }

    /// Records a retry if it is allowed, and returns whether it is.
    #[must_use]
    pub fn try_acquire(&mut self, now: Moment) -> bool {
        if !self.can_acquire(now) {
            return false;
        }
        let index = self.advance(now);
        self.slices[index].1 = self.slices[index].1.saturating_add(1);
        true
    }

    /// Advances to the current slice, clears the slices that left the window, and returns its
    /// index.
    fn advance(&mut self, now: Moment) -> usize {
        let length = self.config.span.as_nanos() / SLICES as u128;
        let length = u64::try_from(length).unwrap_or(u64::MAX).max(1);
        let number = now.nanos() / length;
        let passed = number.saturating_sub(self.newest).min(SLICES as u64);
        for step in 1..=passed {
            let index = (number - passed + step) % SLICES as u64;
            self.slices[usize::try_from(index).unwrap_or(0)] = (0, 0);
        }
        self.newest = self.newest.max(number);
        usize::try_from(self.newest % SLICES as u64).unwrap_or(0)
    }
}

/// A failed attempt, for the decision whether to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Whether the call may run twice, or certainly did not run.
    pub repeatable: bool,
    /// Attempts made so far, the failed one included.
    pub attempts: u32,
    /// How long another attempt is expected to take.
    pub run_time: Duration,
    /// When the whole answer must be complete.
    pub deadline: Moment,
}

/// Maximum number of attempts of one request. A third attempt gains little already: if two
/// endpoints fail a request, the third mostly fails for the same cause.
pub const MAX_ATTEMPTS: u32 = 3;

/// Decides whether a failed request is retried, and withdraws the retry from both budgets if so.
#[must_use]
pub fn try_retry(failure: Failure, customer: &mut Budget, pool: &mut Budget, now: Moment) -> bool {
    let useful = failure.repeatable
        && failure.attempts < MAX_ATTEMPTS
        && now + failure.run_time <= failure.deadline;
    if !useful || !customer.can_withdraw(now) {
        return false;
    }
    pool.withdraw(now) && customer.withdraw(now)
}

/// Whether an attempt that reached no endpoint, such as after a refused connection, may be repeated
/// at another one. It caused no work, so that repeating it can't multiply an overload and needs no
/// budget. When a zone is lost, the budgets would be empty after the first calls to each of its
/// endpoints, and callers would get errors although the other zones are healthy.
#[must_use]
pub fn can_retry_unsent(failure: Failure, now: Moment) -> bool {
    failure.attempts < MAX_ATTEMPTS && now + failure.run_time <= failure.deadline
}

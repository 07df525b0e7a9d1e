//! Retry budget: a retry is paid for by successes.
//!
//! **Load:** endpoints that fail. **Without it:** each failed attempt becomes two or three, so that
//! a pool that lost half its capacity gets twice its load and does not recover. **How:** each
//! success pays in a fraction of a retry; a retry takes out a whole one. One budget for each
//! customer and one for each endpoint's pool, both must agree. Only repeatable requests retry, at
//! another endpoint, within the deadline that the first attempt had.
//!
//! **Grounds:** retry budgets are Finagle's `RetryBudget` and the SRE book's chapter on overload
//! (10 to 20% of requests). The reserve lets quiet customers retry at all.

use std::time::Duration;

use pimento_units::Moment;

use crate::number;

/// Figures of a [`Budget`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Retries that one success pays for.
    pub retries_per_success: f64,
    /// The most retries saved up.
    pub max_balance: f64,
    /// Retries that come in a second without any success.
    pub reserve_per_second: f64,
    /// Half-life of what was saved up: an hour of successes must not pay for a storm of retries.
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

/// Retries that may still be made.
#[derive(Debug, Clone)]
pub struct Budget {
    config: Config,
    balance: f64,
    at: Moment,
}

impl Budget {
    /// A budget with one retry in it.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            config,
            balance: 1.0,
            at: Moment::ZERO,
        }
    }

    /// Pays in for a success.
    pub fn success(&mut self, now: Moment) {
        self.settle(now);
        self.balance =
            (self.balance + self.config.retries_per_success).min(self.config.max_balance);
    }

    /// Whether a retry or hedge could be paid for now.
    #[must_use]
    pub fn can_withdraw(&self, now: Moment) -> bool {
        self.balance_at(now) >= 1.0
    }

    /// Takes a retry or hedge out, if there is one.
    #[must_use]
    pub fn withdraw(&mut self, now: Moment) -> bool {
        self.settle(now);
        let paid = self.balance >= 1.0;
        if paid {
            self.balance -= 1.0;
        }
        paid
    }

    /// Puts back a retry that was taken out and not made.
    pub fn refund(&mut self) {
        self.balance = (self.balance + 1.0).min(self.config.max_balance);
    }

    fn settle(&mut self, now: Moment) {
        self.balance = self.balance_at(now);
        self.at = self.at.max(now);
    }

    /// Savings above one retry decay; the reserve drips in up to one, so that idleness neither
    /// saves up a storm nor leaves a quiet customer without its one retry.
    fn balance_at(&self, now: Moment) -> f64 {
        let age = now.since(self.at);
        let above = (self.balance - 1.0).max(0.0) * number::decay(age, self.config.half_life);
        let below = self.balance.min(1.0) + self.config.reserve_per_second * age.as_secs_f64();
        above + below.min(1.0)
    }
}

/// Pieces that a window is counted in. Requests and repeats leave it a piece at a time; counting in
/// twenty errs by a twentieth.
const PIECES: usize = 20;

/// Figures of a [`Window`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WindowConfig {
    /// Repeats for each request.
    pub share: f64,
    /// Repeats beyond those.
    pub extra: f64,
    /// The window that both are counted in.
    pub span: Duration,
}

/// Requests and repeats of a sliding window.
#[derive(Debug, Clone)]
pub struct Window {
    config: WindowConfig,
    /// Requests and repeats of each piece.
    pieces: [(u32, u32); PIECES],
    /// Number of the newest piece.
    newest: u64,
}

impl Window {
    /// An empty window.
    #[must_use]
    pub const fn new(config: WindowConfig) -> Self {
        Self {
            config,
            pieces: [(0, 0); PIECES],
            newest: 0,
        }
    }

    /// Sets how many repeats are allowed beyond the share.
    pub const fn set_extra(&mut self, extra: f64) {
        self.config.extra = extra;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Moment) {
        let place = self.turn(now);
        self.pieces[place].0 = self.pieces[place].0.saturating_add(1);
    }

    /// Repeats that are within the bound.
    #[must_use]
    pub fn remaining(&mut self, now: Moment) -> f64 {
        self.turn(now);
        let sums = self.pieces.iter().fold((0.0, 0.0), |sums, piece| {
            (sums.0 + f64::from(piece.0), sums.1 + f64::from(piece.1))
        });
        let (requests, repeats) = sums;
        requests * self.config.share + self.config.extra - repeats
    }

    /// Whether a repeat is within the bound.
    #[must_use]
    pub fn can_acquire(&mut self, now: Moment) -> bool {
        self.remaining(now) >= 1.0
    }

    /// Takes a repeat, if it is within the bound.
    #[must_use]
    pub fn try_acquire(&mut self, now: Moment) -> bool {
        if !self.can_acquire(now) {
            return false;
        }
        let place = self.turn(now);
        self.pieces[place].1 = self.pieces[place].1.saturating_add(1);
        true
    }

    /// Moves on to the present piece.
    fn turn(&mut self, now: Moment) -> usize {
        let length = self.config.span.as_nanos() / PIECES as u128;
        let length = u64::try_from(length).unwrap_or(u64::MAX).max(1);
        let number = now.nanos() / length;
        let passed = number.saturating_sub(self.newest).min(PIECES as u64);
        for step in 1..=passed {
            let place = (number - passed + step) % PIECES as u64;
            self.pieces[usize::try_from(place).unwrap_or(0)] = (0, 0);
        }
        self.newest = self.newest.max(number);
        usize::try_from(self.newest % PIECES as u64).unwrap_or(0)
    }
}

/// What a failed attempt leaves to decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Failure {
    /// Whether the call may run twice, or certainly did not run.
    pub repeatable: bool,
    /// Attempts made so far, the failed one included.
    pub attempts: u32,
    /// How long another attempt is expected to take.
    pub run_time: Duration,
    /// When the whole answer must be there.
    pub deadline: Moment,
}

/// The most attempts of one request. The third gains little: two endpoints failing one request
/// mostly fail for a cause that the third one shares.
pub const MAX_ATTEMPTS: u32 = 3;

/// Whether a failed request is tried again; takes a retry out of both budgets if so.
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

/// Whether an attempt that reached no endpoint, such as a refused connection, is made again
/// elsewhere. It gave nobody any work, so that it can't multiply an overload, and no budget pays
/// for it: when a zone is lost, a budget is empty after the first calls to each of its endpoints,
/// and callers would get errors while the other zones are well.
#[must_use]
pub fn can_retry_unsent(failure: Failure, now: Moment) -> bool {
    failure.attempts < MAX_ATTEMPTS && now + failure.run_time <= failure.deadline
}

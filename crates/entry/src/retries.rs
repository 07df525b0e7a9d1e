//! Retry budgets of customers and pools, and how long answers take until their first piece.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_policy::hedge;
use pimento_policy::retry;
use pimento_units::Moment;
use pimento_units::id;

/// All budgets and tails of a node. Bounded by contracts and pools.
#[derive(Debug, Default)]
pub struct Tracker {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Sorted by customer.
    customers: Vec<(id::Customer, retry::Budget)>,
    /// Sorted by pool.
    pools: Vec<(id::Pool, retry::Budget)>,
    /// Sorted by version; versions differ in speed.
    tails: Vec<(id::Version, hedge::LatencyHistogram)>,
}

fn entry<'a, K: Ord + Clone, V>(
    entries: &'a mut Vec<(K, V)>,
    key: &K,
    new: impl FnOnce() -> V,
) -> &'a mut V {
    let place = entries.binary_search_by(|(known, _)| known.cmp(key));
    let place = place.unwrap_or_else(|place| {
        entries.insert(place, (key.clone(), new()));
        place
    });
    &mut entries[place].1
}

fn budget() -> retry::Budget {
    retry::Budget::new(retry::Config::default())
}

impl Tracker {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a failed request is tried again; takes it out of both budgets if so.
    pub fn try_retry(
        &self,
        customer: &id::Customer,
        pool: &id::Pool,
        failure: retry::Failure,
        now: Moment,
    ) -> bool {
        let inner = &mut *self.lock();
        let customer = entry(&mut inner.customers, customer, budget);
        let pool = entry(&mut inner.pools, pool, budget);
        retry::try_retry(failure, customer, pool, now)
    }

    /// Takes a hedge, or a retry for an attempt that is about to be given up, out of both budgets, if
    /// they have it.
    pub fn try_hedge(&self, customer: &id::Customer, pool: &id::Pool, now: Moment) -> bool {
        let inner = &mut *self.lock();
        let customer = entry(&mut inner.customers, customer, budget);
        let pool = entry(&mut inner.pools, pool, budget);
        customer.can_withdraw(now) && pool.withdraw(now) && customer.withdraw(now)
    }

    /// Pays in for a success.
    pub fn record_success(&self, customer: &id::Customer, pool: &id::Pool, now: Moment) {
        let inner = &mut *self.lock();
        entry(&mut inner.customers, customer, budget).success(now);
        entry(&mut inner.pools, pool, budget).success(now);
    }

    /// How long to wait for a first piece before a second attempt.
    #[must_use]
    pub fn hedge_delay(&self, version: &id::Version, attempt: hedge::Attempt) -> Option<Duration> {
        let inner = &mut *self.lock();
        let tail = entry(&mut inner.tails, version, hedge::LatencyHistogram::default);
        hedge::delay(tail, attempt)
    }

    /// How long an attempt may go without a first piece before it is given up, if that is paid for.
    #[must_use]
    pub fn first_token_timeout(&self, version: &id::Version) -> Option<Duration> {
        let inner = &mut *self.lock();
        let tail = entry(&mut inner.tails, version, hedge::LatencyHistogram::default);
        hedge::first_token_timeout(tail)
    }

    /// Learns how long a first piece took.
    pub fn record_first_token(&self, version: &id::Version, took: Duration, now: Moment) {
        let inner = &mut *self.lock();
        entry(&mut inner.tails, version, hedge::LatencyHistogram::default).record(took, now);
    }
}

//! Retry budgets of customers and pools, and the latencies of first tokens.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_policy::hedge;
use pimento_policy::retry;
use pimento_units::Moment;
use pimento_units::id;

/// Retry budgets and first-token latencies of a node. Bounded by the number of contracts, pools and versions.
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
    /// First-token latencies, sorted by version; versions differ in speed.
    latencies: Vec<(id::Version, hedge::LatencyHistogram)>,
}

fn entry<'a, K: Ord + Clone, V>(
    entries: &'a mut Vec<(K, V)>,
    key: &K,
    create: impl FnOnce() -> V,
) -> &'a mut V {
    let index = entries.binary_search_by(|(known, _)| known.cmp(key));
    let index = index.unwrap_or_else(|index| {
        entries.insert(index, (key.clone(), create()));
        index
    });
    &mut entries[index].1
}

fn new_budget() -> retry::Budget {
    retry::Budget::new(retry::Config::default())
}

impl Tracker {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether to retry a failed request. If so, withdraws the retry from both budgets.
    pub fn try_retry(
        &self,
        customer: &id::Customer,
        pool: &id::Pool,
        failure: retry::Failure,
        now: Moment,
    ) -> bool {
        let inner = &mut *self.lock();
        let customer = entry(&mut inner.customers, customer, new_budget);
        let pool = entry(&mut inner.pools, pool, new_budget);
        retry::try_retry(failure, customer, pool, now)
    }

    /// Charges both budgets for a hedge, or for the retry of an attempt that is about to be abandoned. Returns
    /// false and charges nothing if either is exhausted.
    pub fn try_withdraw(&self, customer: &id::Customer, pool: &id::Pool, now: Moment) -> bool {
        let inner = &mut *self.lock();
        let customer = entry(&mut inner.customers, customer, new_budget);
        let pool = entry(&mut inner.pools, pool, new_budget);
        customer.can_withdraw(now) && pool.withdraw(now) && customer.withdraw(now)
    }

    /// Credits both budgets for a success.
    pub fn record_success(&self, customer: &id::Customer, pool: &id::Pool, now: Moment) {
        let inner = &mut *self.lock();
        entry(&mut inner.customers, customer, new_budget).record_success(now);
        entry(&mut inner.pools, pool, new_budget).record_success(now);
    }

    /// How long to wait for the first token before a hedge; none if there is to be no hedge.
    #[must_use]
    pub fn hedge_delay(&self, version: &id::Version, attempt: hedge::Attempt) -> Option<Duration> {
        let inner = &mut *self.lock();
        let latencies = entry(
            &mut inner.latencies,
            version,
            hedge::LatencyHistogram::default,
        );
        hedge::delay(latencies, attempt)
    }

    /// How long an attempt may take until its first token before it is abandoned, if the retry budgets allow
    /// another attempt.
    #[must_use]
    pub fn first_token_timeout(&self, version: &id::Version) -> Option<Duration> {
        let inner = &mut *self.lock();
        let latencies = entry(
            &mut inner.latencies,
            version,
            hedge::LatencyHistogram::default,
        );
        hedge::first_token_timeout(latencies)
    }

    /// Records the latency of a first token.
    pub fn record_first_token(&self, version: &id::Version, latency: Duration, now: Moment) {
        let inner = &mut *self.lock();
        entry(
            &mut inner.latencies,
            version,
            hedge::LatencyHistogram::default,
        )
        .record(latency, now);
    }
}

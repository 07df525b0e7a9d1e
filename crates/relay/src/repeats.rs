//! The budget of repeats: this VM's part of what all VMs may send beyond one call for each request.

use std::sync::Mutex;
use std::sync::PoisonError;

use pimento_policy::retry;
use pimento_units::Moment;
use pimento_units::id;

use crate::config::Retry;

/// Part of the share that is used. Calls of one window may be counted against the requests of a
/// neighbouring one, and a request that is still on its way counts for the VM before it does for
/// its endpoint.
const USED: f64 = 0.85;

/// VMs that the extra repeats are divided among, as long as their number is not known. More VMs
/// than this together hold less than the extra, since each is left with at least one.
const VMS: u32 = 24;

/// The budgets of all pools.
#[derive(Debug)]
pub struct Repeats {
    config: retry::Config,
    /// Sorted by pool.
    budgets: Mutex<Vec<(id::Pool, retry::Budget)>>,
}

impl Repeats {
    /// Budgets by the bounds that all VMs keep together.
    #[must_use]
    pub fn new(bounds: Retry) -> Self {
        let config = retry::Config {
            share: bounds.share * USED,
            cap: f64::from((bounds.extra / VMS).max(1)),
            reserve: 0.0,
            memory: bounds.window,
        };
        Self {
            config,
            budgets: Mutex::default(),
        }
    }

    fn with<T>(&self, pool: &id::Pool, act: impl FnOnce(&mut retry::Budget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let place = budgets.binary_search_by(|(known, _)| known.cmp(pool));
        let place = place.unwrap_or_else(|place| {
            let budget = retry::Budget::new(self.config);
            budgets.insert(place, (pool.clone(), budget));
            place
        });
        act(&mut budgets[place].1)
    }

    /// Counts a request.
    pub fn arrived(&self, pool: &id::Pool, now: Moment) {
        self.with(pool, |budget| budget.success(now));
    }

    /// Takes a repeat out, if there is one.
    #[must_use]
    pub fn take(&self, pool: &id::Pool, now: Moment) -> bool {
        self.with(pool, |budget| budget.withdraw(now))
    }

    /// Whether a repeat could be paid for.
    #[must_use]
    pub fn affords(&self, pool: &id::Pool, now: Moment) -> bool {
        self.with(pool, |budget| budget.affords(now))
    }
}

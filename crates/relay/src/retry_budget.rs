//! Retry budgets: this VM's share of the calls that all VMs may make beyond one for each request.

use std::sync::Mutex;
use std::sync::PoisonError;

use pimento_policy::retry::Window;
use pimento_policy::retry::WindowConfig;
use pimento_units::Moment;
use pimento_units::id;

use crate::config::RetryBudget;

/// Fraction of the budget that is used. The VM counts a request when it receives it, but the endpoint
/// counts it on arrival there, which may be in the next window. A retry may arrive late as well.
const USABLE_FRACTION: f64 = 0.85;

/// Minimum number of VMs by which the extra retries are divided. A VM that has not discovered the others
/// yet must not use their shares.
const MIN_VMS: usize = 8;

/// The retry budgets of all pools.
#[derive(Debug)]
pub struct RetryBudgets {
    config: RetryBudget,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// This VM's share of the extra retries.
    extra: f64,
    /// Sorted by pool.
    windows: Vec<(id::Pool, Window)>,
}

impl RetryBudgets {
    /// Creates the budgets from the limits that apply to all VMs together.
    #[must_use]
    pub fn new(config: RetryBudget) -> Self {
        let state = State {
            extra: own_share(config.extra, 0),
            windows: Vec::new(),
        };
        Self {
            config,
            state: Mutex::new(state),
        }
    }

    fn with<T>(&self, pool: &id::Pool, act: impl FnOnce(&mut Window) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let extra = state.extra;
        let found = state.windows.binary_search_by(|(known, _)| known.cmp(pool));
        let index = found.unwrap_or_else(|index| {
            let config = WindowConfig {
                share: self.config.ratio * USABLE_FRACTION,
                extra,
                span: self.config.window,
            };
            state
                .windows
                .insert(index, (pool.clone(), Window::new(config)));
            index
        });
        let window = &mut state.windows[index].1;
        window.set_extra(extra);
        act(window)
    }

    /// Sets the number of known VMs, including this one.
    pub fn set_vms(&self, vms: usize) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.extra = own_share(self.config.extra, vms);
    }

    /// Counts a request, which raises the budget of its pool.
    pub fn count_request(&self, pool: &id::Pool, now: Moment) {
        self.with(pool, |window| window.record_request(now));
    }

    /// Consumes one retry. Returns false if the budget is exhausted.
    #[must_use]
    pub fn try_acquire(&self, pool: &id::Pool, now: Moment) -> bool {
        self.with(pool, |window| window.try_acquire(now))
    }

    /// Retries that are left, by pool.
    #[must_use]
    pub fn remaining(&self, now: Moment) -> Vec<(id::Pool, f64)> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let windows = state.windows.iter_mut();
        windows
            .map(|(pool, window)| (pool.clone(), window.remaining(now)))
            .collect()
    }

    /// Whether the budget has a retry left.
    #[must_use]
    pub fn can_acquire(&self, pool: &id::Pool, now: Moment) -> bool {
        self.with(pool, |window| window.can_acquire(now))
    }
}

/// This VM's usable share of the extra retries.
fn own_share(extra: u32, vms: usize) -> f64 {
    let vms = u32::try_from(vms.max(MIN_VMS)).unwrap_or(u32::MAX);
    f64::from(extra) * USABLE_FRACTION / f64::from(vms)
}

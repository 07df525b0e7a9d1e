//! The budget of repeats: this VM's part of what all VMs may send beyond one call for each request.

use std::sync::Mutex;
use std::sync::PoisonError;

use pimento_policy::retry::Window;
use pimento_policy::retry::WindowConfig;
use pimento_units::Moment;
use pimento_units::id;

use crate::config::RetryBudget;

/// Part of the share and of the extra that is used. A request counts here when it comes and at its
/// endpoint when it arrives there, which may be in the next window; a repeat that was sent may arrive
/// late as well.
const USED: f64 = 0.85;

/// VMs that the extra repeats are divided among at least. A VM that has met none of the others yet
/// must not take what is theirs.
const VMS: usize = 8;

/// The budgets of all pools.
#[derive(Debug)]
pub struct RetryBudgets {
    config: RetryBudget,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    /// Repeats beyond the share that are this VM's.
    extra: f64,
    /// Sorted by pool.
    windows: Vec<(id::Pool, Window)>,
}

impl RetryBudgets {
    /// Budgets by the bounds that all VMs keep together.
    #[must_use]
    pub fn new(config: RetryBudget) -> Self {
        let state = State {
            extra: part(config.extra, 0),
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
        let place = found.unwrap_or_else(|place| {
            let config = WindowConfig {
                share: self.config.ratio * USED,
                extra,
                span: self.config.window,
            };
            state
                .windows
                .insert(place, (pool.clone(), Window::new(config)));
            place
        });
        let window = &mut state.windows[place].1;
        window.set_extra(extra);
        act(window)
    }

    /// Takes the number of VMs that are known.
    pub fn set_vms(&self, vms: usize) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.extra = part(self.config.extra, vms);
    }

    /// Counts a request.
    pub fn arrived(&self, pool: &id::Pool, now: Moment) {
        self.with(pool, |window| window.record_request(now));
    }

    /// Takes a repeat out, if there is one.
    #[must_use]
    pub fn take(&self, pool: &id::Pool, now: Moment) -> bool {
        self.with(pool, |window| window.try_acquire(now))
    }

    /// Repeats that are left, by pool.
    #[must_use]
    pub fn left(&self, now: Moment) -> Vec<(id::Pool, f64)> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let windows = state.windows.iter_mut();
        windows
            .map(|(pool, window)| (pool.clone(), window.remaining(now)))
            .collect()
    }

    /// Whether a repeat could be paid for.
    #[must_use]
    pub fn affords(&self, pool: &id::Pool, now: Moment) -> bool {
        self.with(pool, |window| window.can_acquire(now))
    }
}

/// This VM's part of the extra repeats.
fn part(extra: u32, vms: usize) -> f64 {
    let vms = u32::try_from(vms.max(VMS)).unwrap_or(u32::MAX);
    f64::from(extra) * USED / f64::from(vms)
}

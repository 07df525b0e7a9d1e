//! Loans between VMs of their shares of what a pool's endpoints take.

use std::time::Duration;

use pimento_policy::loan::Lent;
use pimento_units::Moment;

use super::Pool;

impl Pool {
    /// Returns the calls per second that this VM wants beyond its own shares, to tell the other VMs.
    #[must_use]
    pub fn want(&self) -> f64 {
        let now = self.shared.clock.now();
        self.shared.lock().want(now)
    }

    /// Records what another VM wants, which it asked for at `asked`, by its own clock. `vm` is the hash of its
    /// name.
    pub fn record_want(&self, vm: u64, rate: f64, asked: Moment) {
        let now = self.shared.clock.now();
        self.shared.lock().record_want(vm, rate, asked, now);
    }

    /// Lends to a VM what it may have of this VM's shares. The VM must be told.
    #[must_use]
    pub fn lend(&self, vm: u64) -> Option<Lent> {
        let now = self.shared.clock.now();
        let lent = self.shared.lock().lend(vm, now);
        if lent.is_some() {
            self.shared.shares_shrank.notify_waiters();
        }
        lent
    }

    /// Records a loan of another VM, a part of its shares from 0 to 1, which lasts for `term`.
    pub fn borrow(&self, vm: u64, part: f64, term: Duration) {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        state.borrow(vm, part, term, now);
        state.dispatch_waiting(&self.shared, now);
    }
}

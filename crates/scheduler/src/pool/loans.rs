//! Loans between VMs of their shares of what a pool's endpoints take.

use super::Pool;

impl Pool {
    /// Returns the calls per second that this VM wants beyond its own shares, to tell the other VMs.
    #[must_use]
    pub fn want(&self) -> f64 {
        let now = self.shared.clock.now();
        self.shared.lock().want(now)
    }

    /// Records what another VM wants. `vm` is the hash of its name.
    pub fn record_want(&self, vm: u64, rate: f64) {
        let now = self.shared.clock.now();
        self.shared.lock().record_want(vm, rate, now);
    }

    /// Lends to a VM what it may have of this VM's shares. Returns the part lent, from 0 to 1, which the VM
    /// must be told.
    #[must_use]
    pub fn lend(&self, vm: u64) -> Option<f64> {
        let now = self.shared.clock.now();
        let part = self.shared.lock().lend(vm, now);
        if part.is_some() {
            self.shared.shares_shrank.notify_waiters();
        }
        part
    }

    /// Records a loan of another VM.
    pub fn borrow(&self, vm: u64, part: f64) {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        state.borrow(vm, part, now);
        state.dispatch_waiting(&self.shared, now);
    }
}

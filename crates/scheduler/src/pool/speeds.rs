//! Speeds of a pool's engines, as VMs tell each other.

use pimento_units::id;

use super::Pool;
use crate::pool_state::speeds::Report;
use crate::pool_state::speeds::Spread;

impl Pool {
    /// Returns this VM's samples of engines' speeds since the last call, to report to other VMs: those of at most
    /// `most` engines. The others stay for the next call.
    #[must_use]
    pub fn take_speeds(&self, most: usize) -> Vec<Report> {
        let now = self.shared.clock.now();
        self.shared.lock().take_speeds(most, now)
    }

    /// Merges another VM's samples of an engine's speed.
    pub fn merge_speed(&self, report: Report) {
        let now = self.shared.clock.now();
        self.shared.lock().merge_speed(report, now);
    }

    /// Returns by how much the engines differ in speed if they began to, or no longer do, since the last call; at
    /// most once a minute.
    #[must_use]
    pub fn take_speed_change(&self) -> Option<Spread> {
        let now = self.shared.clock.now();
        self.shared.lock().take_speed_change(now)
    }

    /// Returns the factor by which an engine takes longer than the pool's median engine. It is 1 unless the
    /// engines are known to differ.
    #[must_use]
    pub fn speed_factor(&self, endpoint: &id::Endpoint) -> f64 {
        self.shared.lock().speed_factor(endpoint)
    }
}

//! The metrics of a pool, with their names.

use crate::pool_state::speeds::Spread;

/// Metrics of a pool: its jobs, slots and endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolMetrics {
    /// Waiting jobs.
    pub waiting: usize,
    /// Calls in flight from this node.
    pub in_flight: u32,
    /// Sum of the endpoints' limits.
    pub slots: u32,
    /// Ejected endpoints.
    pub ejected: usize,
    /// Usable endpoints.
    pub usable: usize,
    /// Usable endpoints that named a limit.
    pub limited: usize,
    /// Usable endpoints that say that they are brittle.
    pub brittle: usize,
    /// Usable endpoints that are cold.
    pub cold: usize,
    /// By how much its engines are known to differ in speed.
    pub speeds: Spread,
}

impl PoolMetrics {
    /// Returns the values with their names in metrics.
    #[must_use]
    pub fn figures(&self) -> [(&'static str, u64); 10] {
        let count = |count| u64::try_from(count).unwrap_or(u64::MAX);
        [
            ("waiting", count(self.waiting)),
            ("flying", u64::from(self.in_flight)),
            ("slots", u64::from(self.slots)),
            ("usable", count(self.usable)),
            ("ejected", count(self.ejected)),
            ("limited", count(self.limited)),
            ("brittle", count(self.brittle)),
            ("cold", count(self.cold)),
            ("speeds_known", count(self.speeds.known)),
            ("speed_spread", u64::from(self.speeds.percent)),
        ]
    }
}

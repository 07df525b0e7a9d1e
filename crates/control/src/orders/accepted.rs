//! Orders that engines accepted. A load report measured before an order was accepted does not cause
//! the order to be sent again.

use pimento_units::id;
use pimento_wire::engine::Load;
use tokio::time::Instant;

/// Accepted orders, sorted by endpoint.
#[derive(Debug, Default)]
pub(super) struct Accepted(Vec<Entry>);

#[derive(Debug)]
struct Entry {
    endpoint: id::Endpoint,
    incarnation: u64,
    accepted_at: Instant,
    versions: Vec<id::Version>,
}

impl Accepted {
    /// Whether an engine needs no order to hold `versions`: it reports that it holds them, or it
    /// accepted this order and its report is older. If a report from after the order differs,
    /// another holder's order came later or the engine lost a version.
    pub(super) fn is_satisfied(
        &self,
        load: &Load,
        measured_at: Instant,
        versions: &[id::Version],
    ) -> bool {
        let entry = self.position(&load.endpoint).ok().map(|at| &self.0[at]);
        let entry = entry.filter(|entry| entry.incarnation == load.incarnation);
        match entry {
            Some(entry) if measured_at <= entry.accepted_at => entry.versions == versions,
            _ => load.versions == versions,
        }
    }

    /// Records an accepted order. Loading takes an engine a while, so a report measured until its
    /// response may not show the result of the order.
    pub(super) fn record(&mut self, load: &Load, accepted_at: Instant, versions: Vec<id::Version>) {
        let entry = Entry {
            endpoint: load.endpoint.clone(),
            incarnation: load.incarnation,
            accepted_at,
            versions,
        };
        match self.position(&load.endpoint) {
            Ok(at) => self.0[at] = entry,
            Err(at) => self.0.insert(at, entry),
        }
    }

    fn position(&self, endpoint: &id::Endpoint) -> Result<usize, usize> {
        self.0
            .binary_search_by(|entry| entry.endpoint.cmp(endpoint))
    }
}

//! Orders that engines accepted, so that a report from before the order does not repeat it.

use pimento_units::id;
use pimento_wire::engine::Load;
use tokio::time::Instant;

/// Accepted orders, sorted by endpoint.
#[derive(Debug, Default)]
pub(super) struct Sent(Vec<Entry>);

#[derive(Debug)]
struct Entry {
    endpoint: id::Endpoint,
    incarnation: u64,
    answered: Instant,
    versions: Vec<id::Version>,
}

impl Sent {
    /// Whether an engine needs no order to hold `versions`: it says that it holds them, or it
    /// accepted just that order and its report is older. A report from after the order that says
    /// otherwise means that someone else's order came later, or that the engine lost a version.
    pub(super) fn settled(&self, load: &Load, measured: Instant, versions: &[id::Version]) -> bool {
        let entry = self.place(&load.endpoint).ok().map(|at| &self.0[at]);
        let entry = entry.filter(|entry| entry.incarnation == load.incarnation);
        match entry {
            Some(entry) if measured <= entry.answered => entry.versions == versions,
            _ => load.versions == versions,
        }
    }

    /// Notes an accepted order. Loading takes an engine a while, and what it reports until its answer
    /// may be from before.
    pub(super) fn note(&mut self, load: &Load, answered: Instant, versions: Vec<id::Version>) {
        let entry = Entry {
            endpoint: load.endpoint.clone(),
            incarnation: load.incarnation,
            answered,
            versions,
        };
        match self.place(&load.endpoint) {
            Ok(at) => self.0[at] = entry,
            Err(at) => self.0.insert(at, entry),
        }
    }

    fn place(&self, endpoint: &id::Endpoint) -> Result<usize, usize> {
        self.0
            .binary_search_by(|entry| entry.endpoint.cmp(endpoint))
    }
}

//! Runs whose connections broke, until it is known whether their endpoints crashed. A run is one execution of a
//! request at an endpoint.

use pimento_units::Digest;

use super::Crash;

/// Crashes that are remembered for runs whose connections break a little later than the first one.
const MAX_CRASHES: usize = 64;

/// What the caller does about a broken run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Count it: its endpoint is known to have crashed.
    Count,
    /// Find out whether its endpoint crashed, and report that with [`BrokenRuns::resolve`].
    Probe,
    /// Nothing: another run's probe of the endpoint is in progress.
    Wait,
}

/// Runs whose connections broke. All runs at an endpoint break at the same time, and one probe of the
/// endpoint settles them all.
#[derive(Debug, Clone, Default)]
pub struct BrokenRuns {
    /// Endpoints that are being probed, with the requests that ran there.
    pending: Vec<(Crash, Vec<Digest>)>,
    /// The most recent crashes.
    crashes: Vec<Crash>,
}

impl BrokenRuns {
    /// Records a run whose connection broke.
    pub fn record(&mut self, digest: Digest, crash: Crash) -> Action {
        if self.crashes.contains(&crash) {
            return Action::Count;
        }
        if let Some((_, digests)) = self.pending.iter_mut().find(|(known, _)| *known == crash) {
            digests.push(digest);
            return Action::Wait;
        }
        self.pending.push((crash, vec![digest]));
        Action::Probe
    }

    /// Records whether the endpoint crashed, and returns the requests that ran there.
    pub fn resolve(&mut self, crash: Crash, crashed: bool) -> Vec<Digest> {
        // Without an incarnation, a run that breaks later may belong to the endpoint's next incarnation.
        if crashed && crash.incarnation.is_some() {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.remove(0);
            }
            self.crashes.push(crash);
        }
        let index = self.pending.iter().position(|(known, _)| *known == crash);
        let digests = index.map(|index| self.pending.swap_remove(index).1);
        digests.unwrap_or_default()
    }
}

//! Runs whose connections broke, until it is known whether their endpoints crashed. A run is one execution of a
//! request at an endpoint.

use super::Crash;

/// Crashes that are remembered for runs whose connections break a little later than the first one.
const MAX_CRASHES: usize = 64;

/// What the caller does about a broken run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action<R> {
    /// Count this run: its endpoint is known to have crashed.
    Count(R),
    /// Find out whether its endpoint crashed, and report that with [`BrokenRuns::resolve`].
    Probe,
    /// Nothing: another run's probe of the endpoint is in progress.
    Wait,
}

/// Runs whose connections broke. All runs at an endpoint break at the same time, and one probe of the
/// endpoint settles them all.
#[derive(Debug, Clone)]
pub struct BrokenRuns<R> {
    /// Endpoints that are being probed, with the runs that broke there.
    pending: Vec<(Crash, Vec<R>)>,
    /// The most recent crashes.
    crashes: Vec<Crash>,
}

impl<R> Default for BrokenRuns<R> {
    fn default() -> Self {
        Self {
            pending: Vec::new(),
            crashes: Vec::new(),
        }
    }
}

impl<R> BrokenRuns<R> {
    /// Records a run whose connection broke.
    pub fn record(&mut self, run: R, crash: Crash) -> Action<R> {
        if self.crashes.contains(&crash) {
            return Action::Count(run);
        }
        if let Some((_, runs)) = self.pending.iter_mut().find(|(known, _)| *known == crash) {
            runs.push(run);
            return Action::Wait;
        }
        self.pending.push((crash, vec![run]));
        Action::Probe
    }

    /// Records whether the endpoint crashed, and returns the runs that broke there.
    pub fn resolve(&mut self, crash: Crash, crashed: bool) -> Vec<R> {
        // Without an incarnation, a run that breaks later may belong to the endpoint's next incarnation.
        if crashed && crash.incarnation.is_some() {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.remove(0);
            }
            self.crashes.push(crash);
        }
        let index = self.pending.iter().position(|(known, _)| *known == crash);
        let runs = index.map(|index| self.pending.swap_remove(index).1);
        runs.unwrap_or_default()
    }
}

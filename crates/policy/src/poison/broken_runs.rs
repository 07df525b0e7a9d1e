//! Runs that broke off, until it is known whether their endpoints ended.

use pimento_units::Digest;

use super::Crash;

/// Ends that are remembered, for runs whose connections break a little later than the first.
const MAX_CRASHES: usize = 64;

/// What to do about a run that broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// To count it: its endpoint is known to have ended.
    Count,
    /// To look whether its endpoint has ended, and to say so by [`BrokenRuns::resolve`].
    Probe,
    /// Nothing: another look is under way.
    Wait,
}

/// Runs that broke off. Whatever ran at an endpoint breaks off in the same moment, and one look tells
/// for all.
#[derive(Debug, Clone, Default)]
pub struct BrokenRuns {
    /// What ran at the endpoints that are looked at.
    pending: Vec<(Crash, Vec<Digest>)>,
    /// The last ends.
    crashes: Vec<Crash>,
}

impl BrokenRuns {
    /// A run broke off at an endpoint.
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

    /// Whether the endpoint turned out to have ended; gives what ran there.
    pub fn resolve(&mut self, crash: Crash, crashed: bool) -> Vec<Digest> {
        // What breaks off later at an endpoint that does not tell its lives apart may be of the next.
        if crashed && crash.incarnation.is_some() {
            if self.crashes.len() >= MAX_CRASHES {
                self.crashes.remove(0);
            }
            self.crashes.push(crash);
        }
        let place = self.pending.iter().position(|(known, _)| *known == crash);
        let digests = place.map(|place| self.pending.swap_remove(place).1);
        digests.unwrap_or_default()
    }
}

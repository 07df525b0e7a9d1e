//! Runs that broke off, until it is known whether their endpoints ended.

use pimento_units::Digest;

use super::Crash;

/// Ends that are remembered, for runs whose connections break a little later than the first.
const ENDS: usize = 64;

/// What to do about a run that broke off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// To count it: its endpoint is known to have ended.
    Count,
    /// To look whether its endpoint has ended, and to say so by [`Breaks::looked`].
    Look,
    /// Nothing: another look is under way.
    Wait,
}

/// Runs that broke off. Whatever ran at an endpoint breaks off in the same moment, and one look tells
/// for all.
#[derive(Debug, Clone, Default)]
pub struct Breaks {
    /// What ran at the endpoints that are looked at.
    broken: Vec<(Crash, Vec<Digest>)>,
    /// The last ends.
    ended: Vec<Crash>,
}

impl Breaks {
    /// A run broke off at an endpoint.
    pub fn broke(&mut self, digest: Digest, crash: Crash) -> Step {
        if self.ended.contains(&crash) {
            return Step::Count;
        }
        if let Some((_, digests)) = self.broken.iter_mut().find(|(known, _)| *known == crash) {
            digests.push(digest);
            return Step::Wait;
        }
        self.broken.push((crash, vec![digest]));
        Step::Look
    }

    /// Whether the endpoint turned out to have ended; gives what ran there.
    pub fn looked(&mut self, crash: Crash, ended: bool) -> Vec<Digest> {
        // What breaks off later at an endpoint that does not tell its lives apart may be of the next.
        if ended && crash.life.is_some() {
            if self.ended.len() >= ENDS {
                self.ended.remove(0);
            }
            self.ended.push(crash);
        }
        let place = self.broken.iter().position(|(known, _)| *known == crash);
        let digests = place.map(|place| self.broken.swap_remove(place).1);
        digests.unwrap_or_default()
    }
}

//! The version that each session used last, for as long as its requests belong together.

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::id;

/// A session that was seen lately.
#[derive(Debug)]
struct Seen {
    session: u64,
    version: id::Version,
    /// When its last request ended, or begins while it runs.
    at: Moment,
}

/// Sessions that were seen lately, sorted by session.
#[derive(Debug)]
pub struct Sessions {
    seen: Vec<Seen>,
    life: Duration,
    swept: Moment,
}

/// How often the sessions that are over are forgotten; between two sweeps they cost memory only.
const SWEEP: Duration = Duration::from_secs(2);

impl Sessions {
    /// No session yet; one is over after `life` without a request.
    #[must_use]
    pub const fn new(life: Duration) -> Self {
        Self {
            seen: Vec::new(),
            life,
            swept: Moment::ZERO,
        }
    }

    /// The version that a session used last; none if it is new or over.
    #[must_use]
    pub fn version(&self, session: u64, now: Moment) -> Option<&id::Version> {
        let found = self.seen.binary_search_by_key(&session, |s| s.session);
        let seen = &self.seen[found.ok()?];
        (now.since(seen.at) <= self.life).then_some(&seen.version)
    }

    /// Notes that a request of a session runs or ran on a version.
    pub fn record(&mut self, session: u64, version: &id::Version, now: Moment) {
        self.sweep(now);
        match self.seen.binary_search_by_key(&session, |s| s.session) {
            Ok(place) => {
                let seen = &mut self.seen[place];
                seen.at = now;
                if seen.version != *version {
                    seen.version = version.clone();
                }
            }
            Err(place) => {
                let seen = Seen {
                    session,
                    version: version.clone(),
                    at: now,
                };
                self.seen.insert(place, seen);
            }
        }
    }

    /// The sessions that are not over.
    pub fn active(&self, now: Moment) -> impl Iterator<Item = u64> {
        let limit = self.life;
        let seen = self.seen.iter();
        let live = seen.filter(move |seen| now.since(seen.at) <= limit);
        live.map(|seen| seen.session)
    }

    fn sweep(&mut self, now: Moment) {
        if now.since(self.swept) < SWEEP {
            return;
        }
        self.swept = now;
        let life = self.life;
        self.seen.retain(|seen| now.since(seen.at) <= life);
    }
}

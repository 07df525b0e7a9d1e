//! The version that each active session used last.

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::id;

/// A session and its last request.
#[derive(Debug)]
struct Session {
    id: u64,
    version: id::Version,
    /// When a request of the session was last sent or answered.
    last_used: Moment,
}

/// Recently used sessions, sorted by id.
#[derive(Debug)]
pub struct Sessions {
    recent: Vec<Session>,
    timeout: Duration,
    last_sweep: Moment,
}

/// Interval at which expired sessions are removed. Until then they only occupy memory.
const SWEEP_INTERVAL: Duration = Duration::from_secs(2);

impl Sessions {
    /// Creates an empty set. A session expires after `timeout` without a request.
    #[must_use]
    pub const fn new(timeout: Duration) -> Self {
        Self {
            recent: Vec::new(),
            timeout,
            last_sweep: Moment::ZERO,
        }
    }

    /// The version that a session used last; none if it is new or expired.
    #[must_use]
    pub fn version(&self, session: u64, now: Moment) -> Option<&id::Version> {
        let found = self.recent.binary_search_by_key(&session, |s| s.id);
        let found = &self.recent[found.ok()?];
        (now.since(found.last_used) <= self.timeout).then_some(&found.version)
    }

    /// Records that a version runs or ran a request of a session. Returns whether the session last used another one.
    pub fn record(&mut self, session: u64, version: &id::Version, now: Moment) -> bool {
        let changed = self
            .version(session, now)
            .is_some_and(|last| last != version);
        self.sweep(now);
        match self.recent.binary_search_by_key(&session, |s| s.id) {
            Ok(index) => {
                let known = &mut self.recent[index];
                known.last_used = now;
                if known.version != *version {
                    known.version = version.clone();
                }
            }
            Err(index) => {
                let new = Session {
                    id: session,
                    version: version.clone(),
                    last_used: now,
                };
                self.recent.insert(index, new);
            }
        }
        changed
    }

    /// The sessions that have not expired.
    pub fn active(&self, now: Moment) -> impl Iterator<Item = u64> {
        let timeout = self.timeout;
        let recent = self.recent.iter();
        let active = recent.filter(move |s| now.since(s.last_used) <= timeout);
        active.map(|s| s.id)
    }

    fn sweep(&mut self, now: Moment) {
        if now.since(self.last_sweep) < SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        let timeout = self.timeout;
        self.recent.retain(|s| now.since(s.last_used) <= timeout);
    }
}

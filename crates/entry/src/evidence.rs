//! What this node saw of each version, and the versions that it does not use for that reason.
//!
//! A version in roll-out that the evidence shows to be worse than its gate allows is quarantined
//! here at once, before anybody has agreed on anything, and a withdrawal is proposed to the log.
//! The evidence begins anew when the roll-out's stage changes.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_contract::State;
use pimento_contract::Subject;
use pimento_contract::rollout::Status;
use pimento_policy::hedge;
use pimento_policy::rollout;
use pimento_policy::rollout::Verdict;
use pimento_units::Moment;
use pimento_units::Revision;
use pimento_units::Share;
use pimento_units::id;
use pimento_wire::peer;

/// What was seen of one version.
#[derive(Debug, Clone)]
struct Entry {
    version: id::Version,
    /// Revision of the newest roll-out that names the version.
    revision: Revision,
    decayed: rollout::Evidence,
    rated: u32,
    passed: u32,
    attempts: u32,
    failed: u32,
    latency: hedge::LatencyHistogram,
}

/// A version that is not used here.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Quarantine {
    version: id::Version,
    /// Revisions of the version and of its roll-out when it was put here. Another one means that an
    /// operator or the log decided anew.
    revisions: (Revision, Revision),
}

#[derive(Debug, Default)]
struct Inner {
    /// Sorted by version.
    entries: Vec<Entry>,
    /// Sorted by version.
    quarantined: Vec<Quarantine>,
}

/// The evidence of a node.
#[derive(Debug, Default)]
pub struct Tracker {
    inner: Mutex<Inner>,
}

impl Tracker {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a rating.
    pub fn record_rating(&self, version: &id::Version, pass: bool, now: Moment) {
        let mut inner = self.lock();
        let entry = inner.entry(version);
        entry.decayed.record_rating(pass, now);
        entry.rated = entry.rated.saturating_add(1);
        entry.passed = entry.passed.saturating_add(u32::from(pass));
    }

    /// Counts an attempt that was answered, with the seconds for a token.
    pub fn record_answer(&self, version: &id::Version, took: Duration, pace: f64, now: Moment) {
        let mut inner = self.lock();
        let entry = inner.entry(version);
        entry.decayed.record_answer(pace, now);
        entry.attempts = entry.attempts.saturating_add(1);
        entry.latency.record(took, now);
    }

    /// Counts an attempt that failed after it may have begun.
    pub fn record_failure(&self, version: &id::Version, now: Moment) {
        let mut inner = self.lock();
        let entry = inner.entry(version);
        entry.decayed.record_failure(now);
        entry.attempts = entry.attempts.saturating_add(1);
        entry.failed = entry.failed.saturating_add(1);
    }

    /// Versions not used here, sorted.
    #[must_use]
    pub fn quarantined(&self) -> Vec<id::Version> {
        let inner = self.lock();
        inner
            .quarantined
            .iter()
            .map(|q| q.version.clone())
            .collect()
    }

    /// Judges the versions in roll-out and gives those that are newly quarantined, with the cause.
    pub fn review(&self, state: &State) -> Vec<(id::Version, rollout::Cause)> {
        let mut inner = self.lock();
        inner.begin_anew(state);
        let mut found = Vec::new();
        for rollout in state.rollouts().filter(|r| r.status == Status::Running) {
            let old = inner.entry(&rollout.from).decayed;
            let new = inner.entry(&rollout.to).decayed;
            let verdict = rollout::evaluate(&new, &old, &rollout.gate, Duration::ZERO);
            let Verdict::Withdraw(cause) = verdict else {
                continue;
            };
            if inner.quarantine(&rollout.to, state) {
                found.push((rollout.to.clone(), cause));
            }
        }
        found
    }

    /// The evidence for operators and controllers, sorted by version.
    #[must_use]
    pub fn report(&self) -> Vec<peer::Evidence> {
        let inner = self.lock();
        inner.entries.iter().map(Entry::report).collect()
    }
}

impl Entry {
    fn new(version: &id::Version) -> Self {
        Self {
            version: version.clone(),
            revision: Revision(0),
            decayed: rollout::Evidence::default(),
            rated: 0,
            passed: 0,
            attempts: 0,
            failed: 0,
            latency: hedge::LatencyHistogram::default(),
        }
    }

    fn report(&self) -> peer::Evidence {
        let quality = f64::from(self.passed) / f64::from(self.rated.max(1));
        let latency = self.latency.quantile(0.95).unwrap_or_default();
        peer::Evidence {
            version: self.version.clone(),
            rated: self.rated,
            passed: self.passed,
            attempts: self.attempts,
            failed: self.failed,
            quality: Share::try_from(quality).unwrap_or(Share::ZERO),
            latency_ms: u32::try_from(latency.as_millis()).unwrap_or(u32::MAX),
        }
    }
}

impl Inner {
    fn entry(&mut self, version: &id::Version) -> &mut Entry {
        let place = self.entries.binary_search_by(|e| e.version.cmp(version));
        let place = place.unwrap_or_else(|place| {
            self.entries.insert(place, Entry::new(version));
            place
        });
        &mut self.entries[place]
    }

    /// Forgets what was seen in an earlier stage, and lifts quarantines that were decided upon.
    fn begin_anew(&mut self, state: &State) {
        for entry in &mut self.entries {
            let revision = newest(state, &entry.version);
            if revision != entry.revision {
                *entry = Entry::new(&entry.version);
                entry.revision = revision;
            }
        }
        self.quarantined
            .retain(|q| revisions(state, &q.version) == q.revisions);
    }

    fn quarantine(&mut self, version: &id::Version, state: &State) -> bool {
        let place = self
            .quarantined
            .binary_search_by(|q| q.version.cmp(version));
        let Err(place) = place else {
            return false;
        };
        let quarantine = Quarantine {
            version: version.clone(),
            revisions: revisions(state, version),
        };
        self.quarantined.insert(place, quarantine);
        true
    }
}

fn revisions(state: &State, version: &id::Version) -> (Revision, Revision) {
    let own = state.revision(&Subject::Version(version.clone()));
    let rollout = state.revision(&Subject::Rollout(version.clone()));
    (own, rollout)
}

/// Revision of the newest roll-out that names a version; zero if none does.
fn newest(state: &State, version: &id::Version) -> Revision {
    let named = state
        .rollouts()
        .filter(|r| r.from == *version || r.to == *version);
    let revisions = named.map(|r| state.revision(&Subject::Rollout(r.to.clone())));
    revisions.max().unwrap_or_default()
}

//! This node's observations of each version, and the versions that it quarantines because of them.
//!
//! If the evidence shows that a version in roll-out is worse than its gate allows, the node quarantines it
//! at once, without waiting for an agreement between nodes, and proposes its withdrawal to the log. The
//! evidence is reset when the stage of the roll-out changes.

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

/// Observations of one version.
#[derive(Debug, Clone)]
struct Entry {
    version: id::Version,
    /// Revision of the newest roll-out that names the version.
    revision: Revision,
    /// Evidence whose weight decays with its age, to evaluate a roll-out. The counts below do not decay.
    recent: rollout::Evidence,
    rated: u32,
    passed: u32,
    attempts: u32,
    failed: u32,
    latency: hedge::LatencyHistogram,
}

/// A version that this node does not use.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Quarantine {
    version: id::Version,
    /// Revisions of the version and of its roll-out at the time of the quarantine. A change of either means
    /// that an operator or the log has made a new decision.
    revisions: (Revision, Revision),
}

#[derive(Debug, Default)]
struct Inner {
    /// Sorted by version.
    entries: Vec<Entry>,
    /// Sorted by version.
    quarantined: Vec<Quarantine>,
}

/// The evidence of this node.
#[derive(Debug, Default)]
pub struct Tracker {
    inner: Mutex<Inner>,
}

impl Tracker {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a rating.
    pub fn record_rating(&self, version: &id::Version, pass: bool, now: Moment) {
        let mut inner = self.lock();
        let entry = inner.entry(version);
        entry.recent.record_rating(pass, now);
        entry.rated = entry.rated.saturating_add(1);
        entry.passed = entry.passed.saturating_add(u32::from(pass));
    }

    /// Records an attempt that was answered.
    pub fn record_answer(
        &self,
        version: &id::Version,
        latency: Duration,
        seconds_per_token: f64,
        now: Moment,
    ) {
        let mut inner = self.lock();
        let entry = inner.entry(version);
        entry.recent.record_answer(seconds_per_token, now);
        entry.attempts = entry.attempts.saturating_add(1);
        entry.latency.record(latency, now);
    }

    /// Records an attempt that failed after the engine may have started it.
    pub fn record_failure(&self, version: &id::Version, now: Moment) {
        let mut inner = self.lock();
        let entry = inner.entry(version);
        entry.recent.record_failure(now);
        entry.attempts = entry.attempts.saturating_add(1);
        entry.failed = entry.failed.saturating_add(1);
    }

    /// Versions that this node does not use, sorted.
    #[must_use]
    pub fn quarantined(&self) -> Vec<id::Version> {
        let inner = self.lock();
        inner
            .quarantined
            .iter()
            .map(|q| q.version.clone())
            .collect()
    }

    /// Evaluates the versions in roll-out. Returns the newly quarantined ones with the cause.
    pub fn review(&self, state: &State) -> Vec<(id::Version, rollout::Cause)> {
        let mut inner = self.lock();
        inner.reset_outdated(state);
        let mut newly_quarantined = Vec::new();
        for rollout in state.rollouts().filter(|r| r.status == Status::Running) {
            let old = inner.entry(&rollout.from).recent;
            let new = inner.entry(&rollout.to).recent;
            let verdict = rollout::evaluate(&new, &old, &rollout.gate, Duration::ZERO);
            let Verdict::Withdraw(cause) = verdict else {
                continue;
            };
            if inner.quarantine(&rollout.to, state) {
                newly_quarantined.push((rollout.to.clone(), cause));
            }
        }
        newly_quarantined
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
            recent: rollout::Evidence::default(),
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
        let index = self.entries.binary_search_by(|e| e.version.cmp(version));
        let index = index.unwrap_or_else(|index| {
            self.entries.insert(index, Entry::new(version));
            index
        });
        &mut self.entries[index]
    }

    /// Resets the evidence of earlier stages, and lifts quarantines about which a new decision was made.
    fn reset_outdated(&mut self, state: &State) {
        for entry in &mut self.entries {
            let revision = newest_rollout(state, &entry.version);
            if revision != entry.revision {
                *entry = Entry::new(&entry.version);
                entry.revision = revision;
            }
        }
        self.quarantined
            .retain(|q| revisions(state, &q.version) == q.revisions);
    }

    fn quarantine(&mut self, version: &id::Version, state: &State) -> bool {
        let index = self
            .quarantined
            .binary_search_by(|q| q.version.cmp(version));
        let Err(index) = index else {
            return false;
        };
        let quarantine = Quarantine {
            version: version.clone(),
            revisions: revisions(state, version),
        };
        self.quarantined.insert(index, quarantine);
        true
    }
}

fn revisions(state: &State, version: &id::Version) -> (Revision, Revision) {
    let own_revision = state.revision(&Subject::Version(version.clone()));
    let rollout_revision = state.revision(&Subject::Rollout(version.clone()));
    (own_revision, rollout_revision)
}

/// Revision of the newest roll-out that names a version; zero if none does.
fn newest_rollout(state: &State, version: &id::Version) -> Revision {
    let named = state
        .rollouts()
        .filter(|r| r.from == *version || r.to == *version);
    let revisions = named.map(|r| state.revision(&Subject::Rollout(r.to.clone())));
    revisions.max().unwrap_or_default()
}

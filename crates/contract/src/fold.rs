//! The fold of the configuration stream into one state.
//!
//! A change is accepted only if its base revision is the subject's current one, so that of two
//! racing operators the first in the log wins and nobody's change is overwritten unseen. The
//! function depends on the records alone: all readers at one offset hold the same state, and the
//! hash of its canonical text is the same at all of them.

use compact_str::CompactString;
use pimento_units::Offset;
use pimento_units::Revision;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

use crate::change::Change;
use crate::change::Subject;
use crate::change::Value;
use crate::contract::Contract;
use crate::contract::Key;
use crate::rollout::Rollout;
use crate::service::Pool;
use crate::service::Service;
use crate::version::Version;

/// All that is in force after the records before `offset`. Sorted by subject.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The next offset to apply.
    pub offset: Offset,
    subjects: Vec<Item>,
    removed: Vec<Tombstone>,
    recent: Vec<Decision>,
}

/// A subject that was removed.
///
/// Without its revision a subject that was removed could not be told from one that never existed:
/// the change that once created it, appended again by a writer whose answer was lost, would be
/// accepted a second time and undo the removal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    /// What was removed.
    pub subject: Subject,
    /// The revision that removed it.
    pub revision: Revision,
}

/// A subject in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// What it is.
    pub subject: Subject,
    /// The revision that set it.
    pub revision: Revision,
    /// Its value.
    pub value: Value,
}

/// What became of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// In force as this revision.
    Accepted(Revision),
    /// Another change came first; this is the revision that won.
    Conflict(Revision),
    /// The value does not belong to the subject.
    Mismatch,
}

/// A recent change with its verdict, kept so that a writer whose answer was lost can read it back
/// and so that the same record appended twice counts once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// The change's id.
    pub id: id::Record,
    /// Where it stands in the log.
    pub offset: Offset,
    /// What became of it.
    pub verdict: Verdict,
}

/// Decisions kept. At 1,200 changes a day this is the last twenty hours.
pub const MAX_DECISIONS: usize = 1_024;

/// Removed subjects kept, the latest. At ten removals a day this is more than a year, far longer
/// than any writer goes on appending a record again.
pub const MAX_TOMBSTONES: usize = 4_096;

impl State {
    /// Applies the change at `offset`, which must not lie before [`State::offset`].
    ///
    /// A change that stands on the log twice has its first verdict both times.
    ///
    /// # Panics
    ///
    /// If `offset` lies before the state's own: applying it would revert what is in force.
    pub fn apply(&mut self, offset: Offset, change: &Change) -> Verdict {
        assert!(offset >= self.offset, "a fold never goes back");
        self.offset = offset.next();
        if let Some(decision) = self.decision(change.id) {
            return decision.verdict;
        }
        let verdict = self.decide(offset, change);
        self.remember(Decision {
            id: change.id,
            offset,
            verdict,
        });
        verdict
    }

    /// Moves past a record that changes nothing, such as a checkpoint or an unreadable one.
    pub fn skip(&mut self, offset: Offset) {
        self.offset = self.offset.max(offset.next());
    }

    /// The decision on a recent change.
    #[must_use]
    pub fn decision(&self, id: id::Record) -> Option<Decision> {
        self.recent.iter().rev().find(|d| d.id == id).copied()
    }

    fn decide(&mut self, offset: Offset, change: &Change) -> Verdict {
        let value = change.value.as_ref();
        if value.is_some_and(|v| v.subject() != change.subject) {
            return Verdict::Mismatch;
        }
        let current = self.revision(&change.subject);
        if current != change.base {
            return Verdict::Conflict(current);
        }
        let revision = Revision::from(offset);
        match &change.value {
            Some(value) => self.set(&change.subject, revision, value),
            None => self.remove(&change.subject, revision),
        }
        Verdict::Accepted(revision)
    }

    fn set(&mut self, subject: &Subject, revision: Revision, value: &Value) {
        if let Ok(at) = self.buried(subject) {
            self.removed.remove(at);
        }
        let item = Item {
            subject: subject.clone(),
            revision,
            value: value.clone(),
        };
        match self.place(subject) {
            Ok(at) => self.subjects[at] = item,
            Err(at) => self.subjects.insert(at, item),
        }
    }

    fn remove(&mut self, subject: &Subject, revision: Revision) {
        if let Ok(at) = self.place(subject) {
            self.subjects.remove(at);
        }
        let tombstone = Tombstone {
            subject: subject.clone(),
            revision,
        };
        match self.buried(subject) {
            Ok(at) => self.removed[at] = tombstone,
            Err(at) => self.removed.insert(at, tombstone),
        }
        if self.removed.len() > MAX_TOMBSTONES {
            self.forget();
        }
    }

    /// Drops the oldest tombstone.
    fn forget(&mut self) {
        let oldest = self.removed.iter().map(|t| t.revision).min();
        self.removed.retain(|t| Some(t.revision) != oldest);
    }

    fn place(&self, subject: &Subject) -> Result<usize, usize> {
        self.subjects.binary_search_by(|i| i.subject.cmp(subject))
    }

    fn buried(&self, subject: &Subject) -> Result<usize, usize> {
        self.removed.binary_search_by(|t| t.subject.cmp(subject))
    }

    fn remember(&mut self, decision: Decision) {
        if self.recent.len() == MAX_DECISIONS {
            self.recent.remove(0);
        }
        self.recent.push(decision);
    }

    /// All subjects in force, sorted.
    #[must_use]
    pub fn items(&self) -> &[Item] {
        &self.subjects
    }

    /// One subject in force.
    #[must_use]
    pub fn item(&self, subject: &Subject) -> Option<&Item> {
        let place = self.place(subject).ok()?;
        self.subjects.get(place)
    }

    /// The subject's current revision: that which set it, or that which removed it, or zero if it
    /// never existed. A change must name it as its base.
    #[must_use]
    pub fn revision(&self, subject: &Subject) -> Revision {
        if let Some(item) = self.item(subject) {
            return item.revision;
        }
        match self.buried(subject) {
            Ok(at) => self.removed[at].revision,
            Err(_) => Revision(0),
        }
    }

    /// The canonical text: compact JSON with fields in their declared order and lists sorted.
    ///
    /// # Panics
    ///
    /// Never: the state holds no map and no number that JSON can't carry.
    #[must_use]
    pub fn canonical_text(&self) -> String {
        serde_json::to_string(self).expect("a state is plain JSON")
    }

    /// BLAKE3 of [`State::canonical_text`] in hexadecimal.
    #[must_use]
    pub fn hash(&self) -> CompactString {
        let hash = blake3::hash(self.canonical_text().as_bytes());
        hash.to_hex().as_str().into()
    }

    /// All contracts, sorted by customer.
    pub fn contracts(&self) -> impl Iterator<Item = &Contract> {
        self.subjects.iter().filter_map(|item| match &item.value {
            Value::Contract(contract) => Some(contract),
            _ => None,
        })
    }

    /// All versions, sorted by id.
    pub fn versions(&self) -> impl Iterator<Item = &Version> {
        self.subjects.iter().filter_map(|item| match &item.value {
            Value::Version(version) => Some(version),
            _ => None,
        })
    }

    /// All roll-outs, sorted by the version that comes in.
    pub fn rollouts(&self) -> impl Iterator<Item = &Rollout> {
        self.subjects.iter().filter_map(|item| match &item.value {
            Value::Rollout(rollout) => Some(rollout),
            _ => None,
        })
    }

    /// The contract that an API key belongs to.
    #[must_use]
    pub fn contract_for_key(&self, key: Key) -> Option<&Contract> {
        self.contracts()
            .find(|c| c.keys.binary_search(&key).is_ok())
    }

    /// One customer's contract.
    #[must_use]
    pub fn contract(&self, customer: &id::Customer) -> Option<&Contract> {
        match &self.item(&Subject::Contract(customer.clone()))?.value {
            Value::Contract(contract) => Some(contract),
            _ => None,
        }
    }

    /// One version.
    #[must_use]
    pub fn version(&self, version: &id::Version) -> Option<&Version> {
        match &self.item(&Subject::Version(version.clone()))?.value {
            Value::Version(version) => Some(version),
            _ => None,
        }
    }

    /// One plain service.
    #[must_use]
    pub fn service(&self, service: &id::Service) -> Option<&Service> {
        match &self.item(&Subject::Service(service.clone()))?.value {
            Value::Service(service) => Some(service),
            _ => None,
        }
    }

    /// One pool.
    #[must_use]
    pub fn pool(&self, pool: &id::Pool) -> Option<&Pool> {
        match &self.item(&Subject::Pool(pool.clone()))?.value {
            Value::Pool(pool) => Some(pool),
            _ => None,
        }
    }
}

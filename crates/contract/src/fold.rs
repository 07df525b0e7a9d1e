//! The fold of the configuration stream into one state.
//!
//! A change is accepted only if its base revision is the subject's current one. Of two concurrent
//! changes the first in the log wins, and no operator overwrites a change that they have not read.
//! The fold depends only on the records: all readers at one offset have the same state, and the same
//! hash of its canonical text.

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

/// The configuration in force after all records before `offset`, sorted by subject.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The next offset to apply.
    pub offset: Offset,
    subjects: Vec<Item>,
    removed: Vec<Tombstone>,
    recent: Vec<Decision>,
}

/// A removed subject.
///
/// Its revision distinguishes a removed subject from one that never existed. Otherwise a second copy
/// of the change that created it, appended by a writer whose answer was lost, would be accepted and
/// undo the removal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tombstone {
    /// The removed subject.
    pub subject: Subject,
    /// The revision that removed it.
    pub revision: Revision,
}

/// A subject in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The subject.
    pub subject: Subject,
    /// The revision that set it.
    pub revision: Revision,
    /// Its value.
    pub value: Value,
}

/// How a change was decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The change is in force as this revision.
    Accepted(Revision),
    /// The base is not the subject's current revision, which is this one.
    Conflict(Revision),
    /// The value does not belong to the subject.
    Mismatch,
}

/// The verdict on a recent change. With it a writer finds the verdict when the answer to the append
/// was lost, and a record that is appended twice counts once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// The change's id.
    pub id: id::Record,
    /// Its offset in the log.
    pub offset: Offset,
    /// What became of it.
    pub verdict: Verdict,
}

/// Maximum number of decisions retained. At 1,200 changes a day they cover the last twenty hours.
pub const MAX_DECISIONS: usize = 1_024;

/// Maximum number of tombstones retained, the latest ones. At ten removals a day they cover more than
/// a year, far longer than any writer retries an append.
pub const MAX_TOMBSTONES: usize = 4_096;

impl State {
    /// Applies the change at `offset`, which must not be less than [`State::offset`].
    ///
    /// A second copy of a change in the log gets the verdict on the first.
    ///
    /// # Panics
    ///
    /// If `offset` is less than the state's offset: applying the change would revert newer ones.
    pub fn apply(&mut self, offset: Offset, change: &Change) -> Verdict {
        assert!(offset >= self.offset, "the offset must not decrease");
        self.offset = offset.next();
        if let Some(decision) = self.decision(change.id) {
            return decision.verdict;
        }
        let verdict = self.decide(offset, change);
        self.record_decision(Decision {
            id: change.id,
            offset,
            verdict,
        });
        verdict
    }

    /// Skips a record that has no effect, such as a checkpoint or an unreadable record.
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
        if let Ok(at) = self.find_tombstone(subject) {
            self.removed.remove(at);
        }
        let item = Item {
            subject: subject.clone(),
            revision,
            value: value.clone(),
        };
        match self.find_item(subject) {
            Ok(at) => self.subjects[at] = item,
            Err(at) => self.subjects.insert(at, item),
        }
    }

    fn remove(&mut self, subject: &Subject, revision: Revision) {
        if let Ok(at) = self.find_item(subject) {
            self.subjects.remove(at);
        }
        let tombstone = Tombstone {
            subject: subject.clone(),
            revision,
        };
        match self.find_tombstone(subject) {
            Ok(at) => self.removed[at] = tombstone,
            Err(at) => self.removed.insert(at, tombstone),
        }
        if self.removed.len() > MAX_TOMBSTONES {
            self.remove_oldest_tombstone();
        }
    }

    /// Removes the oldest tombstone.
    fn remove_oldest_tombstone(&mut self) {
        let oldest = self.removed.iter().map(|t| t.revision).min();
        self.removed.retain(|t| Some(t.revision) != oldest);
    }

    fn find_item(&self, subject: &Subject) -> Result<usize, usize> {
        self.subjects.binary_search_by(|i| i.subject.cmp(subject))
    }

    fn find_tombstone(&self, subject: &Subject) -> Result<usize, usize> {
        self.removed.binary_search_by(|t| t.subject.cmp(subject))
    }

    fn record_decision(&mut self, decision: Decision) {
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
        let position = self.find_item(subject).ok()?;
        self.subjects.get(position)
    }

    /// The subject's current revision: the one that set or removed it, or zero if it never existed.
    /// A change must have it as its base.
    #[must_use]
    pub fn revision(&self, subject: &Subject) -> Revision {
        if let Some(item) = self.item(subject) {
            return item.revision;
        }
        match self.find_tombstone(subject) {
            Ok(at) => self.removed[at].revision,
            Err(_) => Revision(0),
        }
    }

    /// The canonical text: compact JSON with fields in the order of declaration and sorted lists.
    ///
    /// # Panics
    ///
    /// Never: the state contains no map and no number that JSON can't represent.
    #[must_use]
    pub fn canonical_text(&self) -> String {
        serde_json::to_string(self).expect("a state is plain JSON")
    }

    /// BLAKE3 hash of [`State::canonical_text`], in hexadecimal.
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

    /// All roll-outs, sorted by the version that is rolled out.
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

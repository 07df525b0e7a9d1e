//! The fold of the configuration stream into one state.
//!
//! A change is accepted only if its base revision is the subject's current one, so that of two
//! racing operators the first in the log wins and nobody's change is overwritten unseen. The
//! function depends on the records alone: all readers at one offset hold the same state.

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
    recent: Vec<Decision>,
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
pub const RECENT: usize = 1_024;

impl State {
    /// Applies the change at `offset`, which must not lie before [`State::offset`].
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
        if change
            .value
            .as_ref()
            .is_some_and(|v| v.subject() != change.subject)
        {
            return Verdict::Mismatch;
        }
        let place = self
            .subjects
            .binary_search_by(|i| i.subject.cmp(&change.subject));
        let current = place.map_or(Revision(0), |at| self.subjects[at].revision);
        if current != change.base {
            return Verdict::Conflict(current);
        }
        let revision = Revision::from(offset);
        match (place, change.value.clone()) {
            (Ok(at), Some(value)) => {
                self.subjects[at].revision = revision;
                self.subjects[at].value = value;
            }
            (Ok(at), None) => {
                self.subjects.remove(at);
            }
            (Err(at), Some(value)) => {
                let subject = change.subject.clone();
                self.subjects.insert(
                    at,
                    Item {
                        subject,
                        revision,
                        value,
                    },
                );
            }
            (Err(_), None) => {}
        }
        Verdict::Accepted(revision)
    }

    fn remember(&mut self, decision: Decision) {
        if self.recent.len() == RECENT {
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
        let place = self
            .subjects
            .binary_search_by(|i| i.subject.cmp(subject))
            .ok()?;
        self.subjects.get(place)
    }

    /// The subject's current revision; zero if it does not exist.
    #[must_use]
    pub fn revision(&self, subject: &Subject) -> Revision {
        self.item(subject).map_or(Revision(0), |item| item.revision)
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
    pub fn holder(&self, key: Key) -> Option<&Contract> {
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

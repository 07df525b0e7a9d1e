//! Records of the configuration stream.

use std::fmt;

use compact_str::CompactString;
use pimento_units::Offset;
use pimento_units::Revision;
use pimento_units::Wall;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;
use snafu::Snafu;
use snafu::ensure;

use crate::contract::Contract;
use crate::fold::State;
use crate::rollout::Rollout;
use crate::service::Pool;
use crate::service::Service;
use crate::version::Version;

/// One record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Entry {
    /// A proposed change, which the fold accepts or refuses.
    Change(Change),
    /// The state after all records before its offset. It is a pure function of these records, so any
    /// reader may write one.
    Checkpoint(Checkpoint),
}

/// A proposed change of one subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The change's id, chosen by the writer. With it the writer finds the decision when the answer
    /// to the append was lost.
    pub id: id::Record,
    /// The subject that is changed.
    pub subject: Subject,
    /// The revision that the writer read. The change is accepted only if it is still current.
    pub base: Revision,
    /// The new value; `None` removes the subject.
    pub value: Option<Value>,
    /// The author: an operator's or a node's name.
    pub by: CompactString,
    /// Time of writing by the writer's clock.
    pub at: Wall,
}

/// The state after all records before `offset`, with its hash.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The next offset to apply to `state`.
    pub offset: Offset,
    /// BLAKE3 hash of the state's canonical text, in hexadecimal.
    pub hash: CompactString,
    /// The state.
    pub state: State,
}

/// Why a checkpoint is ignored.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum CheckpointError {
    /// The hash does not match the state.
    #[snafu(display("the checkpoint's hash is not that of its state"))]
    Hash,
    /// The checkpoint declares another offset than its state has.
    #[snafu(display("the checkpoint says offset {declared}, its state {found}"))]
    Offset {
        /// The checkpoint's offset.
        declared: Offset,
        /// The state's offset.
        found: Offset,
    },
}

impl Checkpoint {
    /// Creates the checkpoint of a state.
    #[must_use]
    pub fn of(state: &State) -> Self {
        Self {
            offset: state.offset,
            hash: state.hash(),
            state: state.clone(),
        }
    }

    /// Returns the state if it matches the checkpoint's offset and hash.
    ///
    /// After decoding, a record that was damaged, or written by a program with other fields, does
    /// not match its hash. Using it would put a state in force that does not result from any prefix
    /// of the log.
    ///
    /// # Errors
    ///
    /// [`CheckpointError`] if the checkpoint must be ignored.
    pub fn into_state(self) -> Result<State, CheckpointError> {
        let declared = self.offset;
        let found = self.state.offset;
        ensure!(declared == found, OffsetSnafu { declared, found });
        ensure!(self.hash == self.state.hash(), HashSnafu);
        Ok(self.state)
    }
}

/// The subject of a change.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Subject {
    /// A customer's contract.
    Contract(id::Customer),
    /// A model version.
    Version(id::Version),
    /// The roll-out of a version.
    Rollout(id::Version),
    /// A plain service.
    Service(id::Service),
    /// A pool of endpoints.
    Pool(id::Pool),
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Contract(id) => write!(f, "contract/{id}"),
            Self::Version(id) => write!(f, "version/{id}"),
            Self::Rollout(id) => write!(f, "rollout/{id}"),
            Self::Service(id) => write!(f, "service/{id}"),
            Self::Pool(id) => write!(f, "pool/{id}"),
        }
    }
}

/// The new value of a subject.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Value {
    /// A contract.
    Contract(Contract),
    /// A version.
    Version(Version),
    /// A roll-out.
    Rollout(Rollout),
    /// A plain service.
    Service(Service),
    /// A pool.
    Pool(Pool),
}

impl Value {
    /// The subject to which this value belongs.
    #[must_use]
    pub fn subject(&self) -> Subject {
        match self {
            Self::Contract(contract) => Subject::Contract(contract.customer.clone()),
            Self::Version(version) => Subject::Version(version.id.clone()),
            Self::Rollout(rollout) => Subject::Rollout(rollout.to.clone()),
            Self::Service(service) => Subject::Service(service.name.clone()),
            Self::Pool(pool) => Subject::Pool(pool.name.clone()),
        }
    }
}

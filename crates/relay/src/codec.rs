//! What the relay asks of those who read the records of operators and endpoints.

use std::time::Duration;

use compact_str::CompactString;
use pimento_units::id;
use snafu::Snafu;

use crate::registration::Registration;
use crate::table::Table;

/// A record that can't be read. It changes nothing; the others hold.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{problem}"))]
pub struct InvalidRecord {
    /// What is wrong with it.
    pub problem: CompactString,
}

/// An operators' order to move a service to another version of its software.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rollout {
    /// The service.
    pub pool: id::Pool,
    /// The version to move to.
    pub target: id::Version,
    /// Time until it must be done or undone.
    pub time_limit: Duration,
}

/// What an operators' record says.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRecord {
    /// The whole configuration.
    Table(Box<Table>),
    /// An order to roll out.
    Rollout(Rollout),
    /// Something that this version of the program does not use.
    Other,
}

/// How far a roll-out is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutStage {
    /// Under way.
    Running,
    /// Done: the old endpoints are stopped.
    Done,
    /// Undone: the new endpoints are stopped.
    RolledBack,
}

/// What operators are told of a roll-out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The service.
    pub pool: id::Pool,
    /// The version that is moved to.
    pub target: id::Version,
    /// How far it is.
    pub stage: RolloutStage,
}

/// Reads and writes the values of records.
pub trait Codec: Clone + Send + Sync + 'static {
    /// An operators' record.
    ///
    /// # Errors
    ///
    /// [`InvalidRecord`] if it can't be used.
    fn decode_operator_record(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<OperatorRecord, InvalidRecord>;

    /// An endpoint's record of itself.
    ///
    /// # Errors
    ///
    /// [`InvalidRecord`] if it can't be used.
    fn decode_registration(&self, key: &str, value: &[u8]) -> Result<Registration, InvalidRecord>;

    /// What operators were told of a roll-out; none if the record is of something else.
    ///
    /// # Errors
    ///
    /// [`InvalidRecord`] if it can't be used.
    fn decode_status(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<Option<RolloutStatus>, InvalidRecord>;

    /// The key and value that tell operators of a roll-out.
    fn encode_status(&self, status: &RolloutStatus) -> (CompactString, Vec<u8>);
}

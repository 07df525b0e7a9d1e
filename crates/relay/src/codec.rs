//! The trait that decodes the records of operators and endpoints, and its data types.

use std::time::Duration;

use compact_str::CompactString;
use pimento_units::id;
use snafu::Snafu;

use crate::registration::Registration;
use crate::table::Table;

/// A record that can't be decoded. It is ignored; records that were read before stay in force.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{problem}"))]
pub struct InvalidRecord {
    /// What is wrong with the record.
    pub problem: CompactString,
}

/// An operators' order to move a service to another version of its software.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub pool: id::Pool,
    /// The new version.
    pub target: id::Version,
    /// Time within which the roll-out must be completed or rolled back.
    pub time_limit: Duration,
}

/// The content of an operators' record.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorRecord {
    /// A complete configuration.
    Table(Box<Table>),
    /// An order to roll out a version.
    Rollout(Order),
    /// An order to send nothing to a zone's endpoints, until the record is removed.
    Evacuation(id::Zone),
    /// A record that this version of the program does not use.
    Other,
}

/// Stage of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RolloutStage {
    /// In progress.
    Running,
    /// Completed: operators stop the old endpoints.
    Done,
    /// Rolled back: operators stop the new endpoints.
    RolledBack,
}

/// Status of a roll-out, as reported to operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutStatus {
    /// The service.
    pub pool: id::Pool,
    /// The new version.
    pub target: id::Version,
    /// The stage that it has reached.
    pub stage: RolloutStage,
}

/// Decodes and encodes the values of records.
pub trait Codec: Clone + Send + Sync + 'static {
    /// Decodes an operators' record.
    ///
    /// # Errors
    ///
    /// [`InvalidRecord`] if it can't be used.
    fn decode_operator_record(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<OperatorRecord, InvalidRecord>;

    /// The zone whose evacuation a key stands for; none if it is the key of something else.
    fn evacuated_zone(&self, key: &str) -> Option<id::Zone>;

    /// Decodes the record by which an endpoint registers itself.
    ///
    /// # Errors
    ///
    /// [`InvalidRecord`] if it can't be used.
    fn decode_registration(&self, key: &str, value: &[u8]) -> Result<Registration, InvalidRecord>;

    /// Decodes the status of a roll-out; none if the record holds something else.
    ///
    /// # Errors
    ///
    /// [`InvalidRecord`] if it can't be used.
    fn decode_status(
        &self,
        key: &str,
        value: &[u8],
    ) -> Result<Option<RolloutStatus>, InvalidRecord>;

    /// Encodes the key and value of a record that reports a roll-out's status to operators.
    fn encode_status(&self, status: &RolloutStatus) -> (CompactString, Vec<u8>);
}

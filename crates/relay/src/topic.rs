//! What the relay asks of the platform's log: topics whose records have keys, the newest of each of
//! which is kept for good.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use pimento_progress::Progress;
use pimento_units::Offset;
use snafu::Snafu;

/// A topic of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// The operators' records: the configuration and orders to roll out.
    Operators,
    /// The endpoints' records of themselves.
    Endpoints,
    /// What the system tells operators.
    Status,
    /// What entry VMs tell each other.
    Fleet,
    /// Requests under which endpoints ended.
    Poison,
}

impl Topic {
    /// The name in log lines and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Endpoints => "endpoints",
            Self::Status => "status",
            Self::Fleet => "fleet",
            Self::Poison => "poison",
        }
    }
}

/// A record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Its offset.
    pub offset: Offset,
    /// Its key.
    pub key: CompactString,
    /// Its value; none if the key was dropped.
    pub value: Option<Bytes>,
}

/// What a read gave.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Records in offset order.
    pub records: Vec<Record>,
    /// The offset after the last record of the topic, when the call was answered.
    pub end: Offset,
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The log said no, or could not be reached: nothing was done.
    #[snafu(display("the log refused the call: {reason}"))]
    Refused {
        /// What it said.
        reason: CompactString,
    },
    /// No answer, or one that can't be read: an append may or may not have taken effect, now or
    /// seconds later.
    #[snafu(display("the log's answer was lost: {reason}"))]
    Lost {
        /// What happened.
        reason: CompactString,
    },
    /// The records asked for are no longer kept.
    #[snafu(display("the log keeps records from {oldest} on only"))]
    Gone {
        /// The oldest offset that is kept.
        oldest: Offset,
    },
    /// The topic does not end where the append was to be made.
    #[snafu(display("the topic ends at {end}"))]
    Moved {
        /// Where it ends.
        end: Offset,
    },
}

/// The platform's log. Clones share connections.
pub trait Log: Clone + Send + Sync + 'static {
    /// The newest record of each key. `end` is where the topic ended before the first of them was
    /// looked up; some may be newer. `progress` counts what comes of the answers.
    fn newest(
        &self,
        topic: Topic,
        progress: &Progress,
    ) -> impl Future<Output = Result<Batch, Error>> + Send;

    /// Reads records from `from` on, waiting up to `wait` if there are none yet. `progress` counts
    /// what comes of the answer.
    fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
        progress: &Progress,
    ) -> impl Future<Output = Result<Batch, Error>> + Send;

    /// Appends one record; with `at`, only if the topic ends there. Gives the topic's end.
    fn append(
        &self,
        topic: Topic,
        key: &str,
        value: Bytes,
        at: Option<Offset>,
    ) -> impl Future<Output = Result<Offset, Error>> + Send;
}

//! The platform's log as the relay uses it: topics whose records have keys. The log keeps the newest record
//! of each key for good.

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
    /// The operators' records: the configuration and the orders of roll-outs.
    Operators,
    /// The registrations of the endpoints.
    Endpoints,
    /// The system's reports to operators.
    Status,
    /// The announcements of the entry VMs to each other.
    Fleet,
    /// Requests during which endpoints crashed.
    Poison,
    /// The addresses of the entry VMs, one partition for each zone.
    Vms(Partition),
}

/// A partition of a topic. Partitions are independent of each other: the log appends to each of them on its
/// own, and a read returns the records of one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Partition(pub u32);

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
            Self::Vms(_) => "vms",
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
    /// Its value; none if the record removes the key.
    pub value: Option<Bytes>,
}

/// The answer to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Records in offset order.
    pub records: Vec<Record>,
    /// The offset after the last record of the topic when the log answered; for [`Log::newest`] see there.
    pub end: Offset,
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The log refused the call, or could not be reached. The call had no effect.
    #[snafu(display("the log refused the call: {reason}"))]
    Refused {
        /// The log's error message, or why it could not be reached.
        reason: CompactString,
    },
    /// There was no answer, or one that can't be decoded. An append may or may not have taken effect, or
    /// may still do so seconds later.
    #[snafu(display("the log's answer was lost: {reason}"))]
    Lost {
        /// The cause.
        reason: CompactString,
    },
    /// The log came back from an older copy. Records before `era_start` that the copy lacks are gone, and
    /// what was read before may differ from what the log holds now.
    #[snafu(display("the log came back from an older copy"))]
    Restored {
        /// The lowest offset of the records that are written from now on.
        era_start: Offset,
    },
    /// The log no longer keeps the requested records.
    #[snafu(display("the log keeps records from {oldest} on only"))]
    Gone {
        /// The oldest offset that the log keeps.
        oldest: Offset,
    },
    /// The topic does not end at the offset that the append required.
    #[snafu(display("the topic ends at {end}"))]
    Moved {
        /// Where it ends.
        end: Offset,
    },
}

/// A client of the platform's log. Clones share connections.
///
/// Offsets grow with time even if the log comes back from an older copy and gives offsets out again: an
/// implementation then returns higher ones, also for the records of the copy. So what orders or names
/// records by their offsets never takes a new record for a known one.
pub trait Log: Clone + Send + Sync + 'static {
    /// Returns the newest record of each key. [`Batch::end`] is where the topic ended before the first of
    /// them was looked up, so that some may be newer. `progress` counts the bytes that have arrived.
    fn newest(
        &self,
        topic: Topic,
        progress: &Progress,
    ) -> impl Future<Output = Result<Batch, Error>> + Send;

    /// Returns the records from `from` on, and waits up to `wait` if there are none yet. `progress` counts
    /// the bytes that have arrived. If the log came back from a copy since `from` was returned, the answer is
    /// [`Error::Restored`].
    fn read(
        &self,
        topic: Topic,
        from: Offset,
        wait: Duration,
        progress: &Progress,
    ) -> impl Future<Output = Result<Batch, Error>> + Send;

    /// Appends one record; with `at`, only if the topic ends there. Returns the new end of the topic.
    fn append(
        &self,
        topic: Topic,
        key: &str,
        value: Bytes,
        at: Option<Offset>,
    ) -> impl Future<Output = Result<Offset, Error>> + Send;
}

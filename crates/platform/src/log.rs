//! The platform's append-only log.

use std::future::Future;
use std::time::Duration;

use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_wire::platform::Batch;
use snafu::Snafu;

/// The platform's log. Clones share one connection pool.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends records (JSON text each), all or none, and gives the first one's offset.
    fn append(
        &self,
        stream: Stream,
        records: Vec<String>,
    ) -> impl Future<Output = Result<Offset, Error>> + Send;

    /// Reads at most `max` records from `from` on, waiting up to `wait` if there are none yet.
    fn read(
        &self,
        stream: Stream,
        from: Offset,
        max: usize,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, Error>> + Send;
}

/// Why a call to the log failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The log said no before it did anything: over its rate, or in an outage it announced.
    #[snafu(display("the log refused the call, ask again after {after:?}"))]
    Refused {
        /// When to ask again.
        after: Duration,
    },
    /// No answer, or one that can't be read: an append may or may not have taken effect.
    #[snafu(display("the log's answer was lost: {reason}"))]
    Lost {
        /// What happened.
        reason: String,
    },
    /// Retention has passed the offset asked for.
    #[snafu(display("the log keeps records from {oldest} on only"))]
    Gone {
        /// The oldest offset that is kept.
        oldest: Offset,
    },
}

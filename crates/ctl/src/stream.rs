//! Reads a stream of the log up to its current end.

use std::time::Duration;

use pimento_coordination::log::Error;
use pimento_coordination::log::Log;
use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_wire::platform::Entry;
use tokio::time::Instant;

/// Maximum number of records in one read. A thousand of the largest records stay far below the
/// client's body limit.
const BATCH_RECORDS: usize = 1_000;

/// Minimum delay before a failed call to the log is retried.
const BACKOFF: Duration = Duration::from_millis(200);

/// The range of a stream that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Extent {
    /// Where reading began: the requested offset, or the oldest that the log retains if that is
    /// later.
    pub oldest: Offset,
    /// The offset after the last record that was read.
    pub next: Offset,
}

/// Calls `on_record` for each record from `from` to the end of the stream at the first read. Starts
/// at the oldest retained record if that is later than `from`. Retries failed reads until
/// `deadline`.
///
/// # Errors
///
/// The log's last error once `deadline` has passed.
pub async fn read(
    log: &impl Log,
    stream: Stream,
    from: Offset,
    deadline: Instant,
    mut on_record: impl FnMut(Entry),
) -> Result<Extent, Error> {
    let mut extent = Extent {
        oldest: from,
        next: from,
    };
    let mut end = None;
    while end.is_none_or(|end| extent.next < end) {
        let batch = match log
            .read(stream, extent.next, BATCH_RECORDS, Duration::ZERO)
            .await
        {
            Ok(batch) => batch,
            Err(Error::Gone { oldest }) if oldest > extent.next => {
                extent.oldest = oldest;
                extent.next = oldest;
                continue;
            }
            Err(error) => {
                backoff(error, deadline).await?;
                continue;
            }
        };
        let target = *end.get_or_insert(batch.end);
        if batch.records.is_empty() {
            extent.next = extent.next.max(target);
            break;
        }
        extent.next = batch.next;
        batch.records.into_iter().for_each(&mut on_record);
    }
    Ok(extent)
}

/// Waits before the next attempt, or returns `error` if the deadline comes first.
pub(crate) async fn backoff(error: Error, deadline: Instant) -> Result<(), Error> {
    let wait = match &error {
        Error::Refused { retry_after } => BACKOFF.max(*retry_after),
        Error::Lost { .. } | Error::Gone { .. } => BACKOFF,
    };
    if Instant::now() + wait >= deadline {
        return Err(error);
    }
    tokio::time::sleep(wait).await;
    Ok(())
}

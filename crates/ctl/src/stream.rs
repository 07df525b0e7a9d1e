//! Reads a stream of the log from its oldest record to its present end.

use std::time::Duration;

use pimento_coordination::log::Error;
use pimento_coordination::log::Log;
use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_wire::platform::Entry;
use tokio::time::Instant;

/// Records in one read. A thousand of the largest records stay far below the client's body limit.
const BATCH_RECORDS: usize = 1_000;

/// Pause between two tries while the log does not answer.
const BACKOFF: Duration = Duration::from_millis(200);

/// Where a reading of a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Extent {
    /// The first offset that was still kept.
    pub oldest: Offset,
    /// Where to read on.
    pub next: Offset,
}

/// Reads from `from` to the end as it was when the reading began, and hands each record to `on_record`.
/// If retention has passed `from`, it begins at the oldest record.
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

/// Waits before the next try, or gives `error` back if the time is up by then.
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

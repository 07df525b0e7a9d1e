//! The worker of one stream: batches, appends and retries.

use std::sync::Arc;
use std::time::Duration;

use pimento_ledger::Stream;
use pimento_units::Offset;
use tokio::sync::mpsc::Receiver;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Outage;
use super::Settings;
use super::entry::Entry;
use crate::backoff::Backoff;
use crate::log::Error;
use crate::log::Log;

/// Appends the entries of one stream.
pub(super) struct Worker<L> {
    pub(super) log: L,
    pub(super) stream: Stream,
    pub(super) settings: Settings,
    pub(super) outage: Arc<Outage>,
}

/// Entries for one append.
struct Batch {
    entries: Vec<Entry>,
    /// Whether an earlier append of these entries may have taken effect.
    maybe_appended: bool,
}

impl<L: Log> Worker<L> {
    /// Runs until `token` is cancelled or all appenders are dropped.
    pub(super) async fn run(self, queue: Receiver<Entry>, token: CancellationToken) {
        token.run_until_cancelled(self.run_loop(queue)).await;
    }

    async fn run_loop(self, mut queue: Receiver<Entry>) {
        let mut carried = None;
        loop {
            let first = match carried.take() {
                Some(entry) => entry,
                None => match queue.recv().await {
                    Some(entry) => entry,
                    None => return,
                },
            };
            let entries = self.collect(first, &mut queue, &mut carried).await;
            let batch = Batch {
                entries,
                maybe_appended: false,
            };
            self.commit(batch).await;
        }
    }

    /// Collects entries up to the limits. One that does not fit is carried over to the next batch.
    async fn collect(
        &self,
        first: Entry,
        queue: &mut Receiver<Entry>,
        carried: &mut Option<Entry>,
    ) -> Vec<Entry> {
        let end = Instant::now() + self.settings.batch_delay;
        let mut records = first.records.len();
        let mut bytes = first.size;
        let mut entries = vec![first];
        while records < self.settings.max_records && bytes < self.settings.max_bytes {
            let Ok(Some(entry)) = tokio::time::timeout_at(end, queue.recv()).await else {
                break;
            };
            records += entry.records.len();
            bytes += entry.size;
            if records > self.settings.max_records || bytes > self.settings.max_bytes {
                *carried = Some(entry);
                break;
            }
            entries.push(entry);
        }
        entries
    }

    /// Appends a batch, and retries as long as any of its callers waits.
    async fn commit(&self, mut batch: Batch) {
        let mut backoff = Backoff::new();
        loop {
            batch
                .entries
                .retain(|e| e.has_waiter() && e.send_state.mark_sent());
            if batch.entries.is_empty() {
                return;
            }
            let wait = match self.log.append(self.stream, batch.records()).await {
                Ok(first) => return batch.complete(first),
                Err(Error::Refused { retry_after }) => {
                    let until = Instant::now() + retry_after;
                    self.outage.set(until);
                    batch.refuse_expiring(until, retry_after);
                    retry_after
                }
                Err(error) => {
                    log::warn!(
                        "appender: {} append may have taken effect, retrying: {error}",
                        self.stream
                    );
                    batch.maybe_appended = true;
                    Duration::ZERO
                }
            };
            tokio::time::sleep(backoff.next_delay(wait)).await;
        }
    }
}

impl Batch {
    fn records(&self) -> Vec<String> {
        let all = self.entries.iter().flat_map(|entry| &entry.records);
        all.cloned().collect()
    }

    fn complete(self, first: Offset) {
        let mut offset = first;
        for entry in self.entries {
            let next = Offset(offset.0 + entry.records.len() as u64);
            // A caller that no longer waits reads its record back from the stream.
            let _ = entry.result.send(Ok(offset));
            offset = next;
        }
    }

    /// Fails the entries whose deadline passes before the log accepts appends again.
    fn refuse_expiring(&mut self, until: Instant, retry_after: Duration) {
        if !self.maybe_appended {
            self.entries.iter().for_each(|e| e.send_state.mark_unsent());
        }
        let (waiting, expiring): (Vec<_>, Vec<_>) =
            self.entries.drain(..).partition(|e| e.deadline > until);
        self.entries = waiting;
        for entry in expiring {
            entry.refuse(Error::Refused { retry_after });
        }
    }
}

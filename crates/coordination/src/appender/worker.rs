//! The worker of one stream: gathers, appends, tries again.

use std::sync::Arc;
use std::time::Duration;

use pimento_ledger::Stream;
use pimento_units::Offset;
use tokio::sync::mpsc::Receiver;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Closed;
use super::Settings;
use super::entry::Entry;
use crate::backoff::Backoff;
use crate::log::Error;
use crate::log::Log;

/// The worker of one stream.
pub(super) struct Worker<L> {
    pub(super) log: L,
    pub(super) stream: Stream,
    pub(super) settings: Settings,
    pub(super) closed: Arc<Closed>,
}

/// Entries for one append.
struct Batch {
    entries: Vec<Entry>,
    /// Whether an earlier append of these may have taken effect.
    doubtful: bool,
}

impl<L: Log> Worker<L> {
    /// Works until `token` or until no appender is left.
    pub(super) async fn run(self, queue: Receiver<Entry>, token: CancellationToken) {
        token.run_until_cancelled(self.work(queue)).await;
    }

    async fn work(self, mut queue: Receiver<Entry>) {
        let mut held = None;
        loop {
            let first = match held.take() {
                Some(entry) => entry,
                None => match queue.recv().await {
                    Some(entry) => entry,
                    None => return,
                },
            };
            let entries = self.gather(first, &mut queue, &mut held).await;
            let batch = Batch {
                entries,
                doubtful: false,
            };
            self.commit(batch).await;
        }
    }

    /// Gathers entries up to the limits; one that does not fit is held for the next batch.
    async fn gather(
        &self,
        first: Entry,
        queue: &mut Receiver<Entry>,
        held: &mut Option<Entry>,
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
                *held = Some(entry);
                break;
            }
            entries.push(entry);
        }
        entries
    }

    /// Appends a batch, again and again while anyone waits for it.
    async fn commit(&self, mut batch: Batch) {
        let mut backoff = Backoff::new();
        loop {
            batch.entries.retain(|e| e.wanted() && e.progress.send());
            if batch.entries.is_empty() {
                return;
            }
            let wait = match self.log.append(self.stream, batch.records()).await {
                Ok(first) => return batch.answer(first),
                Err(Error::Refused { retry_after }) => {
                    let until = Instant::now() + retry_after;
                    self.closed.set(until);
                    batch.refused(until, retry_after);
                    retry_after
                }
                Err(error) => {
                    log::warn!(
                        "appender: {} append in doubt, made again: {error}",
                        self.stream
                    );
                    batch.doubtful = true;
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

    fn answer(self, first: Offset) {
        let mut offset = first;
        for entry in self.entries {
            let next = Offset(offset.0 + entry.records.len() as u64);
            // A caller that has gone reads its record back from the stream.
            let _ = entry.answer.send(Ok(offset));
            offset = next;
        }
    }

    /// Answers those whose deadline comes before the log takes appends again.
    fn refused(&mut self, until: Instant, retry_after: Duration) {
        if !self.doubtful {
            self.entries.iter().for_each(|e| e.progress.unsent());
        }
        let (waiting, hopeless): (Vec<_>, Vec<_>) =
            self.entries.drain(..).partition(|e| e.deadline > until);
        self.entries = waiting;
        for entry in hopeless {
            entry.refuse(Error::Refused { retry_after });
        }
    }
}

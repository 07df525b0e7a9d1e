//! Reads a stream of the log continuously and folds it into a view.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Duration;

use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_units::Wall;
use pimento_wire::platform::Batch;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::backoff::Backoff;
use crate::log::Error;
use crate::log::Log;

/// The largest number of records in one read.
const MAX_RECORDS: usize = 1_000;
/// How long a read waits for records. It bounds the age that a follower reports of a stream without
/// new records.
const READ_WAIT: Duration = Duration::from_secs(1);

/// A view that is folded from the records of a stream.
pub trait Fold: Send + Sync + 'static {
    /// Applies the record at `offset`, which the log appended at `at` by its own clock. Records come in
    /// the order of their offsets, each once.
    fn apply(&mut self, offset: Offset, at: Wall, record: &str);

    /// The log has dropped records that were not read. The next record is at `oldest` or later, and the
    /// view may lack the changes of the dropped records.
    fn records_dropped(&mut self, oldest: Offset);

    /// The offset to continue reading at, where all records before `next` were read. A view that got a
    /// newer state elsewhere may skip records; one that must read records again may go back.
    fn resume(&self, next: Offset) -> Offset {
        next
    }
}

/// Follows one stream. Clones share the view.
#[derive(Debug)]
pub struct Follower<F> {
    shared: Arc<Shared<F>>,
}

impl<F> Clone for Follower<F> {
    fn clone(&self) -> Self {
        let shared = Arc::clone(&self.shared);
        Self { shared }
    }
}

#[derive(Debug)]
struct Shared<F> {
    fold: RwLock<F>,
    position: Mutex<Position>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Position {
    next: Offset,
    /// When the last read that reached the end of the stream was sent.
    read_sent: Instant,
    /// The log's clock when it answered that read.
    log_time: Option<Wall>,
    caught_up: bool,
    /// Whether a read has succeeded or failed.
    attempted: bool,
}

impl<F: Fold> Follower<F> {
    /// Follows `stream`, starting at `from`, until `token` is cancelled.
    pub fn start(
        log: impl Log,
        stream: Stream,
        from: Offset,
        fold: F,
        token: CancellationToken,
    ) -> Self {
        let (enabled, _) = watch::channel(true);
        Self::start_gated(log, stream, from, fold, enabled.subscribe(), token)
    }

    /// Like [`Follower::start`], but reads only while `enabled` is true.
    pub fn start_gated(
        log: impl Log,
        stream: Stream,
        from: Offset,
        fold: F,
        enabled: watch::Receiver<bool>,
        token: CancellationToken,
    ) -> Self {
        let position = Position {
            next: from,
            read_sent: Instant::now(),
            log_time: None,
            caught_up: false,
            attempted: false,
        };
        let shared = Arc::new(Shared {
            fold: RwLock::new(fold),
            position: Mutex::new(position),
            changed: watch::Sender::new(0),
        });
        let reader = Reader {
            log,
            stream,
            enabled,
            shared: Arc::clone(&shared),
        };
        tokio::spawn(async move { token.run_until_cancelled(reader.run()).await });
        Self { shared }
    }

    /// Calls `inspect` with the view. It runs under a lock and must be short.
    pub fn view<T>(&self, inspect: impl FnOnce(&F) -> T) -> T {
        let fold = self
            .shared
            .fold
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        inspect(&fold)
    }

    /// Changes the view by data that is not from the stream, and wakes the waiting tasks.
    pub fn update<T>(&self, change: impl FnOnce(&mut F) -> T) -> T {
        let result = {
            let mut fold = self
                .shared
                .fold
                .write()
                .unwrap_or_else(PoisonError::into_inner);
            change(&mut fold)
        };
        self.shared.wake();
        result
    }

    /// Waits until `find` returns a value for the view, at most until `deadline`. It is called at once
    /// and after each batch.
    pub async fn wait<T>(&self, deadline: Instant, find: impl Fn(&F) -> Option<T>) -> Option<T> {
        // Subscribes before the first call, so that a batch in between is not missed.
        let mut changed = self.shared.changed.subscribe();
        loop {
            if let Some(found) = self.view(&find) {
                return Some(found);
            }
            match tokio::time::timeout_at(deadline, changed.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return self.view(&find),
            }
        }
    }

    /// A receiver that is notified of each batch, each failed read and each [`Follower::update`].
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.shared.changed.subscribe()
    }

    /// Upper bound of the view's age: the time since the last read that reached the end of the stream
    /// was sent.
    ///
    /// It counts from the sending and not from the answer. An answer may wait in a socket while the
    /// process is paused, and would make an old view look current.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.shared.position().read_sent.elapsed()
    }

    /// Whether the last read reached the end of the stream.
    #[must_use]
    pub fn caught_up(&self) -> bool {
        self.shared.position().caught_up
    }

    /// The last read that reached the end of the stream: the log's clock when it answered, and when the
    /// read was sent.
    #[must_use]
    pub fn last_complete_read(&self) -> Option<(Wall, Instant)> {
        let position = self.shared.position();
        position.log_time.map(|at| (at, position.read_sent))
    }

    /// Whether a read has succeeded or failed.
    #[must_use]
    pub fn attempted(&self) -> bool {
        self.shared.position().attempted
    }

    /// The next offset to read.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.shared.position().next
    }
}

impl<F> Shared<F> {
    fn position(&self) -> Position {
        *self.position.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_position(&self, position: Position) {
        *self.position.lock().unwrap_or_else(PoisonError::into_inner) = position;
    }

    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

struct Reader<L, F> {
    log: L,
    stream: Stream,
    enabled: watch::Receiver<bool>,
    shared: Arc<Shared<F>>,
}

impl<L: Log, F: Fold> Reader<L, F> {
    async fn run(mut self) {
        let mut backoff = Backoff::new();
        loop {
            self.wait_until_enabled().await;
            let sent = Instant::now();
            let next = self.next();
            match self
                .log
                .read(self.stream, next, MAX_RECORDS, READ_WAIT)
                .await
            {
                Ok(batch) => {
                    backoff.reset();
                    self.apply(next, &batch, sent);
                }
                Err(Error::Gone { oldest }) if oldest > next => self.skip_to(oldest),
                Err(error) => {
                    self.record_failure();
                    let min_wait = match error {
                        Error::Refused { retry_after } => retry_after.min(READ_WAIT),
                        _ => Duration::ZERO,
                    };
                    let wait = backoff.next_delay(min_wait);
                    log::debug!(
                        "follower: read of {} failed, retrying in {wait:?}: {error}",
                        self.stream
                    );
                    tokio::time::sleep(wait).await;
                }
            }
        }
    }

    async fn wait_until_enabled(&mut self) {
        // A channel whose sender was dropped keeps its last value.
        if self.enabled.wait_for(|enabled| *enabled).await.is_err() && !*self.enabled.borrow() {
            std::future::pending::<()>().await;
        }
    }

    fn next(&self) -> Offset {
        let fold = self
            .shared
            .fold
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        fold.resume(self.shared.position().next)
    }

    fn apply(&self, from: Offset, batch: &Batch, sent: Instant) {
        let resumed = self.fold(from, batch);
        let mut position = self.shared.position();
        position.next = resumed;
        position.attempted = true;
        position.caught_up = resumed >= batch.end;
        if position.caught_up {
            position.read_sent = sent;
            position.log_time = Some(batch.now);
        }
        self.shared.set_position(position);
        self.shared.wake();
    }

    /// Applies a batch and returns the offset to continue at.
    fn fold(&self, from: Offset, batch: &Batch) -> Offset {
        let mut fold = self
            .shared
            .fold
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        let mut next = from;
        for entry in &batch.records {
            if entry.offset < next {
                continue;
            }
            fold.apply(entry.offset, entry.at, &entry.record);
            next = entry.offset.next();
            let resumed = fold.resume(next);
            // The view continues elsewhere than at the batch's next record.
            if resumed != next {
                return resumed;
            }
        }
        fold.resume(next.max(batch.next))
    }

    fn skip_to(&self, oldest: Offset) {
        log::warn!(
            "follower: the log has dropped unread records of {}; continuing at {oldest}",
            self.stream
        );
        self.shared
            .fold
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .records_dropped(oldest);
        let mut position = self.shared.position();
        position.next = oldest;
        position.caught_up = false;
        self.shared.set_position(position);
        self.shared.wake();
    }

    fn record_failure(&self) {
        let mut position = self.shared.position();
        position.attempted = true;
        position.caught_up = false;
        self.shared.set_position(position);
        self.shared.wake();
    }
}

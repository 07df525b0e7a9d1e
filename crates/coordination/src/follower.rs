//! Follows a stream of the log and folds it into a view.

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

/// The most records in one read.
const MAX: usize = 1_000;
/// How long a read waits for records. It bounds the age that a follower reports on a quiet stream.
const WAIT: Duration = Duration::from_secs(1);

/// A view that is folded from a stream.
pub trait Fold: Send + Sync + 'static {
    /// Takes the record at `offset`, which the log took at `at` by its own clock. Records come in
    /// offset order, each once.
    fn apply(&mut self, offset: Offset, at: Wall, record: &str);

    /// Retention passed records that were not read: the next record is not before `oldest`, and
    /// what the view says of the past may be wrong.
    fn reset(&mut self, oldest: Offset);

    /// Where to read on after the records before `next`; a view that got a newer state elsewhere
    /// may go further, one that must read again may go back.
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
    /// When a read was sent that reached the end of the stream.
    read_sent: Instant,
    /// The log's clock when it answered that read.
    log_time: Option<Wall>,
    caught_up: bool,
    /// Whether a read has ended, well or not.
    attempted: bool,
}

impl<F: Fold> Follower<F> {
    /// Follows `stream` from `from` on until `token`.
    pub fn start(
        log: impl Log,
        stream: Stream,
        from: Offset,
        fold: F,
        token: CancellationToken,
    ) -> Self {
        let (gate, _) = watch::channel(true);
        Self::start_gated(log, stream, from, fold, gate.subscribe(), token)
    }

    /// As [`Follower::start`], but reads only while `gate` holds true.
    pub fn start_gated(
        log: impl Log,
        stream: Stream,
        from: Offset,
        fold: F,
        gate: watch::Receiver<bool>,
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
            gate,
            shared: Arc::clone(&shared),
        };
        tokio::spawn(async move { token.run_until_cancelled(reader.run()).await });
        Self { shared }
    }

    /// Looks at the view. `look` runs under a lock and must be short.
    pub fn view<T>(&self, look: impl FnOnce(&F) -> T) -> T {
        let fold = self
            .shared
            .fold
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        look(&fold)
    }

    /// Changes the view by something that is not on the stream, and wakes those who wait.
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

    /// Waits until `look` finds something in the view, at most until `deadline`. It is asked at
    /// once and after each batch.
    pub async fn wait<T>(&self, deadline: Instant, look: impl Fn(&F) -> Option<T>) -> Option<T> {
        // Subscribed before the first look, so that a batch in between is not missed.
        let mut changed = self.shared.changed.subscribe();
        loop {
            if let Some(found) = self.view(&look) {
                return Some(found);
            }
            match tokio::time::timeout_at(deadline, changed.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return self.view(&look),
            }
        }
    }

    /// A receiver that is told of each batch.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.shared.changed.subscribe()
    }

    /// How old the view can be: the time since a read was sent that reached the stream's end.
    ///
    /// It counts from the sending and not from the answer. An answer may lie in a socket while the
    /// process is paused, and would make an old view look fresh.
    #[must_use]
    pub fn age(&self) -> Duration {
        self.shared.position().read_sent.elapsed()
    }

    /// Whether the last read reached the end of the stream.
    #[must_use]
    pub fn caught_up(&self) -> bool {
        self.shared.position().caught_up
    }

    /// The log's clock, and the moment, of the last read that reached the stream's end.
    #[must_use]
    pub fn last_complete_read(&self) -> Option<(Wall, Instant)> {
        let position = self.shared.position();
        position.log_time.map(|at| (at, position.read_sent))
    }

    /// Whether a read has ended, well or not.
    #[must_use]
    pub fn attempted(&self) -> bool {
        self.shared.position().attempted
    }

    /// The next offset to read.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.shared.position().next
    }
}

impl<F> Shared<F> {
    fn position(&self) -> Position {
        *self.position.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn move_to(&self, position: Position) {
        *self.position.lock().unwrap_or_else(PoisonError::into_inner) = position;
    }

    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }
}

struct Reader<L, F> {
    log: L,
    stream: Stream,
    gate: watch::Receiver<bool>,
    shared: Arc<Shared<F>>,
}

impl<L: Log, F: Fold> Reader<L, F> {
    async fn run(mut self) {
        let mut backoff = Backoff::new();
        loop {
            self.pass_gate().await;
            let sent = Instant::now();
            let next = self.next();
            match self.log.read(self.stream, next, MAX, WAIT).await {
                Ok(batch) => {
                    backoff.reset();
                    self.take(next, &batch, sent);
                }
                Err(Error::Gone { oldest }) if oldest > next => self.lapse(oldest),
                Err(error) => {
                    self.stumble();
                    let least = match error {
                        Error::Refused { after } => after.min(WAIT),
                        _ => Duration::ZERO,
                    };
                    let wait = backoff.wait(least);
                    log::debug!(
                        "follower: {} not read, again in {wait:?}: {error}",
                        self.stream
                    );
                    tokio::time::sleep(wait).await;
                }
            }
        }
    }

    async fn pass_gate(&mut self) {
        // A gate whose owner is gone stays as it was last set.
        if self.gate.wait_for(|open| *open).await.is_err() && !*self.gate.borrow() {
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

    fn take(&self, from: Offset, batch: &Batch, sent: Instant) {
        let resumed = self.fold(from, batch);
        let mut position = self.shared.position();
        position.next = resumed;
        position.attempted = true;
        position.caught_up = resumed >= batch.end;
        if position.caught_up {
            position.read_sent = sent;
            position.log_time = Some(batch.now);
        }
        self.shared.move_to(position);
        self.shared.wake();
    }

    /// Applies a batch and gives the place to read on.
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
            // The rest of the batch is not what the fold wants next.
            if resumed != next {
                return resumed;
            }
        }
        fold.resume(next.max(batch.next))
    }

    fn lapse(&self, oldest: Offset) {
        log::warn!(
            "follower: {} kept from {oldest} on only, records before were not read",
            self.stream
        );
        self.shared
            .fold
            .write()
            .unwrap_or_else(PoisonError::into_inner)
            .reset(oldest);
        let mut position = self.shared.position();
        position.next = oldest;
        position.caught_up = false;
        self.shared.move_to(position);
        self.shared.wake();
    }

    fn stumble(&self) {
        let mut position = self.shared.position();
        position.attempted = true;
        position.caught_up = false;
        self.shared.move_to(position);
        self.shared.wake();
    }
}

//! Follows a topic of the log: what is read is applied in offset order, each record once, and its
//! age is proven.
//!
//! A read proves that nothing newer was there when it was *sent*: its answer may be late, and the
//! topic may have moved since. Reads are given up after a bound and made on another connection, as
//! a connection may fall silent for good.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use compact_str::CompactString;
use pimento_units::Moment;
use pimento_units::Offset;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::boot;
use crate::topic::Batch;
use crate::topic::Error;
use crate::topic::Log;
use crate::topic::Record;
use crate::topic::Topic;

/// A view that is folded from a topic's records.
pub trait Fold: Send + 'static {
    /// Takes a record that is newer than all others seen of its key.
    fn apply(&mut self, record: &Record, told: Told);

    /// The follower lost touch with the log for so long that what it knows may be out of date, or
    /// is in touch again.
    fn touch(&mut self, _touch: Touch) {}
}

/// How a record came to be known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Told {
    /// When.
    pub at: Moment,
    /// Since when reads have been answered without a long break.
    pub touch: Moment,
}

/// Whether reads are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Touch {
    /// Not any more.
    Lost,
    /// Again, since this moment.
    Regained(Moment),
}

/// How a topic is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// How long a read waits for records at the log.
    pub wait: Duration,
    /// Pause between reads. On a topic on which many write, a read that waits would be answered for
    /// each record.
    pub pause: Duration,
    /// How long an answer may take beyond `wait`.
    pub patience: Duration,
}

/// After this long without an answered read the log counts as out of touch: two reads that were
/// given up, at the shortest bounds in use.
const OUT_OF_TOUCH: Duration = Duration::from_millis(1_200);

/// The first pause after a failed read; an answer that was lost is often a single event.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// The longest pause after failed reads. It bounds how long a log that is back goes unnoticed, and
/// the bounds on configuration and on leaving endpoints are two seconds.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

#[derive(Debug)]
struct Inner<F> {
    fold: F,
    /// Newest offset of each key, sorted by key.
    seen: Vec<(CompactString, Offset)>,
    next: Option<Offset>,
    /// When the last read that reached the end was sent.
    proven: Option<Moment>,
    touch: Option<Moment>,
}

/// Follows one topic. Clones share the view.
#[derive(Debug)]
pub struct Follower<F, L> {
    topic: Topic,
    log: L,
    pace: Pace,
    inner: Arc<Mutex<Inner<F>>>,
    changed: Arc<watch::Sender<u64>>,
    confirming: Arc<tokio::sync::Mutex<()>>,
}

impl<F, L: Clone> Clone for Follower<F, L> {
    fn clone(&self) -> Self {
        Self {
            topic: self.topic,
            log: self.log.clone(),
            pace: self.pace,
            inner: Arc::clone(&self.inner),
            changed: Arc::clone(&self.changed),
            confirming: Arc::clone(&self.confirming),
        }
    }
}

impl<F: Fold, L: Log> Follower<F, L> {
    /// Follows `topic` until `token`.
    pub fn start(log: L, topic: Topic, pace: Pace, fold: F, token: CancellationToken) -> Self {
        let inner = Inner {
            fold,
            seen: Vec::new(),
            next: None,
            proven: None,
            touch: None,
        };
        let follower = Self {
            topic,
            log,
            pace,
            inner: Arc::new(Mutex::new(inner)),
            changed: Arc::new(watch::Sender::new(0)),
            confirming: Arc::default(),
        };
        let reader = follower.clone();
        tokio::spawn(async move { token.run_until_cancelled(reader.run()).await });
        follower
    }

    fn lock(&self) -> MutexGuard<'_, Inner<F>> {
        // A panic in a fold is a bug; going on with what was folded beats refusing all.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks at the view. `look` runs under a lock and must be short.
    pub fn view<T>(&self, look: impl FnOnce(&F) -> T) -> T {
        look(&self.lock().fold)
    }

    /// Changes the view by something that is not on the topic.
    pub fn amend<T>(&self, change: impl FnOnce(&mut F) -> T) -> T {
        change(&mut self.lock().fold)
    }

    /// When the topic was last known to hold nothing newer than the view, on the clock of
    /// [`boot::now`]; none before the first read.
    #[must_use]
    pub fn proven(&self) -> Option<Moment> {
        self.lock().proven
    }

    /// How long ago that was.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.proven().map(|proven| boot::now().since(proven))
    }

    /// The offset after the last record applied.
    #[must_use]
    pub fn next(&self) -> Option<Offset> {
        self.lock().next
    }

    /// Tells of each change of the view.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Reads once more, now, unless the view is younger than `moment` already. Those who ask at the
    /// same time share one read. False if it could not be read.
    pub async fn confirm(&self, moment: Moment) -> bool {
        let _one = self.confirming.lock().await;
        if self.proven().is_some_and(|proven| proven >= moment) {
            return true;
        }
        let Some(next) = self.next() else {
            return false;
        };
        let sent = boot::now();
        let read = self.log.read(self.topic, next, Duration::ZERO);
        match tokio::time::timeout(self.pace.patience, read).await {
            Ok(Ok(batch)) => {
                self.take(&batch, sent);
                self.proven().is_some_and(|proven| proven >= sent)
            }
            Ok(Err(error)) => {
                log::warn!("follower: {} not confirmed: {error}.", self.topic.as_str());
                false
            }
            Err(_) => {
                log::warn!("follower: {} not confirmed in time.", self.topic.as_str());
                false
            }
        }
    }

    async fn run(self) {
        let mut pause = FIRST_PAUSE;
        loop {
            match self.read().await {
                Ok(whole) => {
                    pause = FIRST_PAUSE;
                    if whole {
                        tokio::time::sleep(self.pace.pause).await;
                    }
                }
                Err(reason) => {
                    log::warn!("follower: {} not read: {reason}.", self.topic.as_str());
                    self.stumble();
                    let share = rand::random_range(0.5..=1.0);
                    tokio::time::sleep(pause.mul_f64(share)).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
        }
    }

    /// Reads once; whether the end was reached.
    async fn read(&self) -> Result<bool, CompactString> {
        let sent = boot::now();
        let next = self.next();
        let wait = self.pace.wait;
        let exchange = async {
            match next {
                None => self.log.newest(self.topic).await,
                Some(next) => self.log.read(self.topic, next, wait).await,
            }
        };
        let bound = self.pace.patience + wait;
        match tokio::time::timeout(bound, exchange).await {
            Ok(Ok(batch)) => Ok(self.take(&batch, sent)),
            Ok(Err(Error::Gone { oldest })) => {
                log::info!(
                    "follower: {} begins at {oldest}, reading the newest of each key.",
                    self.topic.as_str()
                );
                self.lock().next = None;
                Ok(false)
            }
            Ok(Err(error)) => Err(CompactString::from(error.to_string())),
            Err(_) => Err(CompactString::const_new("no answer in time")),
        }
    }

    /// Applies what is new; whether the view now holds all up to the end.
    fn take(&self, batch: &Batch, sent: Moment) -> bool {
        let now = boot::now();
        let mut inner = self.lock();
        let mut changed = false;
        let snapshot = inner.next.is_none();
        inner.regain(now);
        for record in &batch.records {
            changed |= inner.apply(record, now);
        }
        if snapshot {
            changed |= inner.drop_missing(batch, now);
        }
        let last = batch.records.last().map(|record| record.offset.next());
        let reached = if snapshot {
            batch.end
        } else {
            last.unwrap_or(batch.end)
        };
        inner.next = inner.next.max(Some(reached));
        let whole = inner.next >= Some(batch.end);
        if whole {
            inner.proven = inner.proven.max(Some(sent));
        }
        drop(inner);
        if changed {
            self.changed.send_modify(|count| *count += 1);
        }
        whole
    }

    fn stumble(&self) {
        let now = boot::now();
        let mut inner = self.lock();
        let silent = inner.proven.is_none_or(|proven| {
            now.since(proven) > OUT_OF_TOUCH + self.pace.wait + self.pace.pause
        });
        if silent && inner.touch.take().is_some() {
            inner.fold.touch(Touch::Lost);
            log::warn!("follower: {} is out of touch.", self.topic.as_str());
        }
    }
}

impl<F: Fold> Inner<F> {
    fn regain(&mut self, now: Moment) {
        if self.touch.is_none() {
            self.touch = Some(now);
            self.fold.touch(Touch::Regained(now));
        }
    }

    /// Applies a record unless a newer one of its key was seen: pages of the newest records are no
    /// snapshot, and two reads may overlap.
    fn apply(&mut self, record: &Record, now: Moment) -> bool {
        match self.seen.binary_search_by(|(key, _)| key.cmp(&record.key)) {
            Ok(place) if self.seen[place].1 >= record.offset => return false,
            Ok(place) => self.seen[place].1 = record.offset,
            Err(place) => self.seen.insert(place, (record.key.clone(), record.offset)),
        }
        let told = Told {
            at: now,
            touch: self.touch.unwrap_or(now),
        };
        self.fold.apply(record, told);
        true
    }

    /// Drops the keys that a reading of the newest records no longer has.
    fn drop_missing(&mut self, batch: &Batch, now: Moment) -> bool {
        let before = batch.end;
        let gone: Vec<CompactString> = self
            .seen
            .iter()
            .filter(|(key, offset)| {
                *offset < before && !batch.records.iter().any(|record| record.key == *key)
            })
            .map(|(key, _)| key.clone())
            .collect();
        let mut changed = false;
        for key in gone {
            let record = Record {
                offset: Offset(before.0.saturating_sub(1)),
                key,
                value: None,
            };
            changed |= self.apply(&record, now);
        }
        changed
    }
}

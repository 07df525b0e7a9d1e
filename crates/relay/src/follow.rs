//! Follows a topic of the log. Records are applied once, in offset order, and the age of the resulting
//! view is known.
//!
//! A read proves that the view held everything at the time when the read was *sent*: the answer may be
//! late, and the topic may have grown since. Reads that get no answer are given up after a timeout and
//! retried on another connection, because a connection may fall silent for good.
//!
//! In each zone one VM, the reader, reads for the others ([`ReadRole`]), which make no calls while nothing
//! changes. The reader can't tell a served VM how old its view is by the reader's own clock, because their
//! clocks can't be compared. A served VM B and its reader A proceed as follows:
//!
//! 1. B sends its time t, a [`Stamp`](crate::zone::Stamp), to A with its datagrams.
//! 2. A sends a read after it has received t, and reads the topic to its end.
//! 3. A's next datagram holds a [`Proof`]: the offset after the last change, and t.
//! 4. If B has all changes before that offset, its view is current as of t, by B's own clock. Otherwise B
//!    first gets the changes that it lacks.
//!
//! In a zone that is divided into groups, A serves the leaders of the groups, and each leader L its group. L
//! keeps when each stamp of B arrived. A proof says that L's view was current as of a moment of L's clock, so
//! that it covers every stamp of B that had arrived by then, and L proves B's view by the last of them.
//!
//! A datagram that was delayed, by the network or by a suspended VM, makes a view look older than it is,
//! never younger.

mod exchange;
mod fold;
mod read;
mod start;
mod timing;
mod turns;
mod view;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_units::Moment;
use pimento_units::Offset;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

pub use self::exchange::ReadCounts;
pub use self::fold::Connectivity;
pub use self::fold::Fold;
pub use self::fold::RecordContext;
use self::start::FirstView;
use self::timing::AT_ONCE;
pub use self::timing::Polling;
pub use self::timing::ReadRole;
pub use self::timing::ReadTiming;
use self::timing::SERVED_BACKOFF;
pub use self::timing::answer_timeout;
pub use self::timing::max_backoff;
pub use self::view::RecordRange;
pub use self::view::View;
use crate::boot;
use crate::calls::LogCalls;
use crate::calls::Reason;
use crate::position::Era;
use crate::topic::Batch;
use crate::topic::Log;
use crate::topic::Record;
use crate::topic::Topic;
use crate::zone;
use crate::zone::ZoneReading;

/// What a VM that reads the log proves to another VM: a view that holds everything before `change_end` was
/// up to date at `stamp`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// The offset after the last record that changed the sender's view.
    pub change_end: Offset,
    /// The offset up to which the sender has read the topic. No record between the two changed its view.
    pub read_end: Offset,
    /// The last stamp of the receiving VM that had reached the sender before it sent the read.
    pub stamp: Moment,
}

/// Time without an answered read, beyond the usual time between reads, after which the log counts as
/// disconnected. It is the time that two reads without an answer take at the shortest bounds in use.
const DISCONNECTED_AFTER: Duration = Duration::from_millis(1_200);

/// The first pause after a failed read. It is short because a lost answer is often a single event.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);

/// How long records may arrive after the proof that mentions them. Datagrams that were sent together
/// arrive within some milliseconds of each other.
const REORDERING: Duration = Duration::from_millis(25);

/// Follows one topic. Clones share the view.
#[derive(Debug)]
pub struct Follower<F, L> {
    topic: Topic,
    log: L,
    timing: ReadTiming,
    zone: ZoneReading,
    calls: LogCalls,
    started: Moment,
    inner: Arc<Mutex<View<F>>>,
    /// Notified when another VM's proof arrives.
    wake: Arc<Notify>,
    /// Number of changes of the view.
    change_count: Arc<watch::Sender<u64>>,
}

impl<F, L: Clone> Clone for Follower<F, L> {
    fn clone(&self) -> Self {
        Self {
            topic: self.topic,
            log: self.log.clone(),
            timing: self.timing,
            zone: self.zone.clone(),
            calls: self.calls.clone(),
            started: self.started,
            wake: Arc::clone(&self.wake),
            inner: Arc::clone(&self.inner),
            change_count: Arc::clone(&self.change_count),
        }
    }
}

impl<F: Fold, L: Log> Follower<F, L> {
    /// Follows `topic` until `token` is cancelled. Reads are counted in `calls`.
    pub fn start(
        log: L,
        topic: Topic,
        timing: ReadTiming,
        zone: ZoneReading,
        calls: LogCalls,
        fold: F,
        token: CancellationToken,
    ) -> Self {
        let inner = View::new(fold);
        let follower = Self {
            topic,
            log,
            timing,
            zone,
            calls,
            started: boot::now(),
            wake: Arc::default(),
            inner: Arc::new(Mutex::new(inner)),
            change_count: Arc::new(watch::Sender::new(0)),
        };
        let task = follower.clone();
        tokio::spawn(async move { token.run_until_cancelled(task.run()).await });
        follower
    }

    fn lock(&self) -> MutexGuard<'_, View<F>> {
        // A panic in a fold is a bug. Serving with the state before it beats refusing every request.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `look` with the view. `look` runs under a lock and must be short.
    pub fn view<T>(&self, look: impl FnOnce(&F) -> T) -> T {
        look(&self.lock().fold)
    }

    /// Changes the view by something that does not come from the topic. `change` runs under a lock and
    /// must be short.
    pub fn modify<T>(&self, change: impl FnOnce(&mut F) -> T) -> T {
        change(&mut self.lock().fold)
    }

    /// The latest moment, on the clock of [`boot::now`], at which the view is known to have held the whole
    /// topic; none before the first read.
    #[must_use]
    pub fn proven_at(&self) -> Option<Moment> {
        self.lock().proven_at
    }

    /// The time since [`proven_at`](Self::proven_at).
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.proven_at().map(|proven| boot::now().since(proven))
    }

    /// The offset after the last record applied.
    #[must_use]
    pub fn next_offset(&self) -> Option<Offset> {
        self.lock().next
    }

    /// The era of the view's records.
    #[must_use]
    pub fn era(&self) -> Era {
        self.lock().era
    }

    /// Outcomes of the reads so far.
    #[must_use]
    pub fn read_counts(&self) -> ReadCounts {
        self.lock().read_counts
    }

    /// For how long the view has lacked a change that another VM announced; none if it lacks no announced
    /// change.
    #[must_use]
    pub fn behind(&self) -> Option<Duration> {
        let since = self.lock().behind_since?;
        Some(boot::now().since(since))
    }

    /// The proof for another VM; none if no stamp of it had arrived before the last read that reached the
    /// end of the topic.
    #[must_use]
    pub fn proof(&self, node: u64) -> Option<Proof> {
        let inner = self.lock();
        let found = inner.stamps.binary_search_by_key(&node, |stamp| stamp.node);
        Some(Proof {
            change_end: inner.change_end,
            read_end: inner.next?,
            stamp: inner.stamps[found.ok()?].at,
        })
    }

    /// The records from `from` on that changed the view, in chunks that fit a datagram each, and the offset
    /// after the last of them. No chunks if a record is no longer cached or too large for a datagram; the
    /// other VMs must read it themselves then.
    #[must_use]
    pub fn chunks_from(&self, from: Offset) -> (Option<Vec<Vec<Record>>>, Offset) {
        let inner = self.lock();
        (inner.recent.chunks_from(from), inner.change_end)
    }

    /// The records from `from` on that changed the view, and the offset after the last of them. No records
    /// if one of them is no longer cached.
    #[must_use]
    pub fn records_from(&self, from: Offset) -> (Option<Vec<Record>>, Offset) {
        let inner = self.lock();
        (inner.recent.records_from(from), inner.change_end)
    }

    /// Receives records from another VM. They are buffered until the view holds everything before them. If
    /// the records in between do not arrive, that VM's next proof makes this one read.
    pub fn receive(&self, range: RecordRange) {
        let changed = {
            let mut inner = self.lock();
            let before = inner.proven_at;
            let changed = inner.receive(range, boot::now());
            self.pass_on_proof(&mut inner, before);
            changed
        };
        if changed {
            self.change_count.send_modify(|count| *count += 1);
        }
    }

    /// Receives the proof of another VM, which read up to the end of the topic after it had this VM's stamp.
    /// It proves this VM's view if the view lacks no change; otherwise this VM fetches the change.
    pub fn receive_proof(&self, proof: Proof) {
        // Another VM may still use a stamp of an earlier incarnation. If the machine restarted since, that
        // stamp may lie in the future, and the view would seem young until then.
        let possible = self.started <= proof.stamp && proof.stamp <= boot::now();
        if !possible {
            return;
        }
        let mut inner = self.lock();
        let before = inner.proven_at;
        inner.receive_proof(proof, boot::now());
        self.pass_on_proof(&mut inner, before);
        self.wake.notify_one();
        // An old proof, passed on by a VM that gets none itself, says nothing of the log now. Nor does one from
        // before this VM lost the log.
        let now = boot::now();
        let old = now.since(proof.stamp) > DISCONNECTED_AFTER + self.timing.max_proof_age;
        let before_loss = inner.lost_at.is_some_and(|lost| proof.stamp < lost);
        if old || before_loss || inner.lacks_changes() {
            return;
        }
        // The log is reachable as of now, not only once this VM reads it again. Until then the registration
        // of an endpoint that leaves would seem to have expired because of the outage.
        self.mark_connected(&mut inner, now);
    }

    /// Updates what this VM can prove to others once its own view is proven as of a later moment than
    /// `before`.
    fn pass_on_proof(&self, inner: &mut View<F>, before: Option<Moment>) {
        if let Some(proven) = inner.proven_at.filter(|proven| Some(*proven) > before) {
            inner.stamps = self.zone.stamps_at(proven);
            self.zone.proved.notify_one();
        }
    }

    /// A channel that is notified of each change of the view.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.change_count.subscribe()
    }

    async fn run(self) {
        let mut role_changes = self.zone.read_role.subscribe();
        let mut backoff = INITIAL_BACKOFF;
        let mut before = ReadRole::default();
        self.zone.wait_for_discovery().await;
        let mut first_view = FirstView {
            settled: Instant::now() + self.zone.settle_time(),
            give_up: None,
            remote_tries: 0,
        };
        loop {
            self.expire_retained();
            let role = *role_changes.borrow_and_update();
            let took_over = role == ReadRole::Reader && before != role;
            before = role;
            // A view that lacks a change is read until it has the change. Otherwise a VM whose read was
            // refused would wait for the next proof, or until its last proof is too old.
            let served_all_changes = role == ReadRole::Served
                && (!self.lacks_changes().await || self.fetch_missing().await);
            if served_all_changes && self.has_recent_proof() {
                let left = self
                    .age()
                    .map(|age| self.timing.max_proof_age.saturating_sub(age));
                tokio::select! {
                    () = self.wake.notified() => continue,
                    _ = role_changes.changed() => continue,
                    () = tokio::time::sleep(left.unwrap_or_default()) => continue,
                }
            }
            let state = self.zone.log_state();
            let started = self.next_offset().is_some();
            // After a restoration of the log the VMs that read it are the first to know its contents.
            let must_read = role != ReadRole::Served && self.lock().is_out_of_era();
            // In a divided zone a late proof or change says little about the log, and as many VMs would read it
            // as wait for the same leader. The next proof ends the wait, and with it what is missing is fetched
            // again.
            let take_turns =
                (state.no_eligible_reader || state.grouped) && role == ReadRole::Served && started;
            let wait_first = take_turns || state.outage_suspected && took_over;
            if wait_first && self.wait_for_turn(role, &mut role_changes).await {
                continue;
            }
            if !started
                && !must_read
                && self
                    .wait_for_first_view(role, &mut role_changes, &mut first_view)
                    .await
            {
                continue;
            }
            let polling = match role {
                ReadRole::Alone => self.timing.alone,
                ReadRole::Reader => self.timing.reader,
                ReadRole::Served => AT_ONCE,
            };
            match self.read(polling.wait, self.reason(role)).await {
                Ok(complete) => {
                    backoff = INITIAL_BACKOFF;
                    self.zone.read_answered();
                    if complete {
                        // What an answer took to arrive, a whole topic over a small link, has aged the view.
                        let age = self.age().unwrap_or_default();
                        tokio::time::sleep(polling.pause.saturating_sub(age)).await;
                    }
                }
                Err(failure) => {
                    failure.log("Read of the log failed");
                    self.zone.read_failed(failure.kind, boot::now());
                    self.check_disconnected(role, polling);
                    if take_turns {
                        continue;
                    }
                    if role == ReadRole::Served && failure.kind == zone::Failure::Refused {
                        // A lost answer is often a single event, a refusal is not.
                        backoff = backoff.max(SERVED_BACKOFF);
                    }
                    let share = rand::random_range(0.5..=1.0);
                    tokio::select! {
                        () = self.back_off(role, backoff.mul_f64(share)) => {}
                        _ = role_changes.changed() => {}
                    }
                    backoff = (backoff * 2).min(self.max_backoff(role));
                }
            }
        }
    }

    /// Removes what the log has lacked for too long since it was restored.
    fn expire_retained(&self) {
        let changed = self.lock().expire_retained(boot::now());
        if changed {
            self.change_count.send_modify(|count| *count += 1);
        }
    }

    /// The reason under which a read in this role is counted.
    fn reason(&self, role: ReadRole) -> Reason {
        let inner = self.lock();
        match role {
            _ if inner.next.is_none() => Reason::Start,
            ReadRole::Reader => Reason::Reader,
            ReadRole::Alone => Reason::Alone,
            ReadRole::Served if inner.lacks_changes() => Reason::Lacking,
            ReadRole::Served => Reason::Unproven,
        }
    }

    /// Whether the view lacks an announced change. Waits first for records that were sent together with
    /// the announcement.
    async fn lacks_changes(&self) -> bool {
        if self.lock().lacks_changes() {
            tokio::time::sleep(REORDERING).await;
        }
        self.lock().lacks_changes()
    }

    /// Whether this VM reads the topic itself and is answered, in whatever role: a served VM does so while
    /// its last proof is too old.
    #[must_use]
    pub fn is_reading(&self) -> bool {
        let reads = *self.zone.read_role.borrow() != ReadRole::Served || !self.has_recent_proof();
        reads && self.lock().connected_since.is_some()
    }

    /// Whether the last proof is recent enough to need no own read.
    fn has_recent_proof(&self) -> bool {
        self.age()
            .is_some_and(|age| age < self.timing.max_proof_age)
    }

    /// Applies the answer of a read that was sent at `sent`. Returns whether the view now holds everything
    /// up to the end of the topic.
    fn apply(&self, batch: &Batch, sent: Moment) -> bool {
        let now = boot::now();
        let mut inner = self.lock();
        self.mark_connected(&mut inner, now);
        let changed = if inner.next.is_none() {
            inner.replace(&batch.records, batch.end, now)
        } else {
            inner.extend(batch, now)
        };
        let complete = inner.next >= Some(batch.end);
        if complete && inner.drop_false_end(sent) {
            let topic = self.topic.as_str();
            log::warn!(topic; "follower: Another VM announced records that the log does not hold.");
        }
        let before = inner.proven_at;
        if complete {
            inner.proven_at = before.max(Some(sent));
        }
        self.pass_on_proof(&mut inner, before);
        drop(inner);
        if changed {
            self.change_count.send_modify(|count| *count += 1);
        }
        complete
    }

    /// Records that a read was answered, by this VM or by one that proved this VM's view.
    fn mark_connected(&self, inner: &mut View<F>, now: Moment) {
        if inner.connected_since.is_none() {
            inner.connected_since = Some(now);
            inner.fold.connectivity_changed(Connectivity::Restored(now));
            log::info!(topic = self.topic.as_str(); "follower: Connected to the log.");
        }
    }

    /// Marks the log as disconnected if the view has not been proven for too long. Called after a failed
    /// read, and in place of one that must wait for its turn.
    ///
    /// A served VM stays connected through its reader's proofs, which may be as old as
    /// `max_proof_age`. By its own reads alone it would disconnect and reconnect several times a second
    /// while the log refuses it.
    fn check_disconnected(&self, role: ReadRole, polling: Polling) {
        let interval = match role {
            ReadRole::Served => self.timing.max_proof_age,
            ReadRole::Alone | ReadRole::Reader => polling.wait + polling.pause,
        };
        let now = boot::now();
        let mut inner = self.lock();
        let silent = inner
            .proven_at
            .is_none_or(|proven| now.since(proven) > DISCONNECTED_AFTER + interval);
        if silent && inner.connected_since.take().is_some() {
            inner.lost_at = Some(now);
            inner.fold.connectivity_changed(Connectivity::Lost);
            log::warn!(topic = self.topic.as_str(); "follower: Disconnected from the log.");
        }
    }
}

//! Follows a topic of the log: what is read is applied in offset order, each record once, and its
//! age is proven.
//!
//! A read proves that nothing newer was there when it was *sent*: its answer may be late, and the
//! topic may have moved since. Reads are given up after a bound and made on another connection, as
//! a connection may fall silent for good.
//!
//! In a zone one VM reads for the others ([`Lead`]), which then make no calls while nothing changes.
//! What it tells them proves their view only as of a moment of their own clock: it names their newest
//! stamp that had come to it before it sent the read. A datagram that was delayed, by the network or
//! by a VM that was suspended, can therefore never make a view look younger than it is.

mod exchange;
mod fold;
mod read;
mod start;
mod timing;
mod view;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_units::Moment;
use pimento_units::Offset;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

pub use self::exchange::ReadCounts;
pub use self::fold::Connectivity;
pub use self::fold::Fold;
pub use self::fold::RecordContext;
use self::timing::AT_ONCE;
use self::timing::LED_PAUSE;
pub use self::timing::Lead;
pub use self::timing::Polling;
use self::timing::SUCCESSION;
pub use self::timing::Timing;
pub use self::timing::answer_timeout;
pub use self::timing::max_backoff;
pub use self::view::RecordRange;
pub use self::view::View;
use crate::boot;
use crate::calls::LogCalls;
use crate::calls::Reason;
use crate::topic::Batch;
use crate::topic::Log;
use crate::topic::Record;
use crate::topic::Topic;
use crate::zone;
use crate::zone::Stamp;
use crate::zone::Zone;

/// What a VM that reads can tell another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// The offset after the last record that changed the view.
    pub changed: Offset,
    /// The other VM's newest stamp that had come before the proving read was sent.
    pub stamp: Moment,
}

/// After this long without an answered read the log counts as out of touch: two reads that were
/// given up, at the shortest bounds in use.
const OUT_OF_TOUCH: Duration = Duration::from_millis(1_200);

/// The first pause after a failed read; an answer that was lost is often a single event.
const FIRST_PAUSE: Duration = Duration::from_millis(50);

/// How long records may come after the word that tells of them: datagrams that were sent together
/// arrive within some milliseconds.
const LATE: Duration = Duration::from_millis(25);

/// Follows one topic. Clones share the view.
#[derive(Debug)]
pub struct Follower<F, L> {
    topic: Topic,
    log: L,
    timing: Timing,
    zone: Zone,
    calls: LogCalls,
    began: Moment,
    inner: Arc<Mutex<View<F>>>,
    nudge: Arc<Notify>,
    changed: Arc<watch::Sender<u64>>,
    confirming: Arc<tokio::sync::Mutex<()>>,
    /// Told of the end of each own read.
    ended: Arc<Notify>,
}

impl<F, L: Clone> Clone for Follower<F, L> {
    fn clone(&self) -> Self {
        Self {
            topic: self.topic,
            log: self.log.clone(),
            timing: self.timing,
            zone: self.zone.clone(),
            calls: self.calls.clone(),
            began: self.began,
            nudge: Arc::clone(&self.nudge),
            inner: Arc::clone(&self.inner),
            changed: Arc::clone(&self.changed),
            confirming: Arc::clone(&self.confirming),
            ended: Arc::clone(&self.ended),
        }
    }
}

impl<F: Fold, L: Log> Follower<F, L> {
    /// Follows `topic` until `token`. Reads are counted in `calls`.
    pub fn start(
        log: L,
        topic: Topic,
        timing: Timing,
        zone: Zone,
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
            began: boot::now(),
            nudge: Arc::default(),
            inner: Arc::new(Mutex::new(inner)),
            changed: Arc::new(watch::Sender::new(0)),
            confirming: Arc::default(),
            ended: Arc::default(),
        };
        let reader = follower.clone();
        tokio::spawn(async move { token.run_until_cancelled(reader.run()).await });
        follower
    }

    fn lock(&self) -> MutexGuard<'_, View<F>> {
        // A panic in a fold is a bug; going on with what was folded beats refusing all.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Looks at the view. `look` runs under a lock and must be short.
    pub fn view<T>(&self, look: impl FnOnce(&F) -> T) -> T {
        look(&self.lock().fold)
    }

    /// Changes the view by something that is not on the topic.
    pub fn modify<T>(&self, change: impl FnOnce(&mut F) -> T) -> T {
        change(&mut self.lock().fold)
    }

    /// When the topic was last known to hold nothing newer than the view, on the clock of
    /// [`boot::now`]; none before the first read.
    #[must_use]
    pub fn proven_at(&self) -> Option<Moment> {
        self.lock().proven_at
    }

    /// How long ago that was.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.proven_at().map(|proven| boot::now().since(proven))
    }

    /// The offset after the last record applied.
    #[must_use]
    pub fn next_offset(&self) -> Option<Offset> {
        self.lock().next
    }

    /// How the reads so far went.
    #[must_use]
    pub fn read_counts(&self) -> ReadCounts {
        self.lock().read_counts
    }

    /// For how long another VM has known of a change that this view lacks; none while it lacks none
    /// that anybody told of.
    #[must_use]
    pub fn behind(&self) -> Option<Duration> {
        let since = self.lock().behind?;
        Some(boot::now().since(since))
    }

    /// What this VM can tell another one; none if it has not heard of it before its last read.
    #[must_use]
    pub fn proof(&self, node: u64) -> Option<Proof> {
        let inner = self.lock();
        let found = inner.stamps.iter().find(|stamp| stamp.node == node)?;
        Some(Proof {
            changed: inner.changed,
            stamp: found.at,
        })
    }

    /// What others lack that have all records before `from`: the records that changed the view since,
    /// in parts that fit a datagram each, and the offset after the last of them; no parts if they
    /// must read by themselves.
    #[must_use]
    pub fn chunks_from(&self, from: Offset) -> (Option<Vec<Vec<Record>>>, Offset) {
        let inner = self.lock();
        (inner.recent.chunks_from(from), inner.changed)
    }

    /// All records from `from` on that changed the view, with the offset after the last of them; none if
    /// one is not kept.
    #[must_use]
    pub fn records_from(&self, from: Offset) -> (Option<Vec<Record>>, Offset) {
        let inner = self.lock();
        (inner.recent.records_from(from), inner.changed)
    }

    /// Takes records of another VM. They wait until the view holds all before them; if what lacks does
    /// not come, the next word of that VM makes this one read.
    pub fn receive(&self, range: RecordRange) {
        let changed = self.lock().receive(range, boot::now());
        if changed {
            self.changed.send_modify(|count| *count += 1);
        }
    }

    /// Another VM read up to the end after it had this VM's stamp. If nothing that this VM has not
    /// read changed the view, that proves its own; otherwise it reads at once.
    pub fn receive_proof(&self, proof: Proof) {
        // A stamp of an earlier life may be in use still, and after a restart of the VM it is one of
        // a time to come: the view would seem young until then.
        let possible = self.began <= proof.stamp && proof.stamp <= boot::now();
        if !possible {
            return;
        }
        let mut inner = self.lock();
        inner.want(proof, boot::now());
        self.nudge.notify_one();
        if inner.lacks() {
            return;
        }
        // The log is back as of now, and not only when this VM next reads it: until then an endpoint
        // that leaves would count as one whose entry the outage had ended.
        self.regain(&mut inner, boot::now());
    }

    /// Tells of each change of the view.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    async fn run(self) {
        let mut lead = self.zone.lead.subscribe();
        let mut pause = FIRST_PAUSE;
        let mut before = Lead::default();
        self.zone.wait_for_discovery().await;
        loop {
            let role = *lead.borrow_and_update();
            let succeeds = role == Lead::Leading && before != role;
            before = role;
            // A view that lacks a change is read for until it has it: a VM whose read was refused would
            // otherwise wait for the next word, or until its trust is used up.
            let whole = role == Lead::Led && (!self.lacks().await || self.take_over().await);
            if whole && self.trusts() {
                let left = self
                    .age()
                    .map(|age| self.timing.max_proof_age.saturating_sub(age));
                tokio::select! {
                    () = self.nudge.notified() => continue,
                    _ = lead.changed() => continue,
                    () = tokio::time::sleep(left.unwrap_or_default()) => continue,
                }
            }
            let state = self.zone.log_state();
            let blind = state.no_able_reader && role == Lead::Led && self.next_offset().is_some();
            if (blind || state.outage_suspected && succeeds) && self.hesitate(role, &mut lead).await
            {
                continue;
            }
            if role == Lead::Led && self.next_offset().is_none() && self.take_snapshot().await {
                continue;
            }
            let polling = match role {
                Lead::Alone => self.timing.alone,
                Lead::Leading => self.timing.leading,
                Lead::Led => AT_ONCE,
            };
            match self.read(polling.wait, self.reason(role)).await {
                Ok(whole) => {
                    pause = FIRST_PAUSE;
                    self.zone.read_answered();
                    if whole {
                        tokio::time::sleep(polling.pause).await;
                    }
                }
                Err(failure) => {
                    failure.log("Not read");
                    self.zone.read_failed(failure.kind, boot::now());
                    self.stumble(role, polling);
                    if blind {
                        continue;
                    }
                    if role == Lead::Led && failure.kind == zone::Failure::Refused {
                        // A lost answer is often a single event, a refusal is not.
                        pause = pause.max(LED_PAUSE);
                    }
                    let share = rand::random_range(0.5..=1.0);
                    tokio::select! {
                        () = self.rest(role, pause.mul_f64(share)) => {}
                        _ = lead.changed() => {}
                    }
                    pause = (pause * 2).min(self.max_backoff(role));
                }
            }
        }
    }

    /// Waits before a read that the log would most likely turn away; whether something came up
    /// meanwhile.
    ///
    /// The log turns away one VM of a zone or all of them, and each can know it of itself alone. If all
    /// tried at once whenever it happens, and went on trying, most of what the log is asked would be in
    /// vain. So they try one after the other, and the first that is answered vouches for the others. A
    /// VM that another one reads for takes its turn by chance, if nobody is known whose reads are
    /// answered.
    async fn hesitate(&self, role: Lead, lead: &mut watch::Receiver<Lead>) -> bool {
        let pause = if role == Lead::Led {
            self.stumble(role, AT_ONCE);
            let others = u32::try_from(self.zone.stamps().len()).unwrap_or(u32::MAX);
            let all = SUCCESSION.saturating_mul(others.saturating_add(1));
            all.mul_f64(rand::random_range(0.0..=1.0))
        } else {
            SUCCESSION
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => false,
            () = self.nudge.notified() => true,
            _ = lead.changed() => {
                lead.mark_changed();
                true
            }
        }
    }

    /// Why a VM in this role reads now.
    fn reason(&self, role: Lead) -> Reason {
        let inner = self.lock();
        match role {
            _ if inner.next.is_none() => Reason::Start,
            Lead::Leading => Reason::Leading,
            Lead::Alone => Reason::Alone,
            Lead::Led if inner.lacks() => Reason::Lacking,
            Lead::Led => Reason::Unproven,
        }
    }

    /// Whether the view lacks what another VM knows of, and still does after what was handed on beside
    /// that word had time to come.
    async fn lacks(&self) -> bool {
        if self.lock().lacks() {
            tokio::time::sleep(LATE).await;
        }
        self.lock().lacks()
    }

    /// Pauses after a failed read. Word of a change doesn't end the pause, as it comes several times a
    /// second, also while the log turns this VM away and serves the one that reads for it. It cuts
    /// short one that was meant for a view that lacks nothing.
    async fn rest(&self, role: Lead, pause: Duration) {
        let end = Instant::now() + pause;
        tokio::select! {
            () = tokio::time::sleep_until(end) => return,
            () = self.nudge.notified() => {}
        }
        let sooner = Instant::now() + self.max_backoff(role);
        tokio::time::sleep_until(end.min(sooner)).await;
    }

    /// The longest pause after failed reads.
    fn max_backoff(&self, role: Lead) -> Duration {
        max_backoff(role, self.zone.stamps().len(), self.lock().lacks())
    }

    /// Whether this VM reads by itself, and its reads are answered.
    #[must_use]
    pub fn is_reading(&self) -> bool {
        let reads = *self.zone.lead.borrow() != Lead::Led || !self.trusts();
        reads && self.lock().connected_since.is_some()
    }

    /// Whether what another VM proved is young enough.
    fn trusts(&self) -> bool {
        self.age()
            .is_some_and(|age| age < self.timing.max_proof_age)
    }

    /// Applies what is new; whether the view now holds all up to the end.
    fn take(&self, batch: &Batch, sent: Moment, stamps: Vec<Stamp>) -> bool {
        let now = boot::now();
        let mut inner = self.lock();
        self.regain(&mut inner, now);
        let changed = if inner.next.is_none() {
            inner.replace(&batch.records, batch.end, now)
        } else {
            inner.extend(batch, now)
        };
        let whole = inner.next >= Some(batch.end);
        if whole && inner.refute(sent) {
            let topic = self.topic.as_str();
            log::warn!(topic; "follower: Another VM told of records that the log does not hold.");
        }
        if whole && inner.proven_at < Some(sent) {
            inner.proven_at = Some(sent);
            inner.stamps = stamps;
            self.zone.proved.notify_one();
        }
        drop(inner);
        if changed {
            self.changed.send_modify(|count| *count += 1);
        }
        whole
    }

    /// Notes that a read was answered, here or at a VM that vouches for this one.
    fn regain(&self, inner: &mut View<F>, now: Moment) {
        if inner.connected_since.is_none() {
            inner.connected_since = Some(now);
            inner.fold.connectivity_changed(Connectivity::Restored(now));
            log::info!(topic = self.topic.as_str(); "follower: The log is in touch.");
        }
    }

    /// A read failed. A VM that another one reads for is in touch by that one's word, which may be as
    /// old as the trust in it: judged by its own reads alone it would fall out of touch and back
    /// several times a second while the log turns it away.
    fn stumble(&self, role: Lead, polling: Polling) {
        let usual = match role {
            Lead::Led => self.timing.max_proof_age,
            Lead::Alone | Lead::Leading => polling.wait + polling.pause,
        };
        let now = boot::now();
        let mut inner = self.lock();
        let silent = inner
            .proven_at
            .is_none_or(|proven| now.since(proven) > OUT_OF_TOUCH + usual);
        if silent && inner.connected_since.take().is_some() {
            inner.fold.connectivity_changed(Connectivity::Lost);
            log::warn!(topic = self.topic.as_str(); "follower: The log is out of touch.");
        }
    }
}

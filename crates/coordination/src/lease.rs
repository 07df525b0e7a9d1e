//! A lease on the platform's log that covers orders to endpoints.
//!
//! The holder measures the lease with its monotonic clock, starting before it sends the record, and
//! stops a margin before the end. The fold accepts a successor only after the end by the log's
//! clock, which started later. So the two never overlap while the clocks drift apart by less than
//! the margin during a lease, even if either process is paused. A holder that was paused finds the
//! lease expired when it calls [`Lease::held`], which it must do right before each order.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_ledger::Acquire;
use pimento_ledger::Stream;
use pimento_ledger::leases;
use pimento_ledger::record::LeaseRecord;
use pimento_ledger::record::Release;
use pimento_units::Offset;
use pimento_units::Span;
use pimento_units::Wall;
use pimento_units::id;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::appender::Appender;
use crate::follower::Follower;
use crate::view;
use crate::view::TypedFold;

/// Renewal attempts in the span of one lease. A failed one can be repeated before the lease ends.
const RENEWALS: u32 = 3;

/// Settings of a [`Lease`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// How long a lease lasts without renewal.
    pub span: Span,
    /// How long before the end the holder stops. Covers the drift between two clocks during one
    /// lease, and the time that an order is in flight.
    pub margin: Duration,
}

impl Default for Config {
    /// The span is long compared with a slow append, and short for an operator who waits for a
    /// successor. The margin covers an order in flight, and a drift far beyond that of real clocks.
    fn default() -> Self {
        Self {
            span: Span::from_secs(15),
            margin: Duration::from_secs(2),
        }
    }
}

/// This node's view of the leases stream.
pub type View = view::View<leases::Fold>;

impl TypedFold for leases::Fold {
    type Record = LeaseRecord;

    const PREFIX: &'static str = "lease";

    fn apply(&mut self, offset: Offset, at: Wall, record: LeaseRecord) {
        self.apply(offset, at, &record);
    }
}

/// The right to give orders that this node holds, with its fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Held {
    /// The number to send with each order.
    pub number: Offset,
    /// When the holder must stop.
    pub until: Instant,
    /// When this node acquired the lease that it has held without interruption since. If endpoints
    /// ignore fencing numbers, it must first wait from here until no order of a predecessor can
    /// still be in flight.
    pub since: Instant,
}

/// One lease, acquired and renewed for one node. Clones share it.
#[derive(Debug, Clone)]
pub struct Lease {
    held: Arc<Mutex<Option<Held>>>,
    ended: CancellationToken,
}

impl Lease {
    /// Acquires and renews the lease until `token` is cancelled, then releases it.
    #[must_use]
    pub fn start(
        resource: id::Resource,
        node: id::Node,
        config: Config,
        appender: Appender,
        follower: Follower<View>,
        token: CancellationToken,
    ) -> Self {
        let held = Arc::new(Mutex::new(None));
        let renewer = Renewer {
            resource,
            node,
            config,
            appender,
            follower,
            held: Arc::clone(&held),
        };
        let ended = CancellationToken::new();
        let guard = ended.clone().drop_guard();
        tokio::spawn(async move {
            let _guard = guard;
            token.run_until_cancelled(renewer.run()).await;
            renewer.release().await;
        });
        Self { held, ended }
    }

    /// Waits until the lease has ended: its release is on the log, or could not be appended.
    pub async fn ended(&self) {
        self.ended.cancelled().await;
    }

    /// The fencing number, if this node holds the lease now. To be called right before each order.
    #[must_use]
    pub fn held(&self) -> Option<Held> {
        let held = *self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.filter(|fencing| Instant::now() < fencing.until)
    }
}

struct Renewer {
    resource: id::Resource,
    node: id::Node,
    config: Config,
    appender: Appender,
    follower: Follower<View>,
    held: Arc<Mutex<Option<Held>>>,
}

impl Renewer {
    async fn run(&self) {
        let mut foreign = ForeignLease::default();
        loop {
            let (current, now) = self.current();
            let wait = match &current {
                Some(lease) if lease.holder != self.node && lease.until > now => {
                    foreign.time_to_wait(lease, self.config.span)
                }
                _ => Duration::ZERO,
            };
            if wait.is_zero() {
                self.acquire(current.as_ref()).await;
                tokio::time::sleep(self.config.span.duration() / RENEWALS).await;
            } else {
                tokio::time::sleep(wait).await;
            }
        }
    }

    /// The lease, and the log's clock as far as this node has read. A lease ends with its release
    /// record, so that a node that starts later need not wait for the end of its span.
    fn current(&self) -> (Option<leases::Lease>, Wall) {
        self.follower
            .view(|view| (view.fold().lease(&self.resource).cloned(), view.log_time()))
    }

    /// Appends an [`Acquire`] record that follows `current` and reads it back.
    async fn acquire(&self, current: Option<&leases::Lease>) {
        let record = id::Record(Uuid::now_v7());
        let acquire = Acquire {
            id: record,
            resource: self.resource.clone(),
            holder: self.node.clone(),
            previous: current.map(|lease| lease.last),
            span: self.config.span,
        };
        let Ok(text) = serde_json::to_string(&LeaseRecord::Acquire(acquire)) else {
            return;
        };
        // Measured from before the record is sent: the log starts its own measurement later.
        let sent = Instant::now();
        let deadline = sent + self.config.span.duration() / RENEWALS;
        let appended = self.appender.append(Stream::Leases, text, deadline).await;
        let acquired = self
            .follower
            .wait(deadline, |view| {
                let lease = view.fold().lease(&self.resource)?;
                let is_ours = lease.record == record;
                let passed = appended.as_ref().is_ok_and(|offset| view.has_read(*offset));
                (is_ours || passed).then(|| is_ours.then_some(lease.fencing))
            })
            .await;
        if let Some(Some(number)) = acquired {
            self.set_held(number, sent);
        }
    }

    fn set_held(&self, number: Offset, sent: Instant) {
        let span = self.config.span.duration();
        let until = sent + span.saturating_sub(self.config.margin);
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let since = match *held {
            Some(before) if before.number == number => before.since,
            _ => {
                log::info!(
                    "lease: acquired {} with fencing number {number}",
                    self.resource
                );
                sent
            }
        };
        *held = Some(Held {
            number,
            until,
            since,
        });
    }

    async fn release(&self) {
        let held = self
            .held
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        let Some(fencing) = held else { return };
        let release = Release {
            resource: self.resource.clone(),
            holder: self.node.clone(),
            fencing: fencing.number,
        };
        let Ok(text) = serde_json::to_string(&LeaseRecord::Release(release)) else {
            return;
        };
        // If the append fails, the successor waits until the lease expires.
        let deadline = Instant::now() + self.config.margin;
        if self
            .appender
            .append(Stream::Leases, text, deadline)
            .await
            .is_err()
        {
            log::info!(
                "lease: release of {} not appended, a successor waits until it expires",
                self.resource
            );
        }
    }
}

/// The lease of another holder whose end this node waits for.
#[derive(Debug, Default)]
struct ForeignLease {
    last_record: Option<Offset>,
    expires: Option<Instant>,
}

impl ForeignLease {
    /// The time to wait before this node appends an [`Acquire`] record. The fold decides whether it
    /// is accepted, so one that comes too early costs a refused record and nothing else.
    fn time_to_wait(&mut self, lease: &leases::Lease, span: Span) -> Duration {
        let now = Instant::now();
        if self.last_record != Some(lease.last) {
            self.expires = Some(now + span.duration());
        }
        self.last_record = Some(lease.last);
        let poll = span.duration() / RENEWALS;
        let time_left = self
            .expires
            .map_or(poll, |expires| expires.saturating_duration_since(now));
        time_left.min(poll)
    }
}

//! A lease in the platform's log, held for orders to endpoints.
//!
//! The holder counts the lease from before it sent the record, by its monotonic clock, and stops a
//! margin before the end. A successor is accepted by the fold only after the end by the log's
//! clock, which began later. So the two never overlap as long as the clocks' rates differ by less
//! than the margin, whatever pauses either of them. A holder that was paused finds the lease
//! over when it asks [`Lease::held`], which it must do right before each order.

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
use crate::view::Records;

/// Renewals in the time of one lease. Two may fail before the third ends it.
const RENEWALS: u32 = 3;

/// Settings of a [`Lease`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// How long a lease lasts without renewal.
    pub span: Span,
    /// How long before the end the holder stops. Covers the drift between two clocks over one
    /// lease, and the flight of an order.
    pub margin: Duration,
}

impl Default for Config {
    /// Fifteen seconds are long beside a slow append and short beside an operator's patience; two
    /// seconds cover the flight of an order, and a drift far beyond that of real clocks.
    fn default() -> Self {
        Self {
            span: Span::from_secs(15),
            margin: Duration::from_secs(2),
        }
    }
}

/// What this node has read of the leases stream.
pub type View = view::View<leases::Fold>;

impl Records for leases::Fold {
    type Record = LeaseRecord;

    const PREFIX: &'static str = "lease";

    fn take(&mut self, offset: Offset, at: Wall, hold: LeaseRecord) {
        self.apply(offset, at, &hold);
    }
}

/// The right to give orders, with its fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fencing {
    /// The number to send along with each order.
    pub number: Offset,
    /// When the holder must stop.
    pub until: Instant,
    /// When this node first held the lease without a break. Where endpoints ignore numbers, it
    /// must let the longest flight of a predecessor's order pass from here on.
    pub since: Instant,
}

/// Keeps one lease for one node. Clones share it.
#[derive(Debug, Clone)]
pub struct Lease {
    held: Arc<Mutex<Option<Fencing>>>,
}

impl Lease {
    /// Tries to take the lease and renews it, until `token`; then gives it up.
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
        let keeper = Keeper {
            resource,
            node,
            config,
            appender,
            follower,
            held: Arc::clone(&held),
        };
        tokio::spawn(async move {
            token.run_until_cancelled(keeper.run()).await;
            keeper.release().await;
        });
        Self { held }
    }

    /// The fencing number, if the lease is held now. Asked right before each order.
    #[must_use]
    pub fn held(&self) -> Option<Fencing> {
        let held = *self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.filter(|fencing| Instant::now() < fencing.until)
    }
}

struct Keeper {
    resource: id::Resource,
    node: id::Node,
    config: Config,
    appender: Appender,
    follower: Follower<View>,
    held: Arc<Mutex<Option<Fencing>>>,
}

impl Keeper {
    async fn run(&self) {
        let mut seen = Sighting::default();
        loop {
            let (current, now) = self.current();
            let wait = match &current {
                Some(lease) if lease.holder != self.node && lease.until > now => {
                    seen.wait(lease, self.config.span)
                }
                _ => Duration::ZERO,
            };
            if wait.is_zero() {
                self.take(current.as_ref()).await;
                tokio::time::sleep(self.config.span.duration() / RENEWALS).await;
            } else {
                tokio::time::sleep(wait).await;
            }
        }
    }

    /// The lease, and the log's clock as far as it was read. A lease that was given up ends with the
    /// record that says so, so that a node which begins after that need not wait it out.
    fn current(&self) -> (Option<leases::Lease>, Wall) {
        self.follower
            .view(|view| (view.fold().lease(&self.resource).cloned(), view.now()))
    }

    /// Appends a take that follows `current` and reads it back.
    async fn take(&self, current: Option<&leases::Lease>) {
        let record = id::Record(Uuid::now_v7());
        let take = Acquire {
            id: record,
            resource: self.resource.clone(),
            holder: self.node.clone(),
            previous: current.map(|lease| lease.last),
            span: self.config.span,
        };
        let Ok(text) = serde_json::to_string(&LeaseRecord::Acquire(take)) else {
            return;
        };
        // Counted from before the record is sent: the log's own count begins later.
        let sent = Instant::now();
        let deadline = sent + self.config.span.duration() / RENEWALS;
        let appended = self.appender.append(Stream::Leases, text, deadline).await;
        let taken = self
            .follower
            .wait(deadline, |view| {
                let lease = view.fold().lease(&self.resource)?;
                let mine = lease.record == record;
                let passed = appended.as_ref().is_ok_and(|offset| view.passed(*offset));
                (mine || passed).then(|| mine.then_some(lease.fencing))
            })
            .await;
        if let Some(Some(number)) = taken {
            self.hold(number, sent);
        }
    }

    fn hold(&self, number: Offset, sent: Instant) {
        let span = self.config.span.duration();
        let until = sent + span.saturating_sub(self.config.margin);
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        let since = match *held {
            Some(before) if before.number == number => before.since,
            _ => {
                log::info!("lease: took {} under {number}", self.resource);
                sent
            }
        };
        *held = Some(Fencing {
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
        // Not written in time, it does no harm: the successor waits the lease out.
        let deadline = Instant::now() + self.config.margin;
        if self
            .appender
            .append(Stream::Leases, text, deadline)
            .await
            .is_err()
        {
            log::debug!("lease: release of {} not written", self.resource);
        }
    }
}

/// The take of another holder that this node waits out.
#[derive(Debug, Default)]
struct Sighting {
    lease: Option<Offset>,
    free: Option<Instant>,
}

impl Sighting {
    /// How long to wait before a take of our own is worth a record. The fold has the last word, so
    /// that a wrong guess costs a refused record and nothing else.
    fn wait(&mut self, lease: &leases::Lease, span: Span) -> Duration {
        let now = Instant::now();
        if self.lease != Some(lease.last) {
            self.free = Some(now + span.duration());
        }
        self.lease = Some(lease.last);
        let poll = span.duration() / RENEWALS;
        let rest = self
            .free
            .map_or(poll, |free| free.saturating_duration_since(now));
        rest.min(poll)
    }
}

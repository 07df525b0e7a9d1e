//! What the VMs of a zone know of each other for reading the log together.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use compact_str::CompactString;
use pimento_units::Moment;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::config::Config;
use crate::follow::Lead;

/// The newest stamp of another VM: a moment of its own boot-time clock, which means nothing to
/// anybody else.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stamp {
    /// Hash of the VM's name.
    pub node: u64,
    /// Its moment.
    pub at: Moment,
}

/// For this long after a read that was not answered the log counts as out for the VM.
const DISTRUST: Duration = Duration::from_secs(5);

/// Reads in a row without an answer after which the log counts as out for this VM; a single answer
/// may be lost.
const LOST: u32 = 2;

/// How a read that gave nothing ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The log said no, or could not be reached.
    Refused,
    /// No answer came, or one that can't be read.
    Unanswered,
}

/// Whether own reads are answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// They are, or none was made yet.
    Reachable,
    /// The last ones were not, some time ago; none was made since.
    Untested,
    /// The last ones were not, just now.
    Unreachable,
}

/// How the own reads go.
#[derive(Debug, Default)]
struct Reads {
    /// Since the last answer.
    unanswered: u32,
    /// When the log last counted as out.
    out: Option<Moment>,
}

/// How the reads of a zone go.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogState {
    /// Nobody is known whose reads are answered.
    pub no_able_reader: bool,
    /// Several VMs were turned away just now, so that the next one may be as well.
    pub outage_suspected: bool,
}

/// How long a VM that starts anew waits for its neighbours before it reads the log by itself. They are
/// found by one call of the log, and answer within milliseconds.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(300);

/// The same when the whole system starts for the first time. All VMs say at once where they are, which the
/// log takes one after the other, and nobody has callers yet.
const FIRST_DISCOVERY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Whether a VM that starts has met its neighbours.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Not yet.
    Pending,
    /// It has, or there are none.
    #[default]
    Done,
}

/// Stamps of the other VMs, and who reads for whom. Clones share them.
#[derive(Debug, Clone, Default)]
pub struct Zone {
    deployment: CompactString,
    /// How long the VM waits to meet its neighbours.
    discovery_timeout: Duration,
    stamps: Arc<Mutex<Vec<Stamp>>>,
    /// Who reads for whom.
    pub lead: Arc<watch::Sender<Lead>>,
    /// Told of each read that proves something.
    pub proved: Arc<Notify>,
    /// Where the VM that reads for this one takes calls.
    leader_address: Arc<Mutex<Option<SocketAddr>>>,
    reads: Arc<Mutex<Reads>>,
    discovery: Arc<watch::Sender<Discovery>>,
    /// Told when own reads are not answered any more.
    pub unreachable: Arc<Notify>,
    log_state: Arc<Mutex<LogState>>,
}

impl Zone {
    /// The zone of a VM that starts and is yet to meet the others.
    #[must_use]
    pub fn starting(config: &Config) -> Self {
        let discovery_timeout = if config.first_start {
            FIRST_DISCOVERY_TIMEOUT
        } else {
            DISCOVERY_TIMEOUT
        };
        let zone = Self {
            deployment: config.deployment.clone(),
            discovery_timeout,
            ..Self::default()
        };
        zone.discovery.send_replace(Discovery::Pending);
        zone
    }

    /// What tells this system from others.
    #[must_use]
    pub fn deployment(&self) -> &str {
        &self.deployment
    }

    /// The VM has met its neighbours.
    pub fn finish_discovery(&self) {
        self.discovery.send_replace(Discovery::Done);
    }

    /// Waits until it has, up to a bound.
    pub async fn wait_for_discovery(&self) {
        let mut discovery = self.discovery.subscribe();
        let done = discovery.wait_for(|state| *state == Discovery::Done);
        if tokio::time::timeout(self.discovery_timeout, done)
            .await
            .is_err()
        {
            log::info!("follower: Starts without having met the VMs of its zone.");
        }
    }

    /// Takes another VM's stamp. Datagrams may overtake each other; a VM that started anew begins
    /// with a lower one only if its machine did, too.
    pub fn record_stamp(&self, stamp: Stamp) {
        let mut stamps = self.stamps.lock().unwrap_or_else(PoisonError::into_inner);
        match stamps.iter_mut().find(|known| known.node == stamp.node) {
            Some(known) => *known = stamp,
            None => stamps.push(stamp),
        }
    }

    /// The newest stamp of each other VM.
    #[must_use]
    pub fn stamps(&self) -> Vec<Stamp> {
        let stamps = self.stamps.lock().unwrap_or_else(PoisonError::into_inner);
        stamps.clone()
    }

    /// Notes which VM reads for this one; none if this one reads itself.
    pub fn set_leader_address(&self, reader: Option<SocketAddr>) {
        *self
            .leader_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = reader;
    }

    /// Where the VM that reads for this one takes calls.
    #[must_use]
    pub fn leader_address(&self) -> Option<SocketAddr> {
        *self
            .leader_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// An own read was answered.
    pub fn read_answered(&self) {
        *self.reads.lock().unwrap_or_else(PoisonError::into_inner) = Reads::default();
    }

    /// An own read failed.
    pub fn read_failed(&self, failure: Failure, now: Moment) {
        let mut reads = self.reads.lock().unwrap_or_else(PoisonError::into_inner);
        reads.unanswered += 1;
        if failure == Failure::Refused || reads.unanswered >= LOST {
            let stopped = reads.out.is_none();
            reads.out = Some(now);
            if stopped {
                self.unreachable.notify_one();
            }
        }
    }

    /// Whether own reads are answered.
    #[must_use]
    pub fn reachability(&self, now: Moment) -> Reachability {
        let reads = self.reads.lock().unwrap_or_else(PoisonError::into_inner);
        match reads.out {
            None => Reachability::Reachable,
            Some(out) if now.since(out) >= DISTRUST => Reachability::Untested,
            Some(_) => Reachability::Unreachable,
        }
    }

    /// Notes how the reads of the zone go.
    pub fn set_log_state(&self, state: LogState) {
        *self
            .log_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = state;
    }

    /// How the reads of the zone go.
    #[must_use]
    pub fn log_state(&self) -> LogState {
        *self
            .log_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Forgets the stamps of VMs that are gone.
    pub fn retain_stamps(&self, live: impl Fn(u64) -> bool) {
        let mut stamps = self.stamps.lock().unwrap_or_else(PoisonError::into_inner);
        stamps.retain(|stamp| live(stamp.node));
    }
}

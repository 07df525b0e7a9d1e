//! State that the VMs of a zone share to read the log together: which VM reads for the others, and whether
//! the log answers.

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
use crate::follow::ReadRole;

/// The last stamp received from another VM: a moment of that VM's own boot-time clock, which can't be
/// compared with the clocks of other VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Stamp {
    /// Hash of the VM's name.
    pub node: u64,
    /// The moment.
    pub at: Moment,
}

/// Time after a failed read for which the log counts as unreachable.
const UNREACHABLE_FOR: Duration = Duration::from_secs(5);

/// Reads in a row without an answer after which the log counts as unreachable; a single answer may be lost.
const MAX_UNANSWERED: u32 = 2;

/// Why a read failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// The log refused it, or could not be reached.
    Refused,
    /// No answer came, or one that can't be decoded.
    Unanswered,
}

/// Whether the log answers this VM's reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// No failure is known: it answers, or was not read yet.
    Reachable,
    /// The last reads failed some time ago, and none was made since.
    Suspect,
    /// The last reads failed, at most some seconds ago.
    Unreachable,
}

/// Outcomes of this VM's last reads.
#[derive(Debug, Default)]
struct Reads {
    /// Failed reads since the last answer.
    failed: u32,
    /// When the log last counted as unreachable; none if the last read was answered.
    unreachable: Option<Moment>,
}

/// Whether the log answers the VMs of a zone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogState {
    /// No VM of the zone is known whose reads are answered.
    pub no_eligible_reader: bool,
    /// The log refused several VMs just now, so that it may refuse the next one as well.
    pub outage_suspected: bool,
}

/// How long a VM that starts waits for its neighbours before it reads the log itself. One call of the log
/// finds them, and they answer within milliseconds.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(300);

/// The same when the whole system starts for the first time. All VMs then announce their addresses at once,
/// which the log records one after the other, and there are no callers yet.
const FIRST_DISCOVERY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Whether a VM that starts has discovered its neighbours.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Discovery {
    /// Not yet.
    Pending,
    /// It has, or there are none.
    #[default]
    Done,
}

/// How the VMs of a zone read the log together, as this VM knows it: their stamps, which of them is the
/// reader, and whether the log answers. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct ZoneReading {
    deployment: CompactString,
    discovery_timeout: Duration,
    stamps: Arc<Mutex<Vec<Stamp>>>,
    /// Whether this VM reads for others, or another one for it.
    pub read_role: Arc<watch::Sender<ReadRole>>,
    /// Notified of each read of this VM that proved its view as of a later moment.
    pub proved: Arc<Notify>,
    /// Where this VM's reader accepts connections.
    reader_address: Arc<Mutex<Option<SocketAddr>>>,
    reads: Arc<Mutex<Reads>>,
    discovery: Arc<watch::Sender<Discovery>>,
    /// Notified when the log becomes unreachable for this VM.
    pub unreachable: Arc<Notify>,
    log_state: Arc<Mutex<LogState>>,
}

impl ZoneReading {
    /// The state of a VM that starts and has not discovered the others yet.
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

    /// The name that tells this system from others.
    #[must_use]
    pub fn deployment(&self) -> &str {
        &self.deployment
    }

    /// Records that the VM has discovered its neighbours.
    pub fn finish_discovery(&self) {
        self.discovery.send_replace(Discovery::Done);
    }

    /// Waits until the VM has discovered its neighbours, up to a timeout.
    pub async fn wait_for_discovery(&self) {
        let mut discovery = self.discovery.subscribe();
        let done = discovery.wait_for(|state| *state == Discovery::Done);
        if tokio::time::timeout(self.discovery_timeout, done)
            .await
            .is_err()
        {
            log::info!("follower: Starting before the other VMs of the zone were discovered.");
        }
    }

    /// Records another VM's stamp in place of its last one. It may be lower, because datagrams overtake each
    /// other and because the clock begins again when the other machine restarts.
    pub fn record_stamp(&self, stamp: Stamp) {
        let mut stamps = self.stamps.lock().unwrap_or_else(PoisonError::into_inner);
        match stamps.iter_mut().find(|known| known.node == stamp.node) {
            Some(known) => *known = stamp,
            None => stamps.push(stamp),
        }
    }

    /// The last stamp of each other VM.
    #[must_use]
    pub fn stamps(&self) -> Vec<Stamp> {
        let stamps = self.stamps.lock().unwrap_or_else(PoisonError::into_inner);
        stamps.clone()
    }

    /// Sets the address of this VM's reader; none if this VM reads itself.
    pub fn set_reader_address(&self, reader: Option<SocketAddr>) {
        *self
            .reader_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = reader;
    }

    /// Where this VM's reader accepts connections; none if this VM reads itself.
    #[must_use]
    pub fn reader_address(&self) -> Option<SocketAddr> {
        *self
            .reader_address
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a read of this VM was answered.
    pub fn read_answered(&self) {
        *self.reads.lock().unwrap_or_else(PoisonError::into_inner) = Reads::default();
    }

    /// Records that a read of this VM failed.
    pub fn read_failed(&self, failure: Failure, now: Moment) {
        let mut reads = self.reads.lock().unwrap_or_else(PoisonError::into_inner);
        reads.failed += 1;
        if failure == Failure::Refused || reads.failed >= MAX_UNANSWERED {
            let newly = reads.unreachable.is_none();
            reads.unreachable = Some(now);
            if newly {
                self.unreachable.notify_one();
            }
        }
    }

    /// Whether the log answers this VM's reads.
    #[must_use]
    pub fn reachability(&self, now: Moment) -> Reachability {
        let reads = self.reads.lock().unwrap_or_else(PoisonError::into_inner);
        match reads.unreachable {
            None => Reachability::Reachable,
            Some(last) if now.since(last) >= UNREACHABLE_FOR => Reachability::Suspect,
            Some(_) => Reachability::Unreachable,
        }
    }

    /// Sets whether the log answers the VMs of the zone.
    pub fn set_log_state(&self, state: LogState) {
        *self
            .log_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = state;
    }

    /// Whether the log answers the VMs of the zone.
    #[must_use]
    pub fn log_state(&self) -> LogState {
        *self
            .log_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps the stamps of the VMs for which `live` is true.
    pub fn retain_stamps(&self, live: impl Fn(u64) -> bool) {
        let mut stamps = self.stamps.lock().unwrap_or_else(PoisonError::into_inner);
        stamps.retain(|stamp| live(stamp.node));
    }
}

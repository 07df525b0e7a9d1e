//! State that the VMs of a zone share to read the log together: which VM reads for the others, and whether
//! the log answers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
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

/// The stamps of one other VM that arrived last.
#[derive(Debug, Clone)]
struct Arrivals {
    /// Hash of the VM's name.
    node: u64,
    /// When each stamp arrived, by this VM's clock, and the stamp; oldest first.
    stamps: VecDeque<(Moment, Moment)>,
}

/// Stamps that are kept of each VM, and the shortest time between them. Together they reach back further than
/// the highest age of a proof: a VM that is served itself learns only then which stamps its view covers.
const MAX_STAMPS: usize = 32;
const STAMP_SPACING: Duration = Duration::from_millis(100);

impl Arrivals {
    /// Adds a stamp that arrived at `now`. Stamps that follow each other closely replace the last one.
    fn push(&mut self, at: Moment, now: Moment) {
        let mut before = self.stamps.iter().rev();
        let last = before.next();
        let close = |(arrived, _): &(Moment, Moment)| now.since(*arrived) < STAMP_SPACING;
        if last.is_some() && before.next().is_some_and(close) {
            self.stamps.pop_back();
        }
        if self.stamps.len() == MAX_STAMPS {
            self.stamps.pop_front();
        }
        self.stamps.push_back((now, at));
    }

    /// The last stamp that had arrived by `moment`.
    fn at(&self, moment: Moment) -> Option<Stamp> {
        let mut newest_first = self.stamps.iter().rev();
        let (_, at) = newest_first.find(|(arrived, _)| *arrived <= moment)?;
        Some(Stamp {
            node: self.node,
            at: *at,
        })
    }
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
    /// The zone is divided into groups, so that a proof passes through the group's leader and a late one
    /// says little about the log.
    pub grouped: bool,
}

/// Time per known VM of the zone for which a VM that starts lets the others get in touch before it reads a
/// whole topic, with its bounds. VMs that start together write their addresses one after the other, at about
/// this pace; without the wait the first ones would all take themselves for the only one.
const SETTLE_PER_VM: Duration = Duration::from_millis(3);
const MAX_SETTLE: Duration = Duration::from_secs(1);

/// The same when the whole system starts for the first time and there are no callers yet.
const FIRST_SETTLE: Duration = Duration::from_secs(1);

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
    /// The shortest time for which the VM lets others get in touch when it starts.
    min_settle: Duration,
    /// The VMs of the zone, including this one, as far as they are known.
    vms: Arc<AtomicUsize>,
    arrivals: Arc<Mutex<Vec<Arrivals>>>,
    /// The VMs that can serve a whole view to this one.
    pub sources: Arc<watch::Sender<Vec<SocketAddr>>>,
    /// VMs of other zones, for a VM that is alone in its zone and starts after the log was restored.
    remote_sources: Arc<OnceLock<Vec<SocketAddr>>>,
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
        let min_settle = if config.first_start {
            FIRST_SETTLE
        } else {
            Duration::ZERO
        };
        let zone = Self {
            deployment: config.deployment.clone(),
            min_settle,
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

    /// Waits until the VM has discovered its neighbours, by the log or because one of them got in touch.
    pub async fn wait_for_discovery(&self) {
        let mut discovery = self.discovery.subscribe();
        let done = discovery.wait_for(|state| *state == Discovery::Done).await;
        if done.is_err() {
            log::debug!("follower: Discovery ended without a result.");
        }
    }

    /// How long a VM that has discovered the others lets them get in touch before it reads a whole topic.
    #[must_use]
    pub fn settle_time(&self) -> Duration {
        let vms = u32::try_from(self.vms()).unwrap_or(u32::MAX);
        let others = vms.saturating_sub(1);
        self.min_settle
            .max(SETTLE_PER_VM.saturating_mul(others).min(MAX_SETTLE))
    }

    /// The number of VMs of the zone, including this one, as far as they are known.
    #[must_use]
    pub fn vms(&self) -> usize {
        self.vms.load(Ordering::Relaxed)
    }

    /// Sets the number of VMs of the zone.
    pub fn set_vms(&self, vms: usize) {
        self.vms.store(vms, Ordering::Relaxed);
    }

    /// Sets the VMs of other zones that this VM may ask for their views when it starts.
    pub fn set_remote_sources(&self, sources: Vec<SocketAddr>) {
        if self.remote_sources.set(sources).is_err() {
            log::debug!("zone: VMs of other zones are known already.");
        }
    }

    /// The VMs of other zones that this VM may ask for their views when it starts.
    #[must_use]
    pub fn remote_sources(&self) -> &[SocketAddr] {
        self.remote_sources.get().map_or(&[], Vec::as_slice)
    }

    /// Sets the VMs that can serve a whole view to this one.
    pub fn set_sources(&self, sources: Vec<SocketAddr>) {
        self.sources.send_if_modified(|known| {
            let changed = *known != sources;
            *known = sources;
            changed
        });
    }

    /// Records another VM's stamp in place of its last one. It may be lower, because datagrams overtake each
    /// other and because the clock begins again when the other machine restarts.
    pub fn record_stamp(&self, stamp: Stamp, now: Moment) {
        let mut all = self.lock_arrivals();
        let place = all.binary_search_by_key(&stamp.node, |known| known.node);
        let place = place.unwrap_or_else(|place| {
            let arrivals = Arrivals {
                node: stamp.node,
                stamps: VecDeque::new(),
            };
            all.insert(place, arrivals);
            place
        });
        all[place].push(stamp.at, now);
    }

    fn lock_arrivals(&self) -> MutexGuard<'_, Vec<Arrivals>> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The last stamp of each other VM that had arrived by `moment`, sorted by VM.
    #[must_use]
    pub fn stamps_at(&self, moment: Moment) -> Vec<Stamp> {
        let all = self.lock_arrivals();
        all.iter().filter_map(|known| known.at(moment)).collect()
    }

    /// The number of other VMs whose stamps are known.
    #[must_use]
    pub fn stamped(&self) -> usize {
        self.lock_arrivals().len()
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
        self.lock_arrivals().retain(|known| live(known.node));
    }
}

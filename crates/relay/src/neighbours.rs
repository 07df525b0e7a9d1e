//! Datagrams between the entry VMs, of this zone and of others: how long engines take for their prompts,
//! which prompts they have prefilled, how fast they are, and what the zone's reader found in the log.
//! Endpoints' limits, announcements about roll-outs and reports of requests that crash endpoints go along.
//!
//! What is said of engines is a hint: if it is lost, a prompt waits a little longer or is prefilled once
//! more. What the zone's reader found are records and proofs; if they are lost, a VM reads the log by
//! itself. They are accepted from any sender that reaches the internal ports, which the platform
//! restricts to the system's own VMs. VMs discover each other by a topic that they share, read once at
//! the start; a VM that starts later is discovered by its first datagram. Records too large for datagrams
//! are fetched over a connection.
//!
//! The peers are all other VMs that this one knows, in any zone. The topic in which they are recorded is the
//! fleet's.
//!
//! A large zone is divided into [`groups`]. Within a group each VM sends to all others, and the leaders of the
//! groups send to each other. To each other group and zone a VM sends only what is worth knowing there, to
//! one VM, which forwards it within its own group. So what a VM sends grows with the number of groups and zones
//! and not of VMs.

pub mod broadcast;
mod discovery;
pub mod groups;
mod limit;
mod loan;
pub mod message;
pub mod peer;
pub mod peers;
mod receive;
mod records;
mod relayed;
pub mod speeds;
mod update;
pub mod zones;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_units::Moment;
use pimento_units::id;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use self::groups::Level;
use self::message::Prefill;
use self::peer::Peer;
use self::peer::ReaderStatus;
use self::peers::Assignment;
use self::peers::Candidate;
use self::peers::Peers;
use self::relayed::Relayed;
use self::zones::Zones;
use crate::boot;
use crate::codec::Codec;
use crate::follow::ReadRole;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::position::Era;
use crate::rollouts::announcement::PinnedSession;
use crate::topic::Log;
use crate::zone::Reachability;
use crate::zone::ZoneReading;

/// A VM whose view of the log is older than this does not read for others. The reads of other VMs prove a
/// view at least every 2.2 s.
const MAX_VIEW_AGE: Duration = Duration::from_millis(2_600);

/// Delay after a failure, so that one that persists doesn't use up the processor.
const RETRY_DELAY: Duration = Duration::from_millis(200);

#[derive(Debug, Default)]
struct Inner {
    peers: Peers,
    /// The other zones.
    zones: Zones,
    /// The largest number of VMs of this zone that a VM of it has named.
    named_vms: usize,
    /// Prefixes to send to other groups and zones.
    remote_prefills: Vec<Prefill>,
    /// Prefixes received from other groups and zones, to forward within the group.
    forwarded_prefills: Vec<Prefill>,
    /// Pinned sessions to send to other groups and zones.
    remote_sessions: Vec<PinnedSession>,
    /// Pinned sessions received from other groups and zones, to forward within the group.
    forwarded_sessions: Vec<PinnedSession>,
    /// What this VM passes on to the leaders of other groups while it leads its own.
    to_leaders: Relayed,
    /// What it passes on from them to its group.
    to_group: Relayed,
    /// The leader of the group; none if it is this VM.
    leader: Option<(id::Node, SocketAddr)>,
    /// The era of the log when this VM read the records of other VMs.
    log_era: Era,
    /// When this VM last looked for leaders of other groups.
    probed_at: Moment,
    /// The offsets up to which records were forwarded to others; none while this VM serves none.
    forwarded: Option<broadcast::ForwardedOffsets>,
}

impl Inner {
    /// The VMs of this VM's zone, including this one, as far as they are known.
    fn zone_vms(&self, zone: &id::Zone) -> usize {
        (self.peers.count_in(zone) + 1).max(self.named_vms)
    }
}

struct Neighbours<P, L> {
    node: Node<P, L>,
    log: L,
    zone: ZoneReading,
    socket: Arc<UdpSocket>,
    inner: Arc<Mutex<Inner>>,
    /// Changed by each datagram from a VM of the zone.
    zone_datagram: Arc<watch::Sender<u64>>,
}

impl<P: Clone, L: Clone> Clone for Neighbours<P, L> {
    fn clone(&self) -> Self {
        Self {
            node: self.node.clone(),
            log: self.log.clone(),
            zone: self.zone.clone(),
            socket: Arc::clone(&self.socket),
            inner: Arc::clone(&self.inner),
            zone_datagram: Arc::clone(&self.zone_datagram),
        }
    }
}

/// Starts to exchange datagrams with the other VMs.
pub fn start<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    log: L,
    zone: ZoneReading,
    token: CancellationToken,
) {
    let node = node.clone();
    tokio::spawn(async move { token.run_until_cancelled(run(node, log, zone)).await });
}

async fn run<P: HeaderCodec + Codec, L: Log>(node: Node<P, L>, log: L, zone: ZoneReading) {
    let address = node.config.peer_listen;
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            log::error!("neighbours: Can't listen at {address} for datagrams: {error}.");
            // The VM reads the log for itself.
            zone.finish_discovery();
            return;
        }
    };
    let records = records::serve(node.clone());
    let neighbours = Neighbours {
        node,
        log,
        zone,
        socket,
        inner: Arc::default(),
        zone_datagram: Arc::new(watch::Sender::new(0)),
    };
    let discovery = neighbours.clone();
    let listener = neighbours.clone();
    let remote = neighbours.clone();
    tokio::join!(
        discovery.discover(),
        listener.listen(),
        neighbours.broadcast_to_zone(),
        remote.broadcast_to_remote_zones(),
        records
    );
}

impl<P: HeaderCodec + Codec, L: Log> Neighbours<P, L> {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether another VM can serve its views to this one.
    fn has_source(&self) -> bool {
        !self.assignment().sources.is_empty()
    }

    /// This VM's part in reading the log for the zone, by what is known now.
    fn assignment(&self) -> Assignment {
        let config = &self.node.config;
        let own = Candidate {
            node: config.node.clone(),
            status: self.reader_status(),
            capacity: config.capacity,
        };
        let peers = &self.lock().peers;
        peers.assignment(&own, &config.zone, boot::now())
    }

    /// Whether this VM reads the log for other VMs.
    fn is_zone_reader(&self) -> bool {
        *self.zone.read_role.borrow() == ReadRole::Reader
    }

    /// Whether this VM serves its group: as the reader, or because it leads the group and passes on what it
    /// gets. A VM that is alone does not, although it reads the log: see [`Node::reads_log`].
    fn serves_group(&self) -> bool {
        match *self.zone.read_role.borrow() {
            ReadRole::Reader => true,
            ReadRole::Served => self.lock().leader.is_none(),
            ReadRole::Alone => false,
        }
    }

    /// The other VMs of the group. Forgets VMs that are gone, and passes on who is left to what is shared
    /// among VMs.
    fn refresh_peers(&self) -> Vec<Peer> {
        let config = &self.node.config;
        let now = boot::now();
        let mut inner = self.lock();
        inner.peers.remove_expired(now);
        let vms = inner.zone_vms(&config.zone);
        inner.peers.raise_level(Level::for_vms(vms));
        let group = inner.peers.group(&config.node, &config.zone);
        let leaders = inner.peers.leaders(&config.node, &config.zone, now);
        let zones = config.zones.iter().map(|(zone, _)| zone);
        let all = inner.zones.total(zones, &config.zone, vms);
        let participants = inner
            .peers
            .limit_participants(&config.node, &config.zone, now);
        let helpers = inner.peers.helpers(config.tunnel_listen.port(), now);
        drop(inner);
        self.node.links.set_helpers(helpers);
        self.node.retry_budgets.set_vms(all);
        self.node.rollouts(|r| r.set_vms(all));
        self.node.scheduler.set_participants(&participants);
        self.zone.set_vms(vms);
        let mut served: Vec<u64> = group.iter().chain(&leaders).map(|peer| peer.key).collect();
        served.sort_unstable();
        self.zone
            .retain_stamps(|node| served.binary_search(&node).is_ok());
        group
    }

    /// Updates who reads the log for whom.
    fn update_role(&self) {
        let assignment = self.assignment();
        self.zone.set_reader_address(assignment.reader);
        self.zone.set_log_state(assignment.state);
        self.zone.set_sources(assignment.sources);
        self.lock().leader = assignment.leader;
        let role = assignment.read_role;
        let update = |known: &mut ReadRole| {
            let changed = *known != role;
            *known = role;
            changed
        };
        if self.zone.read_role.send_if_modified(update) {
            log::info!("neighbours: Role in reading the log: {role:?}.");
        }
    }

    /// Whether this VM can read the log for others.
    fn reader_status(&self) -> ReaderStatus {
        if self.node.lifetime.is_leaving() {
            return ReaderStatus::Leaving;
        }
        let ages = [self.node.operators.age(), self.node.directory.age()];
        let young = |age: &Option<Duration>| age.is_some_and(|age| age < MAX_VIEW_AGE);
        match self.zone.reachability(boot::now()) {
            Reachability::Unreachable => ReaderStatus::Unreachable,
            Reachability::Reachable if ages.iter().any(Option::is_none) => ReaderStatus::Starting,
            Reachability::Reachable if ages.iter().all(young) => ReaderStatus::Eligible,
            Reachability::Reachable => ReaderStatus::Behind,
            Reachability::Suspect => ReaderStatus::Untested,
        }
    }
}

//! Datagrams between the entry VMs, of this zone and of others: how long engines take for their prompts,
//! which prompts they have prefilled, and what the zone's reader found in the log.
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
//! Within a zone each VM sends to all others. In each other zone it sends to one VM, which forwards
//! within that zone, so that traffic between zones grows with the number of zones and not of VMs.

pub mod broadcast;
mod discovery;
mod limit;
mod message;
pub mod peers;
mod records;
mod update;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_policy::choice;
use pimento_scheduler::endpoint_limit;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use self::message::Message;
use self::message::Prefill;
use self::message::Proofs;
use self::peers::Assignment;
use self::peers::Peer;
use self::peers::Peers;
use self::peers::ReaderStatus;
use self::update::Update;
use crate::boot;
use crate::bundle::Bundle;
use crate::bundle::SharedTopic;
use crate::codec::Codec;
use crate::follow::ReadRole;
use crate::follow::RecordRange;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::rollouts::announcement::NodeAnnouncement;
use crate::rollouts::announcement::PinnedSession;
use crate::topic::Log;
use crate::zone::Reachability;
use crate::zone::Stamp;
use crate::zone::ZoneReading;

/// A VM whose view of the log is older than this does not read for others. The reads of other VMs prove a
/// view at least every 2.2 s.
const MAX_VIEW_AGE: Duration = Duration::from_millis(2_600);

/// Delay after a failure, so that one that persists doesn't use up the processor.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The largest datagram that is received, in bytes: one with the largest record that is forwarded by
/// datagrams, and some.
const MAX_DATAGRAM: usize = 10 << 10;

#[derive(Debug, Default)]
struct Inner {
    peers: Peers,
    /// Prefixes to send to other zones.
    remote_prefills: Vec<Prefill>,
    /// Prefixes received from other zones, to forward within this one.
    forwarded_prefills: Vec<Prefill>,
    /// Pinned sessions to send to other zones.
    remote_sessions: Vec<PinnedSession>,
    /// Pinned sessions received from other zones, to forward within this one.
    forwarded_sessions: Vec<PinnedSession>,
    /// The offsets up to which records were forwarded to the zone; none while this VM does not read
    /// the log for it.
    forwarded: Option<broadcast::ForwardedOffsets>,
}

struct Neighbours<P, L> {
    node: Node<P, L>,
    log: L,
    zone: ZoneReading,
    socket: Arc<UdpSocket>,
    inner: Arc<Mutex<Inner>>,
    /// Notified of each datagram from a VM of the zone.
    zone_datagram: Arc<Notify>,
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
        zone_datagram: Arc::default(),
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

    /// Whether this VM is served by a reader that has read the log already.
    fn has_eligible_reader(&self) -> bool {
        let assignment = self.assignment();
        !assignment.state.no_eligible_reader && assignment.read_role == ReadRole::Served
    }

    /// This VM's part in reading the log for the zone, by what is known now.
    fn assignment(&self) -> Assignment {
        let config = &self.node.config;
        let status = self.reader_status();
        let peers = &self.lock().peers;
        peers.assignment(&config.node, &config.zone, status, boot::now())
    }

    async fn listen(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let (length, from) = match received {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("neighbours: A datagram can't be received: {error}.");
                    tokio::time::sleep(RETRY_DELAY).await;
                    continue;
                }
            };
            match postcard::from_bytes::<Message>(&buffer[..length]) {
                Ok(message) => self.handle(message, from).await,
                Err(error) => {
                    log::warn!(
                        "neighbours: Ignoring a datagram from {from}, which can't be decoded: {error}."
                    );
                }
            }
        }
    }

    /// Merges a datagram. If it comes from a VM that starts, and this one reads the log, it is answered
    /// at once: the other VM waits to learn from whom it can get the records.
    async fn handle(&self, message: Message, from: SocketAddr) {
        let local = message.zone == self.node.config.zone;
        let starts = local && message.reader_status == ReaderStatus::Starting;
        let sender = starts.then(|| choice::hash(message.node.as_str()));
        self.merge(message, from);
        let reads = *self.zone.read_role.borrow() != ReadRole::Served;
        if let Some(sender) = sender
            && reads
            && self.reader_status() == ReaderStatus::Eligible
        {
            self.send(from, Some(sender), &Update::default()).await;
        }
    }

    fn merge(&self, message: Message, from: SocketAddr) {
        let config = &self.node.config;
        if message.node == config.node {
            return;
        }
        let local = message.zone == config.zone;
        let now = boot::now();
        let peer = Peer::discovered(message.node.clone(), message.zone, from, now);
        let peer = peer.with_datagram(message.reader_status, now);
        let sender = peer.key;
        let changed = {
            let mut inner = self.lock();
            let changed = inner.peers.update(peer, now);
            if !local {
                let prefills = message.prefills.iter().cloned();
                inner.forwarded_prefills.extend(prefills);
                inner.forwarded_sessions.extend(&message.pinned_sessions);
            }
            changed
        };
        if changed && local {
            self.update_role();
        }
        if local {
            self.zone_datagram.notify_one();
        }
        for report in &message.poison {
            let writes = self.node.reads_log();
            self.node.poison.receive(*report, !local, writes, now);
        }
        for pinned in &message.pinned_sessions {
            self.node.rollouts(|r| r.pin_session(*pinned));
        }
        if local {
            self.zone.record_stamp(Stamp {
                node: sender,
                at: message.stamp,
            });
            for bundle in &message.bundles {
                self.apply_bundle(bundle);
            }
            self.apply_proofs(message.proofs);
            for announcement in message.rollouts {
                let received = NodeAnnouncement {
                    node: message.node.clone(),
                    announcement,
                };
                self.node.rollouts(|r| r.receive(&received, now));
            }
        }
        let waits: Vec<(u64, Duration)> = message
            .waits
            .iter()
            .map(|(engine, millis)| (*engine, Duration::from_millis(u64::from(*millis))))
            .collect();
        let limits: Vec<endpoint_limit::Report> =
            message.limits.iter().filter_map(limit::decode).collect();
        for (_, pool) in self.node.scheduler.pools() {
            if local {
                pool.merge_waits(sender, &waits);
                for limit in &limits {
                    pool.merge_limit(*limit);
                }
            }
            for prefill in &message.prefills {
                pool.merge_prefilled(prefill.engine, &prefill.prompt());
            }
        }
    }

    /// Applies records that another VM read from the log.
    fn apply_bundle(&self, bundle: &Bundle) {
        let Bundle {
            topic, from, to, ..
        } = *bundle;
        let records = bundle.records();
        let range = RecordRange { from, to, records };
        match topic {
            SharedTopic::Operators => self.node.operators.receive(range),
            SharedTopic::Endpoints => self.node.directory.receive(range),
            SharedTopic::Poison => self.node.blocklist.receive(range),
        }
    }

    /// Whether this VM is the reader of its zone, by its role alone. A VM that is alone is not, although it
    /// reads the log: see [`Node::reads_log`].
    fn is_zone_reader(&self) -> bool {
        *self.zone.read_role.borrow() == ReadRole::Reader
    }

    /// Applies what the reads of another VM prove to this one.
    fn apply_proofs(&self, proofs: Proofs) {
        if let Some(proof) = proofs.operators {
            self.node
                .operators
                .receive_proof(message::decode_proof(proof));
        }
        if let Some(proof) = proofs.endpoints {
            self.node
                .directory
                .receive_proof(message::decode_proof(proof));
        }
        if let Some(proof) = proofs.poison {
            self.node
                .blocklist
                .receive_proof(message::decode_proof(proof));
        }
    }

    /// The other VMs of the zone. Forgets VMs that are gone, and passes on who is left to what is shared
    /// among VMs.
    fn refresh_peers(&self) -> Vec<Peer> {
        let mut inner = self.lock();
        inner.peers.remove_expired(boot::now());
        let config = &self.node.config;
        let peers = inner.peers.in_zone(&config.zone);
        self.node.retry_budgets.set_vms(inner.peers.count() + 1);
        let participants = inner
            .peers
            .limit_participants(&config.node, &config.zone, boot::now());
        drop(inner);
        self.node.scheduler.set_participants(&participants);
        self.zone
            .retain_stamps(|node| peers.iter().any(|peer| peer.key == node));
        peers
    }

    /// Updates who reads the log for whom.
    fn update_role(&self) {
        let assignment = self.assignment();
        self.zone.set_reader_address(assignment.reader);
        self.zone.set_log_state(assignment.state);
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
        if self.node.leaving.is_cancelled() {
            return ReaderStatus::Leaving;
        }
        let ages = [self.node.operators.age(), self.node.directory.age()];
        let young = |age: &Option<Duration>| age.is_some_and(|age| age < MAX_VIEW_AGE);
        match self.zone.reachability(boot::now()) {
            Reachability::Unreachable => ReaderStatus::Unreachable,
            Reachability::Reachable if ages.iter().any(Option::is_none) => ReaderStatus::Starting,
            Reachability::Reachable if ages.iter().all(young) => ReaderStatus::Eligible,
            Reachability::Reachable | Reachability::Suspect => ReaderStatus::Untested,
        }
    }
}

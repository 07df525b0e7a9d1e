//! The other entry VMs that are known, and who reads the log for whom in a zone.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_policy::choice;
use pimento_scheduler::Participants;
use pimento_units::Moment;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

use crate::follow::ReadRole;
use crate::zone::LogState;

/// A VM that sent no datagram for this long does not read for others. It is the time of three heartbeats,
/// and some.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_300);

/// How long all datagrams to another zone go to the same VM there, before the next one gets them.
const ROTATION_INTERVAL: Duration = Duration::from_secs(2);

/// A VM that was not seen for this long is forgotten. In a zone of fifty VMs each VM of another zone is
/// seen every 100 seconds. Until then it still gets datagrams: it may only be cut off or suspended, and may
/// think the same of this VM.
const FORGET_TIMEOUT: Duration = Duration::from_mins(5);

/// If the log is unreachable for this many VMs of a zone, it may be out for all of them.
const MANY_UNREACHABLE: usize = 3;

/// Whether a VM can read the log for others.
///
/// The variants are in order of preference: of two VMs the one with the lesser status reads for the
/// other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ReaderStatus {
    /// It can read for others: it stays, and as far as it knows its reads are answered.
    Eligible,
    /// It has read nothing yet.
    Starting,
    /// Its view is old, or its reads were not answered some time ago and it has not tried since.
    Untested,
    /// The log is unreachable for it: it refused a read, or several reads got no answer.
    Unreachable,
    /// It is shutting down.
    Leaving,
}

/// Another VM.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The VM.
    pub node: id::Node,
    /// Hash of its name.
    pub key: u64,
    /// Its zone.
    pub zone: id::Zone,
    /// Where it receives datagrams and calls.
    pub address: SocketAddr,
    /// Its last status.
    pub status: ReaderStatus,
    /// When it was discovered or last sent a datagram.
    last_seen: Moment,
    /// When its last datagram was received; none if it is known from the log only, where the records of
    /// VMs stay that are long gone.
    last_datagram: Option<Moment>,
}

impl Peer {
    /// A VM of which no datagram was received yet.
    #[must_use]
    pub fn discovered(node: id::Node, zone: id::Zone, address: SocketAddr, now: Moment) -> Self {
        Self {
            key: choice::hash(node.as_str()),
            node,
            zone,
            address,
            status: ReaderStatus::Starting,
            last_seen: now,
            last_datagram: None,
        }
    }

    /// The same VM, which now sent a datagram with this status.
    #[must_use]
    pub const fn with_datagram(mut self, status: ReaderStatus, now: Moment) -> Self {
        self.status = status;
        self.last_seen = now;
        self.last_datagram = Some(now);
        self
    }

    fn is_alive(&self, now: Moment) -> bool {
        self.last_datagram
            .is_some_and(|received| now.since(received) < LIVENESS_TIMEOUT)
    }
}

/// This VM's part in reading the log for its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Assignment {
    /// This VM's role.
    pub read_role: ReadRole,
    /// The reader of this VM; none if this one reads itself.
    pub reader: Option<SocketAddr>,
    /// Whether the log answers the VMs of the zone.
    pub state: LogState,
}

/// All other VMs, sorted by name.
#[derive(Debug, Default)]
pub struct Peers {
    peers: Vec<Peer>,
}

impl Peers {
    /// Adds or updates a VM. Returns true if that may change who reads the log.
    pub fn update(&mut self, peer: Peer, now: Moment) -> bool {
        match self.peers.binary_search_by(|p| p.node.cmp(&peer.node)) {
            Ok(place) => {
                let known = &self.peers[place];
                if peer.last_datagram.is_none() && known.last_datagram.is_some() {
                    return false;
                }
                let alive = known.is_alive(now) != peer.is_alive(now);
                let changed = alive || known.status != peer.status;
                self.peers[place] = peer;
                changed
            }
            Err(place) => {
                log::info!("neighbours: Discovered {} in {}.", peer.node, peer.zone);
                let alive = peer.is_alive(now);
                self.peers.insert(place, peer);
                alive
            }
        }
    }

    /// Forgets the VMs that were not seen for long.
    pub fn remove_expired(&mut self, now: Moment) {
        self.peers
            .retain(|peer| now.since(peer.last_seen) < FORGET_TIMEOUT);
    }

    /// The number of VMs that are known.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.peers.len()
    }

    /// The VMs that share the limits of endpoints. The share of a VM of this zone that sends no datagrams
    /// any more goes to the others. A VM that receives none at all, though others are known, may itself
    /// be cut off, and takes over no share. Nor does one that has just started, from VMs whose first
    /// datagrams it still expects. Datagrams from other zones are too rare to tell which VMs there are alive.
    #[must_use]
    pub fn limit_participants(&self, own: &id::Node, zone: &id::Zone, now: Moment) -> Participants {
        let local = |peer: &&Peer| peer.zone == *zone;
        let alone = !self
            .peers
            .iter()
            .filter(local)
            .any(|peer| peer.is_alive(now));
        let shares = |peer: &&Peer| {
            let stays = peer.status != ReaderStatus::Leaving;
            let heard_of = now.since(peer.last_seen) < LIVENESS_TIMEOUT;
            stays && (peer.zone != *zone || alone || heard_of)
        };
        let mut zones = vec![(zone.clone(), vec![choice::hash(own.as_str())])];
        for peer in self.peers.iter().filter(shares) {
            match zones.iter_mut().find(|(known, _)| *known == peer.zone) {
                Some((_, vms)) => vms.push(peer.key),
                None => zones.push((peer.zone.clone(), vec![peer.key])),
            }
        }
        Participants::new(choice::hash(own.as_str()), zones)
    }

    /// The VMs of a zone.
    #[must_use]
    pub fn in_zone(&self, zone: &id::Zone) -> Vec<Peer> {
        let peers = self.peers.iter().filter(|peer| peer.zone == *zone);
        peers.cloned().collect()
    }

    /// Who reads the log for this VM, which has this `status`: of the VMs of the zone that are alive, the
    /// one with the lowest status, and of several such the first by name. If none is eligible, the one
    /// chosen goes on trying, and the others learn from it that the log is reachable again.
    #[must_use]
    pub fn assignment(
        &self,
        own: &id::Node,
        zone: &id::Zone,
        status: ReaderStatus,
        now: Moment,
    ) -> Assignment {
        let alive = |peer: &&Peer| peer.zone == *zone && peer.is_alive(now);
        let others = self.peers.iter().filter(alive);
        let others: Vec<(ReaderStatus, &id::Node, Option<SocketAddr>)> = others
            .map(|peer| (peer.status, &peer.node, Some(peer.address)))
            .collect();
        if others.is_empty() {
            return Assignment {
                read_role: ReadRole::Alone,
                reader: None,
                state: LogState::default(),
            };
        }
        let unreachable = |(status, ..): &&(ReaderStatus, &id::Node, Option<SocketAddr>)| {
            *status == ReaderStatus::Unreachable
        };
        let all: Vec<_> = others.into_iter().chain([(status, own, None)]).collect();
        // A VM with a better status comes first; among equal ones names decide.
        let reader = all.iter().min_by_key(|(status, node, _)| (*status, *node));
        let eligible = reader.is_some_and(|(status, ..)| *status == ReaderStatus::Eligible);
        let address = reader.and_then(|(.., address)| *address);
        Assignment {
            read_role: address.map_or(ReadRole::Reader, |_| ReadRole::Served),
            reader: address,
            state: LogState {
                no_eligible_reader: !eligible,
                outage_suspected: all.iter().filter(unreachable).count() >= MANY_UNREACHABLE,
            },
        }
    }

    /// One VM of each other zone, rotating among the VMs there: one that is down loses only some of the
    /// datagrams, and in time each VM receives some from all others.
    #[must_use]
    pub fn remote_targets(&self, zone: &id::Zone, now: Moment) -> Vec<SocketAddr> {
        let turn = now.since(Moment::ZERO).as_secs() / ROTATION_INTERVAL.as_secs();
        let mut zones: Vec<&id::Zone> = self.peers.iter().map(|peer| &peer.zone).collect();
        zones.sort();
        zones.dedup();
        let target = |zone: &id::Zone| {
            let peers: Vec<&Peer> = self.peers.iter().filter(|p| p.zone == *zone).collect();
            let count = u64::try_from(peers.len()).ok().filter(|count| *count > 0)?;
            let place = usize::try_from(turn % count).ok()?;
            Some(peers[place].address)
        };
        let others = zones.into_iter().filter(|other| *other != zone);
        others.filter_map(target).collect()
    }
}

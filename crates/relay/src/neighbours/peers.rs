//! The other entry VMs, as far as they were heard of.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_policy::choice;
use pimento_units::Moment;
use pimento_units::id;

use crate::follow::Lead;

/// A VM that said nothing for this long reads for nobody. Three datagrams with nothing new.
const LIVING: Duration = Duration::from_millis(1_300);

/// A VM of another zone gets each datagram for this long, then the next one does.
const TURN: Duration = Duration::from_secs(2);

/// A VM that was not heard for this long is gone; in a zone of fifty each VM of another zone is
/// heard every 100 seconds. Until then it is told everything, as it may be cut off or suspended, and
/// would think the same of this one.
const FORGOTTEN: Duration = Duration::from_mins(5);

/// Another VM.
#[derive(Debug, Clone)]
pub struct Peer {
    pub node: id::Node,
    /// Hash of its name.
    pub key: u64,
    pub zone: id::Zone,
    pub address: SocketAddr,
    /// Whether it could read the log for others.
    pub able: bool,
    heard: Moment,
}

impl Peer {
    pub fn new(node: id::Node, zone: id::Zone, address: SocketAddr, now: Moment) -> Self {
        Self {
            key: choice::key(node.as_str()),
            node,
            zone,
            address,
            able: false,
            heard: now,
        }
    }
}

/// All other VMs, sorted by name.
#[derive(Debug, Default)]
pub struct Peers {
    peers: Vec<Peer>,
}

impl Peers {
    /// Takes in a VM that was heard, or heard of.
    pub fn met(&mut self, peer: Peer) {
        match self.peers.binary_search_by(|p| p.node.cmp(&peer.node)) {
            Ok(place) => self.peers[place] = peer,
            Err(place) => {
                log::info!("neighbours: {} of {} met.", peer.node, peer.zone);
                self.peers.insert(place, peer);
            }
        }
    }

    /// Forgets the VMs that are gone.
    pub fn sweep(&mut self, now: Moment) {
        self.peers.retain(|peer| now.since(peer.heard) < FORGOTTEN);
    }

    /// How many are known.
    pub const fn count(&self) -> usize {
        self.peers.len()
    }

    /// The VMs of a zone.
    pub fn of(&self, zone: &id::Zone) -> Vec<Peer> {
        let near = self.peers.iter().filter(|peer| peer.zone == *zone);
        near.cloned().collect()
    }

    /// Who reads the log for whom, and where the VM is that reads for this one: the first by name of those
    /// that live and are able to. If none is, the first of all goes on trying, and the others learn from
    /// it that the log is back.
    pub fn lead(
        &self,
        own: &id::Node,
        zone: &id::Zone,
        able: bool,
        now: Moment,
    ) -> (Lead, Option<SocketAddr>) {
        let living = |peer: &&Peer| peer.zone == *zone && now.since(peer.heard) < LIVING;
        let others: Vec<&Peer> = self.peers.iter().filter(living).collect();
        let Some(first) = others.first() else {
            return (Lead::Alone, None);
        };
        let before = |peer: &&&Peer| peer.node < *own;
        let first_able = others.iter().find(|peer| peer.able);
        let reader = match (able, first_able) {
            (true, Some(other)) => Some(other).filter(before),
            (true, None) => None,
            (false, Some(other)) => Some(other),
            (false, None) => Some(first).filter(before),
        };
        match reader {
            Some(reader) => (Lead::Led, Some(reader.address)),
            None => (Lead::Leading, None),
        }
    }

    /// One VM of each other zone, another one in each turn: one that is down misses a part only, and
    /// each hears of all others in time.
    pub fn far(&self, zone: &id::Zone, now: Moment) -> Vec<SocketAddr> {
        let turn = now.since(Moment::ZERO).as_secs() / TURN.as_secs();
        let mut zones: Vec<&id::Zone> = self.peers.iter().map(|peer| &peer.zone).collect();
        zones.sort();
        zones.dedup();
        let one = |zone: &id::Zone| {
            let peers: Vec<&Peer> = self.peers.iter().filter(|p| p.zone == *zone).collect();
            let count = u64::try_from(peers.len()).ok().filter(|count| *count > 0)?;
            let place = usize::try_from(turn % count).ok()?;
            Some(peers[place].address)
        };
        let others = zones.into_iter().filter(|other| *other != zone);
        others.filter_map(one).collect()
    }
}

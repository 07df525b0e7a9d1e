//! The other entry VMs, as far as they were heard of, and who of a zone reads the log for whom.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_policy::choice;
use pimento_scheduler::Sharers;
use pimento_units::Moment;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

use crate::follow::Lead;
use crate::zone::State;

/// A VM that said nothing for this long reads for nobody. Three datagrams with nothing new.
pub const LIVENESS_TIMEOUT: Duration = Duration::from_millis(1_300);

/// A VM of another zone gets each datagram for this long, then the next one does.
const TURN: Duration = Duration::from_secs(2);

/// A VM that was not heard for this long is gone; in a zone of fifty each VM of another zone is
/// heard every 100 seconds. Until then it is told everything, as it may be cut off or suspended, and
/// would think the same of this one.
const FORGOTTEN: Duration = Duration::from_mins(5);

/// When so many VMs of a zone were turned away by the log, it may be out for all of them.
const SEVERAL: usize = 3;

/// What a VM says of its reads of the log.
///
/// Of two VMs the one with the lesser standing reads for the other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ReaderStatus {
    /// It could read for others: it stays, and as far as it knows its reads are answered.
    Eligible,
    /// It has read nothing yet.
    Starting,
    /// What it knows is old, or its reads were not answered a while ago; it has not tried since.
    Untested,
    /// Its reads are not answered.
    Unanswered,
    /// It leaves.
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
    /// Where it takes datagrams and calls.
    pub address: SocketAddr,
    /// What it said last of its reads.
    pub status: ReaderStatus,
    /// When it was heard, or heard of.
    last_seen: Moment,
    /// When it spoke last; none if it is only known from the log, where VMs stay that are long gone.
    last_datagram: Option<Moment>,
}

impl Peer {
    /// A VM that another one, or the log, told of.
    #[must_use]
    pub fn discovered(node: id::Node, zone: id::Zone, address: SocketAddr, now: Moment) -> Self {
        Self {
            key: choice::key(node.as_str()),
            node,
            zone,
            address,
            status: ReaderStatus::Starting,
            last_seen: now,
            last_datagram: None,
        }
    }

    /// The VM, which says of its reads what `standing` tells.
    #[must_use]
    pub const fn with_datagram(mut self, status: ReaderStatus, now: Moment) -> Self {
        self.status = status;
        self.last_datagram = Some(now);
        self
    }

    fn is_alive(&self, now: Moment) -> bool {
        self.last_datagram
            .is_some_and(|spoke| now.since(spoke) < LIVENESS_TIMEOUT)
    }
}

/// Who reads the log in a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Role {
    /// What this VM does.
    pub lead: Lead,
    /// The VM that reads for this one.
    pub reader: Option<SocketAddr>,
    /// How the reads of the zone go.
    pub state: State,
}

/// All other VMs, sorted by name.
#[derive(Debug, Default)]
pub struct Peers {
    peers: Vec<Peer>,
}

impl Peers {
    /// Takes in a VM that was heard, or heard of. Whether that may change who reads the log.
    pub fn update(&mut self, peer: Peer, now: Moment) -> bool {
        match self.peers.binary_search_by(|p| p.node.cmp(&peer.node)) {
            Ok(place) => {
                let known = &self.peers[place];
                if peer.last_datagram.is_none() && known.last_datagram.is_some() {
                    return false;
                }
                let other =
                    known.is_alive(now) != peer.is_alive(now) || known.status != peer.status;
                self.peers[place] = peer;
                other
            }
            Err(place) => {
                log::info!("neighbours: {} of {} met.", peer.node, peer.zone);
                let lives = peer.is_alive(now);
                self.peers.insert(place, peer);
                lives
            }
        }
    }

    /// Forgets the VMs that are gone.
    pub fn remove_expired(&mut self, now: Moment) {
        self.peers
            .retain(|peer| now.since(peer.last_seen) < FORGOTTEN);
    }

    /// How many are known.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.peers.len()
    }

    /// Who shares what endpoints take. In the own zone a VM that is not heard any more gives its part to
    /// the others; one that hears nobody, though others are known, may be the one that is cut off, and
    /// takes nobody's. Other zones are heard too seldom to tell.
    #[must_use]
    pub fn limit_owners(&self, own: &id::Node, zone: &id::Zone, now: Moment) -> Sharers {
        let near = |peer: &&Peer| peer.zone == *zone;
        let alone = !self
            .peers
            .iter()
            .filter(near)
            .any(|peer| peer.is_alive(now));
        let shares = |peer: &&Peer| {
            let stays = peer.status != ReaderStatus::Leaving;
            stays && (peer.zone != *zone || alone || peer.is_alive(now))
        };
        let mut zones = vec![(zone.clone(), vec![choice::key(own.as_str())])];
        for peer in self.peers.iter().filter(shares) {
            match zones.iter_mut().find(|(known, _)| *known == peer.zone) {
                Some((_, vms)) => vms.push(peer.key),
                None => zones.push((peer.zone.clone(), vec![peer.key])),
            }
        }
        Sharers::new(choice::key(own.as_str()), zones)
    }

    /// The VMs of a zone.
    #[must_use]
    pub fn in_zone(&self, zone: &id::Zone) -> Vec<Peer> {
        let near = self.peers.iter().filter(|peer| peer.zone == *zone);
        near.cloned().collect()
    }

    /// Who reads the log for whom: the first by name of those that live and are able to. If none is,
    /// one that did not try lately tries, or the first of all goes on trying, and the others learn from
    /// it that the log is back.
    #[must_use]
    pub fn role(&self, own: &id::Node, zone: &id::Zone, status: ReaderStatus, now: Moment) -> Role {
        let living = |peer: &&Peer| peer.zone == *zone && peer.is_alive(now);
        let others = self.peers.iter().filter(living);
        let others: Vec<(ReaderStatus, &id::Node, Option<SocketAddr>)> = others
            .map(|peer| (peer.status, &peer.node, Some(peer.address)))
            .collect();
        if others.is_empty() {
            return Role {
                lead: Lead::Alone,
                reader: None,
                state: State::default(),
            };
        }
        let unable = |(status, ..): &&(ReaderStatus, &id::Node, Option<SocketAddr>)| {
            *status == ReaderStatus::Unanswered
        };
        let all: Vec<_> = others.into_iter().chain([(status, own, None)]).collect();
        // A VM that has read something comes before those that have not, then names decide.
        let reader = all.iter().min_by_key(|(status, node, _)| (*status, *node));
        let able = reader.is_some_and(|(status, ..)| *status == ReaderStatus::Eligible);
        let address = reader.and_then(|(.., address)| *address);
        Role {
            lead: address.map_or(Lead::Leading, |_| Lead::Led),
            reader: address,
            state: State {
                blind: !able,
                doubtful: all.iter().filter(unable).count() >= SEVERAL,
            },
        }
    }

    /// One VM of each other zone, another one in each turn: one that is down misses a part only, and
    /// each hears of all others in time.
    #[must_use]
    pub fn remote_targets(&self, zone: &id::Zone, now: Moment) -> Vec<SocketAddr> {
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

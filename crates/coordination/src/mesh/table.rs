//! The table of known peers and addresses. The current time is an argument of its functions.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_units::Offset;
use pimento_units::id;
use pimento_wire::peer::Heartbeat;
use pimento_wire::peer::LastSeen;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::Freshness;

/// The largest number of nodes, and of addresses. It is more than twice the number of nodes of the
/// target size, so that replaced nodes and their successors both fit.
const MAX_ENTRIES: usize = 1_024;
/// How long the address of a silent peer is still tried. It is longer than partitions between regions
/// last, so that nodes find each other again without the platform.
const FORGET_TIMEOUT: Duration = Duration::from_hours(1);

/// A peer, as its last heartbeat describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub node: id::Node,
    /// Its zone.
    pub zone: id::Zone,
    /// The address at which it is reached.
    pub address: SocketAddr,
    /// Offset of its configuration.
    pub offset: Offset,
    /// Until when its configuration is known to be current.
    pub freshness: Option<Freshness>,
    /// Whether its last read of the log reached the end of the configuration stream.
    pub reads_log: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Versions that it has quarantined.
    pub quarantined: Vec<id::Version>,
}

/// The effect of a heartbeat on the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Update {
    /// The sender was not known as live.
    New,
    /// It is newer than the last heartbeat of a live peer.
    Newer,
    /// It is late, repeated, without a valid address, or from this node.
    Stale,
}

#[derive(Debug)]
struct Known {
    peer: Peer,
    /// Sequence number of its newest heartbeat received here.
    sequence: u64,
    /// When that heartbeat was received.
    received: Instant,
    /// Sequence number of its newest heartbeat that this node or, by their reports, a peer received.
    latest: u64,
    /// When `latest` became known here.
    last_seen: Instant,
    /// Whether a call to it failed after its newest heartbeat received here.
    unreachable: bool,
}

/// The known peers, and addresses of possible ones.
#[derive(Debug)]
pub(super) struct Table {
    own_node: id::Node,
    liveness_timeout: Duration,
    known: Vec<Known>,
    candidates: Vec<Candidate>,
}

/// An address of a possible peer.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    address: SocketAddr,
    /// When it was last listed as a peer's address.
    last_listed: Instant,
}

impl Table {
    /// A table without peers, with the addresses of `seeds`.
    pub(super) fn new(
        own_node: id::Node,
        liveness_timeout: Duration,
        seeds: &[SocketAddr],
        now: Instant,
    ) -> Self {
        let mut table = Self {
            own_node,
            liveness_timeout,
            known: Vec::new(),
            candidates: Vec::new(),
        };
        for seed in seeds {
            table.add_address(*seed, now);
        }
        table
    }

    /// Adds an address of a possible peer.
    ///
    /// An address that is missing from a list stays: a list that is suddenly empty or short would
    /// otherwise cost the node peers that it needs after a partition. When there are too many
    /// addresses, the one listed longest ago is removed, since VMs are replaced every day.
    pub(super) fn add_address(&mut self, address: SocketAddr, now: Instant) {
        let candidate = Candidate {
            address,
            last_listed: now,
        };
        match self
            .candidates
            .binary_search_by_key(&address, |s| s.address)
        {
            Ok(at) => self.candidates[at] = candidate,
            Err(at) => self.candidates.insert(at, candidate),
        }
        if self.candidates.len() > MAX_ENTRIES {
            let oldest = self
                .candidates
                .iter()
                .enumerate()
                .min_by_key(|(_, s)| s.last_listed);
            let at = oldest.map_or(0, |(at, _)| at);
            self.candidates.remove(at);
        }
    }

    /// Merges a heartbeat.
    ///
    /// A heartbeat whose sequence number is not above the last one is late or repeated. It must not
    /// restore an older offset or make a dead node look alive.
    pub(super) fn merge(&mut self, beat: &Heartbeat, now: Instant) -> Update {
        let Ok(address) = beat.address.parse() else {
            return Update::Stale;
        };
        if beat.node == self.own_node {
            return Update::Stale;
        }
        let found = self.find(&beat.node);
        if let Ok(at) = found
            && beat.sequence <= self.known[at].sequence
        {
            return Update::Stale;
        }
        let update = match found {
            Ok(at) if self.is_live(&self.known[at], now) => Update::Newer,
            _ => Update::New,
        };
        let (latest, last_seen) = match found {
            // A peer has already reported a newer heartbeat of the same incarnation.
            Ok(at) if self.known[at].latest > beat.sequence => {
                (self.known[at].latest, self.known[at].last_seen)
            }
            _ => (beat.sequence, now),
        };
        let known = Known {
            peer: peer(beat, address, now),
            sequence: beat.sequence,
            received: now,
            latest,
            last_seen,
            unreachable: false,
        };
        match found {
            Ok(at) => self.known[at] = known,
            Err(at) => self.known.insert(at, known),
        }
        self.remove_expired(now);
        update
    }

    /// Merges a peer's report of the latest heartbeats of other nodes. Only a heartbeat newer than the
    /// latest one known here shows that its node is alive.
    pub(super) fn merge_last_seen(&mut self, reports: &[LastSeen], now: Instant) {
        for reported in reports {
            let known = self
                .known
                .iter_mut()
                .find(|k| hash(&k.peer.node) == reported.node);
            if let Some(known) = known.filter(|k| k.latest < reported.sequence) {
                known.latest = reported.sequence;
                known.last_seen = now;
            }
        }
    }

    /// The latest heartbeats of the live nodes of a zone, to report to peers; the most recent first.
    pub(super) fn last_seen(&self, zone: &id::Zone, max: usize, now: Instant) -> Vec<LastSeen> {
        let mut live: Vec<&Known> = self.known.iter().collect();
        live.retain(|k| &k.peer.zone == zone && self.is_live(k, now));
        live.sort_by_key(|k| std::cmp::Reverse(k.last_seen));
        live.truncate(max);
        let report = |k: &Known| LastSeen {
            node: hash(&k.peer.node),
            sequence: k.latest,
        };
        live.into_iter().map(report).collect()
    }

    /// Marks a peer after a failed call: it does not count as live until the next heartbeat from it is
    /// received here.
    pub(super) fn mark_unreachable(&mut self, node: &id::Node) {
        if let Ok(at) = self.find(node) {
            self.known[at].unreachable = true;
        }
    }

    /// Live peers, sorted by name.
    pub(super) fn live(&self, now: Instant) -> Vec<Peer> {
        let live = self.known.iter().filter(|k| self.is_live(k, now));
        live.map(|k| k.peer.clone()).collect()
    }

    /// Addresses without a live peer: those of silent peers, and addresses of possible peers.
    pub(super) fn silent_addresses(&self, now: Instant) -> Vec<SocketAddr> {
        let silent = self.known.iter().filter(|k| !self.is_live(k, now));
        let mut addresses: Vec<SocketAddr> = silent.map(|k| k.peer.address).collect();
        addresses.extend(self.candidates.iter().map(|s| s.address));
        addresses.sort_unstable();
        addresses.dedup();
        let live = self.live(now);
        addresses.retain(|address| live.iter().all(|peer| peer.address != *address));
        addresses
    }

    fn is_live(&self, known: &Known, now: Instant) -> bool {
        !known.unreachable && now.saturating_duration_since(known.last_seen) < self.liveness_timeout
    }

    fn find(&self, node: &id::Node) -> Result<usize, usize> {
        self.known.binary_search_by(|k| k.peer.node.cmp(node))
    }

    fn remove_expired(&mut self, now: Instant) {
        self.known
            .retain(|k| now.saturating_duration_since(k.received) < FORGET_TIMEOUT);
        if self.known.len() > MAX_ENTRIES {
            let oldest = self.known.iter().map(|k| k.last_seen).min();
            self.known.retain(|k| Some(k.last_seen) != oldest);
        }
    }
}

fn peer(beat: &Heartbeat, address: SocketAddr, now: Instant) -> Peer {
    let freshness = beat.current.and_then(|current| {
        let since = now.checked_sub(Duration::from_millis(current.age_ms))?;
        let at = current.at;
        Some(Freshness {
            at,
            local_at: since,
        })
    });
    Peer {
        node: beat.node.clone(),
        zone: beat.zone.clone(),
        address,
        offset: beat.offset,
        freshness,
        reads_log: beat.tailing,
        leaving: beat.leaving,
        quarantined: beat.quarantined.clone(),
    }
}

/// A short hash of a node's name. If two nodes have the same hash, one of them looks alive for as long
/// as the other one is. In a zone this happens for about one in 85 million pairs.
fn hash(node: &id::Node) -> u32 {
    let bytes = xxh3_64(node.as_str().as_bytes()).to_le_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

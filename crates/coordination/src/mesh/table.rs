//! What is known of peers. Takes the time as an argument.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_units::Offset;
use pimento_units::id;
use pimento_wire::peer::Heartbeat;
use pimento_wire::peer::LastSeen;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::Fresh;

/// The most nodes and addresses kept, each. Over twice the nodes of the target size, so that
/// replaced ones and their successors fit side by side.
const MAX: usize = 1_024;
/// How long a silent peer's address is still tried. Longer than the cuts between regions, so that
/// nodes find each other again without the platform.
const REMEMBER: Duration = Duration::from_hours(1);

/// A peer as its last heartbeat showed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub node: id::Node,
    /// Its zone.
    pub zone: id::Zone,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Offset of its configuration.
    pub offset: Offset,
    /// Until when that is known to be current.
    pub fresh: Option<Fresh>,
    /// Whether it reads the log itself.
    pub tailing: bool,
    /// Whether it is about to go.
    pub leaving: bool,
    /// Versions that it quarantined.
    pub quarantined: Vec<id::Version>,
}

/// What a heartbeat changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum News {
    /// It is from a node that was not known as live.
    New,
    /// It is newer than what was known.
    Newer,
    /// It is late or repeated, or our own.
    Old,
}

#[derive(Debug)]
struct Known {
    peer: Peer,
    /// The number of its newest heartbeat that came here.
    sequence: u64,
    heard: Instant,
    /// The number of its newest heartbeat that came anywhere, as far as known here.
    word: u64,
    life: Instant,
    suspected: bool,
}

/// What is known of peers.
#[derive(Debug)]
pub(super) struct Table {
    own: id::Node,
    silence: Duration,
    known: Vec<Known>,
    seeds: Vec<Seed>,
}

/// An address of a possible peer.
#[derive(Debug, Clone, Copy)]
struct Seed {
    address: SocketAddr,
    /// When it was last told.
    told: Instant,
}

impl Table {
    /// Knows some addresses only.
    pub(super) fn new(
        own: id::Node,
        silence: Duration,
        seeds: &[SocketAddr],
        now: Instant,
    ) -> Self {
        let mut table = Self {
            own,
            silence,
            known: Vec::new(),
            seeds: Vec::new(),
        };
        for seed in seeds {
            table.learn(*seed, now);
        }
        table
    }

    /// Takes an address of a possible peer.
    ///
    /// Addresses are never dropped for being missing from a list: one that is suddenly empty or
    /// short would cut the node off from peers that it may need after a cut. The one told longest
    /// ago goes when there are too many, since VMs are replaced every day.
    pub(super) fn learn(&mut self, address: SocketAddr, now: Instant) {
        let seed = Seed { address, told: now };
        match self.seeds.binary_search_by_key(&address, |s| s.address) {
            Ok(at) => self.seeds[at] = seed,
            Err(at) => self.seeds.insert(at, seed),
        }
        if self.seeds.len() > MAX {
            let oldest = self.seeds.iter().enumerate().min_by_key(|(_, s)| s.told);
            let at = oldest.map_or(0, |(at, _)| at);
            self.seeds.remove(at);
        }
    }

    /// Takes a heartbeat.
    ///
    /// One with a sequence number not above the last is late or repeated, and must not bring back
    /// an older offset or make a dead node look alive.
    pub(super) fn hear(&mut self, beat: &Heartbeat, now: Instant) -> News {
        let Ok(address) = beat.address.parse() else {
            return News::Old;
        };
        if beat.node == self.own {
            return News::Old;
        }
        let place = self.place(&beat.node);
        if let Ok(at) = place
            && beat.sequence <= self.known[at].sequence
        {
            return News::Old;
        }
        let news = match place {
            Ok(at) if self.alive(&self.known[at], now) => News::Newer,
            _ => News::New,
        };
        let (word, life) = match place {
            // Passed on by another, a newer one of the same life came here first.
            Ok(at) if self.known[at].word > beat.sequence => {
                (self.known[at].word, self.known[at].life)
            }
            _ => (beat.sequence, now),
        };
        let known = Known {
            peer: peer(beat, address, now),
            sequence: beat.sequence,
            heard: now,
            word,
            life,
            suspected: false,
        };
        match place {
            Ok(at) => self.known[at] = known,
            Err(at) => self.known.insert(at, known),
        }
        self.prune(now);
        news
    }

    /// Takes word of other nodes, passed on by a peer. Only a heartbeat that was not known of is a
    /// sign of life.
    pub(super) fn hear_of(&mut self, heard: &[LastSeen], now: Instant) {
        for word in heard {
            let known = self
                .known
                .iter_mut()
                .find(|k| hash(&k.peer.node) == word.node);
            if let Some(known) = known.filter(|k| k.word < word.sequence) {
                known.word = word.sequence;
                known.life = now;
            }
        }
    }

    /// Word of the live nodes of a zone, to pass on; the latest first.
    pub(super) fn digest(&self, zone: &id::Zone, max: usize, now: Instant) -> Vec<LastSeen> {
        let mut live: Vec<&Known> = self.known.iter().collect();
        live.retain(|k| &k.peer.zone == zone && self.alive(k, now));
        live.sort_by_key(|k| std::cmp::Reverse(k.life));
        live.truncate(max);
        let word = |k: &Known| LastSeen {
            node: hash(&k.peer.node),
            sequence: k.word,
        };
        live.into_iter().map(word).collect()
    }

    /// A call to the peer failed: it is not counted as live until it is heard itself.
    pub(super) fn suspect(&mut self, node: &id::Node) {
        if let Ok(at) = self.place(node) {
            self.known[at].suspected = true;
        }
    }

    /// Peers that showed life lately, sorted by name.
    pub(super) fn live(&self, now: Instant) -> Vec<Peer> {
        let live = self.known.iter().filter(|k| self.alive(k, now));
        live.map(|k| k.peer.clone()).collect()
    }

    /// Addresses that are not those of live peers: seeds, and peers that fell silent.
    pub(super) fn quiet(&self, now: Instant) -> Vec<SocketAddr> {
        let silent = self.known.iter().filter(|k| !self.alive(k, now));
        let mut quiet: Vec<SocketAddr> = silent.map(|k| k.peer.address).collect();
        quiet.extend(self.seeds.iter().map(|s| s.address));
        quiet.sort_unstable();
        quiet.dedup();
        let live = self.live(now);
        quiet.retain(|address| live.iter().all(|peer| peer.address != *address));
        quiet
    }

    fn alive(&self, known: &Known, now: Instant) -> bool {
        !known.suspected && now.saturating_duration_since(known.life) < self.silence
    }

    fn place(&self, node: &id::Node) -> Result<usize, usize> {
        self.known.binary_search_by(|k| k.peer.node.cmp(node))
    }

    fn prune(&mut self, now: Instant) {
        self.known
            .retain(|k| now.saturating_duration_since(k.heard) < REMEMBER);
        if self.known.len() > MAX {
            let oldest = self.known.iter().map(|k| k.life).min();
            self.known.retain(|k| Some(k.life) != oldest);
        }
    }
}

fn peer(beat: &Heartbeat, address: SocketAddr, now: Instant) -> Peer {
    let fresh = beat.current.and_then(|current| {
        let since = now.checked_sub(Duration::from_millis(current.age_ms))?;
        let at = current.at;
        Some(Fresh { at, since })
    });
    Peer {
        node: beat.node.clone(),
        zone: beat.zone.clone(),
        address,
        offset: beat.offset,
        fresh,
        tailing: beat.tailing,
        leaving: beat.leaving,
        quarantined: beat.quarantined.clone(),
    }
}

/// A short hash of a node's name. Two nodes of a zone share one about once in 85 million pairs;
/// one of them would then look alive for as long as the other is.
fn hash(node: &id::Node) -> u32 {
    let bytes = xxh3_64(node.as_str().as_bytes()).to_le_bytes();
    u32::from_le_bytes([bytes[0], bytes[1], bytes[2], bytes[3]])
}

//! What the entry VMs tell each other by datagrams: how long engines take for their prompts, and
//! which prompts engines have read.
//!
//! All of it is a hint. A datagram that is lost makes a prompt wait a little longer or be read once
//! more; nothing that must be agreed on depends on it. VMs find each other by the topic that they
//! share, read once at the start; who starts later is met by its first datagram.
//!
//! Within a zone each VM tells all others. To another zone it tells one VM, which passes it on there,
//! so that bytes between zones grow with the number of zones and not with that of VMs.

mod message;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_policy::choice;
use pimento_policy::engine;
use pimento_units::Moment;
use pimento_units::id;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

use self::message::Message;
use self::message::Read;
use crate::boot;
use crate::border::Border;
use crate::codec::Codec;
use crate::fleet;
use crate::node::Node;
use crate::topic::Log;
use crate::topic::Topic;

/// Time between datagrams to each VM of the zone, for each VM there: with two neighbours news is
/// 40 ms old, which is half of the shortest prompt's reading by the largest model; with fifty, a VM
/// still sends no more than fifty datagrams a second.
const NEAR: Duration = Duration::from_millis(20);

/// Time between datagrams to other zones, whose bytes cost. What they tell saves reading for tens of
/// seconds, so that this age matters little.
const FAR: Duration = Duration::from_millis(300);

/// A VM that says nothing for this long is told nothing but a rare word, in case it comes back.
const SILENT: Duration = Duration::from_secs(5);

/// A VM of another zone gets each datagram for this long, then the next one does.
const TURN: Duration = Duration::from_secs(2);

/// A VM that was not heard for this long is gone; in a zone of fifty each is met every 100 seconds.
const FORGOTTEN: Duration = Duration::from_mins(5);

/// A VM with nothing new says so this often, so that it counts as living.
const BEAT: Duration = Duration::from_secs(1);

/// Pause after a failure, so that one that stays doesn't take the whole processor.
const PAUSE: Duration = Duration::from_millis(200);

/// A call of the log takes at most this long.
const CALL: Duration = Duration::from_secs(1);

/// Prompts told in one datagram; more than these would not fit the smallest usual path.
const READS: usize = 16;

/// The largest datagram that is taken.
const LARGEST: usize = 2_048;

/// Another VM.
#[derive(Debug, Clone)]
struct Peer {
    node: id::Node,
    zone: id::Zone,
    address: SocketAddr,
    heard: Moment,
}

#[derive(Debug, Default)]
struct Inner {
    /// Sorted by node.
    peers: Vec<Peer>,
    /// What other zones are to be told.
    far: Vec<Read>,
    /// What other zones told and the own one is to be told.
    passed: Vec<Read>,
}

struct Neighbours<P, L> {
    node: Node<P, L>,
    log: L,
    socket: Arc<UdpSocket>,
    inner: Arc<Mutex<Inner>>,
}

impl<P: Clone, L: Clone> Clone for Neighbours<P, L> {
    fn clone(&self) -> Self {
        Self {
            node: self.node.clone(),
            log: self.log.clone(),
            socket: Arc::clone(&self.socket),
            inner: Arc::clone(&self.inner),
        }
    }
}

/// Starts to tell other VMs and to listen to them.
pub fn start<P: Border + Codec, L: Log>(node: &Node<P, L>, log: L, token: CancellationToken) {
    let node = node.clone();
    tokio::spawn(async move { token.run_until_cancelled(run(node, log)).await });
}

async fn run<P: Border + Codec, L: Log>(node: Node<P, L>, log: L) {
    let address = node.config.peer_listen;
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            log::error!("neighbours: No datagrams at {address}: {error}.");
            return;
        }
    };
    let neighbours = Neighbours {
        node,
        log,
        socket,
        inner: Arc::default(),
    };
    let meet = neighbours.clone();
    let listen = neighbours.clone();
    let far = neighbours.clone();
    tokio::join!(
        meet.meet(),
        listen.listen(),
        neighbours.tell_near(),
        far.tell_far()
    );
}

impl<P: Border + Codec, L: Log> Neighbours<P, L> {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Says where this VM is, and reads where the others are.
    async fn meet(&self) {
        let own = &self.node.config.node;
        while !self.node.word().say(own, &self.log).await {
            tokio::time::sleep(PAUSE).await;
        }
        loop {
            let newest = self.log.newest(Topic::Fleet);
            match tokio::time::timeout(CALL, newest).await {
                Ok(Ok(batch)) => {
                    let words = batch.records.iter().filter_map(fleet::read);
                    let now = boot::now();
                    for (node, word) in words.filter(|(node, _)| node != own) {
                        self.lock().met(node, word.zone, word.address, now);
                    }
                    return;
                }
                Ok(Err(error)) => log::warn!("neighbours: Not read: {error}."),
                Err(_) => log::warn!("neighbours: Not read in time."),
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    async fn listen(&self) {
        let mut buffer = vec![0; LARGEST];
        loop {
            let received = self.socket.recv_from(&mut buffer).await;
            let (length, from) = match received {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("neighbours: Nothing received: {error}.");
                    tokio::time::sleep(PAUSE).await;
                    continue;
                }
            };
            match postcard::from_bytes::<Message>(&buffer[..length]) {
                Ok(message) => self.take(message, from),
                Err(error) => log::warn!("neighbours: Datagram from {from} left out: {error}."),
            }
        }
    }

    fn take(&self, message: Message, from: SocketAddr) {
        let config = &self.node.config;
        if message.node == config.node {
            return;
        }
        let near = message.zone == config.zone;
        let now = boot::now();
        let teller = choice::key(message.node.as_str());
        {
            let mut inner = self.lock();
            inner.met(message.node, message.zone, from, now);
            if !near {
                inner.passed.extend(message.reads.iter().cloned());
            }
        }
        let waits: Vec<(u64, Duration)> = message
            .waits
            .iter()
            .map(|(engine, millis)| (*engine, Duration::from_millis(u64::from(*millis))))
            .collect();
        for (_, pool) in self.node.scheduler.pools() {
            if near {
                pool.hear(teller, &waits);
            }
            for read in &message.reads {
                pool.learn(read.engine, &read.prompt());
            }
        }
    }

    /// Tells the zone.
    async fn tell_near(&self) {
        let mut told = Moment::ZERO;
        let mut silent = true;
        loop {
            let peers = self.lock().near(&self.node.config.zone, boot::now());
            let count = u32::try_from(peers.len()).unwrap_or(u32::MAX).max(1);
            tokio::time::sleep(NEAR * count).await;
            let (sent, waits) = self.news();
            let mut reads: Vec<Read> = sent.iter().map(Read::new).collect();
            {
                let mut inner = self.lock();
                inner.far.extend(sent.iter().filter_map(Read::shared));
                reads.append(&mut inner.passed);
            }
            let now = boot::now();
            let nothing = reads.is_empty() && waits.is_empty();
            if nothing && silent && now.since(told) < BEAT {
                continue;
            }
            silent = nothing;
            told = now;
            let addresses: Vec<SocketAddr> = peers.iter().map(|peer| peer.address).collect();
            self.send(&addresses, &reads, &waits).await;
        }
    }

    /// What the schedulers sent since, and how long engines take for it.
    fn news(&self) -> (Vec<(u64, engine::Prompt)>, Vec<(u64, u32)>) {
        let mut sent = Vec::new();
        let mut waits = Vec::new();
        for (_, pool) in self.node.scheduler.pools() {
            sent.extend(pool.sent());
            let millis = |wait: Duration| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
            waits.extend(
                pool.waits()
                    .into_iter()
                    .map(|(key, wait)| (key, millis(wait))),
            );
        }
        (sent, waits)
    }

    /// Tells one VM of each other zone.
    async fn tell_far(&self) {
        let mut told = Moment::ZERO;
        loop {
            tokio::time::sleep(FAR).await;
            let now = boot::now();
            let (reads, peers) = {
                let mut inner = self.lock();
                let reads = std::mem::take(&mut inner.far);
                (reads, inner.far(&self.node.config, now))
            };
            if reads.is_empty() && now.since(told) < BEAT {
                continue;
            }
            told = now;
            self.send(&peers, &reads, &[]).await;
        }
    }

    async fn send(&self, addresses: &[SocketAddr], reads: &[Read], waits: &[(u64, u32)]) {
        let mut parts: Vec<&[Read]> = reads.chunks(READS).collect();
        if parts.is_empty() {
            parts.push(&[]);
        }
        for part in parts {
            let message = Message {
                node: self.node.config.node.clone(),
                zone: self.node.config.zone.clone(),
                waits: waits.to_vec(),
                reads: part.to_vec(),
            };
            let bytes = match postcard::to_stdvec(&message) {
                Ok(bytes) => bytes,
                Err(error) => return log::error!("neighbours: Not written: {error}."),
            };
            for address in addresses {
                if let Err(error) = self.socket.send_to(&bytes, address).await {
                    log::debug!("neighbours: Nothing sent to {address}: {error}.");
                }
            }
        }
    }
}

impl Inner {
    fn met(&mut self, node: id::Node, zone: id::Zone, address: SocketAddr, now: Moment) {
        let peer = Peer {
            node,
            zone,
            address,
            heard: now,
        };
        match self.peers.binary_search_by(|p| p.node.cmp(&peer.node)) {
            Ok(place) => self.peers[place] = peer,
            Err(place) => {
                log::info!("neighbours: {} of {} met.", peer.node, peer.zone);
                self.peers.insert(place, peer);
            }
        }
    }

    /// The VMs of a zone that live.
    fn near(&self, zone: &id::Zone, now: Moment) -> Vec<Peer> {
        let live = |peer: &&Peer| peer.zone == *zone && now.since(peer.heard) < SILENT;
        self.peers.iter().filter(live).cloned().collect()
    }

    /// One VM of each other zone, another one in each turn: one that is down misses a part only, and
    /// each hears of all others in time.
    fn far(&mut self, config: &crate::Config, now: Moment) -> Vec<SocketAddr> {
        self.peers.retain(|peer| now.since(peer.heard) < FORGOTTEN);
        let turn = now.since(Moment::ZERO).as_secs() / TURN.as_secs();
        let zones = config.zones.iter().map(|(zone, _)| zone);
        let others = zones.filter(|zone| **zone != config.zone);
        let one = |zone: &id::Zone| {
            let peers: Vec<&Peer> = self.peers.iter().filter(|p| p.zone == *zone).collect();
            let count = u64::try_from(peers.len()).ok().filter(|count| *count > 0)?;
            let place = usize::try_from(turn % count).ok()?;
            Some(peers[place].address)
        };
        others.filter_map(one).collect()
    }
}

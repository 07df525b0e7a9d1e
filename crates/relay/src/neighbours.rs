//! What the entry VMs tell each other by datagrams: how long engines take for their prompts, which
//! prompts engines have read, and what one VM of a zone, which reads the log for the others, found.
//!
//! All but the last is a hint. A datagram that is lost makes a prompt wait a little longer or be read
//! once more, or a VM read the log by itself. What was found are records and what proves them; it is
//! taken from whoever reaches the internal ports, which the platform keeps to the system's own VMs.
//! VMs find each other by the topic that they share, read once at the start; who starts later is met
//! by its first datagram. Records too large for datagrams are asked for over a connection.
//!
//! Within a zone each VM tells all others. To another zone it tells one VM, which passes it on there,
//! so that bytes between zones grow with the number of zones and not with that of VMs.

mod message;
mod news;
mod peers;
mod records;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_progress::Progress;
use pimento_units::Moment;
use pimento_units::Offset;
use pimento_units::id;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

use self::message::Message;
use self::message::Proofs;
use self::message::Read;
use self::news::News;
use self::peers::Peer;
use self::peers::Peers;
use crate::boot;
use crate::border::Border;
use crate::calls::Reason;
use crate::codec::Codec;
use crate::fleet;
use crate::fleet::Word;
use crate::follow::Lead;
use crate::follow::Part;
use crate::node::Node;
use crate::passage::Passage;
use crate::passage::Shared;
use crate::rollouts::Rollouts;
use crate::rollouts::announcement::Kept;
use crate::rollouts::announcement::Said;
use crate::topic::Log;
use crate::topic::Topic;
use crate::zone::Stamp;
use crate::zone::Zone;

/// Time between datagrams to each VM of the zone, for each VM there: with two neighbours news is
/// 40 ms old, which is half of the shortest prompt's reading by the largest model; with fifty, a VM
/// still sends no more than fifty datagrams a second.
const NEAR: Duration = Duration::from_millis(20);

/// Time between datagrams to other zones, whose bytes cost. What they tell saves reading for tens of
/// seconds, so that this age matters little.
const FAR: Duration = Duration::from_millis(300);

/// A VM with nothing new says so this often, so that it counts as living and the VM that reads the
/// log has a young stamp of it.
const BEAT: Duration = Duration::from_millis(400);

/// A VM with nothing new for another zone says so this often.
const SECOND: Duration = Duration::from_secs(1);

/// How often a VM looks whether it has learnt enough to tell those that start later.
const LEARNT: Duration = Duration::from_secs(5);

/// A VM whose view of the log is older than this reads for nobody else: reads of others prove it
/// every 2.2 s at least.
const BLIND: Duration = Duration::from_millis(2_600);

/// Pause after a failure, so that one that stays doesn't take the whole processor.
const PAUSE: Duration = Duration::from_millis(200);

/// An answer of the log may take this long to begin, and to go on.
const CALL: Duration = Duration::from_secs(1);

/// The largest datagram that is taken: one with the largest record that is handed on, and some.
const LARGEST: usize = 10 << 10;

#[derive(Debug, Default)]
struct Inner {
    peers: Peers,
    /// What other zones are to be told.
    far: Vec<Read>,
    /// What other zones told and the own one is to be told.
    passed: Vec<Read>,
    /// The same of sessions that keep a version.
    far_kept: Vec<Kept>,
    passed_kept: Vec<Kept>,
    /// Up to which offsets the zone was told of the operators' and the endpoints' records; none
    /// while this VM does not read for it.
    told: Option<(Offset, Offset)>,
}

struct Neighbours<P, L> {
    node: Node<P, L>,
    log: L,
    zone: Zone,
    socket: Arc<UdpSocket>,
    inner: Arc<Mutex<Inner>>,
}

impl<P: Clone, L: Clone> Clone for Neighbours<P, L> {
    fn clone(&self) -> Self {
        Self {
            node: self.node.clone(),
            log: self.log.clone(),
            zone: self.zone.clone(),
            socket: Arc::clone(&self.socket),
            inner: Arc::clone(&self.inner),
        }
    }
}

/// Starts to tell other VMs and to listen to them.
pub fn start<P: Border + Codec, L: Log>(
    node: &Node<P, L>,
    log: L,
    zone: Zone,
    token: CancellationToken,
) {
    let node = node.clone();
    tokio::spawn(async move { token.run_until_cancelled(run(node, log, zone)).await });
}

async fn run<P: Border + Codec, L: Log>(node: Node<P, L>, log: L, zone: Zone) {
    let address = node.config.peer_listen;
    let socket = match UdpSocket::bind(address).await {
        Ok(socket) => Arc::new(socket),
        Err(error) => {
            log::error!("neighbours: No datagrams at {address}: {error}.");
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
    };
    let meet = neighbours.clone();
    let listen = neighbours.clone();
    let far = neighbours.clone();
    tokio::join!(
        meet.meet(),
        listen.listen(),
        neighbours.tell_near(),
        far.tell_far(),
        records
    );
}

impl<P: Border + Codec, L: Log> Neighbours<P, L> {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Meets the other VMs on the log.
    async fn meet(&self) {
        // What its own former life had learnt is read before this life's word replaces it; those that
        // start at the same time are read after it, when each has said its own.
        self.read_words().await;
        while !self.node.say(&self.node.word(), &self.log).await {
            tokio::time::sleep(PAUSE).await;
        }
        self.read_words().await;
        self.teach().await;
    }

    /// Reads where the others are and what they learnt.
    async fn read_words(&self) {
        loop {
            self.node.calls.count(Topic::Fleet, Reason::Meet);
            let progress = Progress::default();
            let newest = self.log.newest(Topic::Fleet, &progress);
            match progress.wait(newest, CALL, CALL).await {
                Ok(Ok(batch)) => {
                    for (node, word) in batch.records.iter().filter_map(fleet::read) {
                        self.meet_one(node, word);
                    }
                    return;
                }
                Ok(Err(error)) => log::warn!("neighbours: Not read: {error}."),
                Err(error) => log::warn!("neighbours: Not read: {error}."),
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn meet_one(&self, node: id::Node, word: Word) {
        self.node.scheduler.seed(&word.paces);
        if node != self.node.config.node {
            let peer = Peer::new(node, word.zone, word.address, boot::now());
            self.lock().peers.met(peer);
        }
    }

    /// Says once more where this VM is, with what it has learnt by then, for those that start later.
    /// One VM of a zone does.
    async fn teach(&self) {
        loop {
            tokio::time::sleep(LEARNT).await;
            let word = self.node.word();
            let known = !word.paces.is_empty();
            let alone = *self.zone.lead.borrow() != Lead::Led;
            if known && alone && self.node.say(&word, &self.log).await {
                return;
            }
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
        let mut peer = Peer::new(message.node.clone(), message.zone, from, now);
        peer.able = message.able;
        let teller = peer.key;
        {
            let mut inner = self.lock();
            inner.peers.met(peer);
            if !near {
                inner.passed.extend(message.reads.iter().cloned());
                inner.passed_kept.extend(&message.kept);
            }
        }
        for kept in &message.kept {
            self.node.rollouts(|r| r.keep(*kept));
        }
        if near {
            self.zone.heard(Stamp {
                node: teller,
                at: message.stamp,
            });
            for passage in &message.passages {
                self.hand(passage);
            }
            self.vouch(message.proofs);
            for what in message.rollouts {
                let node = message.node.clone();
                self.node.rollouts(|r| r.hear(&Said { node, what }, now));
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

    /// Takes records that another VM read.
    fn hand(&self, passage: &Passage) {
        let Passage {
            topic, from, to, ..
        } = *passage;
        let records = passage.records();
        let part = Part { from, to, records };
        match topic {
            Shared::Operators => self.node.operators.hand(part),
            Shared::Endpoints => self.node.directory.hand(part),
        }
    }

    /// Whether this VM reads the log for its zone.
    fn leads(&self) -> bool {
        *self.zone.lead.borrow() == Lead::Leading
    }

    /// Records that the zone was not told of yet, if this VM reads for it.
    fn passages(&self) -> Vec<Passage> {
        let told = self.lock().told.take();
        if !self.leads() {
            return Vec::new();
        }
        let (operators, endpoints) = told.unwrap_or_default();
        let (changed, operators_end) = self.node.operators.since(operators);
        let (registered, endpoints_end) = self.node.directory.since(endpoints);
        self.lock().told = Some((operators_end, endpoints_end));
        if told.is_none() {
            return Vec::new();
        }
        // Where records are missing, or too large, the others read by themselves.
        let changed = changed.unwrap_or_default();
        let registered = registered.unwrap_or_default();
        let mut passages = Passage::list(Shared::Operators, operators, changed, operators_end);
        passages.extend(Passage::list(
            Shared::Endpoints,
            endpoints,
            registered,
            endpoints_end,
        ));
        passages
    }

    /// What another VM read proves to this one.
    fn vouch(&self, proofs: Proofs) {
        if let Some(proof) = proofs.operators {
            self.node.operators.vouch(message::read(proof));
        }
        if let Some(proof) = proofs.endpoints {
            self.node.directory.vouch(message::read(proof));
        }
    }

    /// Tells the zone.
    async fn tell_near(&self) {
        let mut told = Moment::ZERO;
        let mut silent = true;
        let mut operators = self.node.operators.changes();
        let mut endpoints = self.node.directory.changes();
        loop {
            let peers = self.peers();
            let count = u32::try_from(peers.len()).unwrap_or(u32::MAX).max(1);
            let changed = tokio::select! {
                () = tokio::time::sleep(NEAR * count) => false,
                _ = operators.changed() => self.leads(),
                _ = endpoints.changed() => self.leads(),
                () = self.zone.proved.notified() => self.leads(),
            };
            let news = self.news();
            let now = boot::now();
            let nothing = news.is_empty() && !changed;
            if nothing && silent && now.since(told) < BEAT {
                continue;
            }
            silent = nothing;
            told = now;
            for peer in &peers {
                self.send(peer.address, Some(peer.key), &news).await;
            }
        }
    }

    /// The VMs of the zone; settles who reads the log for whom.
    fn peers(&self) -> Vec<Peer> {
        let config = &self.node.config;
        let now = boot::now();
        let able = self.able();
        let mut inner = self.lock();
        inner.peers.sweep(now);
        let (lead, reader) = inner.peers.lead(&config.node, &config.zone, able, now);
        let peers = inner.peers.of(&config.zone);
        self.node.repeats.share_among(inner.peers.count() + 1);
        drop(inner);
        self.zone.read_by(reader);
        self.zone
            .keep(|node| peers.iter().any(|peer| peer.key == node));
        let settle = |known: &mut Lead| {
            let changed = *known != lead;
            *known = lead;
            changed
        };
        if self.zone.lead.send_if_modified(settle) {
            log::info!("neighbours: Reading the log: {lead:?}.");
        }
        peers
    }

    /// Whether this VM could read the log for others.
    fn able(&self) -> bool {
        let young = |age: Option<Duration>| age.is_some_and(|age| age < BLIND);
        let read = young(self.node.operators.age()) && young(self.node.directory.age());
        read && !self.node.leaving.is_cancelled()
    }

    /// What is to be told to the zone.
    fn news(&self) -> News {
        let mut news = News {
            rollouts: self.node.due_announcements(boot::now()),
            kept: self.node.rollouts(Rollouts::untold),
            passages: self.passages(),
            ..News::default()
        };
        let mut shared = Vec::new();
        for (_, pool) in self.node.scheduler.pools() {
            let read = pool.read();
            news.reads.extend(read.iter().map(Read::new));
            shared.extend(read.iter().filter_map(Read::shared));
            let millis = |wait: Duration| u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
            let waits = pool.waits().into_iter();
            news.waits
                .extend(waits.map(|(key, wait)| (key, millis(wait))));
        }
        let mut inner = self.lock();
        inner.far.extend(shared);
        inner.far_kept.extend(&news.kept);
        news.reads.append(&mut inner.passed);
        news.kept.append(&mut inner.passed_kept);
        news
    }

    /// Tells one VM of each other zone.
    async fn tell_far(&self) {
        let mut told = Moment::ZERO;
        loop {
            tokio::time::sleep(FAR).await;
            let now = boot::now();
            let (news, addresses) = {
                let mut inner = self.lock();
                let news = News {
                    reads: std::mem::take(&mut inner.far),
                    kept: std::mem::take(&mut inner.far_kept),
                    ..News::default()
                };
                (news, inner.peers.far(&self.node.config.zone, now))
            };
            if news.is_empty() && now.since(told) < SECOND {
                continue;
            }
            told = now;
            for address in addresses {
                self.send(address, None, &news).await;
            }
        }
    }

    /// Sends one VM what there is to tell; `near` is its key if it is of this zone.
    async fn send(&self, address: SocketAddr, near: Option<u64>, news: &News) {
        for part in news.parts() {
            // A proof that came before the records that it speaks of would make the other VM read.
            let proven = near.filter(|_| part.last);
            let rollouts = if part.first { &news.rollouts[..] } else { &[] };
            let message = Message {
                node: self.node.config.node.clone(),
                zone: self.node.config.zone.clone(),
                stamp: boot::now(),
                able: self.able(),
                passages: part.passages.to_vec(),
                proofs: proven.map(|node| self.proofs(node)).unwrap_or_default(),
                rollouts: rollouts.to_vec(),
                waits: news.waits.clone(),
                kept: part.kept.to_vec(),
                reads: part.reads.to_vec(),
            };
            let bytes = match postcard::to_stdvec(&message) {
                Ok(bytes) => bytes,
                Err(error) => return log::error!("neighbours: Not written: {error}."),
            };
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                log::debug!("neighbours: Nothing sent to {address}: {error}.");
            }
        }
    }

    /// What this VM's last reads prove to another one. Only the VM that reads for the zone tells:
    /// while endpoints register by the dozen, every read finds something new, and VMs that told each
    /// other would make each other read without end.
    fn proofs(&self, node: u64) -> Proofs {
        if !self.leads() {
            return Proofs::default();
        }
        let operators = self.node.operators.proof(node);
        let endpoints = self.node.directory.proof(node);
        Proofs {
            operators: operators.map(message::written),
            endpoints: endpoints.map(message::written),
        }
    }
}

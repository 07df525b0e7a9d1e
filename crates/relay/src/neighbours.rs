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

mod limit;
mod meet;
mod message;
mod news;
pub mod peers;
mod records;
pub mod tell;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_policy::choice;
use pimento_scheduler::limited;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use self::message::Message;
use self::message::Proofs;
use self::message::Read;
use self::news::News;
use self::peers::Peer;
use self::peers::Peers;
use self::peers::Role;
use self::peers::Standing;
use crate::boot;
use crate::codec::Codec;
use crate::follow::Lead;
use crate::follow::Part;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::passage::Passage;
use crate::passage::Shared;
use crate::rollouts::announcement::Kept;
use crate::rollouts::announcement::Said;
use crate::topic::Log;
use crate::zone::Reach;
use crate::zone::Stamp;
use crate::zone::Zone;

/// A VM whose view of the log is older than this reads for nobody else: reads of others prove it
/// every 2.2 s at least.
const BLIND: Duration = Duration::from_millis(2_600);

/// Pause after a failure, so that one that stays doesn't take the whole processor.
const PAUSE: Duration = Duration::from_millis(200);

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
    /// Up to which offsets the zone was told of the records of each topic; none while this VM does not
    /// read for it.
    told: Option<tell::Ends>,
}

struct Neighbours<P, L> {
    node: Node<P, L>,
    log: L,
    zone: Zone,
    socket: Arc<UdpSocket>,
    inner: Arc<Mutex<Inner>>,
    /// Told of each word of a VM of the zone.
    heard: Arc<Notify>,
}

impl<P: Clone, L: Clone> Clone for Neighbours<P, L> {
    fn clone(&self) -> Self {
        Self {
            node: self.node.clone(),
            log: self.log.clone(),
            zone: self.zone.clone(),
            socket: Arc::clone(&self.socket),
            inner: Arc::clone(&self.inner),
            heard: Arc::clone(&self.heard),
        }
    }
}

/// Starts to tell other VMs and to listen to them.
pub fn start<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    log: L,
    zone: Zone,
    token: CancellationToken,
) {
    let node = node.clone();
    tokio::spawn(async move { token.run_until_cancelled(run(node, log, zone)).await });
}

async fn run<P: HeaderCodec + Codec, L: Log>(node: Node<P, L>, log: L, zone: Zone) {
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
        heard: Arc::default(),
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

impl<P: HeaderCodec + Codec, L: Log> Neighbours<P, L> {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether another VM reads the log for this one, and has read it.
    fn is_led_by_able(&self) -> bool {
        let role = self.role();
        !role.state.blind && role.lead == Lead::Led
    }

    /// Who reads the log for whom, by what is known now.
    fn role(&self) -> Role {
        let config = &self.node.config;
        let standing = self.standing();
        let peers = &self.lock().peers;
        peers.role(&config.node, &config.zone, standing, boot::now())
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
                Ok(message) => self.answer(message, from).await,
                Err(error) => log::warn!("neighbours: Datagram from {from} left out: {error}."),
            }
        }
    }

    /// Takes a datagram, and answers that of a VM which starts if this one reads the log: the other one
    /// waits to know whom it can ask.
    async fn answer(&self, message: Message, from: SocketAddr) {
        let near = message.zone == self.node.config.zone;
        let starts = near && message.standing == Standing::Starting;
        let teller = starts.then(|| choice::key(message.node.as_str()));
        self.take(message, from);
        let reads = *self.zone.lead.borrow() != Lead::Led;
        if let Some(teller) = teller
            && reads
            && self.standing() == Standing::Able
        {
            self.send(from, Some(teller), &News::default()).await;
        }
    }

    fn take(&self, message: Message, from: SocketAddr) {
        let config = &self.node.config;
        if message.node == config.node {
            return;
        }
        let near = message.zone == config.zone;
        let now = boot::now();
        let peer = Peer::told_of(message.node.clone(), message.zone, from, now);
        let peer = peer.speaks(message.standing, now);
        let teller = peer.key;
        let other = {
            let mut inner = self.lock();
            let other = inner.peers.met(peer, now);
            if !near {
                inner.passed.extend(message.reads.iter().cloned());
                inner.passed_kept.extend(&message.kept);
            }
            other
        };
        if other && near {
            self.settle();
        }
        if near {
            self.heard.notify_one();
        }
        for word in &message.poison {
            let writes = self.node.reads_log();
            self.node.poison.hear(*word, !near, writes, now);
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
        let limits: Vec<limited::Word> = message.limits.iter().filter_map(limit::read).collect();
        for (_, pool) in self.node.scheduler.pools() {
            if near {
                pool.hear(teller, &waits);
                for word in &limits {
                    pool.hear_limit(*word);
                }
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
            Shared::Poison => self.node.blocks.hand(part),
        }
    }

    /// Whether this VM reads the log for its zone.
    fn leads(&self) -> bool {
        *self.zone.lead.borrow() == Lead::Leading
    }

    /// What another VM read proves to this one.
    fn vouch(&self, proofs: Proofs) {
        if let Some(proof) = proofs.operators {
            self.node.operators.vouch(message::read(proof));
        }
        if let Some(proof) = proofs.endpoints {
            self.node.directory.vouch(message::read(proof));
        }
        if let Some(proof) = proofs.poison {
            self.node.blocks.vouch(message::read(proof));
        }
    }

    /// The VMs of the zone.
    fn peers(&self) -> Vec<Peer> {
        let mut inner = self.lock();
        inner.peers.sweep(boot::now());
        let config = &self.node.config;
        let peers = inner.peers.of(&config.zone);
        self.node.retry_budgets.set_vms(inner.peers.count() + 1);
        let sharers = inner.peers.sharers(&config.node, &config.zone, boot::now());
        drop(inner);
        self.node.scheduler.share(&sharers);
        self.zone
            .keep(|node| peers.iter().any(|peer| peer.key == node));
        peers
    }

    /// Settles who reads the log for whom.
    fn settle(&self) {
        let role = self.role();
        self.zone.read_by(role.reader);
        self.zone.set_state(role.state);
        let lead = role.lead;
        let settle = |known: &mut Lead| {
            let changed = *known != lead;
            *known = lead;
            changed
        };
        if self.zone.lead.send_if_modified(settle) {
            log::info!("neighbours: Reading the log: {lead:?}.");
        }
    }

    /// What this VM says of its reads of the log.
    fn standing(&self) -> Standing {
        if self.node.leaving.is_cancelled() {
            return Standing::Leaving;
        }
        let ages = [self.node.operators.age(), self.node.directory.age()];
        let young = |age: &Option<Duration>| age.is_some_and(|age| age < BLIND);
        match self.zone.reach(boot::now()) {
            Reach::Out => Standing::Unable,
            Reach::Answered if ages.iter().any(Option::is_none) => Standing::Starting,
            Reach::Answered if ages.iter().all(young) => Standing::Able,
            Reach::Answered | Reach::Untested => Standing::Untested,
        }
    }
}

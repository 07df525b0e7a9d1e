//! The entry VMs' view of each other: heartbeats by UDP, calls by TCP.
//!
//! All that comes from here is a hint or an idempotent transfer. Which node reads the log for its
//! zone, which keeps a copy of a bill and whether a node is alive may be seen differently by two
//! nodes at once; nothing that must be agreed depends on it.

mod calls;
mod config;
mod datagrams;
mod drops;
mod gossip;
mod table;

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use pimento_units::Offset;
use pimento_units::Wall;
use pimento_units::id;
use pimento_wire::peer::Answer;
use pimento_wire::peer::Call;
use pimento_wire::peer::Departure;
use pimento_wire::peer::Suspicion;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

pub use self::config::Config;
pub use self::config::Settings;
pub use self::drops::DropCounts;
use self::drops::Drops;
pub use self::gossip::Gossip;
pub use self::table::Peer;
use self::table::Table;

/// Tries to find a port that is free for TCP and UDP, if the settings leave the port open.
const BINDS: usize = 16;

/// Why a mesh can't be had, or a call failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A time is zero, or peers could not reach the address.
    #[snafu(display("the {setting} of the peers' part makes no sense: {found}"))]
    Setting {
        /// Which setting.
        setting: &'static str,
        /// What was found.
        found: String,
    },
    /// The address can't be listened on.
    #[snafu(display("can't listen for peers on {address}"))]
    Bind {
        /// Where.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// No connection to the peer: it has not got the call.
    #[snafu(display("no connection to {node}"))]
    Unreachable {
        /// Which peer.
        node: id::Node,
    },
    /// The call was sent; whether it took effect is not known.
    #[snafu(display("no answer from {node}: {reason}"))]
    Lost {
        /// Which peer.
        node: id::Node,
        /// What happened.
        reason: String,
    },
    /// The call is too large to send.
    #[snafu(display("the call can't be sent"))]
    Frame {
        /// Why.
        source: pimento_wire::frame::Error,
    },
}

/// Until when a configuration is known to be current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// The log's clock when the log was last read to its end, by whoever read it.
    pub at: Wall,
    /// The same moment on this node's clock, as well as it is known.
    pub since: Instant,
}

impl Freshness {
    /// The later of two, by the log's clock.
    ///
    /// Word that comes back is not later than what was sent, so two nodes that are cut off from
    /// the log can't keep telling each other that they are current: by their own clocks each
    /// passing on would add the time on the way, and their age would grow too slowly.
    #[must_use]
    pub fn later(self, other: Self) -> Self {
        if other.at > self.at { other } else { self }
    }
}

/// What this node says of itself in its heartbeats.
#[derive(Debug, Clone, Default)]
pub struct Status {
    /// Offset of its configuration.
    pub offset: Offset,
    /// Until when that is known to be current.
    pub freshness: Option<Freshness>,
    /// Whether it reads the log itself.
    pub reads_log: bool,
    /// Whether it is about to go.
    pub leaving: bool,
    /// Versions that it quarantined, sorted.
    pub quarantined: Vec<id::Version>,
}

/// A part that one node plays for its zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Reads the configuration stream for the zone.
    Reader,
    /// Appends the zone's records.
    Appender,
}

impl Role {
    const fn name(self) -> &'static str {
        match self {
            Self::Reader => "tailer",
            Self::Appender => "appender",
        }
    }
}

/// Answers calls of peers.
pub trait Handler: Send + Sync + 'static {
    /// Answers one call. Calls may come twice.
    fn handle(&self, call: Call) -> impl Future<Output = Answer> + Send;
}

/// The entry VMs' view of each other. Clones share it.
#[derive(Debug, Clone)]
pub struct Mesh {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    local: SocketAddr,
    address: SocketAddr,
    socket: UdpSocket,
    table: Mutex<Table>,
    own: Mutex<Status>,
    departures: Mutex<Gossip<Departure>>,
    suspicions: Mutex<Gossip<Suspicion>>,
    changed: watch::Sender<u64>,
    drops: Drops,
    pool: calls::Pool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn learn(&self, departures: Vec<Departure>, suspicions: Vec<Suspicion>) {
        lock(&self.departures).learn(departures);
        lock(&self.suspicions).learn(suspicions);
    }
}

/// The TCP side of a mesh, which answers nobody until it is served.
#[derive(Debug)]
pub struct Listener {
    inner: TcpListener,
    mesh: Mesh,
    token: CancellationToken,
}

impl Listener {
    /// Answers peers' calls until the mesh's token is cancelled.
    pub fn serve(self, handler: impl Handler) {
        let server = calls::Server::new(self.mesh.shared, handler);
        let inner = self.inner;
        let token = self.token;
        tokio::spawn(async move { token.run_until_cancelled(server.run(inner)).await });
    }
}

impl Mesh {
    /// Listens on TCP and UDP and starts the heartbeats; they end with `token`.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] if the address can't be had.
    pub async fn bind(config: Config, token: CancellationToken) -> Result<(Self, Listener), Error> {
        let settings = config.0;
        let (inner, socket) = bind(settings.listen).await?;
        let local = inner.local_addr().context(BindSnafu {
            address: settings.listen,
        })?;
        let address = settings.advertise.unwrap_or(local);
        let node = settings.node.clone();
        let table = Table::new(
            node,
            settings.liveness_timeout,
            &settings.seeds,
            Instant::now(),
        );
        let shared = Arc::new(Shared {
            settings,
            local,
            address,
            socket,
            table: Mutex::new(table),
            own: Mutex::new(Status::default()),
            departures: Mutex::default(),
            suspicions: Mutex::default(),
            changed: watch::Sender::new(0),
            drops: Drops::default(),
            pool: calls::Pool::default(),
        });
        datagrams::start(&shared, &token);
        let mesh = Self { shared };
        let listener = Listener {
            inner,
            mesh: mesh.clone(),
            token,
        };
        Ok((mesh, listener))
    }

    /// Where this node listens.
    #[must_use]
    pub fn local_address(&self) -> SocketAddr {
        self.shared.local
    }

    /// Where peers reach this node.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// This node.
    #[must_use]
    pub fn node(&self) -> &id::Node {
        &self.shared.settings.node
    }

    /// Its zone.
    #[must_use]
    pub fn zone(&self) -> &id::Zone {
        &self.shared.settings.zone
    }

    /// Peers that showed life lately, sorted by name.
    #[must_use]
    pub fn peers(&self) -> Vec<Peer> {
        lock(&self.shared.table).live(Instant::now())
    }

    /// Calls a peer. A call may reach it twice, since one that broke on a kept connection is made
    /// again on a new one.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if the peer has not got the call, [`Error::Lost`] if it may have,
    /// [`Error::Frame`] if the call is too large.
    pub async fn call(&self, peer: &Peer, call: Call) -> Result<Answer, Error> {
        let result = calls::call(&self.shared, peer, &call).await;
        if let Err(Error::Unreachable { node } | Error::Lost { node, .. }) = &result {
            lock(&self.shared.table).suspect(node);
        }
        result
    }

    /// Says that an endpoint is leaving; peers hear of it with the next heartbeats.
    pub fn announce_departure(&self, departure: Departure) {
        if lock(&self.shared.departures).add(departure) {
            self.shared.wake();
        }
    }

    /// All endpoints known to be leaving, sorted.
    #[must_use]
    pub fn departures(&self) -> Vec<Departure> {
        lock(&self.shared.departures).all()
    }

    /// Whether this life of the endpoint is known to be leaving.
    #[must_use]
    pub fn is_leaving(&self, departure: &Departure) -> bool {
        lock(&self.shared.departures).contains(departure)
    }

    /// Says what this node saw of a request under which endpoints end; peers hear of it with the next
    /// heartbeats.
    pub fn announce_suspicion(&self, suspicion: Suspicion) {
        if lock(&self.shared.suspicions).add(suspicion) {
            self.shared.wake();
        }
    }

    /// What was said of such requests after so many words, and how many there are by now.
    #[must_use]
    pub fn suspicions(&self, after: u64) -> (Vec<Suspicion>, u64) {
        lock(&self.shared.suspicions).since(after)
    }

    /// Changes what this node says of itself.
    pub fn update_status(&self, change: impl FnOnce(&mut Status)) {
        change(&mut lock(&self.shared.own));
    }

    /// Takes addresses of possible peers, for instance from the platform's list of VMs. They add to
    /// those known, so that a list which is suddenly empty or short does no harm.
    pub fn add_addresses(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let now = Instant::now();
        let mut table = lock(&self.shared.table);
        for address in addresses {
            table.learn(address, now);
        }
    }

    /// The node of this zone that plays a part, as seen from here; this node if it sees no other.
    #[must_use]
    pub fn elected(&self, role: Role) -> id::Node {
        let zone = self.zone();
        let mut nodes: Vec<id::Node> = self
            .peers()
            .into_iter()
            .filter(|peer| &peer.zone == zone && !peer.leaving)
            .map(|peer| peer.node)
            .collect();
        if !lock(&self.shared.own).leaving {
            nodes.push(self.node().clone());
        }
        let weight = |node: &id::Node| xxh3_64(format!("{}/{node}", role.name()).as_bytes());
        let best = nodes.into_iter().max_by_key(weight);
        best.unwrap_or_else(|| self.node().clone())
    }

    /// Frames that were dropped, by cause.
    #[must_use]
    pub fn drops(&self) -> DropCounts {
        self.shared.drops.count()
    }

    /// A receiver that is told of each heartbeat and each departure.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.shared.changed.subscribe()
    }
}

async fn bind(address: SocketAddr) -> Result<(TcpListener, UdpSocket), Error> {
    let mut tries = 1;
    loop {
        let listener = TcpListener::bind(address)
            .await
            .context(BindSnafu { address })?;
        let bound = listener.local_addr().context(BindSnafu { address })?;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((listener, socket)),
            // The port that TCP was given may be taken on UDP.
            Err(_) if address.port() == 0 && tries < BINDS => tries += 1,
            Err(source) => return Err(Error::Bind { address, source }),
        }
    }
}

//! Membership of the entry VMs and calls between them: heartbeats over UDP, calls over TCP.
//!
//! The mesh gives hints and carries idempotent calls. Two nodes may disagree on which node reads the
//! log for their zone, which one stores the copy of a bill, and whether a node is alive. Nothing that
//! requires agreement depends on these answers.

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
use self::drops::Counters;
pub use self::drops::DropCounts;
pub use self::gossip::Gossip;
pub use self::table::Peer;
use self::table::Table;

/// Attempts to find a port that is free for both TCP and UDP, if the settings ask for any port.
const MAX_BIND_ATTEMPTS: usize = 16;

/// Why a mesh could not be started, or a call failed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A duration is zero, or the address is not one that peers can reach.
    #[snafu(display("invalid {setting} for calls between peers: {found}"))]
    Setting {
        /// The setting.
        setting: &'static str,
        /// The invalid value.
        found: String,
    },
    /// Listening on the address failed.
    #[snafu(display("can't listen for peers on {address}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// No connection to the peer was made, so it did not receive the call.
    #[snafu(display("no connection to {node}"))]
    Unreachable {
        /// The peer.
        node: id::Node,
    },
    /// The call was sent; whether it took effect is unknown.
    #[snafu(display("no answer from {node}: {reason}"))]
    Lost {
        /// The peer.
        node: id::Node,
        /// What happened.
        reason: String,
    },
    /// The call is too large to send.
    #[snafu(display("the call can't be sent"))]
    Frame {
        /// The cause.
        source: pimento_wire::frame::Error,
    },
}

/// The last moment at which a configuration is known to have been current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Freshness {
    /// The log's clock when some node last read the log to its end.
    pub at: Wall,
    /// The same moment on this node's clock, as an estimate.
    pub local_at: Instant,
}

impl Freshness {
    /// The later of two, by the log's clock.
    ///
    /// The log's clock is compared because it does not change on the way: a report that comes back is
    /// not later than the one that was sent. By their own clocks, two nodes that are cut off from the
    /// log would gain the transit time with each exchange, and their age would grow too slowly.
    #[must_use]
    pub fn later(self, other: Self) -> Self {
        if other.at > self.at { other } else { self }
    }
}

/// What a node reports about itself in its heartbeats.
#[derive(Debug, Clone, Default)]
pub struct Status {
    /// Offset of its configuration.
    pub offset: Offset,
    /// Until when its configuration is known to be current.
    pub freshness: Option<Freshness>,
    /// Whether its last read of the log reached the end of the configuration stream.
    pub reads_log: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Versions that it has quarantined, sorted.
    pub quarantined: Vec<id::Version>,
}

/// A duty that one node has for its zone. What runs on a VM is [`pimento_wire::platform::Role`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Duty {
    /// Reads the configuration stream for the zone.
    Reader,
    /// Appends the zone's records.
    Appender,
}

impl Duty {
    /// The name by which nodes rank each other for the duty. All nodes must hash the same name, also
    /// those that run another release, so that it stays although the variant's name differs.
    const fn name(self) -> &'static str {
        match self {
            Self::Reader => "tailer",
            Self::Appender => "appender",
        }
    }
}

/// Answers calls of peers.
pub trait Handler: Send + Sync + 'static {
    /// Answers one call. The same call may arrive twice.
    fn handle(&self, call: Call) -> impl Future<Output = Answer> + Send;
}

/// This node's view of the other entry VMs. Clones share it.
#[derive(Debug, Clone)]
pub struct Mesh {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    local_address: SocketAddr,
    address: SocketAddr,
    socket: UdpSocket,
    table: Mutex<Table>,
    status: Mutex<Status>,
    departures: Mutex<Gossip<Departure>>,
    suspicions: Mutex<Gossip<Suspicion>>,
    changed: watch::Sender<u64>,
    drops: Counters,
    pool: calls::Pool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    fn wake(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    fn merge(&self, departures: Vec<Departure>, suspicions: Vec<Suspicion>) {
        lock(&self.departures).merge(departures);
        lock(&self.suspicions).merge(suspicions);
    }
}

/// The TCP listener of a mesh. Calls are answered only after [`Listener::serve`].
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
    /// Listens on TCP and UDP, and sends heartbeats until `token` is cancelled.
    ///
    /// # Errors
    ///
    /// [`Error::Bind`] if listening on the address fails.
    pub async fn bind(config: Config, token: CancellationToken) -> Result<(Self, Listener), Error> {
        let settings = config.0;
        let (inner, socket) = bind(settings.listen).await?;
        let local_address = inner.local_addr().context(BindSnafu {
            address: settings.listen,
        })?;
        let address = settings.advertise.unwrap_or(local_address);
        let node = settings.node.clone();
        let table = Table::new(
            node,
            settings.liveness_timeout,
            &settings.seeds,
            Instant::now(),
        );
        let shared = Arc::new(Shared {
            settings,
            local_address,
            address,
            socket,
            table: Mutex::new(table),
            status: Mutex::new(Status::default()),
            departures: Mutex::default(),
            suspicions: Mutex::default(),
            changed: watch::Sender::new(0),
            drops: Counters::default(),
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

    /// The address that this node listens on.
    #[must_use]
    pub fn local_address(&self) -> SocketAddr {
        self.shared.local_address
    }

    /// The address at which peers reach this node.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// The name of this node.
    #[must_use]
    pub fn node(&self) -> &id::Node {
        &self.shared.settings.node
    }

    /// The zone of this node.
    #[must_use]
    pub fn zone(&self) -> &id::Zone {
        &self.shared.settings.zone
    }

    /// Live peers, sorted by name.
    #[must_use]
    pub fn peers(&self) -> Vec<Peer> {
        lock(&self.shared.table).live(Instant::now())
    }

    /// Calls a peer. The call may reach it twice: a call that fails on a pooled connection is repeated on
    /// a new one.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if the peer did not receive the call, [`Error::Lost`] if it may have,
    /// [`Error::Frame`] if the call is too large.
    pub async fn call(&self, peer: &Peer, call: Call) -> Result<Answer, Error> {
        let result = calls::call(&self.shared, peer, &call).await;
        if let Err(Error::Unreachable { node } | Error::Lost { node, .. }) = &result {
            lock(&self.shared.table).mark_unreachable(node);
        }
        result
    }

    /// Announces with the next heartbeats that an endpoint is leaving.
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

    /// Whether this incarnation of the endpoint is known to be leaving.
    #[must_use]
    pub fn is_leaving(&self, departure: &Departure) -> bool {
        lock(&self.shared.departures).contains(departure)
    }

    /// Announces with the next heartbeats what this node observed of a request during which endpoints
    /// crash.
    pub fn announce_suspicion(&self, suspicion: Suspicion) {
        if lock(&self.shared.suspicions).add(suspicion) {
            self.shared.wake();
        }
    }

    /// The suspicions added after the first `after` ones, and the number added so far.
    #[must_use]
    pub fn suspicions(&self, after: u64) -> (Vec<Suspicion>, u64) {
        lock(&self.shared.suspicions).added_after(after)
    }

    /// Changes what this node reports about itself.
    pub fn update_status(&self, change: impl FnOnce(&mut Status)) {
        change(&mut lock(&self.shared.status));
    }

    /// Adds addresses of possible peers, for instance from the platform's list of VMs. Known addresses
    /// stay, up to a bound, so that a list which is suddenly empty or short does no harm.
    pub fn add_addresses(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        let now = Instant::now();
        let mut table = lock(&self.shared.table);
        for address in addresses {
            table.add_address(address, now);
        }
    }

    /// The node of this zone that has `duty` by this node's view; this node if it knows no other.
    #[must_use]
    pub fn assigned(&self, duty: Duty) -> id::Node {
        let zone = self.zone();
        let mut nodes: Vec<id::Node> = self
            .peers()
            .into_iter()
            .filter(|peer| &peer.zone == zone && !peer.leaving)
            .map(|peer| peer.node)
            .collect();
        if !lock(&self.shared.status).leaving {
            nodes.push(self.node().clone());
        }
        let weight = |node: &id::Node| xxh3_64(format!("{}/{node}", duty.name()).as_bytes());
        let best = nodes.into_iter().max_by_key(weight);
        best.unwrap_or_else(|| self.node().clone())
    }

    /// Numbers of dropped frames by cause.
    #[must_use]
    pub fn drops(&self) -> DropCounts {
        self.shared.drops.count()
    }

    /// A receiver that is notified of each heartbeat received, and each departure and suspicion
    /// announced here.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.shared.changed.subscribe()
    }
}

async fn bind(address: SocketAddr) -> Result<(TcpListener, UdpSocket), Error> {
    let mut attempts = 1;
    loop {
        let listener = TcpListener::bind(address)
            .await
            .context(BindSnafu { address })?;
        let bound = listener.local_addr().context(BindSnafu { address })?;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((listener, socket)),
            // The port assigned for TCP may be in use for UDP.
            Err(_) if address.port() == 0 && attempts < MAX_BIND_ATTEMPTS => attempts += 1,
            Err(source) => return Err(Error::Bind { address, source }),
        }
    }
}

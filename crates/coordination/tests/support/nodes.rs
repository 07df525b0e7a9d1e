//! Nodes that follow the configuration. Each has its own link to the log, and peers reach it through a
//! relay.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_contract::Change;
use pimento_contract::Subject;
use pimento_contract::Value;
use pimento_contract::change::Entry;
use pimento_contract::service::Fencing;
use pimento_contract::service::Pool;
use pimento_coordination::Appender;
use pimento_coordination::Mesh;
use pimento_coordination::appender;
use pimento_coordination::configuration::Config;
use pimento_coordination::configuration::ReadMode;
use pimento_coordination::configuration::Settings;
use pimento_coordination::configuration::Source;
use pimento_coordination::mesh;
use pimento_coordination::mesh::Handler;
use pimento_ledger::Stream;
use pimento_units::Offset;
use pimento_units::Revision;
use pimento_units::Wall;
use pimento_units::id;
use pimento_wire::peer::Answer;
use pimento_wire::peer::Call;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use super::eventually;
use super::key;
use super::memory::Memory;
use super::relay::Relay;

/// The configuration stream.
pub const STREAM: Stream = Stream::Configuration;

/// A node.
pub struct Node {
    /// Its mesh.
    pub mesh: Mesh,
    /// Its configuration.
    pub source: Source,
    /// Its link to the log.
    pub link: Memory,
    /// The relay through which its peers reach it.
    pub relay: Relay,
    token: CancellationToken,
}

/// Settings of a node to start.
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: &'static str,
    /// Addresses of peers known at the start.
    pub seeds: Vec<SocketAddr>,
    /// Interval between its heartbeats.
    pub interval: Duration,
    /// Delay of datagrams to it.
    pub delay: Duration,
    /// Settings of its configuration.
    pub settings: Settings,
}

impl Plan {
    /// A node that reads the log itself, and delays due checkpoints for so long that it writes none.
    pub fn new(name: &str, zone: &'static str) -> Self {
        let settings = Settings {
            read_mode: ReadMode::Always,
            checkpoint_changes: u64::MAX,
            checkpoint_interval: Duration::from_hours(24),
            checkpoint_jitter: Duration::from_hours(100_000),
            max_age: Duration::from_millis(300),
        };
        Self {
            name: name.to_owned(),
            zone,
            seeds: Vec::new(),
            interval: Duration::from_millis(20),
            delay: Duration::ZERO,
            settings,
        }
    }

    /// Sets the peers known at the start.
    pub fn seeded(mut self, peers: &[Node]) -> Self {
        self.seeds = peers.iter().map(|node| node.mesh.address()).collect();
        self
    }

    /// Starts the node.
    pub async fn start(self, link: Memory) -> Node {
        let relay = Relay::start(self.delay).await;
        let listen = "127.0.0.1:0".parse().unwrap();
        let name = self.name.parse().unwrap();
        let zone = self.zone.parse().unwrap();
        let mut settings = mesh::Settings::new(name, zone, listen, key());
        settings.advertise = Some(relay.address);
        settings.seeds = self.seeds;
        settings.interval = self.interval;
        settings.liveness_timeout = 30 * self.interval;
        settings.timeout = Duration::from_millis(500);
        let config = mesh::Config::try_from(settings).unwrap();
        let token = CancellationToken::new();
        let (mesh, listener) = Mesh::bind(config, token.clone()).await.unwrap();
        relay.target(mesh.local_address());
        let appender = appender::Config::default();
        let appender = Appender::start(link.clone(), appender, token.clone());
        let config = Config::try_from(self.settings).unwrap();
        let peers = Some(mesh.clone());
        let source = Source::start(link.clone(), appender, peers, config, token.clone());
        listener.serve(Serve(source.clone()));
        Node {
            mesh,
            source,
            link,
            relay,
            token,
        }
    }
}

struct Serve(Source);

impl Handler for Serve {
    async fn handle(&self, call: Call) -> Answer {
        self.0.answer(&call).unwrap_or(Answer::Nothing)
    }
}

impl Node {
    /// Waits until all records before `offset` are in force here.
    pub async fn reaches(&self, offset: u64) {
        let what = format!("offset {offset} at {}", self.mesh.node());
        eventually(&what, async || (self.offset() >= offset).then_some(())).await;
    }

    /// Waits until this many of its peers are live.
    pub async fn sees(&self, peers: usize) {
        let live = async || (self.mesh.peers().len() == peers).then_some(());
        eventually(&format!("{peers} peers at {}", self.mesh.node()), live).await;
    }

    /// The offset of the state in force.
    pub fn offset(&self) -> u64 {
        self.source.current().offset.0
    }

    /// Cuts or restores its link to the log.
    pub fn cut_log(&self, cut: bool) {
        self.link.cut(cut);
    }

    /// Stops it without a shutdown, like a killed VM.
    pub fn kill(self) {
        self.token.cancel();
    }
}

/// The subject that [`change`] changes.
pub fn subject(name: &str) -> Subject {
    Subject::Pool(name.parse().unwrap())
}

/// A change of a pool's fencing, as the text of its record.
pub fn change(id: u128, name: &str, base: u64, fencing: Fencing) -> String {
    let pool: id::Pool = name.parse().unwrap();
    let change = Change {
        id: id::Record(Uuid::from_u128(id)),
        subject: Subject::Pool(pool.clone()),
        base: Revision(base),
        value: Some(Value::Pool(Pool {
            name: pool,
            fencing,
        })),
        by: "operator".into(),
        at: Wall::from_millis(0),
    };
    serde_json::to_string(&Entry::Change(change)).unwrap()
}

/// Publishes one new pool for each number.
pub fn publish(log: &Memory, numbers: std::ops::Range<u64>) -> Offset {
    let pool = |n: u64| change(u128::from(n), &format!("pool-{n}"), 0, Fencing::Refuses);
    log.put(STREAM, numbers.map(pool))
}

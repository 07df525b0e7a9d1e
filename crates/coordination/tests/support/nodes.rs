//! Nodes that follow the configuration, each with a link to the log and a relay before it.

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
    /// Its peers.
    pub mesh: Mesh,
    /// Its configuration.
    pub source: Source,
    /// Its link to the log.
    pub link: Memory,
    /// What its peers reach it by.
    pub relay: Relay,
    token: CancellationToken,
}

/// How a node is started.
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: &'static str,
    /// Peers to begin with.
    pub seeds: Vec<SocketAddr>,
    /// Time between its heartbeats.
    pub interval: Duration,
    /// How long datagrams to it take.
    pub delay: Duration,
    /// Settings of its configuration.
    pub settings: Settings,
}

impl Plan {
    /// A node that reads the log, and waits for years before it writes a checkpoint that is due.
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

    /// The same with peers to begin with.
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
        let with = Some(mesh.clone());
        let source = Source::start(link.clone(), appender, with, config, token.clone());
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

    /// Waits until it sees so many peers.
    pub async fn sees(&self, peers: usize) {
        let seen = async || (self.mesh.peers().len() == peers).then_some(());
        eventually(&format!("{peers} peers at {}", self.mesh.node()), seen).await;
    }

    /// The offset of the state in force.
    pub fn offset(&self) -> u64 {
        self.source.current().offset.0
    }

    /// Cuts it off from the log, or heals that.
    pub fn cut_log(&self, cut: bool) {
        self.link.cut(cut);
    }

    /// Ends it as a killed VM would end.
    pub fn kill(self) {
        self.token.cancel();
    }
}

/// The subject that [`change`] changes.
pub fn subject(name: &str) -> Subject {
    Subject::Pool(name.parse().unwrap())
}

/// A change of a pool's fencing, as text of the record.
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

/// Publishes a new pool for each number.
pub fn publish(log: &Memory, numbers: std::ops::Range<u64>) -> Offset {
    let pool = |n: u64| change(u128::from(n), &format!("pool-{n}"), 0, Fencing::Refuses);
    log.put(STREAM, numbers.map(pool))
}

//! Six entry VMs in three zones as processes, over stand-ins in this process and relays between.
//!
//! Each fleet has loopback addresses of its own, `127.x.zone.number`, so that tests run side by
//! side and a relay can tell the zones apart.

pub mod caller;
pub mod relay;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use pimento_contract::contract::Key;
use pimento_ledger::Bill;
use pimento_ledger::usage;
use pimento_standin::Running;
use pimento_standin::engine;
use pimento_standin::engine::Engine;
use pimento_standin::log;
use pimento_standin::log::Log;
use pimento_standin::rating;
use pimento_standin::rating::Rater;
use pimento_standin::service;
use pimento_standin::service::Service;
use pimento_standin::vms;
use pimento_wire::operators::State;
use pimento_wire::platform::Role;
use pimento_wire::platform::Vm;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use self::caller::Caller;
use self::relay::Net;
use self::relay::Path;
use self::relay::ZONES;

/// The API key of the one customer.
pub const SECRET: &str = "fleet-key";
/// Entry VMs in each zone.
pub const NODES: usize = 2;
/// The longest wait for any event. Nothing is judged by it; it ends a test that hangs.
pub const BOUND: Duration = Duration::from_mins(1);

const ZONE_NAMES: [&str; ZONES] = ["kig-gikondo", "kig-kicukiro", "kig-remera"];
const VERSIONS: [&str; 2] = ["pimento-large@1", "pimento-mini@1"];
const CALLERS: u16 = 8_080;
const OPERATORS: u16 = 9_090;
const PEERS: u16 = 7_070;
/// Relays of entry VM n listen on host number `RELAY + n` of the same network.
const RELAY: u8 = 100;

/// The platform, the endpoints and the entry VMs.
pub struct Fleet {
    pub log: Running<Log>,
    pub rater: Running<Rater>,
    pub engines: Vec<Running<Engine>>,
    pub desks: Vec<Running<Service>>,
    pub nodes: Vec<Node>,
    pub net: Net,
    pub caller: Caller,
    lists: Vec<Running<vms::Vms>>,
    /// Keeps other fleets off this one's addresses.
    taken: Option<TcpListener>,
    token: CancellationToken,
}

/// One entry VM: a process that can be killed, frozen and started again.
pub struct Node {
    pub name: String,
    pub zone: usize,
    pub callers: SocketAddr,
    operators: SocketAddr,
    environment: Vec<(&'static str, String)>,
    lives: u32,
    child: Option<Child>,
}

impl Fleet {
    /// Starts everything and waits until each entry VM is ready and knows all endpoints.
    pub async fn start() -> Self {
        let mut fleet = Self::bare().await;
        let published = fleet.publish(&contracts());
        assert!(published.status.success(), "{published:?}");
        for number in 0..fleet.nodes.len() {
            fleet.nodes[number].start();
        }
        for number in 0..fleet.nodes.len() {
            fleet.ready(number).await;
        }
        fleet
    }

    async fn bare() -> Self {
        let token = CancellationToken::new();
        let net: Net = Arc::new(watch::Sender::default());
        let log = log::start(log::Config::default(), token.child_token());
        let rater = rating::start(rating::Config::default(), token.child_token());
        let mut fleet = Self {
            log: log.await.expect("a free port"),
            rater: rater.await.expect("a free port"),
            engines: Vec::new(),
            desks: Vec::new(),
            nodes: Vec::new(),
            net,
            caller: Caller::new(),
            lists: Vec::new(),
            taken: None,
            token,
        };
        fleet.start_endpoints().await;
        fleet.start_lists().await;
        fleet.prepare_nodes().await;
        fleet
    }

    async fn start_endpoints(&mut self) {
        for zone in ZONE_NAMES {
            let versions = VERSIONS.map(|version| version.parse().expect("a name"));
            let name = format!("engine-{zone}").parse().expect("a name");
            let config = engine::Config::new(name, versions);
            let engine = engine::start(config, self.token.child_token()).await;
            self.engines.push(engine.expect("a free port"));
            let name = format!("desk-{zone}").parse().expect("a name");
            let config = service::Config::new(name);
            let desk = service::start(config, self.token.child_token()).await;
            self.desks.push(desk.expect("a free port"));
        }
    }

    /// Each zone has a list of its own, whose addresses are relays from that zone.
    async fn start_lists(&mut self) {
        for zone in 0..ZONES {
            let mut config = vms::Config::default();
            for home in 0..ZONES {
                let path = Path::Endpoint(zone, home);
                let engine = relay::tcp(&self.net, path, local(), self.engines[home].address).await;
                let desk = relay::tcp(&self.net, path, local(), self.desks[home].address).await;
                let pool = "pimento-llm".parse().expect("a name");
                config
                    .vms
                    .push(vm("engine", home, engine, Role::Engine(pool)));
                let pool = "order-desk".parse().expect("a name");
                config.vms.push(vm("desk", home, desk, Role::Service(pool)));
            }
            let list = vms::start(config, self.token.child_token()).await;
            self.lists.push(list.expect("a free port"));
        }
    }

    async fn prepare_nodes(&mut self) {
        let (net, taken) = network();
        self.taken = Some(taken);
        let host = |zone: usize, number: u8| {
            let zone = u8::try_from(zone).expect("few zones");
            Ipv4Addr::new(127, net, zone, number)
        };
        let places: Vec<(usize, u8)> = (0..ZONES)
            .flat_map(|zone| (1_u8..).take(NODES).map(move |number| (zone, number)))
            .collect();
        let seeds: Vec<String> = places
            .iter()
            .map(|(zone, number)| format!("{}:{PEERS}", host(*zone, RELAY + number)))
            .collect();
        for (zone, number) in places {
            let own = host(zone, number);
            let advertised = SocketAddr::from((host(zone, RELAY + number), PEERS));
            let target = SocketAddr::from((own, PEERS));
            relay::tcp(&self.net, Path::Peer(zone), advertised, target).await;
            relay::udp(&self.net, Path::Peer(zone), advertised, target).await;
            let path = Path::Platform(zone);
            let log = relay::tcp(&self.net, path, local(), self.log.address).await;
            let rater = relay::tcp(&self.net, path, local(), self.rater.address).await;
            let list = relay::tcp(&self.net, path, local(), self.lists[zone].address).await;
            let environment = vec![
                ("PIMENTO_ZONE", ZONE_NAMES[zone].into()),
                ("PIMENTO_LISTEN", format!("{own}:{CALLERS}")),
                ("PIMENTO_OPERATORS_LISTEN", format!("{own}:{OPERATORS}")),
                ("PIMENTO_PEER_LISTEN", target.to_string()),
                ("PIMENTO_PEER_ADVERTISE", advertised.to_string()),
                ("PIMENTO_PEERS", seeds.join(",")),
                ("PIMENTO_LOG_ADDRESS", log.to_string()),
                ("PIMENTO_RATER_ADDRESS", rater.to_string()),
                ("PIMENTO_VMS_ADDRESS", list.to_string()),
                ("PIMENTO_PEER_KEY", "a secret that peers share".into()),
                ("PIMENTO_SESSION_KEY", "a secret of entry VMs".into()),
                ("PIMENTO_GRACE", "200ms".into()),
                ("PIMENTO_POLL_INTERVAL", "200ms".into()),
                ("PIMENTO_THREADS", "2".into()),
            ];
            self.nodes.push(Node {
                name: format!("entry-{zone}-{number}"),
                zone,
                callers: SocketAddr::from((own, CALLERS)),
                operators: SocketAddr::from((own, OPERATORS)),
                environment,
                lives: 0,
                child: None,
            });
        }
    }

    /// Runs `pimentoctl publish` on contract text.
    pub fn publish(&self, text: &str) -> Output {
        let file = scratch(text);
        let output = self.ctl(&["publish", file.to_str().expect("a plain path")]);
        std::fs::remove_file(file).expect("the file is there");
        output
    }

    /// Runs `pimentoctl`.
    pub fn ctl(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_pimentoctl"))
            .args(arguments)
            .env("PIMENTO_LOG_ADDRESS", self.log.address.to_string())
            .output()
            .expect("pimentoctl starts")
    }

    /// Changes what is cut.
    pub fn cut(&self, change: impl FnOnce(&mut relay::Cuts)) {
        self.net.send_modify(change);
    }

    /// Heals all cuts.
    pub fn heal(&self) {
        self.cut(|cuts| *cuts = relay::Cuts::default());
    }

    /// Waits until an entry VM is ready, and serves a call at each kind of endpoint.
    pub async fn ready(&self, number: usize) {
        let node = &self.nodes[number];
        eventually(&format!("{} is ready", node.name), async || {
            self.caller
                .get(node.operators, "/ready")
                .await
                .is_some_and(|a| a.status == 200)
        })
        .await;
        eventually(&format!("{} serves", node.name), async || {
            let chat = self.caller.chat(node, "are you there?").await;
            let desk = self.caller.look(node).await;
            chat.is_some_and(|a| a.status == 200) && desk.is_some_and(|a| a.status == 200)
        })
        .await;
    }

    /// What an entry VM says of itself.
    pub async fn state(&self, number: usize) -> Option<State> {
        let answer = self
            .caller
            .get(self.nodes[number].operators, "/state")
            .await?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// Runs of an order at all replicas of the service, by their own count.
    pub fn runs(&self, key: &str) -> u64 {
        self.desks.iter().map(|desk| desk.handler.runs(key)).sum()
    }

    /// Bills on the log.
    pub fn bills(&self) -> Vec<Bill> {
        let records = self.log.handler.records("usage");
        let bills = records
            .iter()
            .map(|entry| serde_json::from_str(&entry.record));
        bills.collect::<Result<_, _>>().expect("bills only")
    }

    /// Bills that count.
    pub fn billed(&self) -> u64 {
        let mut fold = usage::Fold::default();
        for bill in self.bills() {
            fold.apply(&bill);
        }
        fold.totals().iter().map(|total| total.bills).sum()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

impl Node {
    /// Starts the process, under a name of this life.
    pub fn start(&mut self) {
        self.lives += 1;
        let errors = match std::env::var_os("FLEET_LOGS") {
            Some(folder) => {
                let name = format!("{}-{}-{}.log", std::process::id(), self.name, self.lives);
                let file = std::fs::File::create(PathBuf::from(folder).join(name));
                Stdio::from(file.expect("the folder is there"))
            }
            None => Stdio::null(),
        };
        let child = Command::new(env!("CARGO_BIN_EXE_pimento-entry"))
            .envs(self.environment.iter().cloned())
            .env("PIMENTO_NODE", format!("{}.{}", self.name, self.lives))
            .stdout(Stdio::null())
            .stderr(errors)
            .spawn()
            .expect("pimento-entry starts");
        self.child = Some(child);
    }

    /// Ends the process at once, as a lost VM does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("it is ours");
            child.wait().expect("it is ours");
        }
    }

    /// The process's id, to signal it while the fleet is lent.
    pub fn id(&self) -> u32 {
        self.child.as_ref().expect("it runs").id()
    }

    /// Sends a signal by name, such as `STOP`.
    pub fn signal(&self, name: &str) {
        Self::signal_process(self.id(), name);
    }

    /// Sends a signal to a process of this fleet.
    pub fn signal_process(id: u32, name: &str) {
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(id.to_string())
            .status();
        assert!(sent.expect("kill runs").success());
    }

    /// Ends a process of this fleet at once, as a lost VM does.
    pub fn kill_process(id: u32) {
        Self::signal_process(id, "KILL");
    }

    /// Waits for the process to end by itself and gives its exit code.
    pub async fn end(&mut self) -> Option<i32> {
        let mut child = self.child.take().expect("it runs");
        let deadline = Instant::now() + BOUND;
        loop {
            if let Some(status) = child.try_wait().expect("it is ours") {
                return status.code();
            }
            if Instant::now() > deadline {
                child.kill().expect("it is ours");
                panic!("{} did not end", self.name);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until something holds.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + BOUND;
    while !holds().await {
        assert!(Instant::now() < deadline, "not in time: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The contracts in force at the start.
pub fn contracts() -> String {
    let key = Key::of(SECRET).to_string();
    include_str!("contracts.toml").replace("KEY", &key)
}

fn vm(kind: &str, zone: usize, address: SocketAddr, role: Role) -> Vm {
    let zone = ZONE_NAMES[zone];
    Vm {
        name: format!("{kind}-{zone}").into(),
        zone: zone.parse().expect("a name"),
        address: address.to_string().into(),
        role,
        leaving: false,
    }
}

fn local() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// A number for `127.x` that no other fleet on this machine uses, also of another test run. It is
/// taken as long as the listener lives: a look alone lets two runs take the same one at once.
fn network() -> (u8, TcpListener) {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let own = u8::try_from(std::process::id() % 200).expect("below 200");
    loop {
        let count = NEXT.fetch_add(1, Ordering::Relaxed);
        let net = 20 + own.wrapping_add(count) % 200;
        let lock = Ipv4Addr::new(127, net, u8::MAX, 1);
        if let Ok(taken) = TcpListener::bind((lock, PEERS)) {
            return (net, taken);
        }
    }
}

fn scratch(text: &str) -> PathBuf {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("pimento-{}-{next}.toml", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, text).expect("the temporary folder takes files");
    file
}

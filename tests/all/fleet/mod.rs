//! Six entry VMs in three zones as processes. Stand-ins in the test process replace the platform
//! and the endpoints, and relays in between cut connections.
//!
//! Each fleet has its own loopback addresses, `127.x.zone.number`, so that tests can run
//! concurrently and a relay can tell the zones apart.

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
pub const NODES_PER_ZONE: usize = 2;
/// Maximum wait for any event. No result depends on it; it ends a test that hangs.
pub const TIMEOUT: Duration = Duration::from_mins(1);

const ZONE_NAMES: [&str; ZONES] = ["kig-gikondo", "kig-kicukiro", "kig-remera"];
const VERSIONS: [&str; 2] = ["pimento-large@1", "pimento-mini@1"];
const CALLERS_PORT: u16 = 8_080;
const OPERATORS_PORT: u16 = 9_090;
const PEERS_PORT: u16 = 7_070;
/// Relays to entry VM n listen on host number `RELAY_HOSTS + n` of the same network.
const RELAY_HOSTS: u8 = 100;

/// The platform, the endpoints and the entry VMs.
pub struct Fleet {
    pub log: Running<Log>,
    pub rater: Running<Rater>,
    pub engines: Vec<Running<Engine>>,
    pub services: Vec<Running<Service>>,
    pub nodes: Vec<Node>,
    pub net: Net,
    pub caller: Caller,
    vm_lists: Vec<Running<vms::Vms>>,
    /// Reserves the addresses of this fleet, see [`network`].
    network_lock: Option<TcpListener>,
    token: CancellationToken,
}

/// One entry VM: a process that can be killed, frozen and restarted.
pub struct Node {
    pub name: String,
    pub zone: usize,
    pub callers: SocketAddr,
    operators: SocketAddr,
    environment: Vec<(&'static str, String)>,
    incarnation: u32,
    child: Option<Child>,
}

impl Fleet {
    /// Starts the fleet and waits until each entry VM is ready and serves model and service
    /// requests.
    pub async fn start() -> Self {
        let mut fleet = Self::start_platform().await;
        let published = fleet.publish(&contracts());
        assert!(published.status.success(), "{published:?}");
        for number in 0..fleet.nodes.len() {
            fleet.nodes[number].start();
        }
        for number in 0..fleet.nodes.len() {
            fleet.wait_until_ready(number).await;
        }
        fleet
    }

    async fn start_platform() -> Self {
        let token = CancellationToken::new();
        let net: Net = Arc::new(watch::Sender::default());
        let log = log::start(log::Config::default(), token.child_token());
        let rater = rating::start(rating::Config::default(), token.child_token());
        let mut fleet = Self {
            log: log.await.expect("a free port"),
            rater: rater.await.expect("a free port"),
            engines: Vec::new(),
            services: Vec::new(),
            nodes: Vec::new(),
            net,
            caller: Caller::new(),
            vm_lists: Vec::new(),
            network_lock: None,
            token,
        };
        fleet.start_endpoints().await;
        fleet.start_vm_lists().await;
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
            let started = service::start(config, self.token.child_token()).await;
            self.services.push(started.expect("a free port"));
        }
    }

    /// Starts one list of VMs for each zone, in which the endpoints' addresses are relays from that
    /// zone.
    async fn start_vm_lists(&mut self) {
        for zone in 0..ZONES {
            let mut config = vms::Config::default();
            for home in 0..ZONES {
                let path = Path::Endpoint(zone, home);
                let engine = relay::tcp(&self.net, path, local(), self.engines[home].address).await;
                let desk = relay::tcp(&self.net, path, local(), self.services[home].address).await;
                let pool = "pimento-llm".parse().expect("a name");
                config
                    .vms
                    .push(vm("engine", home, engine, Role::Engine(pool)));
                let pool = "order-desk".parse().expect("a name");
                config.vms.push(vm("desk", home, desk, Role::Service(pool)));
            }
            let list = vms::start(config, self.token.child_token()).await;
            self.vm_lists.push(list.expect("a free port"));
        }
    }

    async fn prepare_nodes(&mut self) {
        let (net, network_lock) = network();
        self.network_lock = Some(network_lock);
        let host = |zone: usize, number: u8| {
            let zone = u8::try_from(zone).expect("few zones");
            Ipv4Addr::new(127, net, zone, number)
        };
        let positions: Vec<(usize, u8)> = (0..ZONES)
            .flat_map(|zone| {
                (1_u8..)
                    .take(NODES_PER_ZONE)
                    .map(move |number| (zone, number))
            })
            .collect();
        let seeds: Vec<String> = positions
            .iter()
            .map(|(zone, number)| format!("{}:{PEERS_PORT}", host(*zone, RELAY_HOSTS + number)))
            .collect();
        for (zone, number) in positions {
            let own = host(zone, number);
            let advertised = SocketAddr::from((host(zone, RELAY_HOSTS + number), PEERS_PORT));
            let target = SocketAddr::from((own, PEERS_PORT));
            relay::tcp(&self.net, Path::Peer(zone), advertised, target).await;
            relay::udp(&self.net, Path::Peer(zone), advertised, target).await;
            let path = Path::Platform(zone);
            let log = relay::tcp(&self.net, path, local(), self.log.address).await;
            let rater = relay::tcp(&self.net, path, local(), self.rater.address).await;
            let list = relay::tcp(&self.net, path, local(), self.vm_lists[zone].address).await;
            let environment = vec![
                ("PIMENTO_ZONE", ZONE_NAMES[zone].into()),
                ("PIMENTO_LISTEN", format!("{own}:{CALLERS_PORT}")),
                (
                    "PIMENTO_OPERATORS_LISTEN",
                    format!("{own}:{OPERATORS_PORT}"),
                ),
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
                callers: SocketAddr::from((own, CALLERS_PORT)),
                operators: SocketAddr::from((own, OPERATORS_PORT)),
                environment,
                incarnation: 0,
                child: None,
            });
        }
    }

    /// Runs `pimentoctl publish` on a file with `text`.
    pub fn publish(&self, text: &str) -> Output {
        let file = write_temporary(text);
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

    /// Changes which paths are cut.
    pub fn cut(&self, change: impl FnOnce(&mut relay::Cuts)) {
        self.net.send_modify(change);
    }

    /// Removes all cuts.
    pub fn heal(&self) {
        self.cut(|cuts| *cuts = relay::Cuts::default());
    }

    /// Waits until an entry VM is ready and serves a request at each kind of endpoint.
    pub async fn wait_until_ready(&self, number: usize) {
        let node = &self.nodes[number];
        eventually(&format!("{} is ready", node.name), async || {
            self.caller
                .get(node.operators, "/ready")
                .await
                .is_some_and(|a| a.status == 200)
        })
        .await;
        eventually(&format!("{} serves", node.name), async || {
            let completion = self.caller.chat(node, "are you there?").await;
            let read = self.caller.read_service(node).await;
            completion.is_some_and(|a| a.status == 200) && read.is_some_and(|a| a.status == 200)
        })
        .await;
    }

    /// Returns the state that an entry VM reports to operators, if it responds.
    pub async fn state(&self, number: usize) -> Option<State> {
        let answer = self
            .caller
            .get(self.nodes[number].operators, "/state")
            .await?;
        serde_json::from_slice(&answer.body).ok()
    }

    /// How often an order ran, summed over the replicas of the service.
    pub fn runs(&self, key: &str) -> u64 {
        self.services
            .iter()
            .map(|service| service.handler.runs(key))
            .sum()
    }

    /// All bills on the log, with duplicates.
    pub fn bills(&self) -> Vec<Bill> {
        let records = self.log.handler.records("usage");
        let bills = records
            .iter()
            .map(|entry| serde_json::from_str(&entry.record));
        bills
            .collect::<Result<_, _>>()
            .expect("the stream has bills only")
    }

    /// Number of bills on the log that count, without duplicates.
    pub fn counted_bills(&self) -> u64 {
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
    /// Starts the process under a name with the number of this incarnation.
    pub fn start(&mut self) {
        self.incarnation += 1;
        let errors = match std::env::var_os("FLEET_LOGS") {
            Some(folder) => {
                let name = format!(
                    "{}-{}-{}.log",
                    std::process::id(),
                    self.name,
                    self.incarnation
                );
                let file = std::fs::File::create(PathBuf::from(folder).join(name));
                Stdio::from(file.expect("the folder is there"))
            }
            None => Stdio::null(),
        };
        let child = Command::new(env!("CARGO_BIN_EXE_pimento-entry"))
            .envs(self.environment.iter().cloned())
            .env(
                "PIMENTO_NODE",
                format!("{}.{}", self.name, self.incarnation),
            )
            .stdout(Stdio::null())
            .stderr(errors)
            .spawn()
            .expect("pimento-entry starts");
        self.child = Some(child);
    }

    /// Sets a variable for the next start of the process.
    pub fn set(&mut self, variable: &'static str, value: &str) {
        self.environment.push((variable, value.to_owned()));
    }

    /// Kills the process without a shutdown, as when a VM is lost.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("it is ours");
            child.wait().expect("it is ours");
        }
    }

    /// The process id, to signal the process while the fleet is borrowed.
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

    /// Kills a process of this fleet without a shutdown, as when a VM is lost.
    pub fn kill_process(id: u32) {
        Self::signal_process(id, "KILL");
    }

    /// Waits for the process to exit by itself and returns its exit code.
    pub async fn wait(&mut self) -> Option<i32> {
        let mut child = self.child.take().expect("it runs");
        let deadline = Instant::now() + TIMEOUT;
        loop {
            if let Some(status) = child.try_wait().expect("it is ours") {
                return status.code();
            }
            if Instant::now() > deadline {
                child.kill().expect("it is ours");
                panic!("{} did not exit", self.name);
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

/// Waits until `holds` returns true.
pub async fn eventually(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !holds().await {
        assert!(Instant::now() < deadline, "timed out: {what}");
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

/// Reserves an `x` of `127.x` that no other fleet on this machine uses, not even of another test
/// run. The reservation lasts as long as the returned listener: after a mere check for a free one,
/// two runs could use the same.
fn network() -> (u8, TcpListener) {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let own = u8::try_from(std::process::id() % 200).expect("below 200");
    loop {
        let count = NEXT.fetch_add(1, Ordering::Relaxed);
        let net = 20 + own.wrapping_add(count) % 200;
        let lock = Ipv4Addr::new(127, net, u8::MAX, 1);
        if let Ok(network_lock) = TcpListener::bind((lock, PEERS_PORT)) {
            return (net, network_lock);
        }
    }
}

fn write_temporary(text: &str) -> PathBuf {
    static NEXT: AtomicU8 = AtomicU8::new(0);
    let next = NEXT.fetch_add(1, Ordering::Relaxed);
    let name = format!("pimento-{}-{next}.toml", std::process::id());
    let file = std::env::temp_dir().join(name);
    std::fs::write(&file, text).expect("the temporary folder takes files");
    file
}

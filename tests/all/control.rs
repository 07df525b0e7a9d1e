//! `pimento-control` processes with stand-ins of the platform: frozen, resumed and shut down.

use std::net::SocketAddr;
use std::process::Command;

use pimento_standin::engine;
use pimento_standin::engine::Engine;
use pimento_standin::engine::Fencing;
use pimento_standin::fault::Action;
use pimento_standin::fault::Rule;
use pimento_standin::log;
use pimento_standin::server::Handler;
use pimento_standin::server::Running;
use pimento_standin::vms;
use pimento_standin::weights;
use pimento_units::id;
use pimento_wire::platform::Role;
use pimento_wire::platform::Vm;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;

use crate::process::Process;
use crate::process::eventually;

const ZONE: &str = "kig-remera";
const POOL: &str = "pimento-llm";
const WITHDRAWN: &str = "pimento-base@1";

const VERSIONS: [&str; 5] = [
    "pimento-base@1",
    "pimento-base@2",
    "pimento-large@1",
    "pimento-mini@1",
    "pimento-mini@2",
];

/// Number of load reports to wait for after the controller resumes, a few seconds of passes.
const REPORT_REQUESTS: u64 = 20;

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the name is valid")
}

fn versions() -> Vec<id::Version> {
    VERSIONS.iter().map(|text| name(text)).collect()
}

/// Stand-ins of the platform and an engine, which run until this is dropped.
struct Deployment {
    runtime: Runtime,
    log: SocketAddr,
    vms: SocketAddr,
    weights: SocketAddr,
    engine: Running<Engine>,
}

impl Deployment {
    fn start(fencing: Fencing) -> Self {
        let runtime = Runtime::new().expect("the runtime starts");
        let token = CancellationToken::new();
        let (log, vms, weights, engine) = runtime.block_on(async {
            let log = log::start(log::Config::default(), token.clone()).await;
            let weights = weights::start(weights::Config::default(), token.clone()).await;
            let mut config = engine::Config::new(name("engine-a"), versions());
            config.settings.fencing = fencing;
            let engine = engine::start(config, token.clone()).await;
            let engine = engine.expect("a port is free");
            // A rule without effect that counts the requests for load reports.
            let reports = Rule::new(Action::Delay { ms: 0 }).on("GET", "/load");
            engine.faults.set_rules([reports]);
            let vm = Vm {
                name: "engine-a".into(),
                zone: name(ZONE),
                address: engine.address.to_string().into(),
                role: Role::Engine(name(POOL)),
                leaving: false,
            };
            let config = vms::Config {
                vms: vec![vm],
                ..vms::Config::default()
            };
            let vms = vms::start(config, token.clone()).await;
            let log = log.expect("a port is free").address;
            let weights = weights.expect("a port is free").address;
            (log, vms.expect("a port is free").address, weights, engine)
        });
        Self {
            runtime,
            log,
            vms,
            weights,
            engine,
        }
    }

    fn ctl(&self, arguments: &[&str]) {
        let status = Command::new(env!("CARGO_BIN_EXE_pimentoctl"))
            .args(arguments)
            .env("PIMENTO_LOG_ADDRESS", self.log.to_string())
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .status();
        assert!(
            status.expect("pimentoctl starts").success(),
            "{arguments:?}"
        );
    }

    /// Starts a relay to the log that breaks all connections when `token` is cancelled.
    fn relay(&self, token: CancellationToken) -> SocketAddr {
        let target = self.log;
        let listening = TcpListener::bind("127.0.0.1:0");
        let listener = self.runtime.block_on(listening).expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        self.runtime.spawn(async move {
            while let Some(Ok((mut inbound, _))) =
                token.run_until_cancelled(listener.accept()).await
            {
                let token = token.clone();
                tokio::spawn(async move {
                    let mut outbound = TcpStream::connect(target).await?;
                    let copy = tokio::io::copy_bidirectional(&mut inbound, &mut outbound);
                    token.run_until_cancelled(copy).await.transpose()
                });
            }
        });
        address
    }

    fn control(&self, node: &str, log: SocketAddr) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pimento-control"));
        command
            .args(["--node", node, "--zone", ZONE])
            .args(["--operators-listen", "127.0.0.1:0", "--log-level", "error"])
            .args(["--log-address", &log.to_string()])
            .args(["--vms-address", &self.vms.to_string()])
            .args(["--weights-address", &self.weights.to_string()])
            .args(["--lease", "3s", "--lease-margin", "1s", "--period", "100ms"])
            .args(["--order-flight", "1s", "--drain", "0s"]);
        Process::start(command)
    }

    fn has_version(&self, version: &str) -> bool {
        let versions = self.engine.handler.versions();
        versions.binary_search(&name(version)).is_ok()
    }
}

/// The fencing number under which a controller may now give orders to the pool.
fn fencing(control: &Process) -> Option<u64> {
    let state: Value = control.get("/state")?;
    let leases = state.get("leases")?.as_array()?;
    let of_pool = |lease: &&Value| lease["resource"].as_str().is_some_and(|r| r.contains(POOL));
    leases.iter().find(of_pool)?["fencing"].as_u64()
}

fn publish(deployment: &Deployment, fencing: Fencing) {
    let mut files = vec!["publish", "examples/nyabarongo/platform.toml"];
    files.push("examples/nyabarongo/contracts.toml");
    deployment.ctl(&files);
    if fencing == Fencing::Ignores {
        deployment.ctl(&["publish", "tests/all/ignoring-pool.toml"]);
    }
}

/// The lease holder drops a withdrawn version and is then frozen past the end of its lease. Another
/// controller takes over, and an operator reinstates the version. The first holder resumes, cut off
/// from the log, so it does not know of the change and would drop the version again. By its clock
/// the lease has expired, so it must send the engine no order, whether the engine refuses old
/// fencing numbers or ignores them.
fn check_frozen_holder(kind: Fencing) {
    let deployment = Deployment::start(kind);
    publish(&deployment, kind);
    let cut = CancellationToken::new();
    let first = deployment.control("control-1", deployment.relay(cut.clone()));
    let number = eventually("the first holds the lease", || fencing(&first));
    let second = deployment.control("control-2", deployment.log);
    deployment.ctl(&["version", "withdraw", WITHDRAWN]);
    eventually("the version is dropped", || {
        (!deployment.has_version(WITHDRAWN)).then_some(())
    });
    first.signal("STOP");
    cut.cancel();
    let next_number = eventually("the second takes over", || fencing(&second));
    assert!(next_number > number);
    deployment.ctl(&[
        "publish",
        "--reinstate",
        "examples/nyabarongo/platform.toml",
    ]);
    eventually("the version is back", || {
        deployment.has_version(WITHDRAWN).then_some(())
    });
    first.signal("CONT");
    eventually("the first has resumed", || first.get("/state"));
    let requests = deployment.engine.faults.table().rules[0].hits;
    eventually("the engine was polled several times", || {
        (deployment.engine.faults.table().rules[0].hits >= requests + REPORT_REQUESTS).then_some(())
    });
    assert_eq!(
        fencing(&first),
        None,
        "the first knows that its lease has expired"
    );
    assert!(
        deployment.has_version(WITHDRAWN),
        "no late order dropped the version"
    );
    assert_eq!(
        deployment.engine.handler.stats().fenced,
        0,
        "the engine received no late order"
    );
    second.signal("TERM");
    assert_eq!(second.wait(), Some(0));
}

#[test]
fn a_frozen_holder_gives_no_order_to_engines_that_refuse() {
    check_frozen_holder(Fencing::Refuses);
}

#[test]
fn a_frozen_holder_gives_no_order_to_engines_that_ignore() {
    check_frozen_holder(Fencing::Ignores);
}

/// The lease holder gets SIGTERM. It must release its lease on exit, so that the other controller
/// of the zone can acquire it without waiting for it to expire.
#[test]
fn a_holder_that_ends_gives_its_lease_up() {
    let deployment = Deployment::start(Fencing::Refuses);
    publish(&deployment, Fencing::Refuses);
    let first = deployment.control("control-1", deployment.log);
    let number = eventually("the first holds the lease", || fencing(&first));
    let second = deployment.control("control-2", deployment.log);
    first.signal("TERM");
    assert_eq!(first.wait(), Some(0));
    let next_number = eventually("the second holds the lease", || fencing(&second));
    assert!(next_number > number);
}

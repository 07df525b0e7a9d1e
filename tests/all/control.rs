//! `pimento-control` as processes over stand-ins of the platform, frozen and thawed.

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

/// Reports asked for after the thaw: some seconds of passes.
const PASSES: u64 = 20;

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("the name is valid")
}

fn versions() -> Vec<id::Version> {
    VERSIONS.iter().map(|text| name(text)).collect()
}

/// Stand-ins that run as long as this does.
struct Bench {
    runtime: Runtime,
    log: SocketAddr,
    vms: SocketAddr,
    weights: SocketAddr,
    engine: Running<Engine>,
}

impl Bench {
    fn start(fencing: Fencing) -> Self {
        let runtime = Runtime::new().expect("threads can be had");
        let token = CancellationToken::new();
        let (log, vms, weights, engine) = runtime.block_on(async {
            let log = log::start(log::Config::default(), token.clone()).await;
            let weights = weights::start(weights::Config::default(), token.clone()).await;
            let mut config = engine::Config::new(name("engine-a"), versions());
            config.settings.fencing = fencing;
            let engine = engine::start(config, token.clone()).await;
            let engine = engine.expect("a port is free");
            // Does nothing but count the reports that are asked for.
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

    /// A way to the log that ends with `token`.
    fn relay(&self, token: CancellationToken) -> SocketAddr {
        let target = self.log;
        let listening = TcpListener::bind("127.0.0.1:0");
        let listener = self.runtime.block_on(listening).expect("a port is free");
        let address = listener.local_addr().expect("it is bound");
        self.runtime.spawn(async move {
            while let Some(Ok((mut near, _))) = token.run_until_cancelled(listener.accept()).await {
                let token = token.clone();
                tokio::spawn(async move {
                    let mut far = TcpStream::connect(target).await?;
                    let copy = tokio::io::copy_bidirectional(&mut near, &mut far);
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

    fn holds(&self, version: &str) -> bool {
        let held = self.engine.handler.versions();
        held.binary_search(&name(version)).is_ok()
    }
}

/// The fencing number under which a control may give orders now.
fn fencing(control: &Process) -> Option<u64> {
    let state: Value = control.get("/state")?;
    let leases = state.get("leases")?.as_array()?;
    let orders = |lease: &&Value| lease["resource"].as_str().is_some_and(|r| r.contains(POOL));
    leases.iter().find(orders)?["fencing"].as_u64()
}

fn publish(bench: &Bench, fencing: Fencing) {
    let mut files = vec!["publish", "examples/nyabarongo/platform.toml"];
    files.push("examples/nyabarongo/contracts.toml");
    bench.ctl(&files);
    if fencing == Fencing::Ignores {
        bench.ctl(&["publish", "tests/all/ignoring-pool.toml"]);
    }
}

/// The holder has read of a withdrawal and is frozen past its lease. Another control takes over and
/// drops the version; then an operator puts it in force again. The first holder thaws and is cut off
/// from the log, so that it knows nothing of all this and would drop the version a second time. Its
/// clock says that the lease is over: the engine gets no order from it, whether it refuses old
/// numbers or ignores them.
fn frozen(kind: Fencing) {
    let bench = Bench::start(kind);
    publish(&bench, kind);
    let cut = CancellationToken::new();
    let first = bench.control("control-1", bench.relay(cut.clone()));
    let number = eventually("the first holds the lease", || fencing(&first));
    let second = bench.control("control-2", bench.log);
    bench.ctl(&["version", "withdraw", WITHDRAWN]);
    eventually("the version is dropped", || {
        (!bench.holds(WITHDRAWN)).then_some(())
    });
    first.signal("STOP");
    cut.cancel();
    let next = eventually("the second takes over", || fencing(&second));
    assert!(next > number);
    bench.ctl(&[
        "publish",
        "--reinstate",
        "examples/nyabarongo/platform.toml",
    ]);
    eventually("the version is back", || {
        bench.holds(WITHDRAWN).then_some(())
    });
    first.signal("CONT");
    eventually("the first is awake", || first.get("/state"));
    let reads = bench.engine.faults.table().rules[0].hits;
    eventually("the engine was asked by all that may order", || {
        (bench.engine.faults.table().rules[0].hits >= reads + PASSES).then_some(())
    });
    assert_eq!(fencing(&first), None, "it knows that its lease is over");
    assert!(
        bench.holds(WITHDRAWN),
        "no late order undid the successor's"
    );
    assert_eq!(
        bench.engine.handler.stats().fenced,
        0,
        "no late order was given at all"
    );
    second.signal("TERM");
    assert_eq!(second.end(), Some(0));
}

#[test]
fn a_frozen_holder_gives_no_order_to_engines_that_refuse() {
    frozen(Fencing::Refuses);
}

#[test]
fn a_frozen_holder_gives_no_order_to_engines_that_ignore() {
    frozen(Fencing::Ignores);
}

/// The holder is asked to end. It gives its lease up, so that the other control of the zone holds
/// it before it could have run out.
#[test]
fn a_holder_that_ends_gives_its_lease_up() {
    let bench = Bench::start(Fencing::Refuses);
    publish(&bench, Fencing::Refuses);
    let first = bench.control("control-1", bench.log);
    let number = eventually("the first holds the lease", || fencing(&first));
    let second = bench.control("control-2", bench.log);
    first.signal("TERM");
    assert_eq!(first.end(), Some(0));
    let next = eventually("the second holds the lease", || fencing(&second));
    assert!(next > number);
}

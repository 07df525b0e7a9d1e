//! `pimentoctl` processes with the stand-in of the log.

use std::net::SocketAddr;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::time::Duration;

use pimento_coordination::Log as _;
use pimento_coordination::log::Remote;
use pimento_ledger::Bill;
use pimento_ledger::Stream;
use pimento_ledger::record::Item;
use pimento_standin::fault::Action;
use pimento_standin::fault::Rule;
use pimento_standin::log;
use pimento_standin::log::Log;
use pimento_standin::server::Running;
use pimento_units::Money;
use pimento_units::Tokens;
use pimento_units::Wall;
use pimento_units::id;
use tokio::runtime::Runtime;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

const FILES: [&str; 2] = [
    "examples/nyabarongo/platform.toml",
    "examples/nyabarongo/contracts.toml",
];

fn start() -> (Runtime, Running<Log>) {
    let runtime = Runtime::new().expect("the runtime starts");
    let token = CancellationToken::new();
    let started = runtime.block_on(log::start(log::Config::default(), token));
    (runtime, started.expect("a port is free"))
}

fn command(log: SocketAddr, by: &str, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pimentoctl"));
    command
        .args(["--by", by])
        .args(arguments)
        .env("PIMENTO_LOG_ADDRESS", log.to_string())
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    command
}

fn run(log: SocketAddr, arguments: &[&str]) -> Output {
    let output = command(log, "setup", arguments).output();
    output.expect("pimentoctl starts")
}

/// Two operators roll the same version in at the same time with different stages. Both read the log
/// before either append takes effect. One process must exit with 0 and the other with 3, and the
/// message of the latter must name the author of the change that won.
#[test]
fn of_two_racing_operators_one_wins_and_the_other_is_told() {
    let (_runtime, log) = start();
    let published = run(log.address, &["publish", FILES[0], FILES[1]]);
    assert_eq!(published.status.code(), Some(0));
    // Delays appends until both processes have read the log.
    let delay = Rule::new(Action::Delay { ms: 3_000 }).on("POST", "/streams");
    log.faults.set_rules([delay]);
    let roll_in = |by: &str, stages: &str| {
        let arguments = [
            "version",
            "roll-in",
            "pimento-mini@2",
            "--from",
            "pimento-mini@1",
            "--stages",
            stages,
        ];
        let child = command(log.address, by, &arguments).spawn();
        child.expect("pimentoctl starts")
    };
    let children = [roll_in("ines", "0.1,1"), roll_in("jonas", "0.2,1")];
    let outputs = children.map(|child| child.wait_with_output().expect("it exits"));
    let mut codes = outputs.each_ref().map(|output| output.status.code());
    let loser = usize::from(codes[1] == Some(3));
    codes.sort();
    assert_eq!(codes, [Some(0), Some(3)]);
    let winner = ["jonas", "ines"][loser];
    let message = String::from_utf8_lossy(&outputs[loser].stderr);
    assert!(message.contains(&format!("won (by {winner})")), "{message}");
}

/// A dry run checks a file that references versions in force, lists one change and must publish
/// nothing.
#[test]
fn a_dry_run_publishes_nothing() {
    let (_runtime, log) = start();
    run(log.address, &["publish", FILES[0], FILES[1]]);
    let file = "examples/nyabarongo/rollouts/mini-2.toml";
    let dry = run(
        log.address,
        &["publish", "--dry-run", file, "--output", "json"],
    );
    assert_eq!(dry.status.code(), Some(0));
    let changes: Vec<serde_json::Value> =
        serde_json::from_slice(&dry.stdout).expect("the output is JSON");
    assert_eq!(changes.len(), 1);
    let history = run(
        log.address,
        &["history", "rollout/pimento-mini@2", "--output", "json"],
    );
    assert_eq!(String::from_utf8_lossy(&history.stdout).trim(), "[]");
}

/// The append takes effect and its response is lost. Publishing must succeed, with each change on
/// the log once.
#[test]
fn a_lost_answer_is_read_back() {
    let (_runtime, log) = start();
    let lose = Rule::new(Action::LoseAnswer)
        .on("POST", "/streams")
        .times(1);
    log.faults.set_rules([lose]);
    let published = run(log.address, &["publish", FILES[0], FILES[1]]);
    assert_eq!(published.status.code(), Some(0));
    let history = run(log.address, &["history", "--output", "json"]);
    let history: Vec<serde_json::Value> =
        serde_json::from_slice(&history.stdout).expect("the output is JSON");
    assert_eq!(history.len(), 18, "nothing was appended twice");
}

/// While the log refuses appends, `publish` must exit with 4 and publish nothing.
#[test]
fn an_outage_has_its_own_exit_code() {
    let (_runtime, log) = start();
    let refuse = Action::Refuse {
        status: 503,
        retry_after: Some(1),
        run: None,
    };
    log.faults
        .set_rules([Rule::new(refuse).on("POST", "/streams")]);
    let published = run(log.address, &["publish", FILES[0], "--timeout", "3s"]);
    assert_eq!(published.status.code(), Some(4));
    let shown = run(log.address, &["show", "--output", "json"]);
    assert_eq!(String::from_utf8_lossy(&shown.stdout).trim(), "[]");
}

/// Two entry VMs append some of the same bills, the log loses responses, and one record is damaged.
/// Totals must count each request once, no matter how often and by whom its bill was appended.
#[test]
fn bills_count_each_request_once() {
    let (runtime, log) = start();
    let lose = Rule::new(Action::LoseAnswer)
        .on("POST", "/streams")
        .times(2);
    log.faults.set_rules([lose]);
    let remote = Remote::new(log.address, Duration::from_secs(5));
    let bills: Vec<String> = (0..50).map(bill).collect();
    let append = |records: Vec<String>| {
        // The rule loses some responses, but the records are on the log.
        let _ = runtime.block_on(remote.append(Stream::Usage, records));
    };
    append(bills[..30].to_vec());
    append(bills[20..].to_vec());
    append(vec!["{}".into(), bills[0].clone()]);
    append(bills[..30].to_vec());
    let output = run(log.address, &["bills", "--output", "json"]);
    let totals: Vec<serde_json::Value> =
        serde_json::from_slice(&output.stdout).expect("the output is JSON");
    let count = |key: &str| totals.iter().filter_map(|t| t[key].as_u64()).sum::<u64>();
    assert_eq!(totals.len(), 2);
    assert_eq!(count("bills"), 50);
    assert_eq!(count("repeated"), 10 + 1 + 30);
    assert_eq!(count("charge"), (0..50).sum::<u64>());
    assert!(String::from_utf8_lossy(&output.stderr).contains("1 record(s) are no bills"));
}

fn bill(number: u64) -> String {
    let name = |text: &str| text.parse().expect("the name is valid");
    let bill = Bill {
        request: id::Request(Uuid::from_u128(u128::from(number))),
        customer: name(["garage-gatenga", "mine-rutongo"][usize::from(number.is_multiple_of(3))]),
        class: None,
        item: Item::Service("order-desk".parse().expect("the name is valid")),
        charge: Money::from_micros(number),
        cost: Money::ZERO,
        input: Tokens::ZERO,
        output: Tokens::ZERO,
        node: "entry-1".parse().expect("the name is valid"),
        period: 0,
        at: Wall::from_millis(0),
    };
    serde_json::to_string(&bill).expect("a bill is plain JSON")
}

/// A file with five errors must be rejected with all five findings, without contacting the log.
#[test]
fn all_findings_are_reported_at_once() {
    let file = "crates/contract/tests/raw/five-faults.toml";
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    for arguments in [
        ["contract", "check", file].as_slice(),
        &["contract", "check", FILES[0], file],
    ] {
        let output = run(nowhere, arguments);
        assert_eq!(output.status.code(), Some(2));
        let message = String::from_utf8_lossy(&output.stderr);
        let findings = message.lines().filter(|line| line.starts_with(file));
        assert!(findings.count() >= 5, "{message}");
    }
}

//! Tests that the load generator detects broken promises.
//!
//! The calls go directly to stand-ins, whose answers have the same format as the router's. The
//! class has the name of the version, because an engine expects the version as `model`.

use std::time::Duration;

use indicatif::ProgressBar;
use pimento_standin::Handler;
use pimento_standin::Running;
use pimento_standin::engine;
use pimento_standin::fault::Action;
use pimento_standin::fault::Rule;
use pimento_standin::load::allowed::AllowedVersions;
use pimento_standin::load::drive;
use pimento_standin::load::judge::Bills;
use pimento_standin::load::judge::Trial;
use pimento_standin::load::plot;
use pimento_standin::load::result::Report;
use pimento_standin::load::trace;
use pimento_standin::service;
use pimento_units::Money;
use pimento_units::Share;
use tokio_util::sync::CancellationToken;

const STREAMED: &str = "0 garage m@1 5 6 stream - -";
const WHOLE: &str = "0 garage m@1 5 6 whole - -";

async fn engine() -> Running<engine::Engine> {
    let version = "m@1".parse().unwrap();
    let mut config = engine::Config::new("engine-0".parse().unwrap(), [version]);
    config.settings.token_us = 100;
    engine::start(config, CancellationToken::new())
        .await
        .unwrap()
}

async fn service() -> Running<service::Service> {
    let config = service::Config::new("desk-0".parse().unwrap());
    service::start(config, CancellationToken::new())
        .await
        .unwrap()
}

async fn run<S: Handler>(running: &Running<S>, lines: &str, versions: &str) -> Report {
    let mut allowed = AllowedVersions::default();
    let contract = format!(
        "[[contract]]\ncustomer = \"garage\"\n[[contract.class]]\nname = \"m@1\"\nversions = [{versions}]\n"
    );
    allowed.add(&contract).unwrap();
    let config = drive::Config {
        targets: vec![running.address.to_string()],
        operators: Vec::new(),
        key_prefix: "key-".to_owned(),
        allowed,
        timeout: Duration::from_secs(20),
        retries: Share::ONE,
        max_retry_after: Duration::from_secs(5),
    };
    let arrivals = trace::parse(lines).unwrap();
    drive::drive(config, &arrivals, &ProgressBar::hidden()).await
}

/// The outcome of the only call of a run, as written in the report.
fn outcome(report: &Report) -> String {
    let row = &report.rows[0];
    let first = |kind: &str, counts: &[pimento_standin::tally::Count]| {
        counts.first().map(|count| format!("{kind}: {}", count.key))
    };
    first("broken", &row.broken)
        .or_else(|| first("failed", &row.failed))
        .or_else(|| first("refused", &row.refused))
        .unwrap_or_else(|| format!("served: {}", row.served))
}

#[tokio::test]
async fn wrong_answers_are_detected() {
    let cases: [(&str, Option<Action>, &str, &str); 8] = [
        (WHOLE, None, "\"m@1\"", "served: 1"),
        (STREAMED, None, "\"m@1\"", "served: 1"),
        (WHOLE, None, "\"m@2\"", "broken: version"),
        (
            STREAMED,
            Some(Action::Skip { event: 6 }),
            "\"m@1\"",
            "broken: partial",
        ),
        (
            STREAMED,
            Some(Action::Skip { event: 2 }),
            "\"m@1\"",
            "broken: partial",
        ),
        (
            STREAMED,
            Some(Action::Cut { after: 3 }),
            "\"m@1\"",
            "failed: stream cut off",
        ),
        (
            WHOLE,
            Some(Action::LoseAnswer),
            "\"m@1\"",
            "failed: connection lost",
        ),
        (WHOLE, Some(Action::Garbage), "\"m@1\"", "broken: body"),
    ];
    for (line, action, versions, expected) in cases {
        let engine = engine().await;
        let name = format!("{line} {action:?}");
        engine.faults.set_rules(action.map(Rule::new));
        let report = run(&engine, line, versions).await;
        assert_eq!(outcome(&report), expected, "{name}");
    }
}

#[tokio::test]
async fn a_refusal_without_the_documented_body_is_a_violation() {
    let engine = engine().await;
    engine.handler.change(|s| s.batch = 0);
    engine.handler.change(|s| s.waiting = 0);
    let report = run(&engine, WHOLE, "\"m@1\"").await;
    assert_eq!(outcome(&report), "broken: error body");
}

/// Two calls with one request id reach a replica, which does not deduplicate. Both are answered.
/// The judge must detect the second run, and must accept one bill only.
#[tokio::test]
async fn a_doubled_order_is_detected() {
    let service = service().await;
    let lines = "0 garage service:desk 3 0 whole - k\n50 garage service:desk 3 0 whole - k";
    let report = run(&service, lines, "").await;
    assert_eq!(report.keyed.len(), 1);
    let mut trial = Trial {
        report,
        bills: vec![bills(1)],
        engines: Vec::new(),
        services: vec![service.handler.stats()],
        withdrawn: Vec::new(),
        overload: false,
        endpoint_faults: 0,
        platform_faults: 0,
        quiet_customers: Vec::new(),
    };
    assert!(!is_kept(
        &trial,
        "each order runs at most once, and once if it was answered"
    ));
    assert!(is_kept(&trial, "each served request is billed once"));
    trial.bills = vec![bills(2)];
    assert!(!is_kept(&trial, "each served request is billed once"));
}

/// A caller is told `not_run` although an engine started the call. The judge must detect it by the
/// prompts that the engine counted.
#[tokio::test]
async fn a_false_not_run_is_detected() {
    let engine = engine().await;
    let mut report = run(&engine, WHOLE, "\"m@1\"").await;
    let engines = vec![engine.handler.stats()];
    let prompt = engines[0].prompts[0].key.clone();
    report.not_run = vec!["0000000000000000".into()];
    let mut trial = Trial {
        report,
        bills: vec![bills(1)],
        engines,
        services: Vec::new(),
        withdrawn: Vec::new(),
        overload: false,
        endpoint_faults: 0,
        platform_faults: 0,
        quiet_customers: Vec::new(),
    };
    assert!(is_kept(&trial, "a call refused with `not_run` did not run"));
    trial.report.not_run = vec![prompt];
    assert!(!is_kept(
        &trial,
        "a call refused with `not_run` did not run"
    ));
}

/// In an overload, one refusal in 100 calls may say `unknown`, so one in a run of one call is too
/// many. Faults of endpoints allow one each. Otherwise no refusal may say `unknown`, not even with
/// faults of the platform.
#[tokio::test]
async fn unknown_refusals_are_limited_in_an_overload_and_forbidden_otherwise() {
    let engine = engine().await;
    let mut report = run(&engine, WHOLE, "\"m@1\"").await;
    report.rows[0].refused = vec![pimento_standin::tally::Count {
        key: "429 overloaded unknown".into(),
        count: 1,
    }];
    let mut trial = Trial {
        report,
        bills: vec![bills(1)],
        engines: vec![engine.handler.stats()],
        services: Vec::new(),
        withdrawn: Vec::new(),
        overload: true,
        endpoint_faults: 0,
        platform_faults: 0,
        quiet_customers: vec!["garage".parse().unwrap()],
    };
    let answered = "each call gets an answer or an expected refusal";
    assert!(is_kept(&trial, answered));
    assert!(!is_kept(&trial, "few refusals say `unknown`"));
    trial.report.rows[0].sent = 100;
    assert!(is_kept(&trial, "few refusals say `unknown`"));
    assert!(!is_kept(
        &trial,
        "calls of quiet customers are served during the overload"
    ));
    trial.overload = false;
    assert!(!is_kept(&trial, answered));
    trial.platform_faults = 1;
    assert!(!is_kept(&trial, "few refusals say `unknown`"));
    trial.platform_faults = 0;
    trial.endpoint_faults = 1;
    assert!(is_kept(&trial, answered));
    assert!(is_kept(&trial, "few refusals say `unknown`"));
    trial.report.rows[0].refused[0].count = 2;
    assert!(!is_kept(&trial, "few refusals say `unknown`"));
}

fn bills(bills: u64) -> Bills {
    Bills {
        customer: "garage".parse().unwrap(),
        bills,
        charge: Money::ZERO,
        cost: Money::ZERO,
    }
}

fn is_kept(trial: &Trial, name: &str) -> bool {
    let promises = trial.promises();
    promises
        .iter()
        .find(|promise| promise.name == name)
        .unwrap()
        .is_kept()
}

#[tokio::test]
async fn latency_is_measured_from_the_scheduled_time_and_plotted() {
    let engine = engine().await;
    engine.handler.change(|s| {
        s.batch = 1;
        s.token_us = 10_000;
    });
    // Two calls at once and a batch of one: the second call waits for the six tokens of the first.
    let lines = format!("{WHOLE}\n{WHOLE}");
    let report = run(&engine, &lines, "\"m@1\"").await;
    let last = pimento_standin::load::histogram::Latency::from(&report.rows[0].last);
    assert!(last.quantile(1.0).unwrap() >= 120.0);
    let svg = plot::draw(&[("run".to_owned(), report)]).unwrap();
    assert!(svg.starts_with("<svg") && svg.contains("m@1 (n=2)"));
}

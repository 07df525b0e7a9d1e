//! Tests of each fault, most of them set over HTTP.

use std::time::Duration;

use hyper::Method;
use pimento_standin::Running;
use pimento_standin::engine;
use pimento_standin::engine::Engine;
use pimento_standin::fault::Action;
use pimento_standin::fault::Rule;
use pimento_standin::fault::Table;
use pimento_standin::log;
use pimento_standin::log::Log;
use pimento_units::Share;
use pimento_wire::api::Run;
use pimento_wire::platform::Append;
use tokio_util::sync::CancellationToken;

use crate::support::Outcome;
use crate::support::call;
use crate::support::get;
use crate::support::read;
use crate::support::send;
use crate::support::status;

async fn start() -> Running<Log> {
    let token = CancellationToken::new();
    log::start(log::Config::default(), token).await.unwrap()
}

async fn append(log: &Running<Log>) -> Outcome {
    let append = Append {
        records: vec!["1".to_owned()],
    };
    send(log, Method::POST, "/streams/a", &append).await
}

async fn set(log: &Running<Log>, rules: Vec<Rule>) {
    let table = Table {
        seed: 3,
        rules,
        affected: 0,
    };
    assert_eq!(status(send(log, Method::PUT, "/faults", &table).await), 204);
}

/// A fault, the status that the caller of an append gets (none for a broken connection), and the
/// number of records appended.
struct Case {
    action: Action,
    status: Option<u16>,
    effect: usize,
}

#[tokio::test]
async fn faults_of_a_call() {
    let refuse = Action::Refuse {
        status: 503,
        retry_after: Some(7),
        run: Some(Run::NotRun),
    };
    let cases = [
        (refuse, Some(503), 0),
        (Action::Drop, None, 0),
        (Action::LoseAnswer, None, 1),
        (Action::Garbage, Some(200), 1),
        (Action::Delay { ms: 1 }, Some(200), 1),
        (Action::Late { ms: 1 }, Some(200), 1),
        (Action::Cut { after: 0 }, None, 1),
    ];
    for (action, status, effect) in cases {
        let case = Case {
            action,
            status,
            effect,
        };
        let log = start().await;
        set(&log, vec![Rule::new(case.action.clone()).times(1)]).await;
        let outcome = append(&log).await;
        let seen = outcome.as_ref().ok().map(|(status, _, _)| status.as_u16());
        assert_eq!(seen, case.status, "{:?}", case.action);
        assert_eq!(
            log.handler.records("a").len(),
            case.effect,
            "{:?}",
            case.action
        );
        if let (Action::Garbage, Ok((_, _, body))) = (&case.action, &outcome) {
            assert!(serde_json::from_slice::<serde_json::Value>(body).is_err());
        }
        // The rule applies to one call only.
        assert_eq!(crate::support::status(append(&log).await), 200);
        let table: Table = read(get(&log, "/faults").await);
        assert_eq!((table.rules[0].seen, table.rules[0].hits), (2, 1));
        set(&log, Vec::new()).await;
        let table: Table = read(get(&log, "/faults").await);
        assert_eq!(table.affected, 1, "the count was lost with the table");
    }
}

#[tokio::test]
async fn a_hanging_call_has_no_effect_and_no_answer() {
    let log = start().await;
    set(&log, vec![Rule::new(Action::Hang)]).await;
    let hung = tokio::time::timeout(Duration::from_millis(200), append(&log)).await;
    assert!(hung.is_err());
    assert!(log.handler.records("a").is_empty());
}

#[tokio::test]
async fn rules_match_calls_by_method_path_number_and_share() {
    let log = start().await;
    let rule = Rule::new(Action::Drop)
        .on("POST", "/streams/a")
        .after(1)
        .times(1);
    set(&log, vec![rule]).await;
    assert!(
        append(&log).await.is_ok(),
        "the first call is skipped by the rule"
    );
    assert!(
        get(&log, "/streams/a").await.is_ok(),
        "another method does not match"
    );
    assert!(
        append(&log).await.is_err(),
        "the rule applies to the second call"
    );
    assert!(append(&log).await.is_ok(), "the rule applies only once");

    let half = Rule::new(Action::Drop).share(Share::from_parts(500_000));
    let mut runs = Vec::new();
    for _ in 0..2 {
        set(&log, vec![half.clone()]).await;
        let mut failed = Vec::new();
        for _ in 0..40 {
            failed.push(append(&log).await.is_err());
        }
        runs.push(failed);
    }
    assert_eq!(runs[0], runs[1], "the same seed must affect the same calls");
    let affected = runs[0].iter().filter(|failed| **failed).count();
    assert!((8..=32).contains(&affected), "{affected} of 40 affected");
}

#[tokio::test]
async fn an_invalid_table_is_refused_and_changes_nothing() {
    let log = start().await;
    let bad = r#"{"rules":[{"action":{"explode":{}}}]}"#;
    assert_eq!(
        status(call(&log, Method::PUT, "/faults", &[], bad).await),
        400
    );
    assert!(log.faults.table().rules.is_empty());
}

/// Returns the ids of the events received (and `done` for the end mark), and whether the stream
/// ended or stalled without an error.
async fn stream_events(action: Action) -> (Vec<String>, bool) {
    let version = "m@1".parse().unwrap();
    let mut config = engine::Config::new("engine-0".parse().unwrap(), [version]);
    config.settings.token_us = 100;
    let token = CancellationToken::new();
    let engine: Running<Engine> = engine::start(config, token).await.unwrap();
    engine.faults.set_rules([Rule::new(action)]);
    let address = engine.address.to_string();
    let mut message = pimento_standin::load::client::Message::get("/v1/chat/completions");
    message.method = Method::POST;
    let chat = r#"{"model":"m@1","messages":[{"role":"user","content":"hi"}],"stream":true,"max_tokens":4}"#;
    message.body = chat.into();
    let client = pimento_standin::load::client::Client::default();
    let response = client.send(&message, [&address]).await.unwrap();
    let mut body = http_body_util::BodyExt::into_data_stream(response.into_body());
    let mut text = String::new();
    let mut clean = true;
    while let Ok(next) =
        tokio::time::timeout(Duration::from_secs(1), futures::StreamExt::next(&mut body)).await
    {
        match next {
            Some(Ok(bytes)) => text.push_str(std::str::from_utf8(&bytes).unwrap()),
            Some(Err(_)) => {
                clean = false;
                break;
            }
            None => break,
        }
    }
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    let mut ids: Vec<String> = ids.map(str::to_owned).collect();
    if text.contains("[DONE]") {
        ids.push("done".to_owned());
    }
    (ids, clean)
}

#[tokio::test]
async fn faults_of_a_stream() {
    let cases: [(Action, &[&str], bool); 5] = [
        (Action::Cut { after: 2 }, &["0", "1"], false),
        (
            Action::Duplicate { event: 1 },
            &["0", "1", "1", "2", "3", "done"],
            true,
        ),
        (
            Action::Reorder { event: 1 },
            &["0", "2", "1", "3", "done"],
            true,
        ),
        (Action::Skip { event: 1 }, &["0", "2", "3", "done"], true),
        (Action::Stall { event: 2 }, &["0", "1"], true),
    ];
    for (action, expected, clean) in cases {
        let name = format!("{action:?}");
        assert_eq!(
            stream_events(action).await,
            (expected.iter().map(ToString::to_string).collect(), clean),
            "{name}"
        );
    }
}

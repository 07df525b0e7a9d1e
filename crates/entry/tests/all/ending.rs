//! The end of an entry VM: what requests get that it can't finish.

use hyper::StatusCode;
use pimento_contract::Value;
use pimento_ledger::record::ClaimRecord;
use pimento_ledger::record::Run as LoggedRun;
use pimento_scheduler::Job;
use pimento_scheduler::Permit;
use pimento_scheduler::Pool;
use pimento_scheduler::Requirement;
use pimento_standin::Handler;
use pimento_standin::engine::Quality;
use pimento_standin::fault::Action;
use pimento_standin::fault::Rule;
use pimento_units::Share;
use pimento_units::Tokens;
use pimento_wire::api::Run;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use uuid::Uuid;

use crate::support::Entry;
use crate::support::Fixture;
use crate::support::KEY;
use crate::support::LARGE;
use crate::support::SMALL;
use crate::support::TIMEOUT;
use crate::support::contract;
use crate::support::name;
use crate::support::wait_until;

/// Settings of a VM that ends soon after it is told to.
const SHORT: [(&str, &str); 2] = [("grace", "0ms"), ("last-bound", "1s")];

/// A timeout that the VM does not live to see, in seconds.
const LONG_TIMEOUT: &str = "600";

fn pool(entry: &Entry, pool: &str) -> Pool {
    entry.running.node.scheduler.pool(&name(pool))
}

fn hang(method: &str, path: &str) -> Vec<Rule> {
    vec![Rule::new(Action::Hang).on(method, path)]
}

/// Takes all slots of the engines.
fn fill(entry: &Entry) -> Vec<Permit> {
    let pool = pool(entry, "pimento-llm");
    let job = Job {
        customer: name("garage"),
        weight: 1,
        priority: 0,
        tokens: Tokens(50),
        deadline: entry.running.node.clock.now() + TIMEOUT,
        requirement: Requirement::version(Some(name(SMALL))),
        prefix: None,
        prompt: None,
        aim: None,
        tried: Vec::new(),
        excluded: None,
        previously_refused: false,
        repeatable: true,
    };
    std::iter::from_fn(|| pool.try_acquire(&job)).collect()
}

/// The VM ends while engines are silent. Guards against a connection that closes without an answer.
#[tokio::test]
async fn requests_at_silent_engines_are_answered_before_the_end() {
    let fixture = Fixture::start(1).await;
    fixture.engines[0]
        .faults
        .set_rules(hang("POST", "/v1/chat/completions"));
    let entry = fixture.entry_with("entry-1", &SHORT).await;
    let send = |stream| {
        let request = entry.chat("answer in 3 tokens", stream);
        tokio::spawn(request.header("request-timeout", LONG_TIMEOUT).send())
    };
    let pending = [send(true), send(false)];
    let engines = pool(&entry, "pimento-llm");
    wait_until("both are sent", || engines.metrics().in_flight == 2).await;
    let node = entry.running.node.clone();
    assert!(!entry.running.shut_down().await);
    for pending in pending {
        let answer = pending.await.expect("an answer");
        assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT, "{answer:?}");
        assert_eq!(answer.error_body().error.code, "aborted");
        assert_eq!(answer.error_body().error.run, Run::Unknown);
    }
    let metrics = String::from_utf8(node.metrics.text()).unwrap();
    let series = r#"pimento_refusals_total{code="aborted",run="unknown"} 2"#;
    assert!(metrics.contains(series), "{metrics}");
    let series = r#"pimento_attempts_total{pool="pimento-llm",result="ended"} 2"#;
    assert!(metrics.contains(series), "{metrics}");
}

/// The VM ends while a call that may not be repeated is under way. Guards against a lost outcome.
#[tokio::test]
async fn the_outcome_of_a_call_at_a_silent_service_reaches_the_log() {
    let fixture = Fixture::start(1).await;
    for desk in &fixture.desks {
        desk.faults.set_rules(hang("POST", "/drums"));
    }
    let entry = fixture.entry_with("entry-1", &SHORT).await;
    let key = Uuid::now_v7().to_string();
    let order = entry.order(&key).header("request-timeout", LONG_TIMEOUT);
    let pending = tokio::spawn(order.send());
    let desks = pool(&entry, "order-desk");
    wait_until("it is sent", || desks.metrics().in_flight == 1).await;
    assert!(!entry.running.shut_down().await);
    let records = fixture.log.handler.records("claims").into_iter();
    let outcomes = records.filter_map(|entry| match serde_json::from_str(&entry.record) {
        Ok(ClaimRecord::Outcome(outcome)) => Some(outcome.run),
        _ => None,
    });
    assert_eq!(outcomes.collect::<Vec<_>>(), [LoggedRun::Unknown]);
    let answer = pending.await.expect("an answer");
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT, "{answer:?}");
    assert_eq!(answer.error_body().error.run, Run::Unknown);
}

/// The VM ends while a request waits in a queue. Guards against a queue that outlasts the VM.
#[tokio::test]
async fn requests_in_a_queue_are_refused_as_not_run_before_the_end() {
    let fixture = Fixture::start(1).await;
    let settings = [("grace", "600ms"), ("last-bound", "1s")];
    let entry = fixture.entry_with("entry-1", &settings).await;
    let _permits = fill(&entry);
    let send = || {
        let request = entry.chat("answer in 3 tokens", false);
        tokio::spawn(request.header("request-timeout", LONG_TIMEOUT).send())
    };
    let early = send();
    let engines = pool(&entry, "pimento-llm");
    wait_until("it waits", || engines.metrics().waiting == 1).await;
    let node = entry.running.node.clone();
    let late = entry.chat("answer in 3 tokens", false);
    let late = late.header("request-timeout", LONG_TIMEOUT);
    let shutdown = tokio::spawn(entry.running.shut_down());
    wait_until("the VM is leaving", || !node.ready()).await;
    let late = tokio::spawn(late.send());
    for pending in [early, late] {
        let answer = pending.await.expect("an answer");
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
        assert_eq!(answer.error_body().error.code, "shutting_down");
        assert_eq!(answer.error_body().error.run, Run::NotRun);
        assert_ne!(answer.header("retry-after"), "");
    }
    shutdown.await.unwrap();
    assert_eq!(fixture.started(), 0);
}

/// A VM that is told to stop has more work than time. Guards against a wait that can't succeed.
#[tokio::test]
async fn what_a_stopping_vm_cannot_begin_in_time_is_refused_at_once() {
    let fixture = Fixture::start(1).await;
    fixture.engines[0]
        .handler
        .change(|settings| settings.token_us = 50_000);
    let settings = [("grace", "3s"), ("last-bound", "1s")];
    let entry = fixture.entry_with("entry-1", &settings).await;
    let request = || {
        let request = entry.chat("answer in 400 tokens", false);
        request.header("request-timeout", LONG_TIMEOUT)
    };
    let pending: Vec<_> = (0..60).map(|_| tokio::spawn(request().send())).collect();
    let engines = pool(&entry, "pimento-llm");
    wait_until("many requests wait", || engines.metrics().waiting > 20).await;
    let late = request();
    let node = entry.running.node.clone();
    let shutdown = tokio::spawn(entry.running.shut_down());
    wait_until("the VM is leaving", || !node.ready()).await;
    let answer = late.send().await;
    assert!(!node.end.is_reached(), "refused only at the end");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
    assert_eq!(answer.error_body().error.code, "shutting_down");
    shutdown.await.unwrap();
    for pending in pending {
        let answer = pending.await.expect("an answer");
        assert_ne!(answer.status, StatusCode::OK);
    }
}

/// A slot is free only when too little time is left. Guards against a send that the VM's end cuts off.
#[tokio::test]
async fn a_request_that_gets_its_slot_too_late_is_not_sent() {
    let fixture = Fixture::start(1).await;
    fixture.engines[0]
        .handler
        .change(|settings| settings.token_us = 50_000);
    let settings = [("grace", "0ms"), ("last-bound", "2s")];
    let entry = fixture.entry_with("entry-1", &settings).await;
    let request = || {
        let request = entry.chat("answer in 60 tokens", false);
        request.header("request-timeout", LONG_TIMEOUT)
    };
    assert_eq!(request().send().await.status, StatusCode::OK);
    let permits = fill(&entry);
    let pending = tokio::spawn(request().send());
    let engines = pool(&entry, "pimento-llm");
    wait_until("it waits", || engines.metrics().waiting == 1).await;
    let node = entry.running.node.clone();
    let shutdown = tokio::spawn(entry.running.shut_down());
    wait_until("the VM is leaving", || !node.ready()).await;
    drop(permits);
    let answer = pending.await.expect("an answer");
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
    assert_eq!(answer.error_body().error.code, "shutting_down");
    assert_eq!(answer.error_body().error.run, Run::NotRun);
    assert_eq!(fixture.started(), 1);
    assert!(shutdown.await.unwrap());
}

/// The VM ends while a better answer is sought. Guards against the loss of the answer that it has.
#[tokio::test]
async fn an_answer_at_hand_is_returned_when_the_better_one_cannot_be_had() {
    let fixture = Fixture::start(1).await;
    fixture.publish(Value::Contract(contract(&[LARGE, SMALL], 0.95)));
    let quality = |version, share| Quality {
        version: name(version),
        share,
    };
    let engine = &fixture.engines[0];
    engine.handler.change(|settings| {
        settings.quality = vec![quality(SMALL, Share::ZERO), quality(LARGE, Share::ONE)];
    });
    let rule = Rule::new(Action::Hang).on("POST", "/v1/chat/completions");
    engine.faults.set_rules([rule.containing(LARGE)]);
    let entry = fixture.entry_with("entry-1", &SHORT).await;
    let request = entry.chat("answer in 10 tokens", true);
    let pending = tokio::spawn(request.header("request-timeout", LONG_TIMEOUT).send());
    wait_until("the large version is asked", || {
        engine.faults.table().rules[0].hits == 1
    })
    .await;
    assert!(!entry.running.shut_down().await);
    let answer = pending.await.expect("an answer");
    assert!(answer.whole_stream(), "{answer:?}");
    assert_eq!(answer.header("model-version"), SMALL);
    assert_eq!(fixture.bills().len(), 1);
}

/// The VM ends before a body is complete. Guards against a connection that closes without an answer.
#[tokio::test]
async fn a_request_whose_body_is_not_there_is_refused_as_not_run_before_the_end() {
    let fixture = Fixture::start(1).await;
    let entry = fixture.entry_with("entry-1", &SHORT).await;
    let mut stream = TcpStream::connect(entry.running.caller_address)
        .await
        .unwrap();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {KEY}\r\n\
         content-length: 100\r\n\r\n{{"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let node = entry.running.node.clone();
    wait_until("it is read", || !node.tasks.is_empty()).await;
    assert!(!entry.running.shut_down().await);
    let mut answer = vec![0; 4096];
    let read = stream.read(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer[..read]);
    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
    assert!(answer.contains("not_run"), "{answer:?}");
}

/// A stream of which its caller has the first piece.
pub async fn begun_stream(entry: &Entry) -> TcpStream {
    let mut stream = TcpStream::connect(entry.running.caller_address)
        .await
        .unwrap();
    let body = entry.chat("answer in 400 tokens", true).content();
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {KEY}\r\n\
         request-timeout: {LONG_TIMEOUT}\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&body).await.unwrap();
    let mut piece = [0; 4096];
    let read = stream.read(&mut piece).await.unwrap();
    assert!(piece[..read].starts_with(b"HTTP/1.1 200 "));
    stream
}

/// A stream is cut at the last bound. Guards against a count that says that its caller left.
#[tokio::test]
async fn a_stream_that_the_vm_cuts_is_counted_as_such() {
    let fixture = Fixture::start(1).await;
    let engine = &fixture.engines[0];
    engine.handler.change(|settings| settings.token_us = 50_000);
    let entry = fixture.entry_with("entry-1", &SHORT).await;
    let _stream = begun_stream(&entry).await;
    let node = entry.running.node.clone();
    assert!(!entry.running.shut_down().await);
    let metrics = String::from_utf8(node.metrics.text()).unwrap();
    let series = r#"pimento_refusals_total{code="aborted",run="unknown"} 1"#;
    assert!(metrics.contains(series), "{metrics}");
    let series = r#"pimento_attempts_total{pool="pimento-llm",result="aborted"} 1"#;
    assert!(metrics.contains(series), "{metrics}");
    wait_until("the engine was told to stop", || {
        engine.handler.stats().cancelled == 1
    })
    .await;
}

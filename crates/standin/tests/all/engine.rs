//! The engine stand-in implements `pimento_wire::engine`.

use eventsource_stream::Eventsource;
use futures::StreamExt;
use hyper::Method;
use pimento_standin::Handler;
use pimento_standin::Running;
use pimento_standin::engine;
use pimento_standin::engine::Engine;
use pimento_standin::engine::Fencing;
use pimento_standin::service;
use pimento_standin::text;
use pimento_standin::text::Mark;
use pimento_wire::api::Chat;
use pimento_wire::api::Completion;
use pimento_wire::api::DONE;
use pimento_wire::api::Message;
use pimento_wire::engine::CacheChanges;
use pimento_wire::engine::Load;
use pimento_wire::engine::Order;
use pimento_wire::engine::Reply;
use tokio_util::sync::CancellationToken;

use crate::support::Outcome;
use crate::support::call;
use crate::support::get;
use crate::support::read;
use crate::support::status;
use crate::support::until;

async fn start(change: impl FnOnce(&mut engine::Settings)) -> Running<Engine> {
    let version = "m@1".parse().unwrap();
    let mut config = engine::Config::new("engine-0".parse().unwrap(), [version]);
    config.settings.token_us = 100;
    change(&mut config.settings);
    engine::start(config, CancellationToken::new())
        .await
        .unwrap()
}

fn chat(prompt: &str, stream: bool, tokens: u64) -> Vec<u8> {
    let turn = |role: &str, content: &str| Message {
        role: role.into(),
        content: content.to_owned(),
    };
    let chat = Chat {
        model: "m@1".into(),
        messages: vec![turn("system", "be brief and kind"), turn("user", prompt)],
        stream,
        max_tokens: Some(tokens),
        temperature: None,
    };
    serde_json::to_vec(&chat).unwrap()
}

async fn ask(engine: &Running<Engine>, attempt: &str, body: Vec<u8>) -> Outcome {
    let headers = [("attempt-id", attempt)];
    call(engine, Method::POST, "/v1/chat/completions", &headers, body).await
}

fn events(body: &[u8]) -> Vec<(String, String)> {
    let stream = futures::stream::iter([Ok::<_, std::io::Error>(body.to_vec())]).eventsource();
    let events = stream.map(|event| event.map(|e| (e.id, e.data)).unwrap());
    futures::executor::block_on(events.collect())
}

#[tokio::test]
async fn a_whole_answer_matches_its_prompt_and_is_complete() {
    let engine = start(|_| {}).await;
    let completion: Completion = read(ask(&engine, "a", chat("hello there", false, 12)).await);
    let text = &completion.choices[0].message.content;
    let mark: Mark = text.parse().unwrap();
    assert_eq!(mark.prompt, text::digest("hello there"));
    assert_eq!(completion.usage.completion_tokens, 12);
    assert!(text::is_complete(text, &mark, 12));
    assert!(!text::is_complete(&text[..text.len() - 1], &mark, 12));
}

#[tokio::test]
async fn a_stream_numbers_its_events_and_ends_with_the_end_mark() {
    let engine = start(|_| {}).await;
    let (_, headers, body) = ask(&engine, "a", chat("hi", true, 5)).await.unwrap();
    assert_eq!(headers["incarnation"], "1");
    let events = events(&body);
    let ids: Vec<&str> = events.iter().map(|(id, _)| id.as_str()).collect();
    assert_eq!(ids[..5], ["0", "1", "2", "3", "4"]);
    assert_eq!(events[5].1, DONE);
    assert_eq!(events.len(), 6);
}

#[tokio::test]
async fn a_stream_resumes_after_the_last_event_read() {
    let engine = start(|_| {}).await;
    ask(&engine, "a", chat("hi", true, 5)).await.unwrap();
    let headers = [("last-event-id", "2")];
    let resumed = call(&engine, Method::GET, "/v1/attempts/a", &headers, "").await;
    let (_, _, body) = resumed.unwrap();
    let events = events(&body);
    let ids: Vec<&str> = events.iter().map(|(id, _)| id.as_str()).collect();
    assert_eq!(ids[..2], ["3", "4"]);
    assert_eq!(events[2].1, DONE);
    assert_eq!(engine.handler.runs("a"), 1, "resuming started another run");
    assert_eq!(status(get(&engine, "/v1/attempts/b").await), 404);
}

#[tokio::test]
async fn a_cancelled_attempt_is_counted_and_frees_its_slot() {
    let engine = start(|s| {
        s.batch = 1;
        s.token_us = 10_000_000;
    })
    .await;
    let other = engine.clone();
    let slow = tokio::spawn(async move { ask(&other, "slow", chat("hi", false, 9)).await });
    until("the attempt starts", || engine.handler.runs("slow") == 1).await;
    let cancelled = call(&engine, Method::DELETE, "/v1/attempts/slow", &[], "").await;
    assert_eq!(status(cancelled), 204);
    assert_eq!(status(slow.await.unwrap()), 500);
    engine.handler.change(|s| s.token_us = 100);
    assert_eq!(
        status(ask(&engine, "next", chat("hi", false, 2)).await),
        200
    );
    let stats = engine.handler.stats();
    assert_eq!((stats.started, stats.finished, stats.cancelled), (2, 1, 1));
}

#[tokio::test]
async fn a_full_engine_refuses_with_not_run() {
    let engine = start(|s| {
        s.batch = 1;
        s.waiting = 0;
        s.token_us = 10_000_000;
    })
    .await;
    let other = engine.clone();
    tokio::spawn(async move { ask(&other, "slow", chat("hi", false, 9)).await });
    until("the attempt starts", || engine.handler.runs("slow") == 1).await;
    let (status, headers, _) = ask(&engine, "second", chat("hi", false, 9)).await.unwrap();
    assert_eq!(
        (status.as_u16(), headers["run"].to_str().unwrap()),
        (429, "not_run")
    );
    assert_eq!(engine.handler.runs("second"), 0);
}

#[tokio::test]
async fn a_disconnected_caller_cancels_its_attempt() {
    let engine = start(|s| {
        s.token_us = 10_000_000;
        s.linger_ms = 1;
    })
    .await;
    let other = engine.clone();
    let slow = tokio::spawn(async move { ask(&other, "slow", chat("hi", true, 9)).await });
    until("the attempt starts", || engine.handler.runs("slow") == 1).await;
    slow.abort();
    until("the attempt is cancelled", || {
        engine.handler.stats().cancelled == 1
    })
    .await;
}

#[tokio::test]
async fn lower_priority_numbers_go_first() {
    let engine = start(|s| {
        s.batch = 1;
        s.token_us = 20_000;
    })
    .await;
    let (sender, mut ended) = tokio::sync::mpsc::unbounded_channel();
    // The first call takes seconds, so that the others are accepted before it ends also on a busy machine.
    let calls = [("first", "5", 150), ("late", "9", 3), ("soon", "1", 3)];
    for (started, (name, priority, tokens)) in (1..).zip(calls) {
        let (engine, sender) = (engine.clone(), sender.clone());
        let spawned = engine.clone();
        tokio::spawn(async move {
            let headers = [("attempt-id", name), ("priority", priority)];
            let body = chat("hi", false, tokens);
            let path = "/v1/chat/completions";
            call(&spawned, Method::POST, path, &headers, body)
                .await
                .unwrap();
            sender.send(name).unwrap();
        });
        until("the call is accepted", || {
            engine.handler.stats().started == started
        })
        .await;
    }
    let order = [ended.recv().await, ended.recv().await, ended.recv().await];
    assert_eq!(order.map(Option::unwrap), ["first", "soon", "late"]);
}

#[tokio::test]
async fn the_load_report_is_delayed_by_its_lag() {
    let engine = start(|s| {
        s.load_lag_ms = 3_600_000;
        s.token_us = 10_000_000;
    })
    .await;
    let other = engine.clone();
    tokio::spawn(async move { ask(&other, "slow", chat("hi", false, 9)).await });
    until("the attempt starts", || engine.handler.runs("slow") == 1).await;
    let delayed: Load = read(get(&engine, "/load").await);
    engine.handler.change(|s| s.load_lag_ms = 0);
    let current: Load = read(get(&engine, "/load").await);
    assert_eq!((delayed.running, current.running), (0, 1));
}

#[tokio::test]
async fn the_prefix_cache_saves_prefill_and_publishes_events_with_gaps() {
    let engine = start(|s| s.cache_lag_ms = 0).await;
    for attempt in ["a", "b"] {
        ask(&engine, attempt, chat("hi", false, 1)).await.unwrap();
    }
    let stats = engine.handler.stats();
    assert_eq!(
        (stats.prompt, stats.cached),
        (6, 4),
        "the prefix has four tokens"
    );
    let cache: CacheChanges = read(get(&engine, "/cache?after=0").await);
    assert_eq!((cache.sequence, cache.events.len()), (1, 1));
    let without_events = start(|s| {
        s.cache_lag_ms = 0;
        s.cache_gaps = pimento_units::Share::ONE;
    })
    .await;
    ask(&without_events, "a", chat("hi", false, 1))
        .await
        .unwrap();
    let cache: CacheChanges = read(get(&without_events, "/cache?after=0").await);
    assert!(cache.events.is_empty());
}

async fn order(engine: &Running<Engine>, versions: &[&str], number: &str) -> Reply {
    let versions = versions.iter().map(|v| v.parse().unwrap()).collect();
    let body = serde_json::to_vec(&Order::Versions(versions)).unwrap();
    let headers = [("fencing-number", number)];
    read(call(engine, Method::POST, "/orders", &headers, body).await)
}

/// A lease holder is paused, its lease expires, and it sends its order after its successor's. An
/// engine that refuses old fencing numbers keeps the successor's versions; one that ignores the
/// numbers does not.
#[tokio::test]
async fn an_old_fencing_number_is_refused_or_ignored_as_configured() {
    for (fencing, accepted, loaded) in [
        (Fencing::Refuses, false, "new@1"),
        (Fencing::Ignores, true, "old@1"),
    ] {
        let engine = start(|s| {
            s.fencing = fencing;
            s.order_ms = 0;
        })
        .await;
        assert!(order(&engine, &["new@1"], "7").await.accepted);
        assert_eq!(order(&engine, &["old@1"], "6").await.accepted, accepted);
        assert_eq!(engine.handler.versions(), [loaded.parse().unwrap()]);
    }
}

#[tokio::test]
async fn a_version_that_is_not_loaded_is_refused_with_not_run() {
    let engine = start(|_| {}).await;
    engine.handler.change(|s| s.leaving = true);
    let body = String::from_utf8(chat("hi", false, 1)).unwrap();
    let other = body.replace("m@1", "m@2").into_bytes();
    let (code, headers, _) = ask(&engine, "a", other).await.unwrap();
    assert_eq!(
        (code.as_u16(), headers["run"].to_str().unwrap()),
        (503, "not_run")
    );
    ask(&engine, "b", body.into_bytes()).await.unwrap();
    let stats = engine.handler.stats();
    assert_eq!((stats.refused, stats.started, stats.leaving), (1, 1, 1));
}

#[tokio::test]
async fn a_service_counts_each_run_of_a_key_even_if_its_caller_disconnects() {
    let mut config = service::Config::new("desk-0".parse().unwrap());
    config.settings.work_ms = 60_000;
    let token = CancellationToken::new();
    let service = service::start(config, token).await.unwrap();
    let headers = [("idempotency-key", "k")];
    let other = service.clone();
    let slow =
        tokio::spawn(async move { call(&other, Method::POST, "/orders", &headers, "1").await });
    until("the call starts", || service.handler.runs("k") == 1).await;
    slow.abort();
    until("the call is cancelled", || {
        service.handler.stats().cancelled == 1
    })
    .await;
    service.handler.set(service::Settings {
        work_ms: 0,
        ..service::Settings::default()
    });
    let receipt: service::Receipt =
        read(call(&service, Method::POST, "/orders", &headers, "1").await);
    assert_eq!((receipt.runs, receipt.key.as_deref()), (2, Some("k")));
    assert_eq!(receipt.path, "/orders");
    service.handler.set(service::Settings {
        capacity: 0,
        ..service::Settings::default()
    });
    let refused = call(&service, Method::POST, "/orders", &headers, "1").await;
    assert_eq!(refused.unwrap().1["run"], "not_run");
    assert_eq!(service.handler.runs("k"), 2);
}

//! The engine client: the fault that it reports for each failure, and that `not_run` agrees with
//! the engine's own count.

use std::time::Duration;

use futures::StreamExt;
use pimento_endpoint::Fault;
use pimento_endpoint::Pool;
use pimento_endpoint::client;
use pimento_endpoint::engine::Call;
use pimento_endpoint::engine::Engine;
use pimento_endpoint::engine::Event;
use pimento_endpoint::engine::Remote;
use pimento_standin::Handler;
use pimento_standin::Running;
use pimento_standin::engine;
use pimento_standin::fault::Action;
use pimento_standin::fault::Rule;
use pimento_units::id;
use pimento_wire::api::Chat;
use pimento_wire::api::Message;
use pimento_wire::api::Run;
use pimento_wire::engine::Order;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::raw;

const VERSION: &str = "pimento-mini@1";

async fn standin() -> Running<engine::Engine> {
    let config = engine::Config::new("engine".parse().unwrap(), [VERSION.parse().unwrap()]);
    engine::start(config, CancellationToken::new())
        .await
        .unwrap()
}

fn remote(engine: &Running<engine::Engine>) -> Remote {
    Remote::new(Pool::default(), engine.address)
}

fn call(stream: bool) -> Call {
    Call {
        attempt: id::Attempt(Uuid::now_v7()),
        chat: Chat {
            model: VERSION.into(),
            messages: vec![Message {
                role: "user".into(),
                content: "answer in 10 tokens".into(),
            }],
            stream,
            max_tokens: None,
            temperature: None,
        },
        priority: 1,
        timeout: Duration::from_secs(2),
    }
}

/// Reads a stream to its end or its first fault.
async fn read(remote: &Remote, call: Call) -> Result<Vec<Event>, Fault> {
    let mut events = remote.stream(call).await?;
    let mut seen = Vec::new();
    while let Some(event) = events.next().await {
        seen.push(event?);
    }
    Ok(seen)
}

fn refuse(status: u16, run: Option<Run>) -> Action {
    Action::Refuse {
        status,
        retry_after: Some(3),
        run,
    }
}

/// An action, a check of the expected fault, and whether the fault means that the call was not run.
type Case = (Action, fn(&Fault) -> bool, bool);

fn cases() -> Vec<Case> {
    let refused = |fault: &Fault| {
        let three = Some(Duration::from_secs(3));
        matches!(fault, Fault::Refused { after, .. } if *after == three)
    };
    vec![
        (refuse(429, Some(Run::NotRun)), refused, true),
        (refuse(503, Some(Run::NotRun)), refused, true),
        (
            refuse(503, None),
            |f| *f == Fault::Failed { status: 503 },
            false,
        ),
        (
            refuse(503, Some(Run::Unknown)),
            |f| *f == Fault::Failed { status: 503 },
            false,
        ),
        (
            refuse(500, Some(Run::NotRun)),
            |f| *f == Fault::Failed { status: 500 },
            false,
        ),
        (
            Action::Drop,
            |f| matches!(f, Fault::Interrupted { .. }),
            false,
        ),
        (
            Action::LoseAnswer,
            |f| matches!(f, Fault::Interrupted { .. }),
            false,
        ),
        (Action::Hang, |f| *f == Fault::Timeout, false),
        (
            Action::Garbage,
            |f| matches!(f, Fault::Invalid { .. }),
            false,
        ),
    ]
}

#[tokio::test]
async fn each_fault_is_told_apart_for_whole_and_streamed_calls() {
    for (action, expected, not_run) in cases() {
        let engine = standin().await;
        engine.faults.set_rules([Rule::new(action.clone())]);
        let whole = remote(&engine).complete(call(false)).await.unwrap_err();
        let streamed = read(&remote(&engine), call(true)).await.unwrap_err();
        for fault in [whole, streamed] {
            assert!(expected(&fault), "{action:?}: {fault}");
            assert_eq!(fault.not_run(), not_run, "{action:?}: {fault}");
            assert!(!fault.not_run() || engine.handler.stats().started == 0);
        }
    }
}

#[tokio::test]
async fn a_refused_connection_is_not_run() {
    let remote = Remote::new(Pool::default(), raw::unused_address().await);
    let fault = remote.complete(call(false)).await.unwrap_err();
    assert!(matches!(fault, Fault::Unreachable { .. }), "{fault}");
    assert!(fault.not_run());
}

/// Responses that no engine should send are reported as faults and never reach a caller.
#[tokio::test]
async fn an_invalid_response_is_a_fault() {
    type Answer = (&'static str, fn(&Fault) -> bool);
    const OK: &str =
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
    let table: [Answer; 5] = [
        ("SSH-2.0-OpenSSH\r\n", |f| {
            matches!(f, Fault::Interrupted { .. })
        }),
        ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi", |f| {
            matches!(f, Fault::Invalid { .. })
        }),
        (
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: x\ndata: {}\n\n",
            |f| matches!(f, Fault::Invalid { .. }),
        ),
        (
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\nid: 1\ndata: {}\n\n",
            |f| matches!(f, Fault::Invalid { .. }),
        ),
        ("HTTP/1.1 302 Found\r\ncontent-length: 0\r\n\r\n", |f| {
            *f == Fault::Failed { status: 302 }
        }),
    ];
    for (answer, expected) in table {
        let remote = Remote::new(Pool::default(), raw::start(answer).await);
        let fault = read(&remote, call(true)).await.unwrap_err();
        assert!(expected(&fault), "{answer:?}: {fault}");
        assert!(!fault.not_run(), "{answer:?}: {fault}");
    }
    // A stream that ends without its end mark yields no `Done`.
    let remote = Remote::new(Pool::default(), raw::start(OK).await);
    assert_eq!(read(&remote, call(true)).await, Ok(Vec::new()));
}

#[tokio::test]
async fn an_answer_over_the_limit_is_invalid() {
    let engine = standin().await;
    let pool = Pool::new(client::Config {
        max_body: 50,
        ..client::Config::default()
    });
    let remote = Remote::new(pool, engine.address);
    let fault = remote.complete(call(false)).await.unwrap_err();
    assert!(matches!(fault, Fault::Invalid { .. }), "{fault}");
}

#[tokio::test]
async fn a_stream_is_resumed_after_an_event_and_cancelled() {
    let engine = standin().await;
    let remote = remote(&engine);
    let call = call(true);
    let attempt = call.attempt;
    let all = read(&remote, call).await.unwrap();
    assert_eq!(all.len(), 11);
    let mut rest = remote.resume(attempt, 6).await.unwrap();
    let mut resumed = Vec::new();
    while let Some(event) = rest.next().await {
        resumed.push(event.unwrap());
    }
    assert_eq!(resumed, all[7..]);
    remote.cancel(attempt).await.unwrap();
    let unknown = remote.resume(id::Attempt(Uuid::now_v7()), 0).await.err();
    assert_eq!(unknown, Some(Fault::Failed { status: 404 }));
}

#[tokio::test]
async fn load_cache_and_orders() {
    let engine = standin().await;
    engine.handler.change(|settings| {
        settings.load_lag_ms = 0;
        settings.order_ms = 0;
        settings.fencing = engine::Fencing::Refuses;
    });
    let remote = remote(&engine);
    let load = remote.load().await.unwrap();
    assert_eq!(load.endpoint.as_str(), "engine");
    assert_eq!(load.versions, [VERSION.parse().unwrap()]);
    remote.cache(0).await.unwrap();
    let versions = Order::Versions(vec!["pimento-mini@2".parse().unwrap()]);
    let reply = remote.order(versions.clone(), Some(5)).await.unwrap();
    assert!(reply.accepted);
    let old = remote.order(versions, Some(4)).await.unwrap();
    assert!(!old.accepted);
    assert_eq!(old.fencing, Some(5));
}

#[tokio::test]
async fn an_answer_of_another_version_is_invalid() {
    let answer = concat!(
        "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\nconnection: close\r\n\r\n",
        r#"{"id":"1","object":"chat.completion","created":1,"model":"other@1","#,
        r#""choices":[],"usage":{"prompt_tokens":1,"completion_tokens":1,"total_tokens":2}}"#,
    );
    let remote = Remote::new(Pool::default(), raw::start(answer).await);
    let fault = remote.complete(call(false)).await.unwrap_err();
    assert!(matches!(fault, Fault::Invalid { .. }), "{fault}");
}

//! The client of plain services.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use pimento_endpoint::Fault;
use pimento_endpoint::Pool;
use pimento_endpoint::service::Call;
use pimento_endpoint::service::Remote;
use pimento_endpoint::service::Service;
use pimento_endpoint::service::end_to_end;
use pimento_standin::fault::Action;
use pimento_standin::fault::Rule;
use pimento_standin::service;
use pimento_standin::service::Receipt;
use pimento_units::id;
use pimento_wire::api::Run;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use crate::raw;

fn call() -> Call {
    Call {
        attempt: id::Attempt(Uuid::now_v7()),
        request: id::Request(Uuid::now_v7()),
        method: Method::POST,
        path: "/drums?kind=blue".into(),
        headers: HeaderMap::new(),
        body: Bytes::from_static(b"four"),
        timeout: Duration::from_millis(500),
    }
}

/// An action and the expected result: the status of a response, or a check of the fault.
type Case = (Action, Result<u16, fn(&Fault) -> bool>);

fn refuse(status: u16, run: Option<Run>) -> Action {
    Action::Refuse {
        status,
        retry_after: None,
        run,
    }
}

fn cases() -> Vec<Case> {
    vec![
        (refuse(503, Some(Run::NotRun)), Err(Fault::not_run)),
        (refuse(429, Some(Run::NotRun)), Err(Fault::not_run)),
        (refuse(503, None), Ok(503)),
        (refuse(400, None), Ok(400)),
        (
            Action::Drop,
            Err(|f| matches!(f, Fault::Interrupted { .. })),
        ),
        (
            Action::LoseAnswer,
            Err(|f| matches!(f, Fault::Interrupted { .. })),
        ),
        (Action::Hang, Err(|f| *f == Fault::Timeout)),
    ]
}

#[tokio::test]
async fn each_fault_is_told_apart_and_each_call_is_made_once() {
    for (action, expected) in cases() {
        let config = service::Config::new("desk".parse().unwrap());
        let desk = service::start(config, CancellationToken::new())
            .await
            .unwrap();
        desk.faults.set_rules([Rule::new(action.clone())]);
        let call = call();
        let key = call.request.to_string();
        let result = Remote::new(Pool::default(), desk.address).call(call).await;
        match (&result, expected) {
            (Ok(answer), Ok(status)) => assert_eq!(answer.status.as_u16(), status),
            (Err(fault), Err(expected)) => assert!(expected(fault), "{action:?}: {fault}"),
            _ => panic!("{action:?}: {result:?}"),
        }
        assert!(desk.handler.runs(&key) <= 1, "{action:?}");
        let not_run = result.is_err_and(|fault| fault.not_run());
        assert!(!not_run || desk.handler.runs(&key) == 0, "{action:?}");
    }
}

#[tokio::test]
async fn a_call_is_passed_through_with_its_request_id() {
    let config = service::Config::new("desk".parse().unwrap());
    let desk = service::start(config, CancellationToken::new())
        .await
        .unwrap();
    let call = call();
    let key = call.request.to_string();
    let remote = Remote::new(Pool::default(), desk.address);
    let answer = remote.call(call).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    let receipt: Receipt = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(receipt.path, "/drums");
    assert_eq!(receipt.key.as_deref(), Some(key.as_str()));
}

#[tokio::test]
async fn a_refused_connection_is_not_run() {
    let remote = Remote::new(Pool::default(), raw::unused_address().await);
    let fault = remote.call(call()).await.unwrap_err();
    assert!(fault.not_run(), "{fault}");
}

#[test]
fn hop_by_hop_headers_are_removed() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, x-hop"),
        ("x-hop", "1"),
        ("transfer-encoding", "chunked"),
        ("accept", "text/plain"),
    ] {
        headers.insert(name, value.parse().unwrap());
    }
    let passed = end_to_end(&headers);
    let names: Vec<_> = passed
        .keys()
        .map(hyper::header::HeaderName::as_str)
        .collect();
    assert_eq!(names, ["accept"]);
}

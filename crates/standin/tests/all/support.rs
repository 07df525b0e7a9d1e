//! What the tests share: short calls, and waits that end.

use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use pimento_standin::Handler;
use pimento_standin::Running;
use pimento_standin::load::client::Client;
use pimento_standin::load::client::Message;
use pimento_standin::load::client::Reason;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Far above what any test needs on a busy machine; a test that meets it has failed.
pub const LONG: Duration = Duration::from_secs(20);

pub type Outcome = Result<(StatusCode, HeaderMap, Bytes), Reason>;

pub async fn call<S: Handler>(
    running: &Running<S>,
    method: Method,
    path: &str,
    headers: &[(&'static str, &str)],
    body: impl Into<Bytes>,
) -> Outcome {
    let mut message = Message::get(path);
    message.method = method;
    message.body = body.into();
    for (name, value) in headers {
        message.headers.insert(*name, value.parse().unwrap());
    }
    let address = running.address.to_string();
    let client = Client::default();
    let answer = client.fetch(&message, &address);
    tokio::time::timeout(LONG, answer)
        .await
        .expect("an answer or an end in time")
}

pub async fn get<S: Handler>(running: &Running<S>, path: &str) -> Outcome {
    call(running, Method::GET, path, &[], "").await
}

pub async fn send<S: Handler>(
    running: &Running<S>,
    method: Method,
    path: &str,
    body: &impl Serialize,
) -> Outcome {
    let body = serde_json::to_vec(body).unwrap();
    call(running, method, path, &[], body).await
}

pub fn read<T: DeserializeOwned>(outcome: Outcome) -> T {
    let (status, _, body) = outcome.expect("an answer");
    assert!(status.is_success(), "status {status}");
    serde_json::from_slice(&body).expect("the documented form")
}

pub fn status(outcome: Outcome) -> u16 {
    outcome.expect("an answer").0.as_u16()
}

/// Waits until a condition holds.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let waited = tokio::time::timeout(LONG, wait).await;
    assert!(waited.is_ok(), "never happened: {what}");
}

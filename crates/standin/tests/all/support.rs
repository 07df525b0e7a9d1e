//! Helpers shared by the tests: HTTP calls and waits, all with a timeout.

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

/// Timeout of calls and waits, far longer than any test needs on a busy machine.
pub const TIMEOUT: Duration = Duration::from_secs(20);

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
    tokio::time::timeout(TIMEOUT, answer)
        .await
        .expect("a response or an error before the timeout")
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
    let (status, _, body) = outcome.expect("a response");
    assert!(status.is_success(), "status {status}");
    serde_json::from_slice(&body).expect("a body of the documented format")
}

pub fn status(outcome: Outcome) -> u16 {
    outcome.expect("a response").0.as_u16()
}

/// Waits until a condition holds.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let wait = async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    let waited = tokio::time::timeout(TIMEOUT, wait).await;
    assert!(waited.is_ok(), "timed out waiting until {what}");
}

//! Plain services.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use pimento_units::id;

use crate::fault::Fault;

/// A call to a plain service, passed through.
#[derive(Debug, Clone)]
pub struct Call {
    /// This attempt.
    pub attempt: id::Attempt,
    /// The caller's request id, sent along.
    pub request: id::Request,
    /// Method.
    pub method: Method,
    /// Path and query below the service's name, with the leading slash.
    pub path: String,
    /// The caller's headers, without those of the hop.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// How long the answer may take.
    pub timeout: Duration,
}

/// The service's answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Headers, without those of the hop.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// A plain service at an address.
pub trait Service: Clone + Send + Sync + 'static {
    /// Makes the call. An answer with status 429 or 503 and `run: not_run` is a
    /// [`Fault::Refused`]; any other answer is the caller's.
    fn call(&self, call: Call) -> impl Future<Output = Result<Answer, Fault>> + Send;
}

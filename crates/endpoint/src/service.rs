//! The interface of plain services and its `hyper` client.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::ToCompactString;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use pimento_units::id;
use pimento_wire::header;
use tokio::time::Instant;

use crate::client::Pool;
use crate::client::invalid;
use crate::client::is_refused;
use crate::client::status_fault;
use crate::client::uri;
use crate::fault::Fault;
use crate::limits::MAX_ERROR_BODY_BYTES;
use crate::limits::MAX_ERROR_BODY_TIME;

/// A call to a plain service, forwarded from a caller.
#[derive(Debug, Clone)]
pub struct Call {
    /// Id of this attempt.
    pub attempt: id::Attempt,
    /// The caller's request id, sent as the idempotency key.
    pub request: id::Request,
    /// Method.
    pub method: Method,
    /// Path and query below the service's name, with the leading slash.
    pub path: String,
    /// The caller's headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Timeout of the response.
    pub timeout: Duration,
}

/// The service's response.
#[derive(Debug, Clone)]
pub struct Response {
    /// Status.
    pub status: StatusCode,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// A plain service at an address.
pub trait Service: Clone + Send + Sync + 'static {
    /// Makes the call. A response with status 429 or 503 and `run: not_run` becomes
    /// [`Fault::Refused`]; any other response is passed to the caller.
    fn call(&self, call: Call) -> impl Future<Output = Result<Response, Fault>> + Send;
}

/// The `hyper` client of a plain service.
#[derive(Debug, Clone)]
pub struct Remote {
    pool: Pool,
    address: SocketAddr,
}

impl Remote {
    /// The service's replica at `address`, over shared connections.
    #[must_use]
    pub const fn new(pool: Pool, address: SocketAddr) -> Self {
        Self { pool, address }
    }

    async fn read_error_body(&self, body: Incoming, remaining: Duration) -> Result<Bytes, Fault> {
        let timeout = remaining.min(MAX_ERROR_BODY_TIME);
        let read = self.pool.read_body(body, MAX_ERROR_BODY_BYTES, timeout);
        match read.await {
            Err(Fault::Timeout) if remaining > timeout => {
                Err(invalid("the body of an error response does not end"))
            }
            read => read,
        }
    }

    fn request(&self, call: &Call) -> Result<Request<Full<Bytes>>, Fault> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(uri(self.address, &call.path)?)
            .header(header::ATTEMPT, call.attempt.to_string())
            .header(header::IDEMPOTENCY_KEY, call.request.to_string())
            .header(
                header::REQUEST_TIMEOUT,
                call.timeout.as_secs_f64().to_string(),
            );
        for (name, value) in &call.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(call.body.clone()));
        request.map_err(|error| Fault::Unreachable {
            reason: error.to_compact_string(),
        })
    }
}

impl Service for Remote {
    async fn call(&self, call: Call) -> Result<Response, Fault> {
        let started = Instant::now();
        let request = self.request(&call)?;
        let response = self.pool.send(request, call.timeout).await?;
        let (head, body) = response.into_parts();
        if is_refused(head.status, &head.headers) {
            return Err(status_fault(head.status, &head.headers));
        }
        let remaining = call.timeout.saturating_sub(started.elapsed());
        let body = if head.status.is_server_error() {
            self.read_error_body(body, remaining).await?
        } else {
            let max = self.pool.max_body();
            self.pool.read_body(body, max, remaining).await?
        };
        Ok(Response {
            status: head.status,
            headers: end_to_end(&head.headers),
            body,
        })
    }
}

/// Headers that are not forwarded: hop-by-hop headers and those that the client sets itself.
const NOT_FORWARDED: [&str; 10] = [
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the headers to forward: all but hop-by-hop headers and those that the client sets.
#[must_use]
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let listed = headers
        .get(CONNECTION)
        .and_then(|value| value.to_str().ok());
    let listed = listed.unwrap_or_default();
    let is_excluded = |name: &str| {
        NOT_FORWARDED.contains(&name)
            || listed
                .split(',')
                .any(|n| n.trim().eq_ignore_ascii_case(name))
    };
    let mut forwarded = HeaderMap::new();
    for (name, value) in headers {
        if !is_excluded(name.as_str()) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

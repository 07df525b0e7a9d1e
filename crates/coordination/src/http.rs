//! The HTTP client that the clients of the platform's services share.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use pimento_progress::Progress;
use pimento_wire::header;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The largest response body accepted from a platform service, in bytes. A batch of the log may
/// hold a checkpoint of the whole configuration beside other records.
const MAX_BODY: usize = 32 << 20;
/// Maximum size of a response's head, in bytes. The buffer of a body has the same size.
const MAX_HEAD: usize = 64 << 10;
/// Idle connections in the pool of each service. A node has one long poll open for each stream and
/// a handful of appends; more connections would only cost file descriptors.
const MAX_IDLE: usize = 16;
/// Delay before a retry if the service is unreachable, or refuses without `Retry-After`.
pub(crate) const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Why a call got no reply.
#[derive(Debug)]
pub(crate) enum Failure {
    /// No connection was made, so the call had no effect.
    Unreachable(String),
    /// The call may have taken effect.
    Lost(String),
}

impl Failure {
    /// The reason as text.
    pub(crate) fn reason(self) -> String {
        match self {
            Self::Unreachable(reason) | Self::Lost(reason) => reason,
        }
    }
}

/// A complete response.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    /// The value of `Retry-After`, if present.
    pub(crate) retry_after: Option<Duration>,
    pub(crate) body: Bytes,
}

impl Reply {
    /// Decodes the body from JSON.
    pub(crate) fn decode<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|e| format!("unreadable body: {e}"))
    }

    /// Decodes the body of a reply with status 200.
    pub(crate) fn decode_ok<T: DeserializeOwned>(&self) -> Result<T, String> {
        if self.status != StatusCode::OK {
            return Err(format!("status {}", self.status));
        }
        self.decode()
    }

    /// The delay before a retry, if the service refused the call before it had any effect.
    ///
    /// A status 503 without `Retry-After` is not a refusal: a gateway also returns it when the
    /// service behind it has already acted.
    pub(crate) fn refusal(&self) -> Option<Duration> {
        let refused = [
            StatusCode::TOO_MANY_REQUESTS,
            StatusCode::SERVICE_UNAVAILABLE,
        ];
        if refused.contains(&self.status) {
            self.retry_after
        } else {
            None
        }
    }
}

/// A client of one service. Clones share the connection pool.
#[derive(Debug, Clone)]
pub(crate) struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    timeout: Duration,
}

impl Client {
    /// A client of the service at `address`. `timeout` bounds the time until a response begins, and
    /// then each gap until more of it arrives.
    pub(crate) fn new(address: SocketAddr, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(MAX_IDLE)
            .http1_max_buf_size(MAX_HEAD)
            .build(connector);
        Self {
            inner,
            address,
            timeout,
        }
    }

    /// Sends `GET path`. A long poll may take up to `wait` longer than the timeout to respond.
    pub(crate) async fn get(&self, path: &str, wait: Duration) -> Result<Reply, Failure> {
        self.call(Method::GET, path, Bytes::new(), wait).await
    }

    /// Sends `POST path` with a JSON body.
    pub(crate) async fn post(&self, path: &str, body: &impl Serialize) -> Result<Reply, Failure> {
        let body = serde_json::to_vec(body).map_err(|e| Failure::Unreachable(e.to_string()))?;
        self.call(Method::POST, path, body.into(), Duration::ZERO)
            .await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        wait: Duration,
    ) -> Result<Reply, Failure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| Failure::Unreachable(e.to_string()))?;
        let progress = Progress::default();
        let exchange = async {
            let response = self.inner.request(request).await.map_err(|e| failure(&e))?;
            read_body(response, &progress).await
        };
        progress
            .wait(exchange, self.timeout + wait, self.timeout)
            .await
            .unwrap_or_else(|timeout| Err(Failure::Lost(timeout.to_string())))
    }
}

fn failure(error: &legacy::Error) -> Failure {
    if error.is_connect() {
        return Failure::Unreachable(error.to_string());
    }
    Failure::Lost(error.to_string())
}

async fn read_body(response: Response<Incoming>, progress: &Progress) -> Result<Reply, Failure> {
    let (head, body) = response.into_parts();
    let retry_after = head
        .headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim().parse().ok())
        .map(Duration::from_secs);
    let counted = body.map_frame(|frame| {
        progress.add(frame.data_ref().map_or(0, Bytes::len));
        frame
    });
    let body = Limited::new(counted, MAX_BODY)
        .collect()
        .await
        .map_err(|e| Failure::Lost(e.to_string()))?
        .to_bytes();
    Ok(Reply {
        status: head.status,
        retry_after,
        body,
    })
}

//! A pool of HTTP connections to endpoints, and the classification of failed exchanges.
//!
//! A failure is classified by whether a byte of the request may have been sent. Only a connection
//! that was never established proves that none was.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use compact_str::ToCompactString;
use compact_str::format_compact;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use pimento_wire::header;

use crate::fault::Fault;

/// Limits and timeouts of a [`Pool`].
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// Timeout for establishing a connection. Zones are several milliseconds apart and a lost SYN
    /// is retransmitted after a second, so the timeout tolerates one loss.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept.
    pub idle_timeout: Duration,
    /// Maximum size of a response body, in bytes.
    pub max_body: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(1_500),
            idle_timeout: Duration::from_secs(30),
            max_body: 32 << 20,
        }
    }
}

/// A pool of connections, shared by its clones.
#[derive(Debug, Clone)]
pub struct Pool {
    client: legacy::Client<HttpConnector, Full<Bytes>>,
    max_body: usize,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new(Config::default())
    }
}

impl Pool {
    /// An empty pool.
    #[must_use]
    pub fn new(config: Config) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(config.connect_timeout));
        connector.set_nodelay(true);
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(config.idle_timeout)
            .build(connector);
        Self {
            client,
            max_body: config.max_body,
        }
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, Fault> {
        match tokio::time::timeout(timeout, self.client.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(Fault::Unreachable {
                reason: error.to_compact_string(),
            }),
            Ok(Err(error)) => Err(interrupted(&error)),
            Err(_) => Err(Fault::Timeout),
        }
    }

    /// Reads a whole body, up to the maximum size.
    pub(crate) async fn read_body(
        &self,
        body: Incoming,
        timeout: Duration,
    ) -> Result<Bytes, Fault> {
        let collect = Limited::new(body, self.max_body).collect();
        match tokio::time::timeout(timeout, collect).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
                Err(Fault::Invalid {
                    reason: format_compact!("the body is over {} bytes", self.max_body),
                })
            }
            Ok(Err(error)) => Err(interrupted(&error)),
            Err(_) => Err(Fault::Timeout),
        }
    }
}

fn interrupted(error: &impl ToString) -> Fault {
    Fault::Interrupted {
        reason: CompactString::from(error.to_string()),
    }
}

/// The URI of `path` at an address.
pub(crate) fn uri(address: SocketAddr, path: &str) -> Result<Uri, Fault> {
    let uri = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build();
    // Nothing was sent, so the call can't have been started.
    uri.map_err(|error| Fault::Unreachable {
        reason: error.to_compact_string(),
    })
}

/// The fault for a status other than success. Only `run: not_run` from the endpoint with status 429
/// or 503 proves that it did not start the call.
pub(crate) fn status_fault(status: StatusCode, headers: &HeaderMap) -> Fault {
    if is_refused(status, headers) {
        let after = headers
            .get(header::RETRY_AFTER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map(Duration::from_secs);
        return Fault::Refused {
            status: status.as_u16(),
            after,
        };
    }
    Fault::Failed {
        status: status.as_u16(),
    }
}

/// Whether a response states that the call was not started.
pub(crate) fn is_refused(status: StatusCode, headers: &HeaderMap) -> bool {
    let status =
        status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE;
    let not_run = headers
        .get(header::RUN)
        .is_some_and(|value| value == "not_run");
    status && not_run
}

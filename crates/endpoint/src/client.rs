//! One pool of HTTP connections to endpoints, and what a failed exchange means.
//!
//! Every failure is told apart by one question: can a byte of the request have been sent? Only a
//! connection that was never made proves that it was not.

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

/// Sizes and times of a [`Pool`].
#[derive(Debug, Clone, Copy)]
pub struct Config {
    /// How long making a connection may take. Zones are several milliseconds apart and a lost SYN
    /// is sent again after a second, so that one loss is borne.
    pub connect: Duration,
    /// How long an idle connection is kept.
    pub idle: Duration,
    /// The largest answer taken, in bytes.
    pub body: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(1_500),
            idle: Duration::from_secs(30),
            body: 32 << 20,
        }
    }
}

/// A pool of connections, shared by its clones.
#[derive(Debug, Clone)]
pub struct Pool {
    client: legacy::Client<HttpConnector, Full<Bytes>>,
    body: usize,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new(Config::default())
    }
}

impl Pool {
    /// A pool without connections yet.
    #[must_use]
    pub fn new(config: Config) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(config.connect));
        connector.set_nodelay(true);
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(config.idle)
            .build(connector);
        Self {
            client,
            body: config.body,
        }
    }

    /// Sends a request and waits for the head of the answer.
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
            Ok(Err(error)) => Err(cut(&error)),
            Err(_) => Err(Fault::Timeout),
        }
    }

    /// Reads a whole body of bounded size.
    pub(crate) async fn read(&self, body: Incoming, timeout: Duration) -> Result<Bytes, Fault> {
        let whole = Limited::new(body, self.body).collect();
        match tokio::time::timeout(timeout, whole).await {
            Ok(Ok(collected)) => Ok(collected.to_bytes()),
            Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
                Err(Fault::Invalid {
                    reason: format_compact!("the body is over {} bytes", self.body),
                })
            }
            Ok(Err(error)) => Err(cut(&error)),
            Err(_) => Err(Fault::Timeout),
        }
    }
}

fn cut(error: &impl ToString) -> Fault {
    Fault::Interrupted {
        reason: CompactString::from(error.to_string()),
    }
}

/// The URI of `path` at an address.
pub(crate) fn uri(address: SocketAddr, path: &str) -> Result<Uri, Fault> {
    let built = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build();
    // Nothing was sent, so the call can't have run.
    built.map_err(|error| Fault::Unreachable {
        reason: error.to_compact_string(),
    })
}

/// The fault of a status that is no success. Only an endpoint's own `run: not_run` on 429 or 503
/// proves that it did not start the call.
pub(crate) fn fault(status: StatusCode, headers: &HeaderMap) -> Fault {
    if refused(status, headers) {
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

/// Whether an answer says that the call was not started.
pub(crate) fn refused(status: StatusCode, headers: &HeaderMap) -> bool {
    let status =
        status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE;
    let said = headers
        .get(header::RUN)
        .is_some_and(|value| value == "not_run");
    status && said
}

//! A pool of HTTP connections to endpoints, and the classification of failed exchanges.
//!
//! A failure is classified by whether a byte of the request may have been sent. Only a connection
//! that was never established proves that none was.

use std::error::Error;
use std::io;
use std::iter;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use compact_str::CompactString;
use compact_str::ToCompactString;
use compact_str::format_compact;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::Uri;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::ext;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use pimento_wire::header;
use tokio::sync::Semaphore;

use crate::fault::Fault;
use crate::framing;
use crate::limits::MAX_HEAD_BYTES;
use crate::limits::MAX_HEADERS;

/// Maximum number of interim responses before a response. An endpoint may send one each second while it works.
const MAX_INTERIM_RESPONSES: u32 = 64;

/// Size from which a body is large, in bytes. Only [`MAX_LARGE_BODIES`] are read at a time, and others wait:
/// many endpoints that send up to the maximum size together would exhaust a small VM's memory.
const LARGE_BODY_BYTES: usize = 256 << 10;

/// Maximum number of large bodies that are read at a time.
const MAX_LARGE_BODIES: usize = 2;

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
            max_body: 16 << 20,
        }
    }
}

/// A pool of connections, shared by its clones.
#[derive(Debug, Clone)]
pub struct Pool {
    client: legacy::Client<HttpConnector, Full<Bytes>>,
    max_body: usize,
    large_bodies: Arc<Semaphore>,
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
            .http1_max_buf_size(MAX_HEAD_BYTES)
            .http1_max_headers(MAX_HEADERS)
            .build(connector);
        Self {
            client,
            max_body: config.max_body,
            large_bodies: Arc::new(Semaphore::new(MAX_LARGE_BODIES)),
        }
    }

    /// Maximum size of a response body, in bytes.
    pub(crate) const fn max_body(&self) -> usize {
        self.max_body
    }

    /// Sends a request and waits for the head of the response.
    pub(crate) async fn send(
        &self,
        mut request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Response<Incoming>, Fault> {
        let method = request.method().clone();
        let interim = Arc::new(Semaphore::new(0));
        let counted = Arc::clone(&interim);
        ext::on_informational(&mut request, move |_| counted.add_permits(1));
        let too_many = interim.acquire_many(MAX_INTERIM_RESPONSES);
        let response = async {
            tokio::select! {
                biased;
                response = self.client.request(request) => response.map_err(|error| {
                    if error.is_connect() {
                        return Fault::Unreachable {
                            reason: error.to_compact_string(),
                        };
                    }
                    broken(&error)
                }),
                _ = too_many => Err(invalid("too many interim responses")),
            }
        };
        let response = tokio::time::timeout(timeout, response).await;
        let (mut head, body) = response.map_err(|_| Fault::Timeout)??.into_parts();
        framing::normalize(&method, &mut head, body.size_hint().exact())?;
        Ok(Response::from_parts(head, body))
    }

    /// Reads a whole body of at most `max` bytes.
    pub(crate) async fn read_body(
        &self,
        body: Incoming,
        max: usize,
        timeout: Duration,
    ) -> Result<Bytes, Fault> {
        match tokio::time::timeout(timeout, self.collect(body, max)).await {
            Ok(collected) => collected,
            Err(_) => Err(Fault::Timeout),
        }
    }

    async fn collect(&self, mut body: Incoming, max: usize) -> Result<Bytes, Fault> {
        let too_long = || invalid(format_compact!("the body is over {max} bytes"));
        if body.size_hint().lower() > max as u64 {
            return Err(too_long());
        }
        let mut bytes = BytesMut::new();
        let mut large = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| broken(&error))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let length = bytes.len() + data.len();
            if length > max {
                return Err(too_long());
            }
            if length > LARGE_BODY_BYTES && large.is_none() {
                // Fails only if the semaphore is closed, which it never is.
                large = self.large_bodies.acquire().await.ok();
            }
            bytes.extend_from_slice(&data);
        }
        Ok(bytes.freeze())
    }
}

/// The fault for a response that could not be received. One over a limit is the endpoint's doing; anything else
/// may be due to its end.
pub(crate) fn broken(error: &(dyn Error + 'static)) -> Fault {
    let first: Option<&(dyn Error + 'static)> = Some(error);
    let mut causes = iter::successors(first, |error| (*error).source());
    let over_limit = causes.any(|cause| {
        let head = cause.downcast_ref::<hyper::Error>();
        let framing = cause.downcast_ref::<io::Error>();
        head.is_some_and(hyper::Error::is_parse_too_large)
            || framing.is_some_and(|error| error.kind() == io::ErrorKind::InvalidData)
    });
    if over_limit {
        return invalid(error.to_compact_string());
    }
    Fault::Interrupted {
        reason: error.to_compact_string(),
    }
}

pub(crate) fn invalid(reason: impl Into<CompactString>) -> Fault {
    Fault::Invalid {
        reason: reason.into(),
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
        let retry_after = headers
            .get(header::RETRY_AFTER)
            .and_then(|value| value.to_str().ok()?.parse().ok())
            .map(Duration::from_secs);
        return Fault::Refused {
            status: status.as_u16(),
            retry_after,
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

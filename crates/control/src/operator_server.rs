//! HTTP server for operators: `/live`, `/ready`, `/metrics`, `/state`.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use pimento_coordination::configuration::Source;
use pimento_units::Offset;
use pimento_units::id;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::leases::Leases;
use crate::metrics::Metrics;

/// How long a client may take to send a request's headers. A client that opens connections and
/// sends nothing would otherwise hold them forever.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after a failed accept. The loop would otherwise spin when file descriptors run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// State behind the responses.
#[derive(Debug)]
pub struct Context {
    /// This node.
    pub node: id::Node,
    /// Its zone.
    pub zone: id::Zone,
    /// The configuration.
    pub source: Source,
    /// The leases of this node.
    pub leases: Leases,
    /// The metrics.
    pub metrics: Metrics,
    /// Cancelled when the shutdown begins.
    pub shutdown: CancellationToken,
}

/// Body of `/state`.
#[derive(Debug, Serialize)]
struct State<'a> {
    node: &'a id::Node,
    zone: &'a id::Zone,
    ready: bool,
    offset: Offset,
    age_ms: u64,
    leases: Vec<HeldLease>,
}

#[derive(Debug, Serialize)]
struct HeldLease {
    resource: id::Resource,
    fencing: Offset,
}

/// Serves until `token` is cancelled.
pub async fn serve(listener: TcpListener, context: Arc<Context>, token: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = serve_connection(stream, Arc::clone(&context));
                let token = token.clone();
                tokio::spawn(async move { token.run_until_cancelled(connection).await });
            }
            Err(error) => {
                log::warn!("operators: Cannot accept a connection: {error}.");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_connection(stream: TcpStream, context: Arc<Context>) {
    let service = service_fn(move |request| {
        let context = Arc::clone(&context);
        async move { Ok::<_, Infallible>(context.respond(&request)) }
    });
    let result = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = result {
        log::debug!("operators: The connection failed: {error}.");
    }
}

impl Context {
    fn is_ready(&self) -> bool {
        self.source.ready() && !self.shutdown.is_cancelled()
    }

    fn respond(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        match request.uri().path() {
            "/live" => text(StatusCode::OK, "live\n"),
            "/ready" if self.is_ready() => text(StatusCode::OK, "ready\n"),
            "/ready" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => self.metrics(),
            "/state" => self.state(),
            _ => text(StatusCode::NOT_FOUND, "not found\n"),
        }
    }

    fn metrics(&self) -> Response<Full<Bytes>> {
        self.metrics.set_age(self.source.age());
        match self.metrics.encode() {
            Ok(body) => response(StatusCode::OK, "text/plain; version=0.0.4", body),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    fn state(&self) -> Response<Full<Bytes>> {
        let held =
            |(resource, fencing): (id::Resource, pimento_coordination::lease::Held)| HeldLease {
                resource,
                fencing: fencing.number,
            };
        let age = self.source.age().as_millis();
        let state = State {
            node: &self.node,
            zone: &self.zone,
            ready: self.is_ready(),
            offset: self.source.current().offset,
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            leases: self.leases.all_held().into_iter().map(held).collect(),
        };
        match serde_json::to_vec(&state) {
            Ok(body) => response(StatusCode::OK, "application/json", body),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    response(status, "text/plain", body)
}

fn response(
    status: StatusCode,
    content: &'static str,
    body: impl Into<Bytes>,
) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let content = hyper::header::HeaderValue::from_static(content);
    response.headers_mut().insert(CONTENT_TYPE, content);
    response
}

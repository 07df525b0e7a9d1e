//! The operators' address: `/live`, `/ready`, `/metrics`, `/state`.

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

/// How long a caller may take to send a request's head. A caller that opens connections and stays
/// silent would otherwise hold them for ever.
const HEAD: Duration = Duration::from_secs(5);

/// Pause after a failed accept. Running out of file descriptors would otherwise spin the loop.
const PAUSE: Duration = Duration::from_millis(50);

/// What is shown.
#[derive(Debug)]
pub struct View {
    /// This node.
    pub node: id::Node,
    /// Its zone.
    pub zone: id::Zone,
    /// The configuration.
    pub source: Source,
    /// Leases.
    pub leases: Leases,
    /// Metrics.
    pub metrics: Metrics,
    /// Cancelled once the program is asked to end.
    pub ending: CancellationToken,
}

/// Body of `/state`.
#[derive(Debug, Serialize)]
struct State<'a> {
    node: &'a id::Node,
    zone: &'a id::Zone,
    ready: bool,
    offset: Offset,
    age_ms: u64,
    leases: Vec<Held>,
}

#[derive(Debug, Serialize)]
struct Held {
    resource: id::Resource,
    fencing: Offset,
}

/// Serves until `token`.
pub async fn serve(listener: TcpListener, view: Arc<View>, token: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = token.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = connection(stream, Arc::clone(&view));
                let token = token.clone();
                tokio::spawn(async move { token.run_until_cancelled(connection).await });
            }
            Err(error) => {
                log::warn!("operators: accept failed: {error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, view: Arc<View>) {
    let service = service_fn(move |request| {
        let view = Arc::clone(&view);
        async move { Ok::<_, Infallible>(view.answer(&request)) }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("operators: connection ended: {error}");
    }
}

impl View {
    fn ready(&self) -> bool {
        self.source.ready() && !self.ending.is_cancelled()
    }

    fn answer(&self, request: &Request<Incoming>) -> Response<Full<Bytes>> {
        match request.uri().path() {
            "/live" => text(StatusCode::OK, "live\n"),
            "/ready" if self.ready() => text(StatusCode::OK, "ready\n"),
            "/ready" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => self.measures(),
            "/state" => self.state(),
            _ => text(StatusCode::NOT_FOUND, "not found\n"),
        }
    }

    fn measures(&self) -> Response<Full<Bytes>> {
        self.metrics.age(self.source.age());
        match self.metrics.text() {
            Ok(body) => answer(StatusCode::OK, "text/plain; version=0.0.4", body),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    fn state(&self) -> Response<Full<Bytes>> {
        let held =
            |(resource, fencing): (id::Resource, pimento_coordination::lease::Fencing)| Held {
                resource,
                fencing: fencing.number,
            };
        let age = self.source.age().as_millis();
        let state = State {
            node: &self.node,
            zone: &self.zone,
            ready: self.ready(),
            offset: self.source.current().offset,
            age_ms: u64::try_from(age).unwrap_or(u64::MAX),
            leases: self.leases.holding().into_iter().map(held).collect(),
        };
        match serde_json::to_vec(&state) {
            Ok(body) => answer(StatusCode::OK, "application/json", body),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }
}

fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    answer(status, "text/plain", body)
}

fn answer(
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

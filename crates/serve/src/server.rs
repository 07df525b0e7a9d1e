//! HTTP/1 servers, whose connections are shut down without cutting off requests.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::body::ReplyBody;

/// Wait after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum time for receiving the head of a request, including idle time on a persistent
    /// connection.
    pub head_timeout: Duration,
    /// Maximum number of bytes of a head that are read before it is refused.
    pub head_bytes: usize,
    /// Maximum number of open connections. Further ones are closed at once, before anything is read, so
    /// that callers may turn to another VM whatever they ask for.
    pub connections: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(30),
            head_bytes: 400 << 10,
            connections: usize::MAX,
        }
    }
}

/// Answers requests.
pub trait Serve: Clone + Send + Sync + 'static {
    /// Answers one request. The future is dropped when the caller closes its connection.
    fn serve(&self, request: Request<Incoming>)
    -> impl Future<Output = Response<ReplyBody>> + Send;

    /// The limits, read for each new connection.
    fn limits(&self) -> Limits {
        Limits::default()
    }
}

/// Signals for the steps of a server's shutdown.
#[derive(Debug, Clone, Default)]
pub struct Stop {
    /// Responses ask callers to close their connections.
    pub leaving: CancellationToken,
    /// No further connections are accepted, and each connection is closed once it is idle.
    pub closing: CancellationToken,
    /// All remaining connections are closed at once. Takes effect only after `closing`.
    pub abort: CancellationToken,
}

/// Serves until `stop` is closing; returns once all connections are closed.
pub async fn run(listener: TcpListener, service: impl Serve, stop: Stop) {
    let connections = TaskTracker::new();
    let mut full = false;
    loop {
        let accepted = tokio::select! {
            () = stop.closing.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let limits = service.limits();
                let open = connections.len();
                let fits = open < limits.connections;
                if fits {
                    connections.spawn(connection(stream, service.clone(), limits, stop.clone()));
                } else if !full {
                    log::warn!(open; "server: Too many connections, closing new ones.");
                }
                full = !fits;
            }
            Err(error) => {
                log::warn!("server: Connection not accepted: {error}.");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn connection(stream: TcpStream, service: impl Serve, limits: Limits, stop: Stop) {
    // Each piece of a stream is sent immediately.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("server: Setting TCP_NODELAY failed: {error}.");
    }
    let leaving = stop.leaving.clone();
    let answer = service_fn(move |request| {
        let service = service.clone();
        let leaving = leaving.clone();
        async move {
            let mut response = service.serve(request).await;
            if leaving.is_cancelled() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes)
        .serve_connection(TokioIo::new(stream), answer);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stop.closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                result = connection => result,
                () = stop.abort.cancelled() => Ok(()),
            }
        }
    };
    if let Err(error) = result {
        log::debug!("server: Connection ended: {error}.");
    }
}

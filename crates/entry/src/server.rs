//! Listeners: connections over HTTP/1, closed in an order that cuts no request.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
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
use pimento_wire::border::Run;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::body::Reply;
use crate::chain;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;

/// How long a caller may take to send the head of a request on a connection.
const HEAD: Duration = Duration::from_secs(30);

/// Wait after a failed accept, which mostly means that file descriptors have run out.
const PAUSE: Duration = Duration::from_millis(50);

/// Answers requests.
pub trait Serve: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn serve(&self, request: Request<Incoming>) -> impl Future<Output = Response<Reply>> + Send;
}

/// When a server stops.
#[derive(Debug, Clone, Default)]
pub struct Stop {
    /// Responses ask callers to close their connection.
    pub leaving: CancellationToken,
    /// No further connection is accepted, and each is closed once it is idle.
    pub closing: CancellationToken,
    /// All connections are cut.
    pub cut: CancellationToken,
}

/// Serves until told to close; returns once all connections are closed.
pub async fn run(listener: TcpListener, service: impl Serve, stop: Stop) {
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.closing.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = connection(stream, service.clone(), stop.clone());
                connections.spawn(connection);
            }
            Err(error) => {
                log::warn!("server: Connection not accepted: {error}.");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn connection(stream: TcpStream, service: impl Serve, stop: Stop) {
    // Each piece of a stream goes out at once.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("server: {error}.");
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
        .header_read_timeout(HEAD)
        .serve_connection(TokioIo::new(stream), answer);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stop.closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                result = connection => result,
                () = stop.cut.cancelled() => Ok(()),
            }
        }
    };
    if let Err(error) = result {
        log::debug!("server: Connection ended: {error}.");
    }
}

/// The callers' side.
#[derive(Debug, Clone)]
pub struct Callers(pub Arc<Node>);

impl Serve for Callers {
    /// Runs the chain as a task of its own. The server drops a response's future when its caller
    /// goes away, and a call that may not be repeated must not be left half way.
    async fn serve(&self, request: Request<Incoming>) -> Response<Reply> {
        let gone = CancellationToken::new();
        let watch = gone.clone().drop_guard();
        let node = Arc::clone(&self.0);
        let task = self
            .0
            .tasks
            .spawn(async move { chain::serve(&node, request, gone).await });
        let response = task.await;
        watch.disarm();
        response.unwrap_or_else(|error| {
            log::error!("server: A request's task broke off: {error}.");
            let message = "the request broke off";
            Refusal::new(Code::Internal, message, Run::Unknown).response()
        })
    }
}

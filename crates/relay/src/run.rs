//! The server's life cycle: binds its listeners, serves, and shuts down gracefully.
//!
//! On shutdown the VM immediately reports that it is not ready and asks callers to close their
//! connections. It continues to accept connections until the load balancer must have noticed. Then it
//! accepts no more, closes idle connections, completes the requests in flight and exits. Shortly before the
//! end of its grace period it gives a final response to each request that has none yet, and breaks off the
//! streams that are still running.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use pimento_policy::link;
use pimento_serve::ReplyBody;
use pimento_serve::Serve;
use pimento_serve::Stop;
use pimento_units::Moment;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio_util::sync::CancellationToken;

use crate::codec::Codec;
use crate::config::Config;
use crate::handler::RequestHandler;
use crate::headers::HeaderCodec;
use crate::links::gate::RelayGate;
use crate::metrics::MetricsService;
use crate::node::Node;
use crate::topic::Log;

/// Time for which a VM that shuts down still accepts connections. The load balancer checks readiness once
/// a second and removes a VM after two negative responses.
const ACCEPT_PERIOD: Duration = Duration::from_millis(2_600);

/// Time reserved at the end of the grace period for final responses and for closing the remaining
/// connections.
const CLOSE_RESERVE: Duration = Duration::from_millis(400);

/// Time that final responses have to reach their callers.
const FINISH_PERIOD: Duration = Duration::from_millis(200);

/// Time that aborted requests have to end.
const ABORT_PERIOD: Duration = Duration::from_millis(100);

/// Bytes that the kernel buffers for a caller, which it doubles for its own use. By itself it would go up to
/// megabytes for each caller that doesn't read.
const SEND_BUFFER_BYTES: u32 = 64 << 10;

/// Connections that the kernel holds until they are accepted, at most.
const BACKLOG: u32 = 1_024;

/// The server can't listen on an address.
#[derive(Debug, Snafu)]
#[snafu(display("can't listen on {address}: {source}"))]
pub struct Error {
    address: SocketAddr,
    source: io::Error,
}

/// A running entry VM.
#[derive(Debug)]
pub struct Running<P, L> {
    node: Node<P, L>,
    stop: Stop,
    serving: tokio::task::JoinHandle<()>,
    background: CancellationToken,
}

impl<P: HeaderCodec + Codec, L: Log> Running<P, L> {
    /// Binds all addresses and starts to serve.
    ///
    /// # Errors
    ///
    /// [`Error`] if an address can't be bound.
    #[expect(
        clippy::unused_async,
        reason = "it starts tasks, which needs a runtime"
    )]
    pub async fn start(config: Config, platform: P, log: L) -> Result<Self, Error> {
        let callers = bind(config.listen, link::backlog(config.link, BACKLOG))?;
        let ready = bind(config.ready_listen, BACKLOG)?;
        let metrics = bind(config.metrics_listen, BACKLOG)?;
        log::info!(
            node = config.node.as_str(),
            zone = config.zone.as_str(),
            listen:% = config.listen,
            metrics:% = config.metrics_listen;
            "server: Starting."
        );
        let background = CancellationToken::new();
        let node = Node::start(config, platform, log, &background);
        let stop = Stop {
            leaving: node.lifetime.leaving.clone(),
            abort: node.lifetime.abort.clone(),
            ..Stop::default()
        };
        tokio::spawn(pimento_serve::run(
            ready,
            Ready(node.clone()),
            Stop::default(),
        ));
        tokio::spawn(pimento_serve::run(
            metrics,
            MetricsService(node.clone()),
            Stop::default(),
        ));
        tokio::spawn(serve_tunnels(node.clone()));
        let service = RequestHandler(node.clone());
        let serving = tokio::spawn(pimento_serve::run(callers, service, stop.clone()));
        Ok(Self {
            node,
            stop,
            serving,
            background,
        })
    }

    /// Shuts down gracefully. Returns false if requests were ended because the grace period was over.
    pub async fn shut_down(self) -> bool {
        let begun = self.node.now();
        let grace = self.node.config.bounds.grace;
        log::info!("server: Shutting down.");
        let end = begun + grace.saturating_sub(CLOSE_RESERVE);
        self.node.lifetime.leave(end);
        tokio::time::sleep(ACCEPT_PERIOD.min(grace / 2)).await;
        self.stop.closing.cancel();
        self.node.response_tasks.close();
        let tasks = self.node.response_tasks.clone();
        let serving = self.serving;
        let mut done = pin!(async {
            if let Err(error) = serving.await {
                log::error!("server: Serving ended early: {error}.");
            }
            tasks.wait().await;
        });
        let left = end.since(self.node.now());
        let complete = tokio::time::timeout(left, done.as_mut()).await.is_ok();
        if !complete {
            log::error!("server: Grace period is over, ending requests in flight.");
            end_requests(&self.node, end, done).await;
        }
        self.background.cancel();
        log::info!("server: Stopped.");
        complete
    }
}

/// Gives final responses, which are due at `due`, and aborts what is left. `done` ends with the last request.
/// The steps have fixed times, so that one that comes late on a busy VM doesn't delay the next.
async fn end_requests<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    due: Moment,
    mut done: Pin<&mut impl Future<Output = ()>>,
) {
    let abort_at = node.clock.instant(due + FINISH_PERIOD);
    let exit_at = abort_at + ABORT_PERIOD;
    node.lifetime.finish.cancel();
    if tokio::time::timeout_at(abort_at, done.as_mut())
        .await
        .is_ok()
    {
        return;
    }
    log::error!("server: Aborting streams, long responses and tunnels in flight.");
    node.lifetime.abort.cancel();
    // Each aborted request logs how far it had come.
    if tokio::time::timeout_at(exit_at, done).await.is_err() {
        log::error!("server: Some requests or tunnels did not end when they were aborted.");
    }
}

/// Connects other VMs to endpoints. If the address can't be bound, they turn to others.
async fn serve_tunnels<P: HeaderCodec + Codec, L: Log>(node: Node<P, L>) {
    let address = node.config.tunnel_listen;
    let listener = match TcpListener::bind(address).await {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("server: Can't listen at {address} for tunnels: {error}.");
            return;
        }
    };
    let tunnels = node.response_tasks.clone();
    let gate = RelayGate::new(Arc::clone(&node.links), node);
    pimento_tunnel::Server::new(gate, tunnels)
        .run(listener)
        .await;
}

fn bind(address: SocketAddr, backlog: u32) -> Result<TcpListener, Error> {
    listen(address, backlog).context(Snafu { address })
}

/// Listens with a limit on what the kernel buffers for each caller, which connections inherit.
fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Serves the load balancer's readiness check.
#[derive(Debug)]
struct Ready<P, L>(Node<P, L>);

impl<P: Clone, L: Clone> Clone for Ready<P, L> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<P: HeaderCodec + Codec, L: Log> Serve for Ready<P, L> {
    async fn serve(&self, _request: Request<Incoming>) -> Response<ReplyBody> {
        let ready = self.0.ready();
        let mut response = Response::new(ReplyBody::whole(if ready {
            "ready\n"
        } else {
            "not ready\n"
        }));
        if !ready {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }
}

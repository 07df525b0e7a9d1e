//! The running program: binds its listeners, serves, and ends without cutting a request.
//!
//! Told to stop, the VM says at once that it is not ready and asks callers to close their
//! connections, and goes on accepting until its balancer must have noticed. Then it accepts no
//! connection, closes idle ones, finishes what is in flight and ends.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use pimento_serve::Reply;
use pimento_serve::Serve;
use pimento_serve::Stop;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::codec::Codec;
use crate::config::Config;
use crate::handler::RequestHandler;
use crate::headers::HeaderCodec;
use crate::metrics::Page;
use crate::node::Node;
use crate::topic::Log;

/// How long a leaving VM goes on accepting: the balancer asks once a second and takes a VM out
/// after two answers that it is not ready.
const ACCEPTING: Duration = Duration::from_millis(2_600);

/// Time kept at the end of the grace for closing what is left.
const LAST: Duration = Duration::from_millis(400);

/// An address can't be listened on.
#[derive(Debug, Snafu)]
#[snafu(display("can't listen on {address}: {source}"))]
pub struct Error {
    address: SocketAddr,
    source: std::io::Error,
}

/// An entry VM that serves.
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
    /// [`Error`] if an address can't be had.
    pub async fn start(config: Config, platform: P, log: L) -> Result<Self, Error> {
        let callers = bind(config.listen).await?;
        let ready = bind(config.ready_listen).await?;
        let metrics = bind(config.metrics_listen).await?;
        log::info!(
            node = config.node.as_str(),
            zone = config.zone.as_str(),
            listen:% = config.listen,
            metrics:% = config.metrics_listen;
            "server: Starts."
        );
        let background = CancellationToken::new();
        let node = Node::start(config, platform, log, &background);
        let stop = Stop {
            leaving: node.leaving.clone(),
            ..Stop::default()
        };
        tokio::spawn(pimento_serve::run(
            ready,
            Ready(node.clone()),
            Stop::default(),
        ));
        tokio::spawn(pimento_serve::run(
            metrics,
            Page(node.clone()),
            Stop::default(),
        ));
        let service = RequestHandler(node.clone());
        let serving = tokio::spawn(pimento_serve::run(callers, service, stop.clone()));
        Ok(Self {
            node,
            stop,
            serving,
            background,
        })
    }

    /// Ends in order; false if requests were cut.
    pub async fn shut_down(self) -> bool {
        let begun = self.node.now();
        let grace = self.node.config.bounds.grace;
        log::info!("server: Leaving.");
        self.node.leaving.cancel();
        tokio::time::sleep(ACCEPTING.min(grace / 2)).await;
        self.stop.closing.cancel();
        self.node.tasks.close();
        let tasks = self.node.tasks.clone();
        let serving = self.serving;
        let done = async {
            let _ = serving.await;
            tasks.wait().await;
        };
        let spent = self.node.now().since(begun);
        let left = grace.saturating_sub(spent + LAST);
        let whole = tokio::time::timeout(left, done).await.is_ok();
        if !whole {
            log::error!("server: The grace is over, requests in flight are cut.");
            self.stop.cut.cancel();
        }
        self.background.cancel();
        log::info!("server: Ended.");
        whole
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address).await;
    listener.context(Snafu { address })
}

/// Tells the balancer whether the VM takes requests.
#[derive(Debug)]
struct Ready<P, L>(Node<P, L>);

impl<P: Clone, L: Clone> Clone for Ready<P, L> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<P: HeaderCodec + Codec, L: Log> Serve for Ready<P, L> {
    async fn serve(&self, _request: Request<Incoming>) -> Response<Reply> {
        let ready = self.0.ready();
        let mut response =
            Response::new(Reply::whole(if ready { "ready\n" } else { "not ready\n" }));
        if !ready {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        }
        response
    }
}

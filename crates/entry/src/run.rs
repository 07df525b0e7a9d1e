//! The running program: binds its listeners, serves, and ends without cutting a request.
//!
//! On the first signal `/ready` fails at once, and callers go on being accepted for the grace, as
//! the balancer lags. Then no connection is accepted, idle ones are closed, and every request in
//! flight is finished, streams included; bills, outcomes and grants go to the log. A second signal
//! changes nothing. The last bound cuts what is still in flight, and says so.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pimento_coordination::mesh;
use pimento_serve::Stop;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::config::Config;
use crate::node::Node;
use crate::operators::Operators;
use crate::server::Callers;

/// Time for the last records to reach the log. It may be out for long just then, and a VM that goes
/// must not wait for it: a peer holds what does not reach it.
const FLUSH: Duration = Duration::from_secs(30);

/// Why the program could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}: {source}"))]
    Bind {
        /// Where.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The peers' side can't be had.
    #[snafu(display("the peers' side can't be had: {source}"))]
    Mesh {
        /// Why.
        source: mesh::Error,
    },
}

/// An entry VM that serves.
#[derive(Debug)]
pub struct Running {
    /// What the filters share.
    pub node: Arc<Node>,
    /// Where callers reach it.
    pub callers: SocketAddr,
    /// Where operators reach it.
    pub operators: SocketAddr,
    stop: Stop,
    operators_stop: Stop,
    serving: tokio::task::JoinHandle<()>,
    background: CancellationToken,
}

impl Running {
    /// Binds all addresses and starts to serve.
    ///
    /// # Errors
    ///
    /// [`Error`] if an address can't be had.
    pub async fn start(config: Config) -> Result<Self, Error> {
        let (callers, callers_at) = bind(config.listen).await?;
        let (operators, operators_at) = bind(config.operators_listen).await?;
        let background = CancellationToken::new();
        let node = Node::start(config, &background).await.context(MeshSnafu)?;
        log::info!("server: Callers at {callers_at}, operators at {operators_at}.");
        let stop = Stop {
            leaving: node.leaving.clone(),
            ..Stop::default()
        };
        let operators_stop = Stop::default();
        let page = Operators(Arc::clone(&node));
        tokio::spawn(pimento_serve::run(operators, page, operators_stop.clone()));
        let service = Callers(Arc::clone(&node));
        let serving = tokio::spawn(pimento_serve::run(callers, service, stop.clone()));
        Ok(Self {
            node,
            callers: callers_at,
            operators: operators_at,
            stop,
            operators_stop,
            serving,
            background,
        })
    }

    /// Ends in order; returns once all is done. False if requests were cut or records did not
    /// reach the log.
    pub async fn end(mut self) -> bool {
        let grace = self.node.config.grace;
        let bound = Instant::now() + grace + self.node.config.last_bound;
        log::info!("server: Leaving; accepting for another {grace:?}.");
        self.node.leave();
        tokio::time::sleep(grace).await;
        let finished = self.finish(bound).await;
        let flushed = self.flush(Instant::now() + FLUSH).await;
        self.operators_stop.closing.cancel();
        self.operators_stop.abort.cancel();
        self.background.cancel();
        log::info!("server: Ended.");
        finished && flushed
    }

    /// Finishes all requests in flight, until `bound`.
    async fn finish(&mut self, bound: Instant) -> bool {
        self.stop.closing.cancel();
        self.node.tasks.close();
        let tasks = self.node.tasks.clone();
        let done = async {
            let _ = (&mut self.serving).await;
            tasks.wait().await;
        };
        if tokio::time::timeout_at(bound, done).await.is_ok() {
            return true;
        }
        log::error!(
            "server: The last bound has passed, cutting {} tasks.",
            self.node.tasks.len()
        );
        self.stop.abort.cancel();
        false
    }

    /// Brings bills, outcomes and unspent grants to the log.
    async fn flush(&self, deadline: Instant) -> bool {
        let node = &self.node;
        let outcomes = tokio::time::timeout_at(deadline, node.claimer.flush()).await;
        if outcomes.is_err() {
            log::warn!("claims: Not all outcomes reached the log.");
        }
        let left = node.outbox.flush(deadline).await;
        if left > 0 {
            log::warn!("bills: {left} did not reach the log; their copies will.");
        }
        // Unspent grants come back by themselves at the period's end, so that a log that is out is
        // not waited for on their account.
        let soon = deadline.min(Instant::now() + FLUSH);
        node.wallet.close(soon).await;
        outcomes.is_ok() && left == 0
    }
}

async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), Error> {
    let listener = TcpListener::bind(address)
        .await
        .context(BindSnafu { address })?;
    let bound = listener.local_addr().context(BindSnafu { address })?;
    Ok((listener, bound))
}

//! The running program: binds its listeners, serves, and shuts down without aborting requests.
//!
//! On the first signal `/ready` fails immediately. Connections are still accepted for the grace
//! period, as the load balancer lags. Then no connection is accepted, idle ones are closed, and
//! every request in flight is finished, streams included. Bills, outcomes and grants are flushed to
//! the log. A second signal has no effect. Shortly before the last bound, requests of which the caller has
//! nothing yet get a final answer. Streams that are still under way at the last bound are aborted. Log
//! lines and metrics tell both from requests whose callers left.

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
use crate::operators::OperatorService;
use crate::server::CallerService;

/// Timeout for flushing the last records to the log. A VM that shuts down must not wait for a long
/// log outage: a peer holds copies of the bills that do not reach the log.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(30);

/// Time before the last bound in which requests that have no answer yet get their final one.
const ANSWER_RESERVE: Duration = Duration::from_millis(500);

/// Time after the abort in which the streams that were cut log their end and their engines are told to stop.
const ABORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why the program could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// Can't listen on an address.
    #[snafu(display("can't listen on {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// Can't start the connections to peers.
    #[snafu(display("can't start the peer mesh: {source}"))]
    Mesh {
        /// Why.
        source: mesh::Error,
    },
}

/// A serving entry VM.
#[derive(Debug)]
pub struct Running {
    /// The state that the filters share.
    pub node: Arc<Node>,
    /// Bound address for callers.
    pub caller_address: SocketAddr,
    /// Bound address for operators.
    pub operator_address: SocketAddr,
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
    /// [`Error`] if an address can't be bound.
    pub async fn start(config: Config) -> Result<Self, Error> {
        let (callers, caller_address) = bind(config.listen).await?;
        let (operators, operator_address) = bind(config.operators_listen).await?;
        let background = CancellationToken::new();
        let node = Node::start(config, &background).await.context(MeshSnafu)?;
        log::info!(
            "server: Listening for callers on {caller_address}, for operators on {operator_address}."
        );
        let stop = Stop {
            leaving: node.leaving.clone(),
            ..Stop::default()
        };
        let operators_stop = Stop::default();
        let service = OperatorService(Arc::clone(&node));
        tokio::spawn(pimento_serve::run(
            operators,
            service,
            operators_stop.clone(),
        ));
        let service = CallerService(Arc::clone(&node));
        let serving = tokio::spawn(pimento_serve::run(callers, service, stop.clone()));
        Ok(Self {
            node,
            caller_address,
            operator_address,
            stop,
            operators_stop,
            serving,
            background,
        })
    }

    /// Shuts down and returns when that is done. False if requests were not finished, or if bills or
    /// outcomes did not reach the log.
    pub async fn shut_down(mut self) -> bool {
        let grace = self.node.config.grace;
        let last_bound = self.node.config.last_bound;
        let bound = Instant::now() + grace + last_bound;
        let end = bound - ANSWER_RESERVE.min(last_bound / 2);
        log::info!("server: Shutting down; still accepting connections for {grace:?}.");
        self.node.leave(self.node.clock.moment(end));
        tokio::time::sleep(grace).await;
        let drained = self.drain(end, bound).await;
        let flushed = self.flush(Instant::now() + FLUSH_TIMEOUT).await;
        self.operators_stop.closing.cancel();
        self.operators_stop.abort.cancel();
        self.background.cancel();
        log::info!("server: Shut down.");
        drained && flushed
    }

    /// Waits until all requests in flight are finished, gives those without an answer their final one at
    /// `end`, and aborts the rest at `bound`. False if not all were finished.
    async fn drain(&mut self, end: Instant, bound: Instant) -> bool {
        self.stop.closing.cancel();
        self.node.tasks.close();
        let tasks = self.node.tasks.clone();
        let end_of_vm = self.node.end.clone();
        let done = async {
            let _ = (&mut self.serving).await;
            end_of_vm.close();
            tasks.wait().await;
        };
        tokio::pin!(done);
        if tokio::time::timeout_at(end, &mut done).await.is_ok() {
            return true;
        }
        log::error!(
            "server: The last bound is near; refusing what has no answer of {} tasks.",
            self.node.tasks.len()
        );
        self.node.end.reach();
        if tokio::time::timeout_at(bound, &mut done).await.is_ok() {
            return false;
        }
        log::error!(
            "server: The last bound has passed; aborting {} tasks, streams under way among them.",
            self.node.tasks.len()
        );
        self.node.end.abort();
        self.stop.abort.cancel();
        if tokio::time::timeout(ABORT_TIMEOUT, done).await.is_err() {
            let left = self.node.tasks.len();
            log::error!("server: {left} aborted tasks have not ended.");
        }
        false
    }

    /// Writes bills, outcomes and unspent grants to the log. False if bills or outcomes did not
    /// reach it.
    async fn flush(&self, deadline: Instant) -> bool {
        let node = &self.node;
        let outcomes = tokio::time::timeout_at(deadline, node.claimer.flush()).await;
        if outcomes.is_err() {
            log::warn!("claims: Some outcomes did not reach the log.");
        }
        let unflushed = node.outbox.flush(deadline).await;
        if unflushed > 0 {
            log::warn!(
                "bills: {unflushed} bills did not reach the log; peers that hold copies append them."
            );
        }
        // Unspent grants that are not returned now can't be spent until the period ends.
        let wallet_deadline = deadline.min(Instant::now() + FLUSH_TIMEOUT);
        node.wallet.close(wallet_deadline).await;
        outcomes.is_ok() && unflushed == 0
    }
}

async fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), Error> {
    let listener = TcpListener::bind(address)
        .await
        .context(BindSnafu { address })?;
    let bound = listener.local_addr().context(BindSnafu { address })?;
    Ok((listener, bound))
}

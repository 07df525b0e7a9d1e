//! The end of this VM, as the requests see it that it may not live to finish.

use std::future::Future;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use pimento_units::Moment;
use tokio_util::sync::CancellationToken;

/// The end of this VM. Clones share it. A VM that isn't told to stop has none.
#[derive(Debug, Clone, Default)]
pub struct End {
    at: Arc<OnceLock<Moment>>,
    reached: CancellationToken,
    aborted: CancellationToken,
    closed: CancellationToken,
}

impl End {
    /// Sets when the requests that have no answer get their final one. The first call counts.
    pub fn set(&self, at: Moment) {
        self.at.get_or_init(|| at);
    }

    /// The earlier of `deadline` and the end.
    #[must_use]
    pub fn bound(&self, deadline: Moment) -> Moment {
        self.at.get().map_or(deadline, |at| deadline.min(*at))
    }

    /// Gives all requests that have no answer their final one.
    pub fn reach(&self) {
        self.reached.cancel();
    }

    /// Waits until the end.
    pub async fn reached(&self) {
        self.reached.cancelled().await;
    }

    /// Whether requests without an answer have got their final one.
    #[must_use]
    pub fn is_reached(&self) -> bool {
        self.reached.is_cancelled()
    }

    /// Runs `work` until the end; `None` if the end comes first.
    pub async fn run<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        self.reached.run_until_cancelled(work).await
    }

    /// Waits until a request must give up: at the end or, if its answer has `started`, when connections are
    /// closed. If a stream gave up before that, its caller could get a clean end.
    pub async fn passed(&self, started: Arc<AtomicBool>) {
        self.reached.cancelled().await;
        if started.load(Ordering::Relaxed) {
            self.closed.cancelled().await;
        }
    }

    /// Records that this VM closes its callers' connections. To be called before it does so.
    pub fn abort(&self) {
        self.aborted.cancel();
    }

    /// Gives up the rest after all connections were closed.
    pub fn close(&self) {
        self.closed.cancel();
    }

    /// Whether this VM closes its callers' connections.
    #[must_use]
    pub fn is_aborted(&self) -> bool {
        self.aborted.is_cancelled()
    }
}

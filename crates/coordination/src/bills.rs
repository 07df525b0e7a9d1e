//! Stores each bill at a second entry VM, or in the log, before the caller gets the last byte.
//!
//! The outbox sends a copy of each bill to a peer, preferably of its own zone, and appends it to the log in
//! batches. A peer that holds a copy for too long appends it too, so that a bill is not lost with
//! the VM that wrote it. The fold counts one bill for each request, so a bill may be appended
//! twice. If neither a peer nor the log can be reached, [`BillPermit::store`] fails.

mod copies;
mod peers;
mod pending;
mod worker;

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use pimento_ledger::Bill;
use pimento_units::id;
use snafu::Snafu;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use self::copies::Copies;
pub(crate) use self::peers::find_peer;
pub use self::peers::ring;
use self::pending::Pending;
use self::worker::Job;
use self::worker::UnstoredBill;
use self::worker::Worker;
use crate::appender::Appender;

/// Settings of an [`Outbox`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// The most bills that are not yet on the log, those of requests in progress included. At the
    /// bound, requests are refused before they are sent: a long outage of the log must not exhaust
    /// memory.
    pub capacity: usize,
    /// The most bill copies held for peers.
    pub copies: usize,
    /// How long the first bill of a batch to a peer waits for others.
    pub batch_delay: Duration,
    /// Interval between appends to the log.
    pub interval: Duration,
    /// Timeout of one append to the log.
    pub append_timeout: Duration,
    /// The age at which the holder of a copy appends it: its writer is gone, or cannot reach the
    /// log.
    pub max_copy_age: Duration,
}

impl Default for Config {
    /// A bill takes about 600 bytes as text, so that 16,384 bills and as many copies stay under
    /// 20 MB. They cover a log outage of sixteen minutes at the target rate of 17 requests a second
    /// for each node.
    fn default() -> Self {
        Self {
            capacity: 16_384,
            copies: 16_384,
            batch_delay: Duration::from_millis(2),
            interval: Duration::from_secs(1),
            append_timeout: Duration::from_secs(5),
            max_copy_age: Duration::from_secs(30),
        }
    }
}

/// Entry VMs that can hold bill copies.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Live peers, those of the local zone first.
    fn peers(&self) -> Vec<id::Node>;

    /// Sends bill copies (JSON text each) to a peer; returns whether it confirmed that it holds them.
    fn store_copies(
        &self,
        peer: &id::Node,
        bills: Vec<String>,
    ) -> impl Future<Output = bool> + Send;

    /// Notifies a peer that bills are on the log, so that it removes its copies. If the message is
    /// lost, the peer appends them again.
    fn remove_copies(
        &self,
        peer: &id::Node,
        requests: Vec<id::Request>,
    ) -> impl Future<Output = ()> + Send;
}

/// The bill got no second holder before the deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("no peer and no log could be reached to hold the bill"))]
pub struct NotStored;

/// The outbox is full: too many bills are not yet on the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("too many bills wait for the platform's log"))]
pub struct Full;

/// Bills of one entry VM, and the copies it holds for peers. Clones share all state.
#[derive(Debug, Clone)]
pub struct Outbox {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    pending: Pending,
    copies: Copies,
    capacity: Arc<Semaphore>,
    jobs: mpsc::UnboundedSender<Job>,
    tasks: TaskTracker,
}

/// Reserved capacity for one bill, acquired before the request is sent.
#[derive(Debug)]
pub struct BillPermit {
    outbox: Outbox,
    permit: OwnedSemaphorePermit,
}

impl BillPermit {
    /// Stores the bill of an answered request; returns once a second VM or the log holds it too.
    ///
    /// # Errors
    ///
    /// [`NotStored`] if none of them confirmed it by `deadline`. The bill is then dropped,
    /// since its caller won't get the whole response. It may count all the same if a peer or the
    /// log stored it and the confirmation was lost.
    pub async fn store(self, bill: &Bill, deadline: Instant) -> Result<(), NotStored> {
        let shared = &self.outbox.shared;
        let (sender, confirmed) = oneshot::channel();
        let number = shared.pending.insert(bill, self.permit).ok_or(NotStored)?;
        let job = Job::Store(UnstoredBill {
            number,
            deadline,
            confirm: sender,
        });
        if shared.jobs.send(job).is_err() {
            shared.pending.remove(number);
            return Err(NotStored);
        }
        if let Ok(Ok(())) = tokio::time::timeout_at(deadline, confirmed).await {
            return Ok(());
        }
        shared.pending.remove(number);
        Err(NotStored)
    }
}

impl Outbox {
    /// Starts the worker that copies and appends bills until `token` is cancelled.
    #[must_use]
    pub fn start(
        config: Config,
        peers: impl Peers,
        appender: Appender,
        token: CancellationToken,
    ) -> Self {
        let (jobs, queue) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared {
            pending: Pending::default(),
            copies: Copies::new(config.copies),
            capacity: Arc::new(Semaphore::new(config.capacity)),
            jobs,
            tasks: TaskTracker::new(),
        });
        let worker = Worker {
            config,
            peers,
            appender,
            shared: Arc::clone(&shared),
        };
        tokio::spawn(async move { token.run_until_cancelled(worker.run(queue)).await });
        Self { shared }
    }

    /// Reserves capacity for one bill.
    ///
    /// # Errors
    ///
    /// [`Full`] if there is none; the request must then be refused before it is sent.
    pub fn reserve(&self) -> Result<BillPermit, Full> {
        let permit = Arc::clone(&self.shared.capacity)
            .try_acquire_owned()
            .map_err(|_| Full)?;
        Ok(BillPermit {
            outbox: self.clone(),
            permit,
        })
    }

    /// The number of bills that are not yet on the log.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.shared.pending.len()
    }

    /// The number of copies held for peers.
    #[must_use]
    pub fn copies(&self) -> usize {
        self.shared.copies.len()
    }

    /// Stores bill copies for a peer, all or none. Returns whether they are stored.
    #[must_use]
    pub fn store_copies(&self, node: &id::Node, bills: Vec<String>) -> bool {
        self.shared.copies.insert(node, bills)
    }

    /// Removes the copies of bills that a peer reports to be on the log.
    pub fn remove_copies(&self, node: &id::Node, requests: &[id::Request]) {
        self.shared.copies.remove(node, requests);
    }

    /// Appends all bills and copies, waiting until they are on the log or until `deadline`. Returns
    /// how many are not on the log.
    pub async fn flush(&self, deadline: Instant) -> usize {
        let (sender, done) = oneshot::channel();
        let job = Job::Flush {
            deadline,
            done: sender,
        };
        if self.shared.jobs.send(job).is_ok() {
            let _ = tokio::time::timeout_at(deadline, done).await;
        }
        self.waiting() + self.copies()
    }
}

//! Bills held by two entry VMs, or by the log, before the caller gets the last byte.
//!
//! The outbox copies each bill to a peer, of its own zone if there is one, and appends it to the
//! log in batches. A peer that holds a copy for too long appends it too: the fold counts one bill
//! for each request, so that a bill appended twice does no harm and one whose writer is gone is
//! not lost. Where neither a peer nor the log can be reached, the bill has one holder only and
//! [`Slot::replicate`] fails.

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
use self::worker::Wanted;
use self::worker::Worker;
use crate::appender::Appender;

/// Settings of an [`Outbox`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Config {
    /// Bills that are answered or being answered and not yet on the log. At the bound requests are
    /// refused before they are sent: a log that is out for long must not fill the memory.
    pub capacity: usize,
    /// Copies held for peers.
    pub copies: usize,
    /// How long the first bill of a batch to a peer waits for more.
    pub batch_delay: Duration,
    /// Time between two appends to the log.
    pub interval: Duration,
    /// How long one append to the log may take.
    pub append_timeout: Duration,
    /// A copy held this long is appended by its keeper: its writer is gone, or cut off.
    pub max_copy_age: Duration,
}

impl Default for Config {
    /// A bill takes about 600 bytes as text, so that 16,384 bills and as many copies stay under
    /// 20 MB. They cover a log outage of sixteen minutes at the target's 17 requests a second for
    /// each node.
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

/// Entry VMs that can hold copies.
pub trait Peers: Clone + Send + Sync + 'static {
    /// Live peers, those of the own zone first.
    fn peers(&self) -> Vec<id::Node>;

    /// Has a peer hold copies (JSON text each); returns whether it said that it does.
    fn replicate(&self, peer: &id::Node, bills: Vec<String>) -> impl Future<Output = bool> + Send;

    /// Tells a peer that copies are on the log. If this is lost, the peer appends them once more.
    fn release(
        &self,
        peer: &id::Node,
        requests: Vec<id::Request>,
    ) -> impl Future<Output = ()> + Send;
}

/// The bill could not be given a second holder in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("no peer and no log could be reached to hold the bill"))]
pub struct NotReplicated;

/// The outbox is full: too many bills wait for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("too many bills wait for the platform's log"))]
pub struct Full;

/// Bills of one entry VM, and copies it holds for peers. Clones share everything.
#[derive(Debug, Clone)]
pub struct Outbox {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    pending: Pending,
    copies: Copies,
    room: Arc<Semaphore>,
    jobs: mpsc::UnboundedSender<Job>,
    tasks: TaskTracker,
}

/// Room for one bill, taken before the request is sent.
#[derive(Debug)]
pub struct Slot {
    outbox: Outbox,
    permit: OwnedSemaphorePermit,
}

impl Slot {
    /// Holds the bill of an answered request; returns once a second VM or the log holds it too.
    ///
    /// # Errors
    ///
    /// [`NotReplicated`] if that could not be had by `deadline`. The bill is then dropped, since its caller
    /// won't get the whole answer. Only where a peer or the log took it and its answer was lost may
    /// it count all the same.
    pub async fn replicate(self, bill: &Bill, deadline: Instant) -> Result<(), NotReplicated> {
        let shared = &self.outbox.shared;
        let (sender, held) = oneshot::channel();
        let number = shared
            .pending
            .insert(bill, self.permit)
            .ok_or(NotReplicated)?;
        let job = Job::Hold(Wanted {
            number,
            deadline,
            held: sender,
        });
        if shared.jobs.send(job).is_err() {
            shared.pending.remove(number);
            return Err(NotReplicated);
        }
        if let Ok(Ok(())) = tokio::time::timeout_at(deadline, held).await {
            return Ok(());
        }
        shared.pending.remove(number);
        Err(NotReplicated)
    }
}

impl Outbox {
    /// Starts the worker that copies and appends, until `token`.
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
            room: Arc::new(Semaphore::new(config.capacity)),
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

    /// Takes room for one bill.
    ///
    /// # Errors
    ///
    /// [`Full`]; the request must then be refused before it is sent.
    pub fn reserve(&self) -> Result<Slot, Full> {
        let permit = Arc::clone(&self.shared.room)
            .try_acquire_owned()
            .map_err(|_| Full)?;
        Ok(Slot {
            outbox: self.clone(),
            permit,
        })
    }

    /// Bills that are not yet on the log.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.shared.pending.len()
    }

    /// Copies held for peers.
    #[must_use]
    pub fn copies(&self) -> usize {
        self.shared.copies.len()
    }

    /// Holds copies for a peer, all or none. Returns whether it does.
    #[must_use]
    pub fn store_copies(&self, node: &id::Node, bills: Vec<String>) -> bool {
        self.shared.copies.insert(node, bills)
    }

    /// Drops copies of a peer's bills that it says are on the log.
    pub fn drop_copies(&self, node: &id::Node, requests: &[id::Request]) {
        self.shared.copies.remove(node, requests);
    }

    /// Appends all bills and copies now, and waits until they are on the log or `deadline`.
    /// Returns how many are not.
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

//! Copies bills to peers and appends them to the log.

use std::sync::Arc;
use std::time::Duration;

use pimento_ledger::Stream;
use pimento_units::id;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;

use crate::appender::Appender;
use crate::bills::Config;
use crate::bills::Peers;
use crate::bills::Shared;
use crate::bills::pending::Item;
use crate::bills::pending::Number;

/// The most bills in one message to a peer or in one append. At 600 bytes each, a batch stays far
/// below the limits of a frame and of an append.
const BATCH: usize = 256;

/// A job of the worker.
#[derive(Debug)]
pub enum Job {
    /// Store a bill at a second holder.
    Store(UnstoredBill),
    /// Append all bills and copies now.
    Flush {
        /// When to stop trying.
        deadline: Instant,
        /// Notified at the end.
        done: oneshot::Sender<()>,
    },
}

pub struct Worker<P> {
    pub config: Config,
    pub peers: P,
    pub appender: Appender,
    pub shared: Arc<Shared>,
}

/// A bill that needs a second holder.
#[derive(Debug)]
pub struct UnstoredBill {
    /// The bill.
    pub number: Number,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Notified once the bill has a second holder.
    pub confirm: oneshot::Sender<()>,
}

impl<P: Peers> Worker<P> {
    pub async fn run(self, mut jobs: UnboundedReceiver<Job>) {
        let this = Arc::new(self);
        // Copies must not wait behind an append: callers wait for the copy, and an append may take
        // seconds while a copy takes one round trip.
        tokio::join!(Arc::clone(&this).append_loop(), this.copy_loop(&mut jobs));
    }

    async fn copy_loop(&self, jobs: &mut UnboundedReceiver<Job>) {
        while let Some(job) = jobs.recv().await {
            let mut unstored = Vec::new();
            let mut flush = enqueue(job, &mut unstored);
            tokio::time::sleep(self.config.batch_delay).await;
            while unstored.len() < BATCH && flush.is_none() {
                let Ok(job) = jobs.try_recv() else { break };
                flush = enqueue(job, &mut unstored);
            }
            self.store(unstored).await;
            if let Some((deadline, done)) = flush {
                self.flush(deadline).await;
                let _ = done.send(());
            }
        }
    }

    /// Gets a second holder for bills: a peer, or else the log.
    async fn store(&self, unstored: Vec<UnstoredBill>) {
        let Some(deadline) = unstored.iter().map(|bill| bill.deadline).min() else {
            return;
        };
        let numbers: Vec<Number> = unstored.iter().map(|bill| bill.number).collect();
        if self.store_copies(&numbers).await || self.append(&numbers, deadline).await {
            for bill in unstored {
                let _ = bill.confirm.send(());
            }
            return;
        }
        // Neither could be reached. Retry until the callers' deadlines, in a separate task so that
        // later bills do not wait behind these.
        let jobs = self.shared.jobs.clone();
        let delay = self.config.interval;
        self.shared.tasks.spawn(async move {
            tokio::time::sleep(delay).await;
            for bill in unstored {
                if !bill.confirm.is_closed() {
                    let _ = jobs.send(Job::Store(bill));
                }
            }
        });
    }

    /// Sends bill copies to the first live peer that accepts them.
    async fn store_copies(&self, numbers: &[Number]) -> bool {
        let items = self.shared.pending.items(numbers);
        if items.is_empty() {
            return true;
        }
        for peer in self.peers.peers() {
            let bills = items.iter().map(|item| item.text.clone()).collect();
            if self.peers.store_copies(&peer, bills).await {
                self.shared.pending.set_holder(numbers, &peer);
                return true;
            }
        }
        false
    }

    /// Appends bills without a copy. Stops at the earliest deadline of their callers, since a bill
    /// that is dropped there must not reach the log later.
    async fn append(&self, numbers: &[Number], deadline: Instant) -> bool {
        let items = self.shared.pending.items(numbers);
        let time_left = deadline.saturating_duration_since(Instant::now());
        self.append_items(items, time_left.min(self.config.append_timeout))
            .await
    }

    async fn append_loop(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(self.config.interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.append_own(self.config.append_timeout).await;
            self.append_copies(self.config.max_copy_age, self.config.append_timeout)
                .await;
            self.copy_orphans().await;
        }
    }

    /// Appends this node's bills, oldest first, until none is left or an append fails.
    async fn append_own(&self, timeout: Duration) {
        loop {
            let items = self.shared.pending.oldest_copied(BATCH);
            if items.is_empty() || !self.append_items(items, timeout).await {
                return;
            }
        }
    }

    async fn append_items(&self, items: Vec<Item>, timeout: Duration) -> bool {
        if items.is_empty() {
            return true;
        }
        let records = items.iter().map(|item| item.text.clone()).collect();
        let deadline = Instant::now() + timeout;
        let appended = self
            .appender
            .append_all(Stream::Usage, records, deadline)
            .await;
        if let Err(error) = appended {
            log::warn!("bills: {} not appended: {error}", items.len());
            return false;
        }
        let mut numbers: Vec<Number> = items.iter().map(|item| item.number).collect();
        // Retried bills come after newer ones, and `remove_all` searches a sorted list. In an
        // unsorted one it would miss some, whose capacity would never be released.
        numbers.sort_unstable();
        self.shared.pending.remove_all(&numbers);
        self.remove_copies(items).await;
        true
    }

    /// Notifies the holders of copies that the bills are on the log, so that they remove the copies.
    async fn remove_copies(&self, items: Vec<Item>) {
        let mut holders: Vec<(id::Node, id::Request)> = items
            .into_iter()
            .filter_map(|item| Some((item.holder?, item.request)))
            .collect();
        holders.sort_unstable();
        for chunk in holders.chunk_by(|a, b| a.0 == b.0) {
            let requests = chunk.iter().map(|(_, request)| *request).collect();
            self.peers.remove_copies(&chunk[0].0, requests).await;
        }
    }

    /// Appends copies that reached `age`, and at once those whose writer is not a live peer: this
    /// node is then their last holder. If the writer is alive after all it appends them too, which
    /// is harmless.
    async fn append_copies(&self, age: Duration, timeout: Duration) {
        let live = self.peers.peers();
        loop {
            let due = self.shared.copies.due(age, &live, BATCH);
            if due.is_empty() {
                return;
            }
            let records = due.iter().map(|copy| copy.text.clone()).collect();
            let deadline = Instant::now() + timeout;
            let appended = self
                .appender
                .append_all(Stream::Usage, records, deadline)
                .await;
            if appended.is_err() {
                return;
            }
            log::info!("bills: appended {} copies held for peers", due.len());
            self.shared.copies.remove_all(&due);
        }
    }

    /// Finds new holders for pending bills whose holder is gone: losing one more VM would lose
    /// them.
    async fn copy_orphans(&self) {
        let live = self.peers.peers();
        if live.is_empty() {
            return;
        }
        let orphans = self.shared.pending.orphans(&live, BATCH);
        if !orphans.is_empty() && !self.store_copies(&orphans).await {
            log::warn!("bills: {} have no second holder", orphans.len());
        }
    }

    async fn flush(&self, deadline: Instant) {
        let time_left = deadline.saturating_duration_since(Instant::now());
        self.append_own(time_left).await;
        let time_left = deadline.saturating_duration_since(Instant::now());
        self.append_copies(Duration::ZERO, time_left).await;
    }
}

/// Adds a bill to `unstored`, or returns the deadline and the sender of a flush.
fn enqueue(job: Job, unstored: &mut Vec<UnstoredBill>) -> Option<(Instant, oneshot::Sender<()>)> {
    match job {
        Job::Store(bill) => {
            unstored.push(bill);
            None
        }
        Job::Flush { deadline, done } => Some((deadline, done)),
    }
}

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

/// The most bills in one message to a peer or one append. At 600 bytes each this stays far below
/// the limits of a frame and of an append.
const BATCH: usize = 256;

/// Something for the worker to do.
#[derive(Debug)]
pub enum Job {
    /// Give a bill a second holder.
    Hold(Wanted),
    /// Append everything now.
    Flush {
        /// When to give up.
        deadline: Instant,
        /// Told at the end.
        done: oneshot::Sender<()>,
    },
}

pub struct Worker<P> {
    pub config: Config,
    pub peers: P,
    pub appender: Appender,
    pub shared: Arc<Shared>,
}

/// A bill that wants a second holder.
#[derive(Debug)]
pub struct Wanted {
    /// The bill.
    pub number: Number,
    /// When its caller gives up.
    pub deadline: Instant,
    /// Told once it has one.
    pub held: oneshot::Sender<()>,
}

impl<P: Peers> Worker<P> {
    pub async fn run(self, mut jobs: UnboundedReceiver<Job>) {
        let this = Arc::new(self);
        // Copies must not wait behind an append: the log may take seconds when a peer takes one
        // round trip, and callers wait for the copy.
        tokio::join!(Arc::clone(&this).append_loop(), this.copy_loop(&mut jobs));
    }

    async fn copy_loop(&self, jobs: &mut UnboundedReceiver<Job>) {
        while let Some(job) = jobs.recv().await {
            let mut wanted = Vec::new();
            let mut flush = sort(job, &mut wanted);
            tokio::time::sleep(self.config.batch_delay).await;
            while wanted.len() < BATCH && flush.is_none() {
                let Ok(job) = jobs.try_recv() else { break };
                flush = sort(job, &mut wanted);
            }
            self.spread(wanted).await;
            if let Some((deadline, done)) = flush {
                self.flush(deadline).await;
                let _ = done.send(());
            }
        }
    }

    /// Gives bills a second holder: a peer, or else the log.
    async fn spread(&self, wanted: Vec<Wanted>) {
        let Some(deadline) = wanted.iter().map(|wanted| wanted.deadline).min() else {
            return;
        };
        let numbers: Vec<Number> = wanted.iter().map(|wanted| wanted.number).collect();
        if self.copy(&numbers).await || self.append(&numbers, deadline).await {
            for wanted in wanted {
                let _ = wanted.held.send(());
            }
            return;
        }
        // Neither could be reached. The callers' deadlines decide how long to go on; meanwhile
        // later bills must not wait behind these.
        let jobs = self.shared.jobs.clone();
        let pause = self.config.interval;
        self.shared.tasks.spawn(async move {
            tokio::time::sleep(pause).await;
            for wanted in wanted {
                if !wanted.held.is_closed() {
                    let _ = jobs.send(Job::Hold(wanted));
                }
            }
        });
    }

    /// Copies bills to the first live peer that takes them.
    async fn copy(&self, numbers: &[Number]) -> bool {
        let items = self.shared.pending.items(numbers);
        if items.is_empty() {
            return true;
        }
        for peer in self.peers.peers() {
            let bills = items.iter().map(|item| item.text.clone()).collect();
            if self.peers.replicate(&peer, bills).await {
                self.shared.pending.held(numbers, &peer);
                return true;
            }
        }
        false
    }

    /// Appends bills that have one holder. Not beyond the first caller's deadline: a bill that is
    /// dropped then must not reach the log later.
    async fn append(&self, numbers: &[Number], deadline: Instant) -> bool {
        let items = self.shared.pending.items(numbers);
        let rest = deadline.saturating_duration_since(Instant::now());
        self.append_items(items, rest.min(self.config.append_timeout))
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

    /// Appends own bills, oldest first, until none is left or the log does not take them.
    async fn append_own(&self, patience: Duration) {
        loop {
            let items = self.shared.pending.oldest(BATCH);
            if items.is_empty() || !self.append_items(items, patience).await {
                return;
            }
        }
    }

    async fn append_items(&self, items: Vec<Item>, patience: Duration) -> bool {
        if items.is_empty() {
            return true;
        }
        let records = items.iter().map(|item| item.text.clone()).collect();
        let deadline = Instant::now() + patience;
        let appended = self
            .appender
            .append_all(Stream::Usage, records, deadline)
            .await;
        if let Err(error) = appended {
            log::warn!("bills: {} not appended: {error}", items.len());
            return false;
        }
        let mut numbers: Vec<Number> = items.iter().map(|item| item.number).collect();
        // Bills that are tried again stand behind newer ones. Searched unsorted, some would stay and
        // keep their room for ever.
        numbers.sort_unstable();
        self.shared.pending.remove_all(&numbers);
        self.release(items).await;
        true
    }

    /// Tells the holders that copies are on the log.
    async fn release(&self, items: Vec<Item>) {
        let mut held: Vec<(id::Node, id::Request)> = items
            .into_iter()
            .filter_map(|item| Some((item.holder?, item.request)))
            .collect();
        held.sort_unstable();
        for chunk in held.chunk_by(|a, b| a.0 == b.0) {
            let requests = chunk.iter().map(|(_, request)| *request).collect();
            self.peers.release(&chunk[0].0, requests).await;
        }
    }

    /// Appends copies that are held for long, and at once those whose writer looks dead: until they
    /// are on the log this node is their last holder. A writer that is alive after all appends
    /// them too, which does no harm.
    async fn append_copies(&self, age: Duration, patience: Duration) {
        let live = self.peers.peers();
        loop {
            let due = self.shared.copies.due(age, &live, BATCH);
            if due.is_empty() {
                return;
            }
            let records = due.iter().map(|copy| copy.text.clone()).collect();
            let deadline = Instant::now() + patience;
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

    /// Finds new holders for bills whose holder is gone while the log does not take them: the next
    /// VM to go would take the last copy along.
    async fn copy_orphans(&self) {
        let live = self.peers.peers();
        if live.is_empty() {
            return;
        }
        let orphans = self.shared.pending.orphans(&live, BATCH);
        if !orphans.is_empty() && !self.copy(&orphans).await {
            log::warn!("bills: {} have no second holder", orphans.len());
        }
    }

    async fn flush(&self, deadline: Instant) {
        let rest = deadline.saturating_duration_since(Instant::now());
        self.append_own(rest).await;
        let rest = deadline.saturating_duration_since(Instant::now());
        self.append_copies(Duration::ZERO, rest).await;
    }
}

/// Puts a job with its like; gives a flush back.
fn sort(job: Job, wanted: &mut Vec<Wanted>) -> Option<(Instant, oneshot::Sender<()>)> {
    match job {
        Job::Hold(bill) => {
            wanted.push(bill);
            None
        }
        Job::Flush { deadline, done } => Some((deadline, done)),
    }
}

//! Fair queue of one pool: deficit round robin over customers, and classes by priority.
//!
//! In a common queue one workspace at ten times its share starves the other nine, and long jobs that hold every
//! slot make short ones wait for minutes. Three rules prevent that:
//! - Within a class each customer has its own queue. The queues are served in turns, by weight and in
//!   tokens.
//! - Classes are served by priority, but each waiting class gets at least a minimum share of the work, so
//!   that lower classes do not starve.
//! - Long jobs hold at most a share of the slots, since a slot in use cannot be taken back.
//!
//! Deficit round robin (Shreedhar and Varghese, 1995) has a cost that does not grow with the number of
//! customers.

mod lane;

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;

use self::lane::Lane;
use crate::number;

/// Parameters of a [`Queue`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Tokens that a customer of weight one may dispatch in one turn: some short answers. With shorter turns,
    /// slightly fewer requests are served under overload.
    pub quantum: Tokens,
    /// Minimum share of the work for each waiting class.
    pub min_share: f64,
    /// Jobs of at least this size are long.
    pub long_threshold: Tokens,
    /// Share of the slots that all long jobs together may hold. The limits add up to about two batches of
    /// the pool, so long jobs fill at most two fifths of a batch.
    pub long_share: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            quantum: Tokens(1_000),
            min_share: 0.1,
            long_threshold: Tokens(1_000),
            long_share: 0.2,
        }
    }
}

/// A request that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// The customer that it belongs to.
    pub customer: id::Customer,
    /// The customer's weight; zero counts as one.
    pub weight: u32,
    /// Priority of the class; lower goes first.
    pub priority: u8,
    /// Estimated work.
    pub tokens: Tokens,
    /// The latest moment at which it may start.
    pub start_by: Moment,
}

/// Identifies a waiting job. Tickets are never reused. `flow` is the index of the customer's flow in the lane
/// of the class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    sequence: u64,
    priority: u8,
    flow: u32,
}

/// A job that was dispatched to a slot. [`Queue::release`] gives the slot back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dispatch {
    /// The job's ticket.
    pub ticket: Ticket,
    /// The job's estimated work.
    pub tokens: Tokens,
    /// Whether the job counts as long.
    pub long: bool,
}

/// Jobs that wait for the slots of one pool. A lane holds the jobs of one class, and a flow in it those of one
/// customer.
#[derive(Debug, Clone)]
pub struct Queue {
    config: Config,
    lanes: Vec<Lane>,
    sequence: u64,
    waiting: usize,
    running_long: u32,
    next_expiry: Option<Moment>,
}

impl Queue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(config: Config) -> Self {
        Self {
            config,
            lanes: Vec::new(),
            sequence: 0,
            waiting: 0,
            running_long: 0,
            next_expiry: None,
        }
    }

    /// Appends a job to its customer's queue. Of its work no more than [`Tokens::MAX_CALL`] counts, so that
    /// the sums over all jobs don't wrap: one that did would never cover its job.
    pub fn enqueue(&mut self, job: Job) -> Ticket {
        let job = Job {
            tokens: job.tokens.min(Tokens::MAX_CALL),
            ..job
        };
        let index = self.lane_index_or_insert(job.priority);
        let lane = &mut self.lanes[index];
        let sequence = self.sequence;
        self.sequence += 1;
        self.waiting += 1;
        let earliest = self.next_expiry.unwrap_or(job.start_by);
        self.next_expiry = Some(earliest.min(job.start_by));
        let long = job.tokens >= self.config.long_threshold;
        let priority = job.priority;
        let flow = lane.push(job, sequence, long, self.config.quantum);
        Ticket {
            sequence,
            priority,
            flow,
        }
    }

    /// Removes the next job that may start now, and returns it. `slots` is the sum of the pool's limits. It
    /// is to be called when a slot is free. A job past its latest start is skipped, and left for
    /// [`expire`](Self::expire).
    pub fn next(&mut self, now: Moment, slots: u32) -> Option<Dispatch> {
        let allow_long = self.running_long < self.max_long(slots);
        let chosen = self.choose_lane(now, allow_long)?;
        let lane = &mut self.lanes[chosen];
        let (entry, flow) = lane.pop(now, allow_long, self.config.quantum)?;
        let priority = lane.priority();
        self.waiting -= 1;
        self.running_long += u32::from(entry.long);
        self.settle_credits(chosen, entry.tokens);
        Some(Dispatch {
            ticket: Ticket {
                sequence: entry.sequence,
                priority,
                flow,
            },
            tokens: entry.tokens,
            long: entry.long,
        })
    }

    /// Releases the slot of a job that has ended, whatever its outcome.
    pub fn release(&mut self, dispatch: &Dispatch) {
        if dispatch.long {
            self.running_long = self.running_long.saturating_sub(1);
        }
    }

    /// Removes a waiting job. Returns false if it no longer waits; a dispatched job cannot be refused.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Ok(index) = self.lane_index(ticket.priority) else {
            return false;
        };
        let removed = self.lanes[index].remove(ticket.flow, ticket.sequence);
        self.waiting -= usize::from(removed);
        removed
    }

    /// Removes all jobs that can no longer start in time, so that their callers get the final answer now
    /// and not at their own timeout.
    pub fn expire(&mut self, now: Moment) -> Vec<Ticket> {
        let mut expired = Vec::new();
        if self.next_expiry.is_none_or(|earliest| now <= earliest) {
            return expired;
        }
        for lane in &mut self.lanes {
            let priority = lane.priority();
            lane.expire(now, |flow, sequence| {
                expired.push(Ticket {
                    sequence,
                    priority,
                    flow,
                });
            });
        }
        self.waiting -= expired.len();
        self.next_expiry = self.lanes.iter().filter_map(Lane::earliest_start_by).min();
        expired
    }

    /// Returns the latest time at which [`expire`](Self::expire) should next be called.
    #[must_use]
    pub const fn next_expiry(&self) -> Option<Moment> {
        self.next_expiry
    }

    /// Returns the work that will be served before a job of `tokens` that joined now. It consists of the
    /// backlog of higher classes, of what other customers of its own class may dispatch before its turn,
    /// and of what higher classes will take meanwhile, estimated from what they took recently. Without the
    /// last part a long job would be admitted under overload, wait behind short ones that arrive after it,
    /// and be refused only at its deadline.
    #[must_use]
    pub fn work_ahead(
        &self,
        customer: &id::Customer,
        weight: u32,
        priority: u8,
        tokens: Tokens,
    ) -> Tokens {
        let higher = self.lanes.iter().filter(|lane| lane.priority() < priority);
        let waiting: Tokens = higher.map(Lane::backlog).sum();
        let own = self.lane_index(priority).ok().map(|index| {
            self.lanes[index].work_ahead(customer, weight, tokens, self.config.quantum)
        });
        let work = number::float(waiting.0) + own.unwrap_or(0.0);
        Tokens(number::floor(work / self.drain_share(priority)))
    }

    /// Returns the share of the drain rate that is left for a class, at least the minimum share: lower
    /// classes that wait are granted their minimum shares, and higher classes are assumed to take what they
    /// took recently.
    fn drain_share(&self, priority: u8) -> f64 {
        let all: f64 = self.lanes.iter().map(Lane::served).sum();
        let others = |lane: &&Lane| lane.priority() < priority;
        let higher: f64 = self.lanes.iter().filter(others).map(Lane::served).sum();
        let lower = self
            .lanes
            .iter()
            .filter(|lane| lane.priority() > priority && lane.has_waiting());
        let reserved = lower.fold(0.0, |sum, _| sum + self.config.min_share);
        let free = 1.0 - reserved - higher / all.max(1.0);
        free.max(self.config.min_share)
    }

    /// Returns all waiting work.
    #[must_use]
    pub fn backlog(&self) -> Tokens {
        self.lanes.iter().map(Lane::backlog).sum()
    }

    /// Returns the number of waiting jobs.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no job waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns how long the backlog lasts at `drain_rate` tokens per second, for metrics.
    #[must_use]
    pub fn depth(&self, drain_rate: f64) -> Duration {
        number::seconds(number::float(self.backlog().0) / drain_rate)
    }

    fn max_long(&self, slots: u32) -> u32 {
        number::floor_u32(f64::from(slots) * self.config.long_share).max(1)
    }

    fn lane_index(&self, priority: u8) -> Result<usize, usize> {
        self.lanes.binary_search_by_key(&priority, Lane::priority)
    }

    fn lane_index_or_insert(&mut self, priority: u8) -> usize {
        match self.lane_index(priority) {
            Ok(index) => index,
            Err(index) => {
                self.lanes.insert(index, Lane::new(priority));
                index
            }
        }
    }

    /// Returns the class to serve: the first one whose credit covers its next job, or else the first one
    /// that has a job which may start.
    fn choose_lane(&self, now: Moment, allow_long: bool) -> Option<usize> {
        let ready = |lane: &Lane| lane.is_ready(now, allow_long);
        let due = self
            .lanes
            .iter()
            .position(|lane| lane.credit() >= 1.0 && lane.credit_covers_next(now, allow_long));
        due.or_else(|| self.lanes.iter().position(ready))
    }

    /// Debits the served class, and credits the minimum share to all other classes that wait.
    fn settle_credits(&mut self, chosen: usize, tokens: Tokens) {
        let min_share = self.config.min_share;
        for (index, lane) in self.lanes.iter_mut().enumerate() {
            if index == chosen {
                lane.debit(tokens);
            } else {
                lane.earn_credit(number::float(tokens.0) * min_share);
            }
        }
    }
}

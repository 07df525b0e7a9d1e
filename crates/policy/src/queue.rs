//! Fair queue of one pool: deficit round robin over customers, classes by priority.
//!
//! **Load:** a hot caller, long jobs among short ones. **Without it:** in a common queue one
//! workspace at ten times its share starves the other nine, and a batch-history review that holds
//! every slot makes stock answers wait for minutes. **How:** three rules.
//! - Within a class each customer has a queue of its own, served in turn by weight, in tokens.
//! - Classes go by priority, but each waiting class gets at least a minimum share of the work.
//! - Long jobs hold at most a share of the slots, since a slot once given is not taken back.
//!
//! **Grounds:** deficit round robin (Shreedhar and Varghese, 1995), whose cost does not grow with
//! the number of customers. The minimum share keeps priority from becoming starvation.

mod lane;

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;

use self::lane::Lane;
use crate::number;

/// Figures of a [`Queue`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Tokens that a customer of weight one may send in one turn: some short answers. A turn of
    /// one short answer (200) served less at three times the capacity, 60.1% against 61.2%.
    pub quantum: Tokens,
    /// Share of the work that each class but the first is sure of while it waits.
    pub min_share: f64,
    /// Jobs from this size on are long.
    pub long_threshold: Tokens,
    /// Share of the slots that long jobs may hold together. Limits add up to about two batches of
    /// the pool, so that this is two fifths of the places where calls run.
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
    /// Whose it is.
    pub customer: id::Customer,
    /// The customer's weight; zero counts as one.
    pub weight: u32,
    /// Priority of the class; lower goes first.
    pub priority: u8,
    /// Estimated work.
    pub tokens: Tokens,
    /// The last moment at which it can start.
    pub start_by: Moment,
}

/// A job's place in the queue. Never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    sequence: u64,
    priority: u8,
    flow: u32,
}

/// A job that left the queue for a slot. The slot is given back by [`Queue::release`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dispatch {
    /// Which job.
    pub ticket: Ticket,
    /// Its estimated work.
    pub tokens: Tokens,
    /// Whether it counts as long.
    pub long: bool,
}

/// Jobs that wait for the slots of one pool.
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
    /// An empty queue.
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

    /// Puts a job at the end of its customer's queue.
    pub fn enqueue(&mut self, job: Job) -> Ticket {
        let place = self.lane_index_or_insert(job.priority);
        let lane = &mut self.lanes[place];
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

    /// Takes the job that goes next if one may start now; `slots` is the pool's sum of limits. To
    /// be called when a slot is free. A job past its last start is left for
    /// [`expire`](Self::expire).
    pub fn next(&mut self, now: Moment, slots: u32) -> Option<Dispatch> {
        let long = self.running_long < self.max_long(slots);
        let chosen = self.choose_lane(now, long)?;
        let lane = &mut self.lanes[chosen];
        let (entry, flow) = lane.pop(now, long, self.config.quantum)?;
        let priority = lane.priority();
        self.waiting -= 1;
        self.running_long += u32::from(entry.long);
        self.account(chosen, entry.tokens);
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

    /// Gives back the slot of a job that has ended, however it ended.
    pub fn release(&mut self, dispatch: &Dispatch) {
        if dispatch.long {
            self.running_long = self.running_long.saturating_sub(1);
        }
    }

    /// Removes a waiting job. False if it is no longer waiting: once dispatched it can't be
    /// refused any more.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let Ok(place) = self.lane_index(ticket.priority) else {
            return false;
        };
        let removed = self.lanes[place].remove(ticket.flow, ticket.sequence);
        self.waiting -= usize::from(removed);
        removed
    }

    /// Removes all jobs that can't start in time any more. Their callers get the final answer now,
    /// and not when their own timeout runs out.
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

    /// When [`expire`](Self::expire) should next be called, at the latest.
    #[must_use]
    pub const fn next_expiry(&self) -> Option<Moment> {
        self.next_expiry
    }

    /// Work that would be served before a job of `tokens` that joined now: all that waits in
    /// higher classes, of its own class what the other customers may send until its turn, and what
    /// higher classes are going to take meanwhile, by what they took lately. Without the last a
    /// long answer is let in under overload, waits behind short ones that come after it, and hears
    /// only when its time is up that it can't be served.
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
        let own = self.lane_index(priority).ok().map(|place| {
            self.lanes[place].work_ahead(customer, weight, tokens, self.config.quantum)
        });
        let work = number::float(waiting.0) + own.unwrap_or(0.0);
        Tokens(number::floor(work / self.drain_share(priority)))
    }

    /// The part of the drain that a class and those before it can count on.
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

    /// All waiting work.
    #[must_use]
    pub fn backlog(&self) -> Tokens {
        self.lanes.iter().map(Lane::backlog).sum()
    }

    /// Number of waiting jobs.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting
    }

    /// Whether no job waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// How long the longest-waiting work would last at `drain_rate` tokens a second, for metrics.
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
            Ok(place) => place,
            Err(place) => {
                self.lanes.insert(place, Lane::new(priority));
                place
            }
        }
    }

    /// The class to serve: one whose saved-up minimum covers its next job, or else the first that
    /// has a job that may start.
    fn choose_lane(&self, now: Moment, long: bool) -> Option<usize> {
        let ready = |lane: &Lane| lane.is_ready(now, long);
        let due = self
            .lanes
            .iter()
            .position(|lane| lane.credit() >= 1.0 && lane.credit_covers_next(now, long));
        due.or_else(|| self.lanes.iter().position(ready))
    }

    /// Credits the minimum share to the classes that had to wait.
    fn account(&mut self, chosen: usize, tokens: Tokens) {
        let min_share = self.config.min_share;
        for (place, lane) in self.lanes.iter_mut().enumerate() {
            if place == chosen {
                lane.debit(tokens);
            } else {
                lane.earn_credit(number::float(tokens.0) * min_share);
            }
        }
    }
}

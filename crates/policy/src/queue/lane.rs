//! One class of the queue: a queue per customer, served by deficit round robin.

use std::collections::VecDeque;

use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;

use super::Job;
use crate::number;

/// Factor by which recent work decays with each dispatch. About the last hundred dispatches count: enough
/// to average over job sizes, and few enough to follow a change of load within seconds.
const SERVED_DECAY: f64 = 0.99;

/// What a lane keeps of a waiting [`Job`]. The scheduler keeps the rest of it, by its ticket.
#[derive(Debug, Clone, Copy)]
pub(super) struct Entry {
    pub(super) sequence: u64,
    pub(super) tokens: Tokens,
    pub(super) long: bool,
    start_by: Moment,
}

/// The waiting jobs of one customer: a flow, in the terms of deficit round robin.
#[derive(Debug, Clone)]
struct Flow {
    weight: u32,
    short: VecDeque<Entry>,
    long: VecDeque<Entry>,
    deficit: u64,
    active: bool,
}

/// What the admission estimate needs of a customer. It is kept apart from the customer's jobs, so that the
/// sum over a thousand customers reads memory sequentially.
#[derive(Debug, Clone, Copy)]
struct FlowSummary {
    backlog: u64,
    weight: u32,
}

/// One class. `index` is sorted by customer. `flows` keep their positions, which tickets refer to. `ring`
/// holds the flows with jobs in the order of their turns.
#[derive(Debug, Clone)]
pub(super) struct Lane {
    priority: u8,
    index: Vec<(id::Customer, u32)>,
    flows: Vec<Flow>,
    summaries: Vec<FlowSummary>,
    ring: VecDeque<u32>,
    backlog: u64,
    credit: f64,
    served: f64,
}

impl Flow {
    fn new() -> Self {
        Self {
            weight: 1,
            short: VecDeque::new(),
            long: VecDeque::new(),
            deficit: 0,
            active: false,
        }
    }

    fn is_empty(&self) -> bool {
        self.short.is_empty() && self.long.is_empty()
    }

    /// Returns the oldest job that may start; a long one may only with `allow_long`. Jobs past their latest
    /// start are skipped and left for `expire`: a slot would be wasted on an answer that comes too late.
    fn next_entry(&self, now: Moment, allow_long: bool) -> Option<Entry> {
        let first = |jobs: &VecDeque<Entry>| jobs.iter().find(|e| e.start_by >= now).copied();
        let short = first(&self.short);
        if !allow_long {
            return short;
        }
        match (short, first(&self.long)) {
            (Some(one), Some(other)) if other.sequence < one.sequence => Some(other),
            (Some(one), _) => Some(one),
            (None, other) => other,
        }
    }

    fn remove(&mut self, sequence: u64) -> Option<Entry> {
        for jobs in [&mut self.short, &mut self.long] {
            let Ok(index) = jobs.binary_search_by_key(&sequence, |entry| entry.sequence) else {
                continue;
            };
            return jobs.remove(index);
        }
        None
    }

    /// Adds to the deficit. At the largest number it covers every job.
    const fn grant(&mut self, tokens: u64) {
        self.deficit = self.deficit.saturating_add(tokens);
    }

    fn turn_quantum(&self, quantum: Tokens) -> u64 {
        quantum
            .0
            .max(1)
            .saturating_mul(u64::from(self.weight.max(1)))
    }
}

impl Lane {
    pub(super) fn new(priority: u8) -> Self {
        Self {
            priority,
            index: Vec::new(),
            flows: Vec::new(),
            summaries: Vec::new(),
            ring: VecDeque::new(),
            backlog: 0,
            credit: 0.0,
            served: 0.0,
        }
    }

    pub(super) const fn priority(&self) -> u8 {
        self.priority
    }

    pub(super) const fn backlog(&self) -> Tokens {
        Tokens(self.backlog)
    }

    pub(super) fn has_waiting(&self) -> bool {
        !self.ring.is_empty()
    }

    pub(super) const fn credit(&self) -> f64 {
        self.credit
    }

    /// Returns the decayed sum of the work dispatched from this class.
    pub(super) const fn served(&self) -> f64 {
        self.served
    }

    /// Records a dispatch from another class: this class earns its minimum share of that work while it
    /// waits.
    pub(super) fn earn_credit(&mut self, credit: f64) {
        self.served *= SERVED_DECAY;
        if self.has_waiting() {
            self.credit += credit;
        } else {
            self.credit = 0.0;
        }
    }

    /// Records a dispatch from this class.
    pub(super) fn debit(&mut self, tokens: Tokens) {
        let tokens = number::float(tokens.0);
        self.served = self.served * SERVED_DECAY + tokens;
        self.credit = (self.credit - tokens).max(0.0);
    }

    pub(super) fn is_ready(&self, now: Moment, allow_long: bool) -> bool {
        self.next_entries(now, allow_long).next().is_some()
    }

    /// Returns whether the credit covers the next job that may start.
    pub(super) fn credit_covers_next(&self, now: Moment, allow_long: bool) -> bool {
        let next = self.next_entries(now, allow_long).next();
        next.is_some_and(|entry| self.credit >= number::float(entry.tokens.0))
    }

    fn next_entries(&self, now: Moment, allow_long: bool) -> impl Iterator<Item = Entry> {
        self.ring
            .iter()
            .filter_map(move |flow| self.flows[*flow as usize].next_entry(now, allow_long))
    }

    pub(super) fn push(&mut self, job: Job, sequence: u64, long: bool, quantum: Tokens) -> u32 {
        let index = self.flow_index_or_insert(job.customer);
        let flow = &mut self.flows[index as usize];
        flow.weight = job.weight;
        let summary = &mut self.summaries[index as usize];
        summary.weight = job.weight;
        summary.backlog += job.tokens.0;
        self.backlog += job.tokens.0;
        let entry = Entry {
            sequence,
            tokens: job.tokens,
            long,
            start_by: job.start_by,
        };
        if long {
            flow.long.push_back(entry);
        } else {
            flow.short.push_back(entry);
        }
        if !flow.active {
            flow.active = true;
            flow.deficit = flow.turn_quantum(quantum);
            self.ring.push_back(index);
        }
        index
    }

    /// Dispatches a job of the customer whose turn it is. A turn lasts while the deficit covers the next
    /// job; then the customer moves to the back and is granted its quantum for the next turn.
    pub(super) fn pop(
        &mut self,
        now: Moment,
        allow_long: bool,
        quantum: Tokens,
    ) -> Option<(Entry, u32)> {
        let mut skipped = 0;
        loop {
            let index = *self.ring.front()?;
            let flow = &self.flows[index as usize];
            match flow.next_entry(now, allow_long) {
                Some(head) if head.tokens.0 <= flow.deficit => {
                    return self.serve(index, head.sequence);
                }
                head => {
                    if head.is_some() {
                        let grant = flow.turn_quantum(quantum);
                        self.flows[index as usize].grant(grant);
                    }
                    self.ring.rotate_left(1);
                    skipped += 1;
                }
            }
            if skipped == self.ring.len() {
                self.grant_skipped_rounds(now, allow_long, quantum)?;
                skipped = 0;
            }
        }
    }

    /// Called after a whole round without a dispatch: grants all customers at once the quanta of the rounds
    /// that would pass until a job can be dispatched. A job of many quanta then takes one pass instead of
    /// hundreds.
    fn grant_skipped_rounds(
        &mut self,
        now: Moment,
        allow_long: bool,
        quantum: Tokens,
    ) -> Option<()> {
        let rounds = |flow: &Flow| {
            let head = flow.next_entry(now, allow_long)?;
            let missing = head.tokens.0.saturating_sub(flow.deficit);
            Some(missing.div_ceil(flow.turn_quantum(quantum)))
        };
        let flows = self.ring.iter().map(|flow| &self.flows[*flow as usize]);
        let least = flows.filter_map(rounds).min()?;
        for index in &self.ring {
            let flow = &mut self.flows[*index as usize];
            if flow.next_entry(now, allow_long).is_some() {
                flow.grant(flow.turn_quantum(quantum).saturating_mul(least));
            }
        }
        Some(())
    }

    fn serve(&mut self, index: u32, sequence: u64) -> Option<(Entry, u32)> {
        let entry = self.remove_entry(index, sequence)?;
        self.flows[index as usize].deficit -= entry.tokens.0;
        self.deactivate_if_empty(index);
        Some((entry, index))
    }

    pub(super) fn remove(&mut self, index: u32, sequence: u64) -> bool {
        let removed = self.remove_entry(index, sequence).is_some();
        if removed {
            self.deactivate_if_empty(index);
        }
        removed
    }

    fn remove_entry(&mut self, index: u32, sequence: u64) -> Option<Entry> {
        let entry = self.flows.get_mut(index as usize)?.remove(sequence)?;
        self.summaries[index as usize].backlog -= entry.tokens.0;
        self.backlog -= entry.tokens.0;
        Some(entry)
    }

    /// Removes a customer without jobs from the ring and resets its deficit: idle customers save nothing
    /// up.
    fn deactivate_if_empty(&mut self, index: u32) {
        let flow = &mut self.flows[index as usize];
        if flow.is_empty() {
            flow.active = false;
            flow.deficit = 0;
            // The customer that was just served is mostly at the front, where removal is cheap.
            if self.ring.front() == Some(&index) {
                self.ring.pop_front();
            } else {
                self.ring.retain(|other| *other != index);
            }
        }
    }

    pub(super) fn expire(&mut self, now: Moment, mut expired: impl FnMut(u32, u64)) {
        let places: Vec<u32> = self.ring.iter().copied().collect();
        for index in places {
            let flow = &mut self.flows[index as usize];
            let mut expired_tokens = 0;
            for jobs in [&mut flow.short, &mut flow.long] {
                jobs.retain(|entry| {
                    let keep = entry.start_by >= now;
                    if !keep {
                        expired_tokens += entry.tokens.0;
                        expired(index, entry.sequence);
                    }
                    keep
                });
            }
            self.summaries[index as usize].backlog -= expired_tokens;
            self.backlog -= expired_tokens;
            self.deactivate_if_empty(index);
        }
    }

    pub(super) fn earliest_start_by(&self) -> Option<Moment> {
        let flows = self.ring.iter().map(|flow| &self.flows[*flow as usize]);
        flows
            .flat_map(|flow| flow.short.iter().chain(&flow.long))
            .map(|entry| entry.start_by)
            .min()
    }

    /// Returns the work of this class that is served before a new job of `customer`: the customer's own
    /// backlog, and for each other customer at most what its weight lets it dispatch meanwhile, or one
    /// turn.
    pub(super) fn work_ahead(
        &self,
        customer: &id::Customer,
        weight: u32,
        tokens: Tokens,
        quantum: Tokens,
    ) -> f64 {
        let own = self
            .flow_index(customer)
            .map(|index| self.summaries[index as usize]);
        let waiting = own.map_or(0, |summary| summary.backlog);
        let sent_per_weight =
            number::float(waiting.saturating_add(tokens.0)) / f64::from(weight.max(1));
        let quantum = number::float(quantum.0.max(1));
        let share = |summary: &FlowSummary| {
            let turn = sent_per_weight.max(quantum) * f64::from(summary.weight.max(1));
            turn.min(number::float(summary.backlog))
        };
        let all: f64 = self.summaries.iter().map(share).sum();
        number::float(waiting) + all - own.as_ref().map_or(0.0, share)
    }

    fn flow_index(&self, customer: &id::Customer) -> Option<u32> {
        let index = self
            .index
            .binary_search_by(|(known, _)| known.cmp(customer));
        index.ok().map(|index| self.index[index].1)
    }

    fn flow_index_or_insert(&mut self, customer: id::Customer) -> u32 {
        let index = self
            .index
            .binary_search_by(|(known, _)| known.cmp(&customer));
        match index {
            Ok(index) => self.index[index].1,
            Err(index) => {
                let flow = u32::try_from(self.flows.len()).unwrap_or(u32::MAX);
                self.flows.push(Flow::new());
                self.summaries.push(FlowSummary {
                    backlog: 0,
                    weight: 1,
                });
                self.index.insert(index, (customer, flow));
                flow
            }
        }
    }
}

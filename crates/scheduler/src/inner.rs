//! The state of one pool under its lock.

mod placing;
mod throttled;

use std::sync::Arc;
use std::time::Duration;

use pimento_policy::admission;
use pimento_policy::choice;
use pimento_policy::eject;
use pimento_policy::engine;
use pimento_policy::engine::Prompt;
use pimento_policy::limit;
use pimento_policy::queue;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;

use crate::permit::Permit;
use crate::permit::Slot;
use crate::pool::Depth;
use crate::pool::Job;
use crate::pool::Shared;
use crate::pool::Waiter;
use crate::seat::CLOSED;
use crate::seat::DOUBLINGS;
use crate::seat::FIRST_RUN;
use crate::seat::Member;
use crate::seat::Seat;
use crate::seat::ordinary;
use crate::seat::refresh;
use crate::seat::seat;
use crate::sharers::Sharers;

/// Jobs for one version, with their own drain rate: versions differ in speed, and a job of one
/// must not wait behind jobs of another whose endpoints are full.
#[derive(Debug)]
struct Station {
    version: Option<id::Version>,
    gate: admission::Gate,
    queue: queue::Queue,
    /// Sorted by ticket.
    waiters: Vec<(queue::Ticket, Waiter)>,
}

/// The state of one pool.
#[derive(Debug)]
pub(crate) struct Inner {
    seats: Vec<Seat>,
    stations: Vec<Station>,
    health: eject::Pool,
    choice: choice::Config,
    placing: engine::Config,
    paces: engine::Paces,
    tickets: engine::Ticket,
    /// Engines that each other VM named when it was last heard, sorted by VM.
    named: Vec<(u64, Vec<u64>)>,
    /// Prompts that engines read since they were last told to other VMs.
    read: Vec<(u64, Prompt)>,
    turn: usize,
    /// The VMs that share what endpoints take.
    sharers: Sharers,
    /// When waiting jobs are next looked at for an endpoint that may then get one more.
    rouse: Option<Moment>,
}

impl Default for Inner {
    fn default() -> Self {
        Self {
            seats: Vec::new(),
            stations: Vec::new(),
            health: eject::Pool::new(eject::Config::default()),
            choice: choice::Config::default(),
            placing: engine::Config::default(),
            paces: engine::Paces::default(),
            tickets: 0,
            named: Vec::new(),
            read: Vec::new(),
            turn: 0,
            sharers: Sharers::default(),
            rouse: None,
        }
    }
}

impl Inner {
    pub fn update(&mut self, mut members: Vec<Member>) {
        members.sort_by(|one, other| one.endpoint.cmp(&other.endpoint));
        // One that is leaving serves nobody, and must not count as one that is left.
        let usable = members.iter().filter(|member| member.usable);
        self.health.retain(usable.map(|m| m.endpoint.clone()));
        // Both are sorted, so that one pass over them finds each endpoint's seat.
        let former = std::mem::take(&mut self.seats);
        let mut former = former.into_iter().peekable();
        for member in members {
            let before = |seat: &Seat| seat.member.endpoint < member.endpoint;
            while former.next_if(before).is_some() {}
            let same = |seat: &Seat| seat.member.endpoint == member.endpoint;
            let seat = match former.next_if(same) {
                Some(known) => {
                    if known.member.life != member.life {
                        self.health.reset(&member.endpoint);
                    }
                    refresh(known, member)
                }
                None => seat(member),
            };
            self.seats.push(seat);
        }
    }

    /// The place of an endpoint's seat. Seats are sorted by their endpoints.
    fn place_of(&self, endpoint: &id::Endpoint) -> Option<usize> {
        let find = |seat: &Seat| seat.member.endpoint.cmp(endpoint);
        self.seats.binary_search_by(find).ok()
    }

    pub fn holds(&self, version: Option<&id::Version>) -> bool {
        self.seats
            .iter()
            .any(|s| s.member.usable && s.member.holds(version))
    }

    pub fn run(&self, version: Option<&id::Version>, tokens: Tokens) -> Duration {
        let station = self.stations.iter().find(|s| s.version.as_ref() == version);
        station.map_or(FIRST_RUN, |s| s.gate.run_time(tokens))
    }

    /// What the gate has to know; none if no endpoint holds the version.
    pub fn demand(&mut self, job: &Job, now: Moment) -> Option<admission::Demand> {
        let version = job.version.as_ref();
        let seats = self
            .seats
            .iter()
            .filter(|s| s.member.usable && s.member.holds(version));
        let (mut slots, mut free, mut any) = (0, 0, false);
        for seat in seats {
            any = true;
            slots += seat.slots();
            free += seat.free(now);
        }
        if !any {
            return None;
        }
        let station = self.station(version);
        let ahead = station
            .queue
            .ahead(&job.customer, job.weight, job.priority, job.tokens);
        Some(admission::Demand {
            ahead,
            slots,
            free,
            run_time: station.gate.run_time(job.tokens),
            deadline: job.deadline,
        })
    }

    pub fn decide(
        &mut self,
        job: &Job,
        demand: admission::Demand,
        now: Moment,
        random: u64,
    ) -> admission::Verdict {
        let station = self.station(job.version.as_ref());
        if job.returning {
            return station.gate.decide_returning(demand, now, random);
        }
        station.gate.decide(demand, now, random)
    }

    pub fn enqueue(&mut self, waiter: Waiter, start_by: Moment) -> queue::Ticket {
        let station = self.station(waiter.job.version.as_ref());
        let ticket = station.queue.enqueue(queue::Job {
            customer: waiter.job.customer.clone(),
            weight: waiter.job.weight,
            priority: waiter.job.priority,
            tokens: waiter.job.tokens,
            start_by,
        });
        let place = station.waiters.partition_point(|(t, _)| *t < ticket);
        station.waiters.insert(place, (ticket, waiter));
        ticket
    }

    pub fn cancel(&mut self, version: Option<&id::Version>, ticket: queue::Ticket) {
        let station = self.station(version);
        station.queue.cancel(ticket);
        if let Ok(place) = station.waiters.binary_search_by_key(&ticket, |(t, _)| *t) {
            station.waiters.remove(place);
        }
    }

    /// When a job that was given up on may come back: once the work ahead of it has drained, each
    /// one at a time of its own.
    pub fn again(&mut self, job: &Job, now: Moment, random: u64) -> Duration {
        let Some(demand) = self.demand(job, now) else {
            return FIRST_RUN;
        };
        let station = self.station(job.version.as_ref());
        station.gate.retry_after(demand, now, random)
    }

    fn slots(&self, version: Option<&id::Version>) -> u32 {
        let seats = self
            .seats
            .iter()
            .filter(|s| s.member.usable && s.member.holds(version));
        seats.map(Seat::slots).sum()
    }

    fn station(&mut self, version: Option<&id::Version>) -> &mut Station {
        let place = self
            .stations
            .binary_search_by(|s| s.version.as_ref().cmp(&version));
        let place = place.unwrap_or_else(|place| {
            let station = Station {
                version: version.cloned(),
                gate: admission::Gate::new(admission::Config::default()),
                queue: queue::Queue::new(queue::Config::default()),
                waiters: Vec::new(),
            };
            self.stations.insert(place, station);
            place
        });
        &mut self.stations[place]
    }

    /// Gives free slots to waiting jobs. Versions take turns, since an endpoint may hold several.
    pub fn pump(&mut self, shared: &Arc<Shared>, now: Moment) {
        let count = self.stations.len();
        let mut idle = 0;
        while count > 0 && idle < count {
            self.turn = (self.turn + 1) % count;
            if self.serve(shared, self.turn, now) {
                idle = 0;
            } else {
                idle += 1;
            }
        }
        self.rouse(shared, now);
    }

    /// Gives one slot to one job of a version; false if there is no slot or no job.
    fn serve(&mut self, shared: &Arc<Shared>, place: usize, now: Moment) -> bool {
        let version = self.stations[place].version.clone();
        if self.stations[place].queue.is_empty() || !self.open(version.as_ref(), now) {
            return false;
        }
        let slots = self.slots(version.as_ref());
        let station = &mut self.stations[place];
        let Some(dispatch) = station.queue.next(now, slots) else {
            return false;
        };
        let found = station
            .waiters
            .binary_search_by_key(&dispatch.ticket, |(t, _)| *t);
        let Ok(found) = found else {
            station.queue.done(&dispatch);
            return true;
        };
        let (_, waiter) = station.waiters.remove(found);
        let Some(mut permit) = self.take(shared, &waiter.job, now) else {
            // No endpoint is open after all: the sender is dropped, which refuses the job.
            self.stations[place].queue.done(&dispatch);
            return true;
        };
        permit.dispatched(dispatch);
        if let Err(permit) = waiter.slot.send(permit) {
            // The lock is held here, so the permit must not give itself back.
            let slot = permit.defuse();
            let unknown = limit::Outcome::Unknown;
            self.release(&slot, unknown, eject::Outcome::Unknown, now);
        }
        true
    }

    fn open(&self, version: Option<&id::Version>, now: Moment) -> bool {
        self.seats.iter().any(|seat| {
            let out = self.health.state(&seat.member.endpoint, now) == eject::State::Ejected;
            seat.is_open(now) && seat.member.holds(version) && !out && seat.limiter.room() > 0
        })
    }

    /// Chooses an endpoint with a free slot and takes it. Endpoints tried before come last.
    pub fn take(&mut self, shared: &Arc<Shared>, job: &Job, now: Moment) -> Option<Permit> {
        let (chosen, work) = match &job.prompt {
            Some(prompt) => {
                let placement = self.place(prompt, job, now)?;
                (placement.chosen, placement.meets().work)
            }
            None => (self.draw(job, now)?, Duration::ZERO),
        };
        let seat = &mut self.seats[chosen];
        if !seat.limiter.acquire() {
            return None;
        }
        if let Some(limited) = &mut seat.limited {
            limited.take(now);
        }
        self.health.record_sent(&seat.member.endpoint, now);
        let ticket = job.prompt.as_ref().zip(seat.engine.as_mut());
        let ticket = ticket.map(|(prompt, engine)| {
            self.tickets += 1;
            engine.begin(self.tickets, prompt, work, now);
            self.tickets
        });
        let prompt = ticket.and(job.prompt.clone());
        let slot = Slot {
            endpoint: seat.member.endpoint.clone(),
            zone: seat.member.zone.clone(),
            address: seat.member.address,
            version: job.version.clone(),
            dispatch: None,
            since: now,
            ticket,
            prompt,
        };
        Some(Permit::new(Arc::clone(shared), slot))
    }

    /// The endpoint for a call of which only the load is known.
    fn draw(&self, job: &Job, now: Moment) -> Option<usize> {
        let random: u64 = rand::random();
        let choose =
            |seats: &[choice::Candidate]| choice::choose(seats, job.prefix, random, &self.choice);
        let candidates = self.candidates(job, now);
        let mut untried = candidates.clone();
        for (place, candidate) in untried.iter_mut().enumerate() {
            candidate.usable &= self.untried(place, job);
        }
        let ejected = || {
            let mut ejected = candidates.clone();
            for (place, candidate) in ejected.iter_mut().enumerate() {
                candidate.usable = self.spare(place, job, now);
            }
            choose(&ejected)
        };
        self.probe(job, now, |place| untried[place].usable)
            .or_else(|| choose(&untried))
            .or_else(ejected)
            .or_else(|| choose(&candidates))
    }

    /// Whether the endpoint at a place has not failed a job yet.
    fn untried(&self, place: usize, job: &Job) -> bool {
        !job.tried.contains(&self.seats[place].member.endpoint)
    }

    /// Whether a job that others failed may go to the endpoint at a place although that is out: it did
    /// not fail this job, and is a better chance than one that did.
    fn spare(&self, place: usize, job: &Job, now: Moment) -> bool {
        let seat = &self.seats[place];
        let free = seat.takes(job, now) && seat.limiter.room() > 0;
        !job.tried.is_empty() && self.untried(place, job) && free
    }

    /// The endpoint that is due for a probe, if this job may be one: a call that may be sent twice.
    /// By choice alone an endpoint that was out would be tried late, or by many calls at once.
    fn probe(&self, job: &Job, now: Moment, usable: impl Fn(usize) -> bool) -> Option<usize> {
        if !job.repeatable || self.health.ejected() == 0 {
            return None;
        }
        let due = self.health.probe_due(now)?;
        let place = self.seats.iter().position(|s| &s.member.endpoint == due)?;
        (self.seats[place].limiter.room() > 0 && usable(place)).then_some(place)
    }

    fn candidates(&self, job: &Job, now: Moment) -> Vec<choice::Candidate> {
        let usual = self.usual();
        let candidate = |seat: &Seat| {
            let healthy = self.health.state(&seat.member.endpoint, now) != eject::State::Ejected;
            let own = seat.limiter.flying();
            let (others, age) = seat.member.report.map_or((0, Duration::MAX), |(load, at)| {
                let all = load.running.saturating_add(load.waiting);
                (all.saturating_sub(own), now.since(at))
            });
            choice::Candidate {
                key: seat.key,
                usable: seat.takes(job, now) && healthy,
                distance: seat.member.distance,
                own,
                limit: seat.limiter.limit(),
                others,
                report_age: age,
                run_time: ordinary(seat.limiter.pace(), usual),
            }
        };
        self.seats.iter().map(candidate).collect()
    }

    /// Seconds for a token at an endpoint that nobody called yet: as at the fastest one of the own zone
    /// now, or as in the whole pool if that is slower. The pool's median is of a moment ago. While calls
    /// take longer from one to the next, endpoints of other zones would look faster by what changed since,
    /// and calls leave their zone for it, also to one that has just been cut off.
    fn usual(&self) -> Option<f64> {
        let near = self.seats.iter().filter(|s| s.member.distance.is_zero());
        let paces = near.map(|s| s.limiter.pace()).filter(|pace| *pace > 0.0);
        let fastest = paces.min_by(f64::total_cmp);
        [fastest, self.health.median()]
            .into_iter()
            .flatten()
            .max_by(f64::total_cmp)
    }

    pub fn release(
        &mut self,
        slot: &Slot,
        outcome: limit::Outcome,
        health: eject::Outcome,
        now: Moment,
    ) {
        if let Some(place) = self.place_of(&slot.endpoint) {
            let seat = &mut self.seats[place];
            if let Some((engine, ticket)) = seat.engine.as_mut().zip(slot.ticket) {
                engine.end(ticket, now);
            }
            seat.limiter.release(outcome);
            if matches!(outcome, limit::Outcome::Served { .. }) {
                seat.refusals = 0;
                seat.closed = Moment::ZERO;
                seat.back = Moment::ZERO;
            }
        }
        self.health.record(&slot.endpoint, health, now);
        let station = self.station(slot.version.as_ref());
        if let Some(dispatch) = &slot.dispatch {
            station.queue.done(dispatch);
        }
        if let limit::Outcome::Served { tokens, took } = outcome {
            station.gate.record(tokens, took, now);
        }
    }

    /// When a job may come back that no endpoint will take in time: each one is out, or refused its
    /// last call and said to come back, until after this job's last start. Such a job hears it at once; going round
    /// the endpoints until its time is short would give it nothing.
    pub fn hopeless(&self, job: &Job, now: Moment) -> Option<Duration> {
        let version = job.version.as_ref();
        let last = job
            .deadline
            .since(now)
            .saturating_sub(self.run(version, job.tokens));
        let seats = self
            .seats
            .iter()
            .filter(|s| s.member.usable && s.member.holds(version));
        let back = |seat: &Seat| {
            let out = self.health.ejected_until(&seat.member.endpoint);
            seat.back.max(out).max(seat.turn(now))
        };
        let earliest = seats.map(back).min()?;
        let after = earliest.since(now);
        (after > last).then_some(after)
    }

    /// Closes an endpoint that refused a call for a while, and gives that while. `after` is what it
    /// said itself: a full engine says a second or so and is often free sooner.
    pub fn close(&mut self, endpoint: &id::Endpoint, after: Duration, now: Moment) -> Duration {
        let Some(place) = self.place_of(endpoint) else {
            return Duration::ZERO;
        };
        let seat = &mut self.seats[place];
        let span = CLOSED * (1 << seat.refusals.min(DOUBLINGS));
        seat.refusals = seat.refusals.saturating_add(1);
        seat.closed = now + span;
        seat.back = now + after;
        span
    }

    pub fn flying_beside(&self, version: &id::Version) -> u32 {
        let beside = self.seats.iter().filter(|s| !s.member.holds(Some(version)));
        beside.map(|seat| seat.limiter.flying()).sum()
    }

    pub fn depth(&self) -> Depth {
        let usable = self.seats.iter().filter(|s| s.member.usable);
        Depth {
            waiting: self.stations.iter().map(|s| s.queue.len()).sum(),
            flying: self.seats.iter().map(|s| s.limiter.flying()).sum(),
            slots: usable.clone().map(Seat::slots).sum(),
            ejected: self.health.ejected(),
            limited: usable.clone().filter(|s| s.throttle().is_some()).count(),
            usable: usable.count(),
        }
    }
}

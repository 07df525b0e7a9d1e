//! The state of one pool under its lock.

mod limits;
mod placement;

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

use crate::endpoint_state::EndpointState;
use crate::endpoint_state::INITIAL_RUN_TIME;
use crate::endpoint_state::MAX_BACKOFF_DOUBLINGS;
use crate::endpoint_state::Member;
use crate::endpoint_state::REFUSAL_BACKOFF;
use crate::endpoint_state::initial_state;
use crate::endpoint_state::refresh;
use crate::endpoint_state::typical_run_time;
use crate::participants::Participants;
use crate::permit::Permit;
use crate::permit::Slot;
use crate::pool::Depth;
use crate::pool::Job;
use crate::pool::PendingJob;
use crate::pool::Shared;

/// Jobs for one version, with their own drain rate: versions differ in speed, and a job of one
/// must not wait behind jobs of another whose endpoints are full.
#[derive(Debug)]
struct VersionQueue {
    version: Option<id::Version>,
    gate: admission::Gate,
    queue: queue::Queue,
    /// Sorted by ticket.
    pending: Vec<(queue::Ticket, PendingJob)>,
}

/// The state of one pool.
#[derive(Debug)]
pub(crate) struct Inner {
    endpoints: Vec<EndpointState>,
    versions: Vec<VersionQueue>,
    health: eject::Pool,
    choice: choice::Config,
    engine_choice: engine::Config,
    prefill: engine::PrefillEstimator,
    last_call: engine::CallId,
    /// Engines that each other VM named when it was last heard, sorted by VM.
    peer_engines: Vec<(u64, Vec<u64>)>,
    /// Prompts that engines read since they were last told to other VMs.
    prefilled: Vec<(u64, Prompt)>,
    last_served: usize,
    /// The VMs that share what endpoints take.
    participants: Participants,
    /// When waiting jobs are next looked at for an endpoint that may then get one more.
    wake_at: Option<Moment>,
}

impl Default for Inner {
    fn default() -> Self {
        Self {
            endpoints: Vec::new(),
            versions: Vec::new(),
            health: eject::Pool::new(eject::Config::default()),
            choice: choice::Config::default(),
            engine_choice: engine::Config::default(),
            prefill: engine::PrefillEstimator::default(),
            last_call: 0,
            peer_engines: Vec::new(),
            prefilled: Vec::new(),
            last_served: 0,
            participants: Participants::default(),
            wake_at: None,
        }
    }
}

impl Inner {
    pub fn update(&mut self, mut members: Vec<Member>) {
        members.sort_by(|one, other| one.endpoint.cmp(&other.endpoint));
        // One that is leaving serves nobody, and must not count as one that is left.
        let usable = members.iter().filter(|member| member.usable);
        self.health.retain(usable.map(|m| m.endpoint.clone()));
        // Both are sorted, so that one pass over them finds each endpoint's state.
        let former = std::mem::take(&mut self.endpoints);
        let mut former = former.into_iter().peekable();
        for member in members {
            let before = |state: &EndpointState| state.member.endpoint < member.endpoint;
            while former.next_if(before).is_some() {}
            let same = |state: &EndpointState| state.member.endpoint == member.endpoint;
            let state = match former.next_if(same) {
                Some(known) => {
                    if known.member.incarnation != member.incarnation {
                        self.health.reset(&member.endpoint);
                    }
                    refresh(known, member)
                }
                None => initial_state(member),
            };
            self.endpoints.push(state);
        }
    }

    /// The place of an endpoint's state. Seats are sorted by their endpoints.
    fn index_of(&self, endpoint: &id::Endpoint) -> Option<usize> {
        let find = |state: &EndpointState| state.member.endpoint.cmp(endpoint);
        self.endpoints.binary_search_by(find).ok()
    }

    pub fn holds(&self, version: Option<&id::Version>) -> bool {
        self.endpoints
            .iter()
            .any(|s| s.member.usable && s.member.holds(version))
    }

    pub fn expected_run_time(&self, version: Option<&id::Version>, tokens: Tokens) -> Duration {
        let entry = self.versions.iter().find(|s| s.version.as_ref() == version);
        entry.map_or(INITIAL_RUN_TIME, |s| s.gate.run_time(tokens))
    }

    /// What the gate has to know; none if no endpoint holds the version.
    pub fn demand(&mut self, job: &Job, now: Moment) -> Option<admission::Demand> {
        let version = job.version.as_ref();
        let states = self
            .endpoints
            .iter()
            .filter(|s| s.member.usable && s.member.holds(version));
        let (mut slots, mut free, mut any) = (0, 0, false);
        for state in states {
            any = true;
            slots += state.slots();
            free += state.free(now);
        }
        if !any {
            return None;
        }
        let entry = self.version_queue(version);
        let ahead = entry
            .queue
            .work_ahead(&job.customer, job.weight, job.priority, job.tokens);
        Some(admission::Demand {
            ahead,
            slots,
            free,
            run_time: entry.gate.run_time(job.tokens),
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
        let entry = self.version_queue(job.version.as_ref());
        if job.previously_refused {
            return entry.gate.decide_returning(demand, now, random);
        }
        entry.gate.decide(demand, now, random)
    }

    pub fn enqueue(&mut self, pending: PendingJob, start_by: Moment) -> queue::Ticket {
        let entry = self.version_queue(pending.job.version.as_ref());
        let ticket = entry.queue.enqueue(queue::Job {
            customer: pending.job.customer.clone(),
            weight: pending.job.weight,
            priority: pending.job.priority,
            tokens: pending.job.tokens,
            start_by,
        });
        let place = entry.pending.partition_point(|(t, _)| *t < ticket);
        entry.pending.insert(place, (ticket, pending));
        ticket
    }

    pub fn cancel(&mut self, version: Option<&id::Version>, ticket: queue::Ticket) {
        let entry = self.version_queue(version);
        entry.queue.cancel(ticket);
        if let Ok(place) = entry.pending.binary_search_by_key(&ticket, |(t, _)| *t) {
            entry.pending.remove(place);
        }
    }

    /// When a job that was given up on may come back: once the work ahead of it has drained, each
    /// one at a time of its own.
    pub fn retry_after(&mut self, job: &Job, now: Moment, random: u64) -> Duration {
        let Some(demand) = self.demand(job, now) else {
            return INITIAL_RUN_TIME;
        };
        let entry = self.version_queue(job.version.as_ref());
        entry.gate.retry_after(demand, now, random)
    }

    fn slots(&self, version: Option<&id::Version>) -> u32 {
        let states = self
            .endpoints
            .iter()
            .filter(|s| s.member.usable && s.member.holds(version));
        states.map(EndpointState::slots).sum()
    }

    fn version_queue(&mut self, version: Option<&id::Version>) -> &mut VersionQueue {
        let place = self
            .versions
            .binary_search_by(|s| s.version.as_ref().cmp(&version));
        let place = place.unwrap_or_else(|place| {
            let entry = VersionQueue {
                version: version.cloned(),
                gate: admission::Gate::new(admission::Config::default()),
                queue: queue::Queue::new(queue::Config::default()),
                pending: Vec::new(),
            };
            self.versions.insert(place, entry);
            place
        });
        &mut self.versions[place]
    }

    /// Gives free slots to waiting jobs. Versions take turns, since an endpoint may hold several.
    pub fn dispatch_waiting(&mut self, shared: &Arc<Shared>, now: Moment) {
        let count = self.versions.len();
        let mut idle = 0;
        while count > 0 && idle < count {
            self.last_served = (self.last_served + 1) % count;
            if self.dispatch_one(shared, self.last_served, now) {
                idle = 0;
            } else {
                idle += 1;
            }
        }
        self.schedule_wake(shared, now);
    }

    /// Gives one slot to one job of a version; false if there is no slot or no job.
    fn dispatch_one(&mut self, shared: &Arc<Shared>, place: usize, now: Moment) -> bool {
        let version = self.versions[place].version.clone();
        if self.versions[place].queue.is_empty() || !self.any_open(version.as_ref(), now) {
            return false;
        }
        let slots = self.slots(version.as_ref());
        let entry = &mut self.versions[place];
        let Some(dispatch) = entry.queue.next(now, slots) else {
            return false;
        };
        let found = entry
            .pending
            .binary_search_by_key(&dispatch.ticket, |(t, _)| *t);
        let Ok(found) = found else {
            entry.queue.release(&dispatch);
            return true;
        };
        let (_, pending) = entry.pending.remove(found);
        let Some(mut permit) = self.try_acquire(shared, &pending.job, now) else {
            // No endpoint is open after all: the sender is dropped, which refuses the job.
            self.versions[place].queue.release(&dispatch);
            return true;
        };
        permit.set_dispatch(dispatch);
        if let Err(permit) = pending.slot.send(permit) {
            // The lock is held here, so the permit must not give itself back.
            let slot = permit.into_slot();
            let unknown = limit::Outcome::Unknown;
            self.release(&slot, unknown, eject::Outcome::Unknown, now);
        }
        true
    }

    fn any_open(&self, version: Option<&id::Version>, now: Moment) -> bool {
        self.endpoints.iter().any(|state| {
            let out = self.health.state(&state.member.endpoint, now) == eject::State::Ejected;
            state.is_open(now) && state.member.holds(version) && !out && state.limiter.free() > 0
        })
    }

    /// Chooses an endpoint with a free slot and takes it. Endpoints tried before come last.
    pub fn try_acquire(&mut self, shared: &Arc<Shared>, job: &Job, now: Moment) -> Option<Permit> {
        let (chosen, prefill_time) = match &job.prompt {
            Some(prompt) => {
                let placement = self.place_prompt(prompt, job, now)?;
                (placement.chosen, placement.candidate().prefill_time)
            }
            None => (self.choose_endpoint(job, now)?, Duration::ZERO),
        };
        let state = &mut self.endpoints[chosen];
        if !state.limiter.acquire() {
            return None;
        }
        if let Some(limit) = &mut state.limit {
            limit.consume(now);
        }
        self.health.record_sent(&state.member.endpoint, now);
        let call = job.prompt.as_ref().zip(state.engine.as_mut());
        let call = call.map(|(prompt, engine)| {
            self.last_call += 1;
            engine.record_sent(self.last_call, prompt, prefill_time, now);
            self.last_call
        });
        let prompt = call.and(job.prompt.clone());
        let slot = Slot {
            endpoint: state.member.endpoint.clone(),
            zone: state.member.zone.clone(),
            address: state.member.address,
            version: job.version.clone(),
            dispatch: None,
            since: now,
            call,
            prompt,
        };
        Some(Permit::new(Arc::clone(shared), slot))
    }

    /// The endpoint for a call of which only the load is known.
    fn choose_endpoint(&self, job: &Job, now: Moment) -> Option<usize> {
        let random: u64 = rand::random();
        let choose =
            |states: &[choice::Candidate]| choice::choose(states, job.prefix, random, &self.choice);
        let candidates = self.candidates(job, now);
        let mut untried = candidates.clone();
        for (place, candidate) in untried.iter_mut().enumerate() {
            candidate.usable &= self.untried(place, job);
        }
        let ejected = || {
            let mut ejected = candidates.clone();
            for (place, candidate) in ejected.iter_mut().enumerate() {
                candidate.usable = self.is_fallback(place, job, now);
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
        !job.tried.contains(&self.endpoints[place].member.endpoint)
    }

    /// Whether a job that others failed may go to the endpoint at a place although that is out: it did
    /// not fail this job, and is a better chance than one that did.
    fn is_fallback(&self, place: usize, job: &Job, now: Moment) -> bool {
        let state = &self.endpoints[place];
        let free = state.accepts(job, now) && state.limiter.free() > 0;
        !job.tried.is_empty() && self.untried(place, job) && free
    }

    /// The endpoint that is due for a probe, if this job may be one: a call that may be sent twice.
    /// By choice alone an endpoint that was out would be tried late, or by many calls at once.
    fn probe(&self, job: &Job, now: Moment, usable: impl Fn(usize) -> bool) -> Option<usize> {
        if !job.repeatable || self.health.ejected() == 0 {
            return None;
        }
        let due = self.health.probe_due(now)?;
        let place = self
            .endpoints
            .iter()
            .position(|s| &s.member.endpoint == due)?;
        (self.endpoints[place].limiter.free() > 0 && usable(place)).then_some(place)
    }

    fn candidates(&self, job: &Job, now: Moment) -> Vec<choice::Candidate> {
        let baseline = self.baseline();
        let candidate = |state: &EndpointState| {
            let healthy = self.health.state(&state.member.endpoint, now) != eject::State::Ejected;
            let own = state.limiter.in_flight();
            let (others, age) = state
                .member
                .report
                .map_or((0, Duration::MAX), |(load, at)| {
                    let all = load.running.saturating_add(load.waiting);
                    (all.saturating_sub(own), now.since(at))
                });
            choice::Candidate {
                key: state.key,
                usable: state.accepts(job, now) && healthy,
                distance: state.member.distance,
                own,
                limit: state.limiter.limit(),
                others,
                report_age: age,
                run_time: typical_run_time(state.limiter.seconds_per_token(), baseline),
            }
        };
        self.endpoints.iter().map(candidate).collect()
    }

    /// Seconds for a token at an endpoint that nobody called yet: as at the fastest one of the own zone
    /// now, or as in the whole pool if that is slower. The pool's median is of a moment ago. While calls
    /// take longer from one to the next, endpoints of other zones would look faster by what changed since,
    /// and calls leave their zone for it, also to one that has just been cut off.
    fn baseline(&self) -> Option<f64> {
        let near = self
            .endpoints
            .iter()
            .filter(|s| s.member.distance.is_zero());
        let paces = near
            .map(|s| s.limiter.seconds_per_token())
            .filter(|pace| *pace > 0.0);
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
        if let Some(place) = self.index_of(&slot.endpoint) {
            let state = &mut self.endpoints[place];
            if let Some((engine, call)) = state.engine.as_mut().zip(slot.call) {
                engine.record_end(call, now);
            }
            state.limiter.release(outcome);
            if matches!(outcome, limit::Outcome::Served { .. }) {
                state.consecutive_refusals = 0;
                state.closed_until = Moment::ZERO;
                state.retry_at = Moment::ZERO;
            }
        }
        self.health.record(&slot.endpoint, health, now);
        let entry = self.version_queue(slot.version.as_ref());
        if let Some(dispatch) = &slot.dispatch {
            entry.queue.release(dispatch);
        }
        if let limit::Outcome::Served { tokens, took } = outcome {
            entry.gate.record(tokens, took, now);
        }
    }

    /// When a job may come back that no endpoint will take in time: each one is out, or refused its
    /// last call and observation to come back, until after this job's last start. Such a job hears it at once; going round
    /// the endpoints until its time is short would give it nothing.
    pub fn unavailable_for(&self, job: &Job, now: Moment) -> Option<Duration> {
        let version = job.version.as_ref();
        let last = job
            .deadline
            .since(now)
            .saturating_sub(self.expected_run_time(version, job.tokens));
        let states = self
            .endpoints
            .iter()
            .filter(|s| s.member.usable && s.member.holds(version));
        let back = |state: &EndpointState| {
            let out = self.health.ejected_until(&state.member.endpoint);
            state.retry_at.max(out).max(state.next_allowed(now))
        };
        let earliest = states.map(back).min()?;
        let after = earliest.since(now);
        (after > last).then_some(after)
    }

    /// Closes an endpoint that refused a call for a while, and gives that while. `after` is what it
    /// observation itself: a full engine says a second or so and is often free sooner.
    pub fn back_off(&mut self, endpoint: &id::Endpoint, after: Duration, now: Moment) -> Duration {
        let Some(place) = self.index_of(endpoint) else {
            return Duration::ZERO;
        };
        let state = &mut self.endpoints[place];
        let span = REFUSAL_BACKOFF * (1 << state.consecutive_refusals.min(MAX_BACKOFF_DOUBLINGS));
        state.consecutive_refusals = state.consecutive_refusals.saturating_add(1);
        state.closed_until = now + span;
        state.retry_at = now + after;
        span
    }

    pub fn in_flight_without(&self, version: &id::Version) -> u32 {
        let beside = self
            .endpoints
            .iter()
            .filter(|s| !s.member.holds(Some(version)));
        beside.map(|state| state.limiter.in_flight()).sum()
    }

    pub fn depth(&self) -> Depth {
        let usable = self.endpoints.iter().filter(|s| s.member.usable);
        Depth {
            waiting: self.versions.iter().map(|s| s.queue.len()).sum(),
            in_flight: self.endpoints.iter().map(|s| s.limiter.in_flight()).sum(),
            slots: usable.clone().map(EndpointState::slots).sum(),
            ejected: self.health.ejected(),
            limited: usable.clone().filter(|s| s.throttle().is_some()).count(),
            usable: usable.count(),
        }
    }
}

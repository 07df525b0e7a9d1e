//! The state of one pool, behind its lock.

mod limits;
mod loans;
mod placement;
pub(crate) mod rest;
pub(crate) mod speeds;
mod waiting;

use std::sync::Arc;
use std::time::Duration;

use pimento_policy::admission;
use pimento_policy::choice;
use pimento_policy::eject;
use pimento_policy::engine;
use pimento_policy::engine::Prompt;
use pimento_policy::limit;
use pimento_policy::loan::Meter;
use pimento_policy::shed;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;

use self::speeds::Speeds;
use self::waiting::RequirementQueue;
use crate::brittle::HoldTime;
use crate::endpoint_state::EndpointState;
use crate::endpoint_state::INITIAL_RUN_TIME;
use crate::endpoint_state::MAX_BACKOFF_DOUBLINGS;
use crate::endpoint_state::Member;
use crate::endpoint_state::PLAIN_REFUSAL_BACKOFF;
use crate::endpoint_state::REFUSAL_BACKOFF;
use crate::endpoint_state::initial_state;
use crate::endpoint_state::refresh;
use crate::endpoint_state::typical_run_time;
use crate::permit::Permit;
use crate::permit::Slot;
use crate::pool::Job;
use crate::pool::PoolMetrics;
use crate::pool::Shared;
use crate::requirement::Requirement;
use crate::sharing::Sharing;

/// A call that an endpoint refused counts as one that took this many times as long: it waited for nothing,
/// and would have to wait again.
const REFUSED_DELAY_FACTOR: u32 = 2;

/// The state of one pool.
#[derive(Debug)]
pub(crate) struct PoolState {
    endpoints: Vec<EndpointState>,
    /// The hash of each endpoint's name and its place in `endpoints`, sorted. Other VMs name endpoints by it.
    by_hash: Vec<(u64, usize)>,
    queues: Vec<RequirementQueue>,
    health: eject::Health,
    choice: choice::Config,
    engine_choice: engine::Config,
    prefill: engine::PrefillEstimator,
    /// How the engines' speeds compare.
    speeds: Speeds,
    last_call: engine::CallId,
    /// Engines that each other VM named in its last report of waits, sorted by VM.
    peer_engines: Vec<(u64, Vec<u64>)>,
    /// Prompts that engines prefilled since the last report to other VMs.
    prefilled: Vec<(u64, Prompt)>,
    /// Index of the version whose queue was last tried for a dispatch.
    last_queue: usize,
    /// What this VM may use of what endpoints take from all VMs together.
    sharing: Sharing,
    /// How often calls arrive.
    arrivals: Meter,
    /// The usual target of calls to plain endpoints.
    usual_target: shed::UsualTarget,
    /// Zones with usable endpoints, sorted.
    zones: Vec<id::Zone>,
    /// How long calls take a slot.
    hold_time: HoldTime,
    /// When dispatch is next tried because an endpoint with a limit accepts another call.
    wake_at: Option<Moment>,
}

impl Default for PoolState {
    fn default() -> Self {
        Self {
            endpoints: Vec::new(),
            by_hash: Vec::new(),
            queues: Vec::new(),
            health: eject::Health::new(eject::Config::default()),
            choice: choice::Config::default(),
            engine_choice: engine::Config::default(),
            prefill: engine::PrefillEstimator::default(),
            speeds: Speeds::default(),
            last_call: 0,
            peer_engines: Vec::new(),
            prefilled: Vec::new(),
            last_queue: 0,
            sharing: Sharing::default(),
            arrivals: Meter::default(),
            usual_target: shed::UsualTarget::default(),
            zones: Vec::new(),
            hold_time: HoldTime::default(),
            wake_at: None,
        }
    }
}

impl PoolState {
    pub fn update(&mut self, mut members: Vec<Member>, now: Moment) {
        members.sort_by(|one, other| one.endpoint.cmp(&other.endpoint));
        // Ejection must not count an endpoint that is leaving among those that remain.
        let usable = members.iter().filter(|member| member.usable);
        self.health
            .set_endpoints(usable.map(|m| m.endpoint.clone()));
        // Both lists are sorted, so that one pass over them finds each endpoint's state.
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
                    refresh(known, member, &self.sharing, now)
                }
                None => initial_state(member, &self.sharing, now),
            };
            self.endpoints.push(state);
        }
        let hashes = self.endpoints.iter().enumerate();
        self.by_hash = hashes.map(|(index, s)| (s.name_hash, index)).collect();
        self.by_hash.sort_unstable();
        let usable = self.endpoints.iter().filter(|state| state.member.usable);
        let mut zones: Vec<id::Zone> = usable.map(|state| state.member.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        self.zones = zones;
    }

    /// Readmits all ejected endpoints.
    pub fn readmit_all(&mut self) {
        self.health.readmit_all();
    }

    /// The place of the endpoint whose name has this hash.
    fn place_of(&self, hash: u64) -> Option<usize> {
        let found = self.by_hash.binary_search_by_key(&hash, |(hash, _)| *hash);
        Some(self.by_hash[found.ok()?].1)
    }

    /// Returns the index of an endpoint's state. The states are sorted by endpoint.
    fn index_of(&self, endpoint: &id::Endpoint) -> Option<usize> {
        let find = |state: &EndpointState| state.member.endpoint.cmp(endpoint);
        self.endpoints.binary_search_by(find).ok()
    }

    pub fn has_usable(&self, requirement: &Requirement) -> bool {
        self.usable(requirement).next().is_some()
    }

    /// The usable endpoints that meet a requirement.
    fn usable(&self, requirement: &Requirement) -> impl Iterator<Item = &EndpointState> {
        let meets = |s: &&EndpointState| s.member.usable && requirement.is_met_by(&s.member);
        self.endpoints.iter().filter(meets)
    }

    pub fn expected_run_time(&self, requirement: &Requirement, tokens: Tokens) -> Duration {
        let entry = self.queues.iter().find(|s| s.requirement == *requirement);
        entry.map_or(INITIAL_RUN_TIME, |s| s.gate.run_time(tokens))
    }

    fn slots(&self, requirement: &Requirement, now: Moment) -> u32 {
        let states = self.usable(requirement);
        states.map(|state| state.slots(now)).sum()
    }

    /// Gives free slots to waiting jobs. Versions take turns, since an endpoint may hold several.
    pub fn dispatch_waiting(&mut self, shared: &Arc<Shared>, now: Moment) {
        if self.expire_loans(now) {
            shared.shares_shrank.notify_waiters();
        }
        let count = self.queues.len();
        let mut idle = 0;
        while count > 0 && idle < count {
            self.last_queue = (self.last_queue + 1) % count;
            if self.dispatch_one(shared, self.last_queue, now) {
                idle = 0;
            } else {
                idle += 1;
            }
        }
        self.schedule_wake(shared, now);
    }

    /// Gives one slot to one job of a version. Returns false if there is no slot or no job.
    fn dispatch_one(&mut self, shared: &Arc<Shared>, index: usize, now: Moment) -> bool {
        if self.queues[index].queue.is_empty() {
            return false;
        }
        let requirement = self.queues[index].requirement.clone();
        if !self.any_accepts(&requirement, now) {
            return false;
        }
        let slots = self.slots(&requirement, now);
        let entry = &mut self.queues[index];
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
            // No endpoint accepts the job after all. Dropping the job drops its sender, which refuses the job.
            self.queues[index].queue.release(&dispatch);
            return true;
        };
        permit.set_dispatch(dispatch);
        if let Err(permit) = pending.permit_sender.send(permit) {
            // The lock is held here, so the permit must not release its slot on drop.
            let slot = permit.into_slot();
            let unknown = limit::Outcome::Unknown;
            self.release(&slot, unknown, eject::Outcome::Unknown, now);
        }
        true
    }

    fn any_accepts(&self, requirement: &Requirement, now: Moment) -> bool {
        let last_resort = self.is_last_resort(requirement, now);
        self.usable(requirement).any(|state| {
            let healthy = last_resort || !self.is_ejected(state, now);
            state.accepts_calls(now) && healthy && state.limiter.free() > 0
        })
    }

    fn is_ejected(&self, state: &EndpointState, now: Moment) -> bool {
        // A search by name for each of thousands of endpoints would take longer than the rest of a choice.
        self.health.ejected() > 0
            && self.health.state(&state.member.endpoint, now) == eject::State::Ejected
    }

    /// Returns whether ejected endpoints take jobs with this requirement, because no others may. The share of
    /// the pool that may be ejected says nothing of zones, nor of endpoints that rest: callers who must stay
    /// in a region, or who come while all others rest, would be refused for seconds because the only endpoint
    /// left is slower than those.
    fn is_last_resort(&self, requirement: &Requirement, now: Moment) -> bool {
        let rests = |state: &&EndpointState| now < state.resting_until;
        let some_rest = self.usable(requirement).any(|state| rests(&state));
        let mut awake = self.usable(requirement).filter(|state| !rests(state));
        (requirement.zones.is_some() || some_rest) && awake.all(|s| self.is_ejected(s, now))
    }

    /// Chooses an endpoint with a free slot and acquires it. Endpoints that failed the job before are a
    /// last resort.
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
        let cold = state.cold(now).is_some();
        state.consume(now);
        self.health.record_sent(&state.member.endpoint, now);
        let call = job.prompt.as_ref().zip(state.engine.as_mut());
        let call = call.map(|(prompt, engine)| {
            self.last_call += 1;
            engine.record_sent(self.last_call, prompt, prefill_time, now);
            let output = admission::output(job.tokens, prompt.tokens());
            engine.record_held(self.last_call, prompt, output, now);
            self.last_call
        });
        let prompt = call.and(job.prompt.clone());
        let slot = Slot {
            endpoint: state.member.endpoint.clone(),
            zone: state.member.zone.clone(),
            address: state.member.address,
            incarnation: state.member.incarnation,
            requirement: job.requirement.clone(),
            cold,
            dispatch: None,
            since: now,
            timed: true,
            call,
            prompt,
            prefill_time,
        };
        Some(Permit::new(Arc::clone(shared), slot))
    }

    /// Chooses the endpoint for a call without a prompt, by load.
    fn choose_endpoint(&self, job: &Job, now: Moment) -> Option<usize> {
        let random: u64 = rand::random();
        let choose =
            |states: &[choice::Candidate]| choice::choose(states, job.prefix, random, &self.choice);
        let candidates = self.candidates(job, now);
        let mut untried = candidates.clone();
        for (index, candidate) in untried.iter_mut().enumerate() {
            candidate.usable &= self.untried(index, job);
        }
        let ejected = || {
            let mut ejected = candidates.clone();
            for (index, candidate) in ejected.iter_mut().enumerate() {
                candidate.usable = self.is_fallback(index, job, now);
            }
            choose(&ejected)
        };
        let warm = || {
            let mut warm = untried.clone();
            for (index, candidate) in warm.iter_mut().enumerate() {
                candidate.usable &= self.is_warm(index, now);
            }
            choose(&warm)
        };
        self.probe(job, now, |index| untried[index].usable)
            .or_else(warm)
            .or_else(|| choose(&untried))
            .or_else(ejected)
            .or_else(|| choose(&candidates))
    }

    /// Returns whether the endpoint at `index` has not failed the job yet.
    fn untried(&self, index: usize, job: &Job) -> bool {
        !job.tried.contains(&self.endpoints[index].member.endpoint)
    }

    /// Returns whether the endpoint at `index` is not cold. A cold one is empty and idle, and looks like the
    /// best choice to all VMs at once; it gets work only if no other can take it.
    fn is_warm(&self, index: usize, now: Moment) -> bool {
        self.endpoints[index].cold(now).is_none()
    }

    /// Returns whether a job that other endpoints failed may go to the endpoint at `index`, whether that is
    /// ejected or not. An ejected endpoint that has not failed this job is a better choice than one that has.
    fn is_fallback(&self, index: usize, job: &Job, now: Moment) -> bool {
        let state = &self.endpoints[index];
        let free = state.accepts(job, now) && state.limiter.free() > 0;
        !job.tried.is_empty() && self.untried(index, job) && free
    }

    /// Returns the endpoint that is due for a probe, if the job may be sent twice and so may serve as one.
    /// The regular choice would try an ejected endpoint late, or with many calls at once.
    fn probe(&self, job: &Job, now: Moment, usable: impl Fn(usize) -> bool) -> Option<usize> {
        if !job.repeatable || self.health.ejected() == 0 {
            return None;
        }
        let due = self.health.probe_due(now)?;
        let index = self
            .endpoints
            .iter()
            .position(|s| &s.member.endpoint == due)?;
        (self.endpoints[index].limiter.free() > 0 && usable(index)).then_some(index)
    }

    fn candidates(&self, job: &Job, now: Moment) -> Vec<choice::Candidate> {
        let baseline = self.baseline();
        let last_resort = self.is_last_resort(&job.requirement, now);
        let candidate = |state: &EndpointState| {
            let healthy = last_resort || !self.is_ejected(state, now);
            let own = state.limiter.in_flight();
            let (others, report_age) =
                state
                    .member
                    .report
                    .map_or((0, Duration::MAX), |(load, at)| {
                        let all = load.running.saturating_add(load.waiting);
                        (all.saturating_sub(own), now.since(at))
                    });
            choice::Candidate {
                name_hash: state.name_hash,
                usable: state.accepts(job, now) && healthy,
                extra_delay: state.member.extra_delay,
                own,
                limit: state.limiter.limit(),
                others,
                report_age,
                run_time: typical_run_time(state.limiter.seconds_per_token(), baseline),
            }
        };
        self.endpoints.iter().map(candidate).collect()
    }

    /// Returns the assumed seconds per token of endpoints without any measurement: those of the fastest
    /// endpoint of the local zone, or the pool's median if that is slower. The median lags. While calls get
    /// slower, endpoints of other zones would look faster by the change since, and calls would leave their
    /// zone for them, even for one that has just been cut off.
    fn baseline(&self) -> Option<f64> {
        let local = self
            .endpoints
            .iter()
            .filter(|s| s.member.extra_delay.is_zero());
        let measured = local
            .map(|s| s.limiter.seconds_per_token())
            .filter(|seconds| *seconds > 0.0);
        let fastest = measured.min_by(f64::total_cmp);
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
        if let Some(index) = self.index_of(&slot.endpoint) {
            let state = &mut self.endpoints[index];
            if let Some((engine, call)) = state.engine.as_mut().zip(slot.call) {
                engine.record_end(call, now);
            }
            state.limiter.release(outcome);
            let took = now.since(slot.since);
            match outcome {
                limit::Outcome::Served { .. } => state.delay.record(took, now),
                limit::Outcome::Overload => state.delay.record(took * REFUSED_DELAY_FACTOR, now),
                limit::Outcome::Unknown => {}
            }
            if matches!(outcome, limit::Outcome::Served { .. }) {
                state.consecutive_refusals = 0;
                state.closed_until = Moment::ZERO;
                state.retry_at = Moment::ZERO;
            }
        }
        self.health.record(&slot.endpoint, health, now);
        let entry = self.queue_of(&slot.requirement);
        if let Some(dispatch) = &slot.dispatch {
            entry.queue.release(dispatch);
        }
        if let limit::Outcome::Served { tokens, took } = outcome {
            entry.gate.record(tokens, took, now);
            self.hold_time.record(took);
        }
    }

    /// Sends no calls for a while to an endpoint that refused one, and returns for how long. `after` is the
    /// time that the endpoint named itself: a full engine names a second or so, and is often free sooner.
    pub fn back_off(&mut self, endpoint: &id::Endpoint, after: Duration, now: Moment) -> Duration {
        let Some(index) = self.index_of(endpoint) else {
            return Duration::ZERO;
        };
        let state = &mut self.endpoints[index];
        let span = if state.engine.is_some() {
            REFUSAL_BACKOFF * (1 << state.consecutive_refusals.min(MAX_BACKOFF_DOUBLINGS))
        } else {
            PLAIN_REFUSAL_BACKOFF
        };
        state.consecutive_refusals = state.consecutive_refusals.saturating_add(1);
        if let Some(brittle) = &mut state.brittle {
            brittle.record_rejection(state.limiter.in_flight(), now);
        }
        state.closed_until = now + span;
        state.retry_at = now + after;
        span
    }

    pub fn is_brittle(&self, endpoint: &id::Endpoint, now: Moment) -> bool {
        let index = self.index_of(endpoint);
        index.is_some_and(|index| self.endpoints[index].brittle(now).is_some())
    }

    pub fn in_flight_without(&self, version: &id::Version) -> u32 {
        let others = self
            .endpoints
            .iter()
            .filter(|s| !s.member.holds(Some(version)));
        others.map(|state| state.limiter.in_flight()).sum()
    }

    pub fn metrics(&self, now: Moment) -> PoolMetrics {
        let usable = self.endpoints.iter().filter(|s| s.member.usable);
        PoolMetrics {
            waiting: self.queues.iter().map(|s| s.queue.len()).sum(),
            in_flight: self.endpoints.iter().map(|s| s.limiter.in_flight()).sum(),
            slots: usable.clone().map(|state| state.slots(now)).sum(),
            ejected: self.health.ejected(),
            limited: usable.clone().filter(|s| s.throttle().is_some()).count(),
            brittle: usable.clone().filter(|s| s.brittle(now).is_some()).count(),
            cold: usable.clone().filter(|s| s.cold(now).is_some()).count(),
            speeds: self.speeds.spread(),
            usable: usable.count(),
        }
    }
}

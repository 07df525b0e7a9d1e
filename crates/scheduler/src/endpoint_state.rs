//! An endpoint of a pool, with the state that this node keeps of it.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_policy::choice;
use pimento_policy::engine::Engine;
use pimento_policy::limit;
use pimento_policy::shed;
use pimento_policy::speed::Speed;
use pimento_policy::speed::Sum;
use pimento_policy::throttle::Throttle;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;

use crate::brittle::BrittleState;
use crate::cold_start::ColdStart;
use crate::cold_start::ColdState;
use crate::endpoint_limit::EndpointLimit;
use crate::endpoint_limit::Kind;
use crate::pool::Job;
use crate::sharing::Sharing;

/// Size of a typical call, for comparing endpoints by their run times.
const TYPICAL_CALL: Tokens = Tokens(500);

/// Expected run time of a call before any was measured.
pub(crate) const INITIAL_RUN_TIME: Duration = Duration::from_secs(1);

/// An endpoint of the pool, as the list of endpoints describes it. `EndpointState` adds what this node
/// observes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The endpoint's name.
    pub endpoint: id::Endpoint,
    /// The endpoint's zone.
    pub zone: id::Zone,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// Whether it may take new work.
    pub usable: bool,
    /// Round-trip time to its zone beyond that within the local zone; zero for the local zone.
    pub extra_delay: Duration,
    /// Versions that it holds, sorted; `None` for a plain service.
    pub versions: Option<Vec<id::Version>>,
    /// Its last load report, and when that was measured.
    pub report: Option<(limit::Report, Moment)>,
    /// For an engine whose calls carry their prompts: the size of its KV cache, for running calls and cached
    /// prefixes.
    pub kv_capacity: Option<Tokens>,
    /// Distinguishes successive endpoints of the same name, which share no state.
    pub incarnation: u64,
    /// Its cold start, if it is cold.
    pub cold: Option<ColdStart>,
}

impl Member {
    pub(crate) fn holds(&self, version: Option<&id::Version>) -> bool {
        match (version, &self.versions) {
            (Some(version), Some(held)) => held.binary_search(version).is_ok(),
            (None, _) => true,
            (Some(_), None) => false,
        }
    }
}

/// A member with the state that this node keeps of it.
#[derive(Debug)]
pub(crate) struct EndpointState {
    pub(crate) member: Member,
    pub(crate) limiter: limit::Limiter,
    /// The properties for which the limiter was configured.
    inputs: LimiterInputs,
    /// Hash of the endpoint's name, the same at every node.
    pub(crate) name_hash: u64,
    /// Successive refusals. They determine `closed_until`.
    pub(crate) consecutive_refusals: u32,
    /// When the backoff after its last refusal ends; no call is sent before.
    pub(crate) closed_until: Moment,
    /// When it accepts calls again according to its last refusal.
    pub(crate) retry_at: Moment,
    /// Until when it wants no calls from this VM, as it said itself.
    pub(crate) resting_until: Moment,
    /// Prefill queue and prefix cache, for an engine.
    pub(crate) engine: Option<Engine>,
    /// The limit in requests per second that it named for all VMs together.
    pub(crate) rate_limit: Option<EndpointLimit>,
    /// How brittle it says that it is.
    pub(crate) brittle: Option<BrittleState>,
    /// Its cold start, or the last one.
    pub(crate) cold: Option<ColdState>,
    /// How long calls take, at a plain endpoint.
    pub(crate) delay: shed::Delay,
    /// What is known of an engine's speed.
    pub(crate) speed: Speed,
    /// This VM's samples of it that were not reported yet.
    pub(crate) unsent_samples: Sum,
}

/// Time after which to retry at an endpoint if this VM has no share of its limit.
pub(crate) const NO_SHARE_RETRY_AFTER: Duration = Duration::from_secs(30);

impl EndpointState {
    /// Returns whether the endpoint accepts the job from this VM now.
    pub(crate) fn accepts(&self, job: &Job, now: Moment) -> bool {
        let excluded = job.excluded.as_ref() == Some(&self.member.endpoint);
        !excluded && self.accepts_calls(now) && job.requirement.is_met_by(&self.member)
    }

    /// Returns whether the endpoint accepts calls from this VM now.
    pub(crate) fn accepts_calls(&self, now: Moment) -> bool {
        let allowed = self.throttles(now).all(|throttle| throttle.can_send(now));
        let room = self.room(now);
        let room = room.is_none_or(|room| self.limiter.in_flight() < room);
        let open = now >= self.closed_until.max(self.resting_until);
        self.member.usable && open && allowed && room
    }

    /// Returns what is known of a limit of the endpoint.
    pub(crate) fn limit_of(&self, kind: Kind) -> Option<EndpointLimit> {
        match kind {
            Kind::Requests => self.rate_limit,
            Kind::Rejections => self.brittle.map(|brittle| brittle.announced),
        }
    }

    /// Returns how brittle the endpoint is, if it is.
    pub(crate) fn brittle(&self, now: Moment) -> Option<&BrittleState> {
        self.brittle.as_ref().filter(|known| known.is_brittle(now))
    }

    /// Returns the number of calls that this VM may have in flight, where the endpoint is brittle.
    fn room(&self, now: Moment) -> Option<u32> {
        self.brittle(now).map(|brittle| brittle.room(now))
    }

    /// Returns the number of calls that the endpoint runs at the same time.
    pub(crate) fn batch(&self) -> u32 {
        self.member.report.map_or(0, |(report, _)| report.batch)
    }

    /// Returns the token bucket of an endpoint that named a limit.
    pub(crate) fn throttle(&self) -> Option<Throttle> {
        self.rate_limit.as_ref()?.throttle()
    }

    /// Returns the cold start, unless it has ended.
    pub(crate) fn cold(&self, now: Moment) -> Option<&ColdState> {
        self.cold.as_ref().filter(|cold| cold.is_cold(now))
    }

    /// Returns the token buckets that this VM's calls take from now.
    fn throttles(&self, now: Moment) -> impl Iterator<Item = Throttle> {
        let cold = self.cold(now).map(ColdState::throttle);
        let brittle = self.brittle(now).and_then(BrittleState::rate);
        self.throttle().into_iter().chain(cold).chain(brittle)
    }

    /// Returns the token bucket that allows the fewest calls, if there is any.
    pub(crate) fn tightest_throttle(&self, now: Moment) -> Option<Throttle> {
        let by_rate = |one: &Throttle, other: &Throttle| one.rate().total_cmp(&other.rate());
        self.throttles(now).min_by(by_rate)
    }

    /// Counts a call that is sent.
    pub(crate) fn consume(&mut self, now: Moment) {
        if let Some(limit) = &mut self.rate_limit {
            limit.consume(now);
        }
        if let Some(cold) = &mut self.cold {
            cold.consume(now);
        }
        if let Some(brittle) = &mut self.brittle {
            brittle.consume(now);
        }
    }

    /// Returns when this VM may send the next call.
    pub(crate) fn next_allowed(&self, now: Moment) -> Moment {
        let limited = self.throttle().map_or(Duration::ZERO, |throttle| {
            throttle.wait(now).unwrap_or(NO_SHARE_RETRY_AFTER)
        });
        let cold = self.cold(now).map_or(Duration::ZERO, |cold| {
            let wait = cold.throttle().wait(now);
            wait.unwrap_or(Duration::MAX).min(cold.remaining(now))
        });
        let brittle = self.brittle(now).map_or(Duration::ZERO, |brittle| {
            brittle.wait(now).unwrap_or(NO_SHARE_RETRY_AFTER)
        });
        (now + limited.max(cold).max(brittle)).max(self.resting_until)
    }

    /// Returns the number of concurrent calls that the endpoint contributes to the pool's capacity.
    pub(crate) fn slots(&self, now: Moment) -> u32 {
        let room = self.room(now).unwrap_or(u32::MAX);
        let limit = self.limiter.limit().min(room);
        match self.tightest_throttle(now) {
            None => limit,
            Some(throttle) => {
                let calls = throttle.rate() * INITIAL_RUN_TIME.as_secs_f64();
                limit.min(rounded_up(calls))
            }
        }
    }

    /// Returns the number of calls that may be sent now.
    pub(crate) fn free(&self, now: Moment) -> u32 {
        let room = self.room(now).unwrap_or(u32::MAX);
        let room = room.saturating_sub(self.limiter.in_flight());
        let free = self.limiter.free().min(room);
        match self.tightest_throttle(now) {
            _ if !self.accepts_calls(now) => 0,
            None => free,
            Some(_) => free.min(1),
        }
    }
}

/// Rounds a small number of calls up.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float to integer cast saturates"
)]
fn rounded_up(calls: f64) -> u32 {
    calls.ceil() as u32
}

/// Time for which an endpoint that refused a call gets no calls from this node: several round trips, during
/// which calls of other nodes end. It doubles with each further refusal.
pub(crate) const REFUSAL_BACKOFF: Duration = Duration::from_millis(50);

/// The same for a plain endpoint, whose queue has room again after a few milliseconds.
pub(crate) const PLAIN_REFUSAL_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum number of doublings: 0.8 s is short compared with the answers that fill an engine.
pub(crate) const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Returns the state of an endpoint that is new in the list.
pub(crate) fn initial_state(member: Member, sharing: &Sharing, now: Moment) -> EndpointState {
    let inputs = LimiterInputs::of(&member);
    let name_hash = choice::hash(member.endpoint.as_str());
    let share = |bound| sharing.cold_rate(bound, &member.zone, name_hash, now);
    EndpointState {
        name_hash,
        cold: ColdState::update(None, member.cold, share, now),
        limiter: limiter(inputs),
        inputs,
        consecutive_refusals: 0,
        closed_until: Moment::ZERO,
        retry_at: Moment::ZERO,
        resting_until: Moment::ZERO,
        engine: member.kv_capacity.map(Engine::new),
        rate_limit: None,
        brittle: None,
        delay: shed::Delay::default(),
        speed: Speed::default(),
        unsent_samples: Sum::default(),
        member,
    }
}

/// Properties of an endpoint that determine its limiter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LimiterInputs {
    /// The endpoint's batch size, if it is known.
    batch: Option<u32>,
    /// Whether it is an engine whose prompts are known.
    engine: bool,
}

impl LimiterInputs {
    fn of(member: &Member) -> Self {
        let batch = member.report.map(|(report, _)| report.batch);
        Self {
            batch: batch.filter(|batch| *batch > 0),
            engine: member.kv_capacity.is_some(),
        }
    }
}

/// Creates a limiter that starts at the engine's batch size and never exceeds what may run and wait there.
/// A late report shows an engine as empty that has filled since; without the bound it would raise the limit
/// to many batches.
///
/// At an engine whose prompts are known, the wait for them limits the calls. Its answers differ a
/// hundredfold in length and speed, so their duration says nothing about its load.
fn limiter(inputs: LimiterInputs) -> limit::Limiter {
    let mut config = limit::Config {
        rounding_offset: rand::random_range(0.0..1.0),
        ..limit::Config::default()
    };
    if let Some(batch) = inputs.batch {
        config.initial = f64::from(batch);
        config.max = f64::from(batch) * config.max_batches;
    }
    if inputs.engine {
        config.tolerance = f64::INFINITY;
    }
    limit::Limiter::new(config)
}

/// Updates the state of an endpoint, and passes a new load report to its limiter.
pub(crate) fn refresh(
    mut state: EndpointState,
    member: Member,
    sharing: &Sharing,
    now: Moment,
) -> EndpointState {
    // A starting VM may read the list of endpoints before the configuration that sets their memory. If the
    // engine were not created then, it would look idle for ever, and each prompt as if its prefill took no
    // time.
    let restarted = state.member.incarnation != member.incarnation;
    if restarted || state.member.kv_capacity != member.kv_capacity {
        state.engine = member.kv_capacity.map(Engine::new);
    }
    if restarted {
        state.consecutive_refusals = 0;
        state.closed_until = Moment::ZERO;
        state.retry_at = Moment::ZERO;
        state.resting_until = Moment::ZERO;
        state.rate_limit = None;
        state.brittle = None;
        state.delay = shed::Delay::default();
        state.speed = Speed::default();
        state.unsent_samples = Sum::default();
    }
    if let Some((report, at)) = member.report
        && state.member.report.is_none_or(|(_, seen)| seen < at)
    {
        state.limiter.apply_report(report);
    }
    let fresh = LimiterInputs::of(&member);
    if fresh != state.inputs && state.limiter.in_flight() == 0 {
        state.inputs = fresh;
        state.limiter = limiter(fresh);
    }
    let share = |bound| sharing.cold_rate(bound, &member.zone, state.name_hash, now);
    state.cold = ColdState::update(state.cold, member.cold, share, now);
    state.member = member;
    state
}

/// Returns the run time of a typical call. An endpoint without any answer is assumed to be as fast as the
/// baseline; an assumption that is too slow would keep it idle for ever.
pub(crate) fn typical_run_time(seconds_per_token: f64, baseline: Option<f64>) -> Duration {
    let seconds_per_token = if seconds_per_token > 0.0 {
        seconds_per_token
    } else {
        match baseline {
            Some(baseline) => baseline,
            None => return INITIAL_RUN_TIME,
        }
    };
    #[expect(clippy::cast_precision_loss, reason = "the constant is small")]
    let seconds = seconds_per_token * TYPICAL_CALL.0 as f64;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

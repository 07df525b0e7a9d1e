//! An endpoint of a pool, with what this node learnt of it.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_policy::choice;
use pimento_policy::engine::Engine;
use pimento_policy::limit;
use pimento_policy::throttle::Throttle;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;

use crate::endpoint_limit::EndpointLimit;
use crate::pool::Job;

/// A call of typical_run_time size, for comparing endpoints by how long one takes.
const TYPICAL_CALL: Tokens = Tokens(500);

/// Expected time of a call before any was measured.
pub(crate) const INITIAL_RUN_TIME: Duration = Duration::from_secs(1);

/// An endpoint of the pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub endpoint: id::Endpoint,
    /// Its zone.
    pub zone: id::Zone,
    /// Where it is.
    pub address: SocketAddr,
    /// Whether it may take new work.
    pub usable: bool,
    /// Delay to its zone beyond the own one's.
    pub distance: Duration,
    /// Versions that it holds, sorted; none for a plain service.
    pub versions: Option<Vec<id::Version>>,
    /// What it reported of its load, and when that was measured.
    pub report: Option<(limit::Report, Moment)>,
    /// For an engine whose calls bring their prompts: its memory, for running calls and kept parts.
    pub memory: Option<Tokens>,
    /// Tells one life of an endpoint from the next under the same name, which knows nothing of it.
    pub incarnation: u64,
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

/// A member with what this node learnt of it.
#[derive(Debug)]
pub(crate) struct EndpointState {
    pub(crate) member: Member,
    pub(crate) limiter: limit::Limiter,
    /// What the limiter was made for.
    inputs: LimiterInputs,
    pub(crate) key: u64,
    /// Refusals in a row, and until when no further call is sent because of them.
    pub(crate) consecutive_refusals: u32,
    pub(crate) closed_until: Moment,
    /// When it observation that it takes calls again, with its last refusal.
    pub(crate) retry_at: Moment,
    /// What is known of its prompts, for an engine.
    pub(crate) engine: Option<Engine>,
    /// The limit that it named for all VMs together.
    pub(crate) limit: Option<EndpointLimit>,
}

/// When to come back to an endpoint that this VM may send nothing.
pub(crate) const NO_SHARE_RETRY_AFTER: Duration = Duration::from_secs(30);

impl EndpointState {
    /// Whether the endpoint says that it takes calls such as this one.
    pub(crate) fn accepts(&self, job: &Job, now: Moment) -> bool {
        self.is_open(now) && self.member.holds(job.version.as_ref())
    }

    /// Whether the endpoint says that it takes calls from this VM.
    pub(crate) fn is_open(&self, now: Moment) -> bool {
        let allowed = self.throttle().is_none_or(|throttle| throttle.is_open(now));
        self.member.usable && now >= self.closed_until && allowed
    }

    /// What this VM may send to an endpoint that named a limit.
    pub(crate) fn throttle(&self) -> Option<Throttle> {
        self.limit.as_ref()?.throttle()
    }

    /// When this VM may send it the next call.
    pub(crate) fn next_allowed(&self, now: Moment) -> Moment {
        self.throttle().map_or(Moment::ZERO, |throttle| {
            now + throttle.wait(now).unwrap_or(NO_SHARE_RETRY_AFTER)
        })
    }

    /// Calls at once that it can be counted on for.
    pub(crate) fn slots(&self) -> u32 {
        let limit = self.limiter.limit();
        match self.throttle() {
            None => limit,
            Some(throttle) => {
                let calls = throttle.rate() * INITIAL_RUN_TIME.as_secs_f64();
                limit.min(rounded_up(calls))
            }
        }
    }

    /// The same now.
    pub(crate) fn free(&self, now: Moment) -> u32 {
        let room = self.limiter.free();
        match self.throttle() {
            _ if !self.is_open(now) => 0,
            None => room,
            Some(_) => room.min(1),
        }
    }
}

/// A small number of calls.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float to integer cast saturates"
)]
fn rounded_up(calls: f64) -> u32 {
    calls.ceil() as u32
}

/// How long an endpoint that refused a call gets none from this node: several round trips, in which
/// calls of other nodes end. Doubled with each further refusal.
pub(crate) const REFUSAL_BACKOFF: Duration = Duration::from_millis(50);

/// Doublings at most: 0.8 s is short beside the time of the answers that fill an engine.
pub(crate) const MAX_BACKOFF_DOUBLINGS: u32 = 4;

pub(crate) fn initial_state(member: Member) -> EndpointState {
    let inputs = LimiterInputs::of(&member);
    EndpointState {
        key: choice::hash(member.endpoint.as_str()),
        limiter: limiter(inputs),
        inputs,
        consecutive_refusals: 0,
        closed_until: Moment::ZERO,
        retry_at: Moment::ZERO,
        engine: member.memory.map(Engine::new),
        limit: None,
        member,
    }
}

/// What a limiter depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct LimiterInputs {
    /// The endpoint's batch, if it is known.
    batch: Option<u32>,
    /// Whether it is an engine whose prompts are known.
    engine: bool,
}

impl LimiterInputs {
    fn of(member: &Member) -> Self {
        let batch = member.report.map(|(report, _)| report.batch);
        Self {
            batch: batch.filter(|batch| *batch > 0),
            engine: member.memory.is_some(),
        }
    }
}

/// A limiter that begins at the engine's batch and never goes past what may run and wait there. A
/// report that is late shows an engine as empty that has filled since, and without this bound would
/// raise the limit to many batches.
///
/// An engine whose prompts are known is limited by the wait for them. Its answers differ a hundredfold
/// in length and in speed, and the time that they take says nothing of its load.
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

/// Keeps what was learnt of an endpoint, and tells its limiter of a report that is new.
pub(crate) fn refresh(mut state: EndpointState, member: Member) -> EndpointState {
    // A VM that starts may read the list of endpoints before the configuration that says how much
    // memory they have. Without prompts an engine would look idle and each prompt read for ever.
    let again = state.member.incarnation != member.incarnation;
    if again || state.member.memory != member.memory {
        state.engine = member.memory.map(Engine::new);
    }
    if again {
        state.consecutive_refusals = 0;
        state.closed_until = Moment::ZERO;
        state.retry_at = Moment::ZERO;
        state.limit = None;
    }
    if let Some((report, at)) = member.report
        && state.member.report.is_none_or(|(_, seen)| seen < at)
    {
        state.limiter.report(report);
    }
    let fresh = LimiterInputs::of(&member);
    if fresh != state.inputs && state.limiter.in_flight() == 0 {
        state.inputs = fresh;
        state.limiter = limiter(fresh);
    }
    state.member = member;
    state
}

/// How long a call of typical_run_time size takes. An endpoint that has not answered yet is taken for a baseline
/// one: a guess that is too high would keep it idle for ever.
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

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

use crate::limited::Limited;
use crate::pool::Job;

/// A call of ordinary size, for comparing endpoints by how long one takes.
const ORDINARY: Tokens = Tokens(500);

/// Expected time of a call before any was measured.
pub(crate) const FIRST_RUN: Duration = Duration::from_secs(1);

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
    pub life: u64,
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
pub(crate) struct Seat {
    pub(crate) member: Member,
    pub(crate) limiter: limit::Limiter,
    /// What the limiter was made for.
    shape: Shape,
    pub(crate) key: u64,
    /// Refusals in a row, and until when no further call is sent because of them.
    pub(crate) refusals: u32,
    pub(crate) closed: Moment,
    /// When it said that it takes calls again, with its last refusal.
    pub(crate) back: Moment,
    /// What is known of its prompts, for an engine.
    pub(crate) engine: Option<Engine>,
    /// The limit that it named for all VMs together.
    pub(crate) limited: Option<Limited>,
}

/// When to come back to an endpoint that this VM may send nothing.
pub(crate) const NEVER: Duration = Duration::from_secs(30);

impl Seat {
    /// Whether the endpoint says that it takes calls such as this one.
    pub(crate) fn takes(&self, job: &Job, now: Moment) -> bool {
        self.is_open(now) && self.member.holds(job.version.as_ref())
    }

    /// Whether the endpoint says that it takes calls from this VM.
    pub(crate) fn is_open(&self, now: Moment) -> bool {
        let allowed = self.throttle().is_none_or(|throttle| throttle.is_open(now));
        self.member.usable && now >= self.closed && allowed
    }

    /// What this VM may send to an endpoint that named a limit.
    pub(crate) fn throttle(&self) -> Option<Throttle> {
        self.limited.as_ref()?.throttle()
    }

    /// When this VM may send it the next call.
    pub(crate) fn turn(&self, now: Moment) -> Moment {
        self.throttle().map_or(Moment::ZERO, |throttle| {
            now + throttle.wait(now).unwrap_or(NEVER)
        })
    }

    /// Calls at once that it can be counted on for.
    pub(crate) fn slots(&self) -> u32 {
        let limit = self.limiter.limit();
        match self.throttle() {
            None => limit,
            Some(throttle) => {
                let calls = throttle.part() * FIRST_RUN.as_secs_f64();
                limit.min(rounded_up(calls))
            }
        }
    }

    /// The same now.
    pub(crate) fn free(&self, now: Moment) -> u32 {
        let room = self.limiter.room();
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
pub(crate) const CLOSED: Duration = Duration::from_millis(50);

/// Doublings at most: 0.8 s is short beside the time of the answers that fill an engine.
pub(crate) const DOUBLINGS: u32 = 4;

pub(crate) fn seat(member: Member) -> Seat {
    let shape = Shape::of(&member);
    Seat {
        key: choice::hash(member.endpoint.as_str()),
        limiter: limiter(shape),
        shape,
        refusals: 0,
        closed: Moment::ZERO,
        back: Moment::ZERO,
        engine: member.memory.map(Engine::new),
        limited: None,
        member,
    }
}

/// What a limiter depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Shape {
    /// The endpoint's batch, if it is known.
    batch: Option<u32>,
    /// Whether it is an engine whose prompts are known.
    engine: bool,
}

impl Shape {
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
fn limiter(shape: Shape) -> limit::Limiter {
    let mut config = limit::Config {
        round: rand::random_range(0.0..1.0),
        ..limit::Config::default()
    };
    if let Some(batch) = shape.batch {
        config.start = f64::from(batch);
        config.most = f64::from(batch) * config.reserve;
    }
    if shape.engine {
        config.tolerance = f64::INFINITY;
    }
    limit::Limiter::new(config)
}

/// Keeps what was learnt of an endpoint, and tells its limiter of a report that is new.
pub(crate) fn refresh(mut seat: Seat, member: Member) -> Seat {
    // A VM that starts may read the list of endpoints before the configuration that says how much
    // memory they have. Without prompts an engine would look idle and each prompt read for ever.
    let again = seat.member.life != member.life;
    if again || seat.member.memory != member.memory {
        seat.engine = member.memory.map(Engine::new);
    }
    if again {
        seat.refusals = 0;
        seat.closed = Moment::ZERO;
        seat.back = Moment::ZERO;
        seat.limited = None;
    }
    if let Some((report, at)) = member.report
        && seat.member.report.is_none_or(|(_, seen)| seen < at)
    {
        seat.limiter.report(report);
    }
    let fresh = Shape::of(&member);
    if fresh != seat.shape && seat.limiter.flying() == 0 {
        seat.shape = fresh;
        seat.limiter = limiter(fresh);
    }
    seat.member = member;
    seat
}

/// How long a call of ordinary size takes. An endpoint that has not answered yet is taken for a usual
/// one: a guess that is too high would keep it idle for ever.
pub(crate) fn ordinary(pace: f64, usual: Option<f64>) -> Duration {
    let pace = if pace > 0.0 {
        pace
    } else {
        match usual {
            Some(usual) => usual,
            None => return FIRST_RUN,
        }
    };
    #[expect(clippy::cast_precision_loss, reason = "the constant is small")]
    let seconds = pace * ORDINARY.0 as f64;
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

//! Whether the evidence of all nodes shows that a shift's new version is bad.
//!
//! Routes differ in times and failures, so that a version is compared with the old one within each of them. A fault in
//! one route is found there. One that shows a little on all of them, with too few answers on any, is found by what the
//! routes have in common: how many answers failed beyond those that the old version would have failed, and how much
//! longer they took than its.

use pimento_contract::rollout::Gate;
use pimento_units::Share;
use pimento_units::Span;

use super::to_share;
use crate::rollout;
use crate::rollout::Cause;
use crate::rollout::Evidence;

/// Evidence on both versions for one route.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RouteEvidence {
    /// Evidence on the new version.
    pub new: Evidence,
    /// Evidence on the old version.
    pub old: Evidence,
}

/// When a version is looked at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Period {
    /// While both versions get requests.
    Shifting,
    /// Once the new version is in place. The old one's answers are older then, and may have met less load.
    InPlace,
}

/// The largest share of failed attempts beyond that of the old version. It is well below the share
/// that bad versions fail, and above what a single failing endpoint adds.
const MAX_ERROR_INCREASE: f64 = 0.1;

/// The largest ratio of the new version's mean time to the old one's, in percent. Bad versions are
/// several times slower. The endpoints of a new version start with empty caches, which makes them
/// up to twice as slow.
const MAX_LATENCY_PERCENT: u32 = 350;

/// Timed answers needed before a version counts as slow, because times vary far more than failures.
const MIN_TIMED_ANSWERS: u32 = 8;

/// Endpoints of the new version that must have failed a request, unless it has only one endpoint.
const MIN_FAILING_ENDPOINTS: usize = 2;

/// Standard deviations by which failures must exceed those that the old version would have had.
const FAILURE_DEVIATIONS: f64 = 2.6;

/// The same for doubts.
const DOUBTFUL_DEVIATIONS: f64 = 1.5;

/// The least share of failures beyond those of the old version that makes a version bad.
const MIN_EXCESS_FAILURES: f64 = 0.05;

/// The ratio of times at which a version is slow, with any number of answers, and what is added to it for the chance
/// in few answers: this divided by the square root of their number.
const MAX_TIME_RATIO: f64 = 1.5;
const TIME_RATIO_SPREAD: f64 = 2.0;

/// The same for doubts.
const DOUBTFUL_TIME_RATIO: f64 = 1.35;
const DOUBTFUL_RATIO_SPREAD: f64 = 1.5;

/// A route with more than this part of the requests must have had answers of the new version, and how many.
const MIN_COVERED_PART: f64 = 0.1;
const MIN_ROUTE_ANSWERS: f64 = 4.0;

/// Answers of the old version on a route with which those of the new one are compared.
const MIN_COMPARED_ANSWERS: f64 = 8.0;

/// Why the new version is bad, on one of the routes or on all together; none if it is not.
/// `failing` is the number of its endpoints that failed a request, `endpoints` the number of all
/// its endpoints.
#[must_use]
pub fn regression(
    routes: &[RouteEvidence],
    failing: usize,
    endpoints: usize,
    period: Period,
) -> Option<Cause> {
    let mut all = RouteEvidence {
        new: Evidence::default(),
        old: Evidence::default(),
    };
    for route in routes {
        all.new.merge(&route.new);
        all.old.merge(&route.old);
    }
    let several = failing >= MIN_FAILING_ENDPOINTS.min(endpoints.max(1));
    let causes = routes
        .iter()
        .filter_map(|route| route_regression(route, true));
    let failures = Failures::of(routes);
    let times = Times::of(routes);
    let (ratio, spread) = (MAX_TIME_RATIO, TIME_RATIO_SPREAD);
    let slow = times.exceed_by_ratio(ratio, spread)
        || period == Period::Shifting && times.exceed_by_sum(ratio, spread);
    let cause = causes
        .chain(route_regression(&all, false))
        .chain(failures.exceed(FAILURE_DEVIATIONS).then_some(Cause::Errors))
        .chain(slow.then_some(Cause::Latency))
        .next()?;
    (several || cause == Cause::Latency).then_some(cause)
}

/// `compare_times` tells whether times are compared, which is done within a route only, because
/// routes differ in them.
fn route_regression(route: &RouteEvidence, compare_times: bool) -> Option<Cause> {
    let errors = to_share((MAX_ERROR_INCREASE + route.old.error_rate()).min(1.0));
    let gate = Gate {
        samples: MIN_TIMED_ANSWERS,
        quality: Share::ZERO,
        errors,
        latency: if compare_times {
            MAX_LATENCY_PERCENT
        } else {
            u32::MAX
        },
        dwell: Span::ZERO,
    };
    rollout::regression(&route.new, &route.old, &gate)
}

/// Whether the new version is somewhat worse than the old one, but has too few answers to tell.
#[must_use]
pub fn is_doubtful(routes: &[RouteEvidence]) -> bool {
    let (failures, times) = (Failures::of(routes), Times::of(routes));
    let (ratio, spread) = (DOUBTFUL_TIME_RATIO, DOUBTFUL_RATIO_SPREAD);
    failures.exceed(DOUBTFUL_DEVIATIONS)
        || times.exceed_by_ratio(ratio, spread)
        || times.exceed_by_sum(ratio, spread)
}

/// Whether each route that has a good part of the requests has had some answers of the new version.
#[must_use]
pub fn covers_routes(routes: &[RouteEvidence]) -> bool {
    let all: f64 = routes.iter().map(|route| route.old.attempts()).sum();
    let busy = |route: &&RouteEvidence| route.old.attempts() > MIN_COVERED_PART * all;
    let mut busy = routes.iter().filter(busy);
    busy.all(|route| route.new.attempts() >= MIN_ROUTE_ANSWERS)
}

/// Failures of the new version beyond those that the old one would have had of as many requests on the same routes.
struct Failures {
    attempts: f64,
    excess: f64,
    variance: f64,
}

impl Failures {
    fn of(routes: &[RouteEvidence]) -> Self {
        let (mut attempts, mut excess, mut variance) = (0.0, 0.0, 1.0);
        for route in routes.iter().filter(|route| route.has_old_answers()) {
            let rate = route.old.error_rate();
            let expected = route.new.attempts() * rate;
            attempts += route.new.attempts();
            excess += route.new.attempts() * route.new.error_rate() - expected;
            variance += expected * (1.0 - rate);
        }
        Self {
            attempts,
            excess,
            variance,
        }
    }

    fn exceed(&self, deviations: f64) -> bool {
        let chance = deviations * self.variance.sqrt();
        self.excess > chance && self.excess > MIN_EXCESS_FAILURES * self.attempts
    }
}

/// Times of the new version's answers, compared with the old one's on the same routes.
///
/// A version that is slow with long requests only is shown by the sum of all times, as most answers are short. One that
/// adds a little to each is shown by the mean of the ratios.
#[derive(Default)]
struct Times {
    answers: f64,
    /// Sum of the answers' times as multiples of the old version's mean on their route.
    ratios: f64,
    /// Sum of the answers' times.
    taken: f64,
    /// What the old version would have taken for as many answers.
    expected: f64,
    /// Sum of the squares of what it would have taken for each.
    expected_squares: f64,
}

impl Times {
    fn of(routes: &[RouteEvidence]) -> Self {
        let mut times = Self::default();
        for route in routes.iter().filter(|route| route.has_old_answers()) {
            let (Some((count, new)), Some((_, old))) = (route.new.times(), route.old.times())
            else {
                continue;
            };
            times.answers += count;
            times.ratios += count * new / old;
            times.taken += count * new;
            times.expected += count * old;
            times.expected_squares += count * old * old;
        }
        times
    }

    /// Whether the answers took longer than `ratio` times the old version's, each counted alike. `spread` is added
    /// for the chance in few answers.
    fn exceed_by_ratio(&self, ratio: f64, spread: f64) -> bool {
        let max = ratio + spread / self.answers.sqrt();
        self.is_enough() && self.ratios > self.answers * max
    }

    /// Whether all answers together took longer than `ratio` times what the old version would have taken.
    fn exceed_by_sum(&self, ratio: f64, spread: f64) -> bool {
        // The sum varies as much as that of this many answers of equal length.
        let equal_answers = self.expected * self.expected / self.expected_squares;
        let max = ratio + spread / equal_answers.sqrt();
        self.is_enough() && self.taken > self.expected * max
    }

    fn is_enough(&self) -> bool {
        self.answers >= f64::from(MIN_TIMED_ANSWERS)
    }
}

impl RouteEvidence {
    fn has_old_answers(&self) -> bool {
        self.old.attempts() >= MIN_COMPARED_ANSWERS
    }
}

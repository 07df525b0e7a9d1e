//! Cascade over model versions by ratings of their answers: the least expected cost at the
//! contracted quality.
//!
//! The entry uses this cascade. The relay uses that of [`crate::confidence`], which needs no rating
//! service.
//!
//! Requests differ in difficulty and versions in cost and quality; a version may turn bad, and the
//! rating service may be slow or unavailable. Always using the cheapest version misses the quality,
//! always using the best costs several times too much, and a fixed cascade pays for a first step
//! even where it is known to fail. This module estimates the share of each version's answers that
//! pass the rating, for each customer and class. It starts at the version that minimises the
//! expected cost of the whole chain of steps, has each answer rated, and steps up if one falls
//! short. An answer is released unrated only if the lower bound of its version's estimate meets the
//! target.
//!
//! Cascades behind a scorer are those of `FrugalGPT` (Chen, Zaharia and Zou, 2023). A Beta estimate
//! with forgetting is the textbook one for a share that drifts. The expected cost of a chain is
//! that of sequential search (Weitzman, 1979) with known costs.

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::Money;
use pimento_units::Share;

use crate::number;

/// Settings of an [`Estimate`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Number of ratings that the configured quality counts as.
    pub prior_weight: f64,
    /// Maximum number of ratings remembered; new ratings displace old ones. A version that turns
    /// bad is noticed within about this many ratings, however long it was good.
    pub window: f64,
    /// Half-life of the recorded ratings.
    pub half_life: Duration,
    /// Standard deviations between the mean and the lower bound; 1.28 is one-sided 90%.
    pub deviations: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            prior_weight: 4.0,
            window: 100.0,
            half_life: Duration::from_mins(10),
            deviations: 1.28,
        }
    }
}

/// Estimate of the share of a version's answers that pass the rating: a Beta distribution that
/// decays towards the configured quality.
#[derive(Debug, Clone)]
pub struct Estimate {
    config: Config,
    quality: f64,
    passed: f64,
    failed: f64,
    /// When the counts were last updated.
    updated: Moment,
}

impl Estimate {
    /// Starts with the configured quality alone.
    #[must_use]
    pub fn new(quality: Share, config: Config) -> Self {
        Self {
            config,
            quality: quality.value(),
            passed: 0.0,
            failed: 0.0,
            updated: Moment::ZERO,
        }
    }

    /// Records a rating.
    pub fn record(&mut self, pass: bool, now: Moment) {
        let decay = number::decay(now.since(self.updated), self.config.half_life);
        let displaced = 1.0 - 1.0 / self.config.window.max(1.0);
        self.updated = self.updated.max(now);
        self.passed *= decay * displaced;
        self.failed *= decay * displaced;
        if pass {
            self.passed += 1.0;
        } else {
            self.failed += 1.0;
        }
    }

    /// The expected share that passes.
    #[must_use]
    pub fn mean(&self, now: Moment) -> f64 {
        let (passed, failed) = self.counts(now);
        passed / (passed + failed)
    }

    /// A lower confidence bound of that share.
    #[must_use]
    pub fn lower_bound(&self, now: Moment) -> f64 {
        let (passed, failed) = self.counts(now);
        let total = passed + failed;
        let variance = passed * failed / (total * total * (total + 1.0));
        (passed / total - self.config.deviations * variance.sqrt()).max(0.0)
    }

    /// Decayed number of recorded ratings, without the prior.
    #[must_use]
    pub fn ratings(&self, now: Moment) -> f64 {
        let decay = number::decay(now.since(self.updated), self.config.half_life);
        (self.passed + self.failed) * decay
    }

    fn counts(&self, now: Moment) -> (f64, f64) {
        let decay = number::decay(now.since(self.updated), self.config.half_life);
        let prior = self.config.prior_weight.max(2.0);
        let quality = self.quality.clamp(0.01, 0.99);
        (
            self.passed * decay + prior * quality,
            self.failed * decay + prior * (1.0 - quality),
        )
    }
}

/// A version that may answer the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// What the request is expected to cost there.
    pub cost: Money,
    /// How long it is expected to take there, including the wait.
    pub run_time: Duration,
    /// Expected share that passes ([`Estimate::mean`]).
    pub mean: f64,
    /// Its lower bound ([`Estimate::lower_bound`]).
    pub lower_bound: f64,
    /// Whether it may be used now: it has endpoints and was not tried for this request.
    pub usable: bool,
}

/// Constraints of the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// The contracted share of answers that pass.
    pub target: Share,
    /// The most that the remaining steps may cost together.
    pub budget: Money,
    /// Time left.
    pub time_left: Duration,
    /// How long a rating takes; none if the rating service is unavailable.
    pub rating_time: Option<Duration>,
    /// Cost assigned to a second of waiting; zero to weigh cost only.
    pub cost_per_second: Money,
}

/// How an answer is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Release {
    /// At once; a stream is forwarded as it arrives.
    Unrated,
    /// After it passed the rating. If it fails, a new plan is made without this version.
    Rated,
}

/// The next step of a cascade.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Plan {
    /// The candidate to ask, as an index.
    pub step: usize,
    /// How its answer is released.
    pub release: Release,
}

/// Share of unrated answers that are rated after their release, to keep the estimate that they were
/// released on current. With a smaller share, a version that turns bad is found later; a larger
/// share costs more ratings.
pub const SAMPLED_SHARE: f64 = 0.2;

/// Whether an answer that was released unrated is rated afterwards.
#[must_use]
pub fn should_sample(random: u64) -> bool {
    number::unit_interval(random) < SAMPLED_SHARE
}

/// The next step; none if no candidate fits the budget. After a failed rating it is called again
/// with that candidate marked unusable. If it returns none then, the caller is left with the best
/// answer so far.
#[must_use]
pub fn plan(candidates: &[Candidate], terms: &Terms) -> Option<Plan> {
    let unrated = cheapest_unrated(candidates, terms);
    let chain = terms
        .rating_time
        .and_then(|rating| cheapest_chain(candidates, terms, rating));
    match (unrated, chain) {
        (Some((cost, step)), Some((chain_cost, _))) if cost <= chain_cost => {
            Some(release_unrated(step))
        }
        (_, Some((_, step))) => Some(Plan {
            step,
            release: Release::Rated,
        }),
        (Some((_, step)), None) => Some(release_unrated(step)),
        (None, None) => best(candidates, terms).map(release_unrated),
    }
}

const fn release_unrated(step: usize) -> Plan {
    Plan {
        step,
        release: Release::Unrated,
    }
}

/// Candidates that are usable and fit the budget and the time left.
fn fitting(candidates: &[Candidate], terms: &Terms) -> impl Iterator<Item = (usize, Candidate)> {
    let (budget, left) = (terms.budget, terms.time_left);
    candidates
        .iter()
        .copied()
        .enumerate()
        .filter(move |(_, c)| c.usable && c.cost <= budget && c.run_time <= left)
}

/// Cost of the call and of the time it takes, in millionths of the currency unit.
fn total_cost(candidate: &Candidate, rating: Duration, terms: &Terms) -> f64 {
    let time = (candidate.run_time + rating).as_secs_f64();
    number::float(candidate.cost.micros()) + time * number::float(terms.cost_per_second.micros())
}

/// The cheapest candidate whose lower bound meets the target, so that it needs no rating, and its
/// cost.
fn cheapest_unrated(candidates: &[Candidate], terms: &Terms) -> Option<(f64, usize)> {
    fitting(candidates, terms)
        .filter(|(_, c)| c.lower_bound >= terms.target.value())
        .map(|(step, c)| (total_cost(&c, Duration::ZERO, terms), step))
        .min_by(|one, other| one.0.total_cmp(&other.0))
}

/// The candidate most likely to pass among those that fit. If none is in time, it is chosen among
/// all that fit the budget, because the caller decides what a late answer is worth.
fn best(candidates: &[Candidate], terms: &Terms) -> Option<usize> {
    let by_mean = |one: &(usize, Candidate), other: &(usize, Candidate)| {
        one.1
            .mean
            .total_cmp(&other.1.mean)
            .then(other.1.cost.cmp(&one.1.cost))
    };
    let late = Terms {
        time_left: Duration::MAX,
        ..*terms
    };
    let in_time = fitting(candidates, terms).max_by(by_mean);
    let found = in_time.or_else(|| fitting(candidates, &late).max_by(by_mean));
    found.map(|(step, _)| step)
}

/// The first step of the chain of rated steps with the least expected cost, and that cost. Each
/// chain ends at the best candidate, for which time and budget must suffice.
fn cheapest_chain(
    candidates: &[Candidate],
    terms: &Terms,
    rating: Duration,
) -> Option<(f64, usize)> {
    let last = best(candidates, terms)?;
    let top = candidates[last];
    let end = total_cost(&top, rating, terms);
    let mut cheapest = (end, last);
    for (step, candidate) in fitting(candidates, terms) {
        let fits = candidate.run_time + rating + top.run_time <= terms.time_left
            && candidate.cost + top.cost <= terms.budget;
        if step == last || candidate.cost >= top.cost || !fits {
            continue;
        }
        let rest = cost_after(candidates, terms, rating, &candidate, end);
        let expected = total_cost(&candidate, rating, terms) + (1.0 - candidate.mean) * rest;
        if expected < cheapest.0 {
            cheapest = (expected, step);
        }
    }
    Some(cheapest)
}

/// The expected cost after `first` failed: that of one intermediate step before the best
/// candidate, or of the best at once. Longer chains gain little and take the caller's time.
fn cost_after(
    candidates: &[Candidate],
    terms: &Terms,
    rating: Duration,
    first: &Candidate,
    end: f64,
) -> f64 {
    let left = terms.time_left.saturating_sub(first.run_time + rating);
    fitting(candidates, terms)
        .filter(|(_, c)| c.cost > first.cost && c.mean > first.mean && c.run_time + rating <= left)
        .map(|(_, c)| total_cost(&c, rating, terms) + (1.0 - c.mean) * end)
        .fold(end, f64::min)
}

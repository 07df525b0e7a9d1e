//! Cascade over model versions: least expected cost at the contracted quality.
//!
//! **Load:** requests of unlike difficulty, versions of unlike cost and quality, a version that
//! turns bad, a rating service that is slow or out. **Without it:** always the cheapest misses the
//! quality, always the best costs several times too much, and a fixed cascade pays for a first
//! step that fails even when everybody knows that it will. **How:** an estimate of each version's
//! share of passing answers, kept for each customer and class; the start that minimises the
//! expected cost of the whole chain; a rating after each step, and a step up if it falls short. An
//! answer is released unrated only if the estimate's lower bound alone meets the target.
//!
//! **Grounds:** `FrugalGPT` (Chen, Zaharia and Zou, 2023) for cascades behind a scorer; the Beta
//! estimate with forgetting is the textbook one for a share that drifts. A chain's expected cost
//! is that of sequential search (Weitzman, 1979) with costs known.

use std::time::Duration;

use pimento_units::Moment;
use pimento_units::Money;
use pimento_units::Share;

use crate::number;

/// Figures of an [`Estimate`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Ratings that the configured quality counts for.
    pub prior_weight: f64,
    /// The most ratings remembered: the newest ones push older ones out, so that a version that
    /// turns bad is noticed within about as many ratings, however long it was good.
    pub window: f64,
    /// Half-life of ratings when none come in.
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

/// What is known of the share of a version's answers that pass the rating: a Beta distribution
/// that forgets towards the configured quality.
#[derive(Debug, Clone)]
pub struct Estimate {
    config: Config,
    quality: f64,
    passed: f64,
    failed: f64,
    at: Moment,
}

impl Estimate {
    /// An estimate from the configured quality alone.
    #[must_use]
    pub fn new(quality: Share, config: Config) -> Self {
        Self {
            config,
            quality: quality.value(),
            passed: 0.0,
            failed: 0.0,
            at: Moment::ZERO,
        }
    }

    /// Counts a rating.
    pub fn record(&mut self, pass: bool, now: Moment) {
        let aged = number::decay(now.since(self.at), self.config.half_life);
        let room = 1.0 - 1.0 / self.config.window.max(1.0);
        self.at = self.at.max(now);
        self.passed *= aged * room;
        self.failed *= aged * room;
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

    /// A share that the true one is hardly below.
    #[must_use]
    pub fn lower_bound(&self, now: Moment) -> f64 {
        let (passed, failed) = self.counts(now);
        let total = passed + failed;
        let variance = passed * failed / (total * total * (total + 1.0));
        (passed / total - self.config.deviations * variance.sqrt()).max(0.0)
    }

    /// Ratings that the estimate rests on, without the prior.
    #[must_use]
    pub fn ratings(&self, now: Moment) -> f64 {
        let kept = number::decay(now.since(self.at), self.config.half_life);
        (self.passed + self.failed) * kept
    }

    fn counts(&self, now: Moment) -> (f64, f64) {
        let kept = number::decay(now.since(self.at), self.config.half_life);
        let prior = self.config.prior_weight.max(2.0);
        let quality = self.quality.clamp(0.01, 0.99);
        (
            self.passed * kept + prior * quality,
            self.failed * kept + prior * (1.0 - quality),
        )
    }
}

/// A version that may answer the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// What the request is expected to cost there.
    pub cost: Money,
    /// How long it is expected to take there, waiting included.
    pub run_time: Duration,
    /// Expected share that passes ([`Estimate::mean`]).
    pub mean: f64,
    /// Its lower bound ([`Estimate::lower_bound`]).
    pub lower_bound: f64,
    /// Whether it may be used now: has endpoints, and was not tried for this request.
    pub usable: bool,
}

/// What the request must keep to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Terms {
    /// The contracted share that passes.
    pub target: Share,
    /// The most that the steps may still cost together.
    pub budget: Money,
    /// Time left.
    pub time_left: Duration,
    /// How long a rating takes; none if the rating service is out.
    pub rating_time: Option<Duration>,
    /// What a second of waiting is worth; zero to weigh cost only.
    pub cost_per_second: Money,
}

/// How an answer is released.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Release {
    /// At once; a stream is passed on as it comes.
    Unrated,
    /// After it passed the rating; otherwise the plan is made anew without this version.
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

/// Share of unrated answers that are rated afterwards, so that the estimate which they were
/// released on stays true. At one in five a version that turns bad is found by its first one or two
/// failures, within about ten answers of a customer's class (measured in `docs/MEASUREMENTS.md`).
pub const SAMPLED_SHARE: f64 = 0.2;

/// Whether an answer released unrated is rated afterwards.
#[must_use]
pub fn should_sample(random: u64) -> bool {
    number::unit(random) < SAMPLED_SHARE
}

/// The next step; none if no candidate fits the budget. Called again after a failed rating with
/// that candidate no longer usable; if there is none then, the best answer so far is what there is.
#[must_use]
pub fn plan(candidates: &[Candidate], terms: &Terms) -> Option<Plan> {
    let sure = sure(candidates, terms);
    let chain = terms
        .rating_time
        .and_then(|rating| chain(candidates, terms, rating));
    match (sure, chain) {
        (Some((price, step)), Some((rival, _))) if price <= rival => Some(unrated(step)),
        (_, Some((_, step))) => Some(Plan {
            step,
            release: Release::Rated,
        }),
        (Some((_, step)), None) => Some(unrated(step)),
        (None, None) => best(candidates, terms).map(unrated),
    }
}

const fn unrated(step: usize) -> Plan {
    Plan {
        step,
        release: Release::Unrated,
    }
}

fn open(candidates: &[Candidate], terms: &Terms) -> impl Iterator<Item = (usize, Candidate)> {
    let (budget, left) = (terms.budget, terms.time_left);
    candidates
        .iter()
        .copied()
        .enumerate()
        .filter(move |(_, c)| c.usable && c.cost <= budget && c.run_time <= left)
}

/// Cost and the worth of the time, in millionths.
fn price(candidate: &Candidate, rating: Duration, terms: &Terms) -> f64 {
    let time = (candidate.run_time + rating).as_secs_f64();
    number::float(candidate.cost.micros()) + time * number::float(terms.cost_per_second.micros())
}

/// The cheapest candidate whose estimate meets the target without a rating.
fn sure(candidates: &[Candidate], terms: &Terms) -> Option<(f64, usize)> {
    open(candidates, terms)
        .filter(|(_, c)| c.lower_bound >= terms.target.value())
        .map(|(step, c)| (price(&c, Duration::ZERO, terms), step))
        .min_by(|one, other| one.0.total_cmp(&other.0))
}

/// The candidate most likely to pass among those that fit; if none is in time, among all that fit
/// the budget, as a late answer is the caller's to judge.
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
    let fitting = open(candidates, terms).max_by(by_mean);
    let found = fitting.or_else(|| open(candidates, &late).max_by(by_mean));
    found.map(|(step, _)| step)
}

/// The first step of the chain of rated steps with the least expected price, and that price. Each
/// chain ends at the best candidate, and both the time and the budget must reach so far.
fn chain(candidates: &[Candidate], terms: &Terms, rating: Duration) -> Option<(f64, usize)> {
    let last = best(candidates, terms)?;
    let top = candidates[last];
    let end = price(&top, rating, terms);
    let mut cheapest = (end, last);
    for (step, candidate) in open(candidates, terms) {
        let fits = candidate.run_time + rating + top.run_time <= terms.time_left
            && candidate.cost + top.cost <= terms.budget;
        if step == last || candidate.cost >= top.cost || !fits {
            continue;
        }
        let rest = follow(candidates, terms, rating, &candidate, end);
        let expected = price(&candidate, rating, terms) + (1.0 - candidate.mean) * rest;
        if expected < cheapest.0 {
            cheapest = (expected, step);
        }
    }
    Some(cheapest)
}

/// The expected price after `first` failed: one more step between it and the best, or the best at
/// once. Deeper chains gain little and take the caller's time.
fn follow(
    candidates: &[Candidate],
    terms: &Terms,
    rating: Duration,
    first: &Candidate,
    end: f64,
) -> f64 {
    let left = terms.time_left.saturating_sub(first.run_time + rating);
    open(candidates, terms)
        .filter(|(_, c)| c.cost > first.cost && c.mean > first.mean && c.run_time + rating <= left)
        .map(|(_, c)| price(&c, rating, terms) + (1.0 - c.mean) * end)
        .fold(end, f64::min)
}

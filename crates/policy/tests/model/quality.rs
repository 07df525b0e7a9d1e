//! Simulates requests that differ in difficulty, versions that differ in cost and quality, one of
//! which may turn bad, and a rating service that may be slow or unavailable.

use std::time::Duration;

use pimento_policy::cascade;
use pimento_policy::cascade::Candidate;
use pimento_policy::cascade::Estimate;
use pimento_policy::cascade::Release;
use pimento_policy::cascade::Terms;
use pimento_units::Money;
use pimento_units::Share;

use super::Random;
use super::float;
use super::node::moment;
use super::summary::quantile;

/// Requests per second.
const RATE: f64 = 10.0;
/// Length of a run in seconds.
const SECONDS: f64 = 600.0;
/// Second at which a version turns bad, or the rating service becomes slow or unavailable.
pub const FAULT_AT: f64 = 300.0;
/// Combinations of customer and class.
const KINDS: usize = 12;

/// A version: the cost of an answer, the seconds it takes, and the share of each class that passes.
#[derive(Debug, Clone, Copy)]
pub struct Version {
    pub cost: u64,
    pub run: f64,
    pub passes: [f64; 3],
}

/// The versions, cheapest first.
pub const VERSIONS: [Version; 3] = [
    Version {
        cost: 1_000,
        run: 0.8,
        passes: [0.95, 0.70, 0.35],
    },
    Version {
        cost: 4_000,
        run: 1.5,
        passes: [0.97, 0.90, 0.70],
    },
    Version {
        cost: 12_000,
        run: 3.0,
        passes: [0.985, 0.97, 0.95],
    },
];

/// How a version is picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Picking {
    Cascade,
    /// The cascade with a second of waiting valued like a call to the middle version.
    LatencyCascade,
    Cheapest,
    Best,
    /// The cheapest, rated, then the best.
    Fixed,
}

/// A fault at [`FAULT_AT`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The version passes a fifth of its former share.
    BadVersion(usize),
    /// Ratings take five seconds.
    SlowRatings,
    /// There are no ratings.
    NoRatings,
}

/// What callers received.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Result {
    /// Share of answers that were good enough, rated or not.
    pub quality: f64,
    /// The same after [`FAULT_AT`].
    pub quality_after: f64,
    /// Mean cost in thousandths of the currency unit.
    pub cost: f64,
    /// 95th percentile of the seconds until the whole answer.
    pub p95: f64,
    /// Number of bad answers from the bad version that callers received.
    pub bad_answers: u64,
    /// Share of answers rated before release.
    pub rated: f64,
}

/// The contracted share of answers that pass.
pub const TARGET: f64 = 0.9;

struct Run {
    random: Random,
    fault: Fault,
    estimates: Vec<Estimate>,
}

struct Answered {
    good: bool,
    version: usize,
    cost: u64,
    time: f64,
    rated: bool,
}

/// Runs 6,000 requests.
pub fn run(picking: Picking, fault: Fault, seed: u64) -> Result {
    let prior = VERSIONS.map(|v| v.passes.iter().sum::<f64>() / 3.0);
    let estimate = |kind: usize| {
        let quality = Share::try_from(prior[kind % VERSIONS.len()]).expect("a share");
        Estimate::new(quality, cascade::Config::default())
    };
    let mut run = Run {
        random: Random(seed),
        fault,
        estimates: (0..KINDS * VERSIONS.len()).map(estimate).collect(),
    };
    let mut at = 0.0;
    let (mut all, mut after) = (Vec::new(), Vec::new());
    let mut result = Result::default();
    let mut times = Vec::new();
    while at < SECONDS {
        at += run.random.gap(RATE);
        let answered = run.serve(picking, at);
        all.push(answered.good);
        if at > FAULT_AT {
            after.push(answered.good);
        }
        let bad = run.fault == Fault::BadVersion(answered.version) && at > FAULT_AT;
        result.bad_answers += u64::from(bad && !answered.good);
        result.cost += float(answered.cost) / 1_000.0;
        result.rated += f64::from(u8::from(answered.rated));
        times.push(answered.time);
    }
    let share = |answers: &[bool]| {
        let good = answers.iter().filter(|good| **good).count();
        float(good as u64) / float(answers.len() as u64)
    };
    result.quality = share(&all);
    result.quality_after = share(&after);
    result.cost /= float(all.len() as u64);
    result.rated /= float(all.len() as u64);
    result.p95 = quantile(&mut times, 0.95);
    result
}

impl Run {
    /// How long a rating takes now; none if the service is unavailable.
    fn rating(&self, at: f64) -> Option<Duration> {
        match self.fault {
            Fault::NoRatings if at > FAULT_AT => None,
            Fault::SlowRatings if at > FAULT_AT => Some(Duration::from_secs(5)),
            _ => Some(Duration::from_millis(200)),
        }
    }

    /// Whether an answer passes. In half of the cases the request's own difficulty decides and in
    /// the other half chance, so that a request that failed at one version is likelier to fail at
    /// the next.
    fn passes(&mut self, version: usize, class: usize, difficulty: f64, at: f64) -> bool {
        let bad = self.fault == Fault::BadVersion(version) && at > FAULT_AT;
        let share = VERSIONS[version].passes[class] * if bad { 0.2 } else { 1.0 };
        let draw = if self.random.unit() < 0.5 {
            difficulty
        } else {
            self.random.unit()
        };
        draw < share
    }

    fn serve(&mut self, picking: Picking, at: f64) -> Answered {
        let kind = self.random.below(KINDS);
        let class = kind % 3;
        let difficulty = self.random.unit();
        let last = VERSIONS.len() - 1;
        match picking {
            Picking::Cascade => self.cascade(kind, difficulty, at, Money::ZERO),
            Picking::LatencyCascade => {
                self.cascade(kind, difficulty, at, Money::from_micros(4_000))
            }
            Picking::Cheapest => self.call(0, class, difficulty, at),
            Picking::Best => self.call(last, class, difficulty, at),
            Picking::Fixed => {
                let first = self.call(0, class, difficulty, at);
                let Some(rating) = self.rating(at) else {
                    return first;
                };
                if first.good {
                    return Answered {
                        time: first.time + rating.as_secs_f64(),
                        rated: true,
                        ..first
                    };
                }
                let second = self.call(last, class, difficulty, at);
                Answered {
                    cost: first.cost + second.cost,
                    time: first.time + second.time + 2.0 * rating.as_secs_f64(),
                    rated: true,
                    ..second
                }
            }
        }
    }

    fn call(&mut self, version: usize, class: usize, difficulty: f64, at: f64) -> Answered {
        let good = self.passes(version, class, difficulty, at);
        let Version { cost, run, .. } = VERSIONS[version];
        Answered {
            good,
            version,
            cost,
            time: run,
            rated: false,
        }
    }

    fn cascade(&mut self, kind: usize, difficulty: f64, at: f64, second: Money) -> Answered {
        let mut usable = [true; VERSIONS.len()];
        let mut last_answer: Option<Answered> = None;
        loop {
            let (cost, time) = last_answer.as_ref().map_or((0, 0.0), |g| (g.cost, g.time));
            let terms = Terms {
                target: Share::try_from(TARGET).expect("a share"),
                budget: Money::from_micros(40_000),
                time_left: Duration::from_secs_f64((20.0 - time).max(0.0)),
                rating_time: self.rating(at),
                cost_per_second: second,
            };
            let candidates = self.candidates(kind, usable, at);
            let Some(plan) = cascade::plan(&candidates, &terms) else {
                return last_answer.expect("a first answer");
            };
            let mut step = self.call(plan.step, kind % 3, difficulty, at);
            step.cost += cost;
            step.time += time;
            usable[plan.step] = false;
            let place = kind * VERSIONS.len() + plan.step;
            let rating = terms.rating_time.unwrap_or_default().as_secs_f64();
            if plan.release == Release::Unrated {
                if terms.rating_time.is_some() && cascade::should_sample(self.random.bits()) {
                    self.estimates[place].record(step.good, moment(at));
                }
                return step;
            }
            step.time += rating;
            step.rated = true;
            self.estimates[place].record(step.good, moment(at));
            if step.good || usable == [false; VERSIONS.len()] {
                return step;
            }
            last_answer = Some(step);
        }
    }

    fn candidates(&self, kind: usize, usable: [bool; 3], at: f64) -> [Candidate; 3] {
        std::array::from_fn(|version| {
            let estimate = &self.estimates[kind * VERSIONS.len() + version];
            Candidate {
                cost: Money::from_micros(VERSIONS[version].cost),
                run_time: Duration::from_secs_f64(VERSIONS[version].run),
                mean: estimate.mean(moment(at)),
                lower_bound: estimate.lower_bound(moment(at)),
                usable: usable[version],
            }
        })
    }
}

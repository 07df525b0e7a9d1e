//! Requests of unlike difficulty before versions of unlike cost and quality, one of which may turn
//! bad, and a rating service that may be slow or out.

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

/// Requests a second.
const RATE: f64 = 10.0;
/// Seconds of a run.
const SECONDS: f64 = 600.0;
/// When a version turns bad, or the rating service goes out or slow.
pub const TURN: f64 = 300.0;
/// Customer and class together.
const KINDS: usize = 12;

/// A version: what an answer costs, how long it takes, and the share of each class that passes.
#[derive(Debug, Clone, Copy)]
pub struct Version {
    pub cost: u64,
    pub run: f64,
    pub passes: [f64; 3],
}

/// Cheapest first.
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

/// How versions are picked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Picking {
    Cascade,
    /// The same, with a second of waiting worth as much as a call to the middle version.
    Hurried,
    Cheapest,
    Best,
    /// Cheapest, rated, then best.
    Fixed,
}

/// What goes wrong at [`TURN`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    None,
    /// The version passes a fifth of what it passed.
    Bad(usize),
    /// Ratings take five seconds.
    Slow,
    /// No ratings.
    Out,
}

/// What callers received.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Result {
    /// Share of answers that were good enough, whether rated or not.
    pub quality: f64,
    /// The same after the turn.
    pub after: f64,
    /// Mean cost in thousandths of the currency unit.
    pub cost: f64,
    /// Seconds for the whole answer, 95 in 100.
    pub p95: f64,
    /// Bad answers of the bad version that callers got.
    pub exposed: u64,
    /// Share of answers rated before release.
    pub rated: f64,
}

/// The contracted share of answers that pass.
pub const TARGET: f64 = 0.9;

struct Run {
    random: Random,
    trouble: Trouble,
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
pub fn run(picking: Picking, trouble: Trouble, seed: u64) -> Result {
    let prior = VERSIONS.map(|v| v.passes.iter().sum::<f64>() / 3.0);
    let estimate = |kind: usize| {
        let quality = Share::try_from(prior[kind % VERSIONS.len()]).expect("a share");
        Estimate::new(quality, cascade::Config::default())
    };
    let mut run = Run {
        random: Random(seed),
        trouble,
        estimates: (0..KINDS * VERSIONS.len()).map(estimate).collect(),
    };
    let mut at = 0.0;
    let (mut all, mut late) = (Vec::new(), Vec::new());
    let mut result = Result::default();
    let mut times = Vec::new();
    while at < SECONDS {
        at += run.random.gap(RATE);
        let answered = run.serve(picking, at);
        all.push(answered.good);
        if at > TURN {
            late.push(answered.good);
        }
        let bad = run.trouble == Trouble::Bad(answered.version) && at > TURN;
        result.exposed += u64::from(bad && !answered.good);
        result.cost += float(answered.cost) / 1_000.0;
        result.rated += f64::from(u8::from(answered.rated));
        times.push(answered.time);
    }
    let share = |answers: &[bool]| {
        let good = answers.iter().filter(|good| **good).count();
        float(good as u64) / float(answers.len() as u64)
    };
    result.quality = share(&all);
    result.after = share(&late);
    result.cost /= float(all.len() as u64);
    result.rated /= float(all.len() as u64);
    result.p95 = quantile(&mut times, 0.95);
    result
}

impl Run {
    /// How long a rating takes now; none if the service is out.
    fn rating(&self, at: f64) -> Option<Duration> {
        match self.trouble {
            Trouble::Out if at > TURN => None,
            Trouble::Slow if at > TURN => Some(Duration::from_secs(5)),
            _ => Some(Duration::from_millis(200)),
        }
    }

    /// Half of a request's difficulty is its own and half is luck, so that one that failed at a
    /// version is likelier to fail at the next.
    fn passes(&mut self, version: usize, class: usize, hard: f64, at: f64) -> bool {
        let bad = self.trouble == Trouble::Bad(version) && at > TURN;
        let share = VERSIONS[version].passes[class] * if bad { 0.2 } else { 1.0 };
        let place = if self.random.unit() < 0.5 {
            hard
        } else {
            self.random.unit()
        };
        place < share
    }

    fn serve(&mut self, picking: Picking, at: f64) -> Answered {
        let kind = self.random.below(KINDS);
        let class = kind % 3;
        let hard = self.random.unit();
        let last = VERSIONS.len() - 1;
        match picking {
            Picking::Cascade => self.cascade(kind, hard, at, Money::ZERO),
            Picking::Hurried => self.cascade(kind, hard, at, Money::from_micros(4_000)),
            Picking::Cheapest => self.once(0, class, hard, at),
            Picking::Best => self.once(last, class, hard, at),
            Picking::Fixed => {
                let first = self.once(0, class, hard, at);
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
                let second = self.once(last, class, hard, at);
                Answered {
                    cost: first.cost + second.cost,
                    time: first.time + second.time + 2.0 * rating.as_secs_f64(),
                    rated: true,
                    ..second
                }
            }
        }
    }

    fn once(&mut self, version: usize, class: usize, hard: f64, at: f64) -> Answered {
        let good = self.passes(version, class, hard, at);
        let Version { cost, run, .. } = VERSIONS[version];
        Answered {
            good,
            version,
            cost,
            time: run,
            rated: false,
        }
    }

    fn cascade(&mut self, kind: usize, hard: f64, at: f64, second: Money) -> Answered {
        let mut usable = [true; VERSIONS.len()];
        let mut got: Option<Answered> = None;
        loop {
            let (cost, time) = got.as_ref().map_or((0, 0.0), |g| (g.cost, g.time));
            let terms = Terms {
                target: Share::try_from(TARGET).expect("a share"),
                budget: Money::from_micros(40_000),
                time_left: Duration::from_secs_f64((20.0 - time).max(0.0)),
                rating_time: self.rating(at),
                cost_per_second: second,
            };
            let candidates = self.candidates(kind, usable, at);
            let Some(plan) = cascade::plan(&candidates, &terms) else {
                return got.expect("a first answer");
            };
            let mut step = self.once(plan.step, kind % 3, hard, at);
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
            got = Some(step);
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

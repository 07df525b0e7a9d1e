//! What callers received, in figures.

use super::engine::FULL;
use super::float;
use super::scenario;
use super::scenario::CUSTOMERS;
use super::scenario::ENDPOINTS;
use super::scenario::Scenario;
use super::whole;
use super::world::Answer;
use super::world::Request;
use super::world::World;

#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// Share of all requests served in time.
    pub served: f64,
    /// The same for each customer.
    pub customers: Vec<f64>,
    /// Seconds to the first token of served short requests: 50, 95 and 99 in 100.
    pub short: [f64; 3],
    /// The same of all served requests.
    pub all: [f64; 3],
    /// Work of the served, in shares of the capacity while requests came in.
    pub goodput: f64,
    /// Work that the engines did, in shares of what they could while requests came in.
    pub busy: f64,
    /// Share refused, share late or failed.
    pub refused: f64,
    pub lost: f64,
    /// Seconds until 99 in 100 of the refused heard of it.
    pub refusal_p99: f64,
    /// Share served of those who came back when told.
    pub truth: Option<f64>,
    /// The same of those who came back while new requests still came in.
    pub pressed: Option<f64>,
    /// Attempts for each request that got any.
    pub attempts: f64,
    /// Work that the engines did for each token of work served in time: losing attempts, late
    /// answers and prompts read without a cached prefix raise it.
    pub cost: f64,
    /// Parts of all work: on calls that were cancelled, on prompts read without a cached prefix.
    pub wasted: f64,
    pub missed: f64,
}

/// The value that `share` of the sorted values don't exceed; zero if there are none.
pub fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    let place = whole((float(values.len() as u64) * share).ceil()).saturating_sub(1);
    values.get(place.min(last)).copied().unwrap_or(0.0)
}

fn share<'a>(requests: impl Iterator<Item = &'a Request>, fits: impl Fn(&Request) -> bool) -> f64 {
    let (mut hits, mut total) = (0_u64, 0_u64);
    for request in requests {
        total += 1;
        hits += u64::from(fits(request));
    }
    if total == 0 {
        1.0
    } else {
        float(hits) / float(total)
    }
}

fn served(request: &Request) -> bool {
    request.answer == Answer::Served
}

fn refused(request: &Request) -> bool {
    matches!(request.answer, Answer::Refused { .. })
}

fn work(request: &Request) -> f64 {
    scenario::work(float(request.arrival.input), float(request.arrival.output))
}

/// The part of a request's work that fell between `from` and `to`, taken as even from the first
/// token to the last.
fn within(request: &Request, from: f64, to: f64) -> f64 {
    let began = request.first.unwrap_or(request.ended);
    let overlap = request.ended.min(to) - began.max(from);
    let run = (request.ended - began).max(f64::MIN_POSITIVE);
    work(request) * (overlap / run).clamp(0.0, 1.0)
}

/// Seconds at the start that goodput leaves out, while the pool fills.
const START: f64 = 10.0;

/// Seconds to the first token of the served that `fits` lets through.
pub fn waits(world: &World, fits: impl Fn(&Request) -> bool) -> Vec<f64> {
    let served = world.requests.iter().filter(|r| served(r) && fits(r));
    served
        .filter_map(|r| Some(r.first? - r.arrival.at))
        .collect()
}

fn three(mut waits: Vec<f64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|share| quantile(&mut waits, share))
}

impl Summary {
    pub fn of(scenario: &Scenario, world: &World) -> Self {
        let first: Vec<&Request> = world
            .requests
            .iter()
            .filter(|r| r.origin.is_none())
            .collect();
        let back = world.requests.iter().filter(|r| r.origin.is_some());
        let of = |customer| {
            first
                .iter()
                .copied()
                .filter(move |r| r.arrival.customer == customer)
        };
        let done: f64 = world.requests.iter().filter(|r| served(r)).map(work).sum();
        let end = scenario.recipe.seconds;
        let served_all = world.requests.iter().filter(|r| served(r));
        let steady: f64 = served_all.map(|r| within(r, START, end)).sum();
        let capacity = FULL * float(ENDPOINTS as u64) * (end - START);
        let refusals = world.requests.iter().filter(|r| refused(r));
        let mut heard: Vec<f64> = refusals.map(|r| r.ended - r.arrival.at).collect();
        let tried: Vec<&Request> = world.requests.iter().filter(|r| r.attempts > 0).collect();
        let attempts: u64 = tried.iter().map(|r| u64::from(r.attempts)).sum();
        let spent: f64 = world.engines.iter().map(|e| e.served).sum();
        let pressed = back.clone().filter(|r| r.arrival.at < end);
        let returned = world.requests.iter().any(|r| r.origin.is_some());
        Self {
            served: share(first.iter().copied(), served),
            customers: (0..CUSTOMERS).map(|c| share(of(c), served)).collect(),
            short: three(waits(world, |r| r.arrival.class == 0)),
            all: three(waits(world, |_| true)),
            goodput: steady / capacity,
            busy: world.busy / (FULL * float(ENDPOINTS as u64) * end),
            refused: share(first.iter().copied(), refused),
            lost: share(first.iter().copied(), |r| !served(r) && !refused(r)),
            refusal_p99: quantile(&mut heard, 0.99),
            pressed: pressed.clone().next().map(|_| share(pressed, served)),
            truth: returned.then(|| share(back, served)),
            attempts: float(attempts) / float(tried.len().max(1) as u64),
            cost: spent / done.max(1.0),
            wasted: world.engines.iter().map(|e| e.wasted).sum::<f64>() / spent.max(1.0),
            missed: world.engines.iter().map(|e| e.missed).sum::<f64>() / spent.max(1.0),
        }
    }

    /// The mean of several runs.
    pub fn mean(runs: &[Self]) -> Self {
        let count = float(runs.len() as u64);
        let of = |part: fn(&Self) -> f64| runs.iter().map(part).sum::<f64>() / count;
        let known = |part: fn(&Self) -> Option<f64>| {
            let known: Vec<f64> = runs.iter().filter_map(part).collect();
            let count = float(known.len() as u64);
            (!known.is_empty()).then(|| known.iter().sum::<f64>() / count)
        };
        let customer = |c: usize| runs.iter().map(|run| run.customers[c]).sum::<f64>() / count;
        Self {
            served: of(|run| run.served),
            customers: (0..CUSTOMERS).map(customer).collect(),
            short: [
                of(|run| run.short[0]),
                of(|run| run.short[1]),
                of(|run| run.short[2]),
            ],
            all: [
                of(|run| run.all[0]),
                of(|run| run.all[1]),
                of(|run| run.all[2]),
            ],
            goodput: of(|run| run.goodput),
            busy: of(|run| run.busy),
            refused: of(|run| run.refused),
            lost: of(|run| run.lost),
            refusal_p99: of(|run| run.refusal_p99),
            truth: known(|run| run.truth),
            pressed: known(|run| run.pressed),
            attempts: of(|run| run.attempts),
            cost: of(|run| run.cost),
            wasted: of(|run| run.wasted),
            missed: of(|run| run.missed),
        }
    }

    /// The customer that fares worst, the hot one left out if there is one.
    pub fn worst(&self, scenario: &Scenario) -> f64 {
        let hot = scenario.recipe.hot_customer.map(|_| 3);
        let others = self
            .customers
            .iter()
            .enumerate()
            .filter(|(c, _)| Some(*c) != hot);
        others.map(|(_, served)| *served).fold(1.0, f64::min)
    }
}

/// What became of the requests of one class.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    pub served: usize,
    /// Refused at the door, within a tenth of a second.
    pub refused: usize,
    /// Refused after waiting.
    pub expired: usize,
    /// Given up on by the caller before or after it was sent.
    pub late: usize,
    pub cut: usize,
    pub failed: usize,
}

impl Counts {
    pub fn of(world: &World, class: usize) -> Self {
        let mut counts = Self::default();
        let first = world.requests.iter().filter(|r| r.origin.is_none());
        for request in first.filter(|r| r.arrival.class == class) {
            let place = match request.answer {
                Answer::Served => &mut counts.served,
                Answer::Refused { .. } if request.ended - request.arrival.at < 0.1 => {
                    &mut counts.refused
                }
                Answer::Refused { .. } => &mut counts.expired,
                Answer::Late if request.attempts > 0 => &mut counts.cut,
                Answer::Late | Answer::Pending => &mut counts.late,
                Answer::Failed => &mut counts.failed,
            };
            *place += 1;
        }
        counts
    }
}

//! Figures on what callers received.

use super::engine::BATCH_RATE;
use super::float;
use super::floor;
use super::scenario;
use super::scenario::CUSTOMERS;
use super::scenario::ENDPOINTS;
use super::scenario::Scenario;
use super::world::Answer;
use super::world::Request;
use super::world::World;

#[derive(Debug, Clone, PartialEq)]
pub struct Summary {
    /// Share of all requests served in time.
    pub served: f64,
    /// The same for each customer.
    pub customers: Vec<f64>,
    /// 50th, 95th and 99th percentiles of the seconds to the first token, for served short
    /// requests.
    pub short: [f64; 3],
    /// The same for all served requests.
    pub all: [f64; 3],
    /// Work of the served requests, as a share of the capacity while requests arrived.
    pub goodput: f64,
    /// Work that the engines did, as a share of what they could do while requests arrived.
    pub utilization: f64,
    /// Share of all requests refused.
    pub refused: f64,
    /// Share of all requests that were late or failed.
    pub lost: f64,
    /// 99th percentile of the seconds until a refused request was answered.
    pub refusal_p99: f64,
    /// Share served of the requests that came back after their `Retry-After`.
    pub returning_served: Option<f64>,
    /// The same for those that came back while new requests still arrived.
    pub returning_served_under_load: Option<f64>,
    /// Mean number of attempts of the requests that were sent.
    pub attempts: f64,
    /// Work of the engines per token of work served in time. Hedges that lost, late answers and
    /// uncached prefixes raise it.
    pub cost: f64,
    /// Share of all work that was done for calls that were cancelled.
    pub wasted: f64,
    /// Share of all work that was done for uncached prefixes.
    pub cache_misses: f64,
}

/// The value that `share` of the values don't exceed; zero if there are none. Sorts the values.
pub fn quantile(values: &mut [f64], share: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let last = values.len().saturating_sub(1);
    let place = floor((float(values.len() as u64) * share).ceil()).saturating_sub(1);
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

/// The part of a request's work that was done between `from` and `to`, assuming an even rate from
/// the first token to the last.
fn within(request: &Request, from: f64, to: f64) -> f64 {
    let began = request.first.unwrap_or(request.ended);
    let overlap = request.ended.min(to) - began.max(from);
    let run = (request.ended - began).max(f64::MIN_POSITIVE);
    work(request) * (overlap / run).clamp(0.0, 1.0)
}

/// Seconds at the start that goodput excludes, while the pool fills.
const WARM_UP: f64 = 10.0;

/// Seconds to the first token for the served requests that match `filter`.
pub fn waits(world: &World, filter: impl Fn(&Request) -> bool) -> Vec<f64> {
    let served = world.requests.iter().filter(|r| served(r) && filter(r));
    served
        .filter_map(|r| Some(r.first? - r.arrival.at))
        .collect()
}

fn percentiles(mut waits: Vec<f64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|share| quantile(&mut waits, share))
}

impl Summary {
    pub fn of(scenario: &Scenario, world: &World) -> Self {
        let first: Vec<&Request> = world
            .requests
            .iter()
            .filter(|r| r.origin.is_none())
            .collect();
        let returning = world.requests.iter().filter(|r| r.origin.is_some());
        let of = |customer| {
            first
                .iter()
                .copied()
                .filter(move |r| r.arrival.customer == customer)
        };
        let done: f64 = world.requests.iter().filter(|r| served(r)).map(work).sum();
        let end = scenario.recipe.seconds;
        let served_all = world.requests.iter().filter(|r| served(r));
        let steady: f64 = served_all.map(|r| within(r, WARM_UP, end)).sum();
        let capacity = BATCH_RATE * float(ENDPOINTS as u64) * (end - WARM_UP);
        let refusals = world.requests.iter().filter(|r| refused(r));
        let mut refusal_times: Vec<f64> = refusals.map(|r| r.ended - r.arrival.at).collect();
        let attempted: Vec<&Request> = world.requests.iter().filter(|r| r.attempts > 0).collect();
        let attempts: u64 = attempted.iter().map(|r| u64::from(r.attempts)).sum();
        let spent: f64 = world.engines.iter().map(|e| e.served).sum();
        let under_load = returning.clone().filter(|r| r.arrival.at < end);
        let returned = world.requests.iter().any(|r| r.origin.is_some());
        Self {
            served: share(first.iter().copied(), served),
            customers: (0..CUSTOMERS).map(|c| share(of(c), served)).collect(),
            short: percentiles(waits(world, |r| r.arrival.class == 0)),
            all: percentiles(waits(world, |_| true)),
            goodput: steady / capacity,
            utilization: world.work_done / (BATCH_RATE * float(ENDPOINTS as u64) * end),
            refused: share(first.iter().copied(), refused),
            lost: share(first.iter().copied(), |r| !served(r) && !refused(r)),
            refusal_p99: quantile(&mut refusal_times, 0.99),
            returning_served_under_load: under_load
                .clone()
                .next()
                .map(|_| share(under_load, served)),
            returning_served: returned.then(|| share(returning, served)),
            attempts: float(attempts) / float(attempted.len().max(1) as u64),
            cost: spent / done.max(1.0),
            wasted: world.engines.iter().map(|e| e.wasted).sum::<f64>() / spent.max(1.0),
            cache_misses: world.engines.iter().map(|e| e.cache_misses).sum::<f64>()
                / spent.max(1.0),
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
            utilization: of(|run| run.utilization),
            refused: of(|run| run.refused),
            lost: of(|run| run.lost),
            refusal_p99: of(|run| run.refusal_p99),
            returning_served: known(|run| run.returning_served),
            returning_served_under_load: known(|run| run.returning_served_under_load),
            attempts: of(|run| run.attempts),
            cost: of(|run| run.cost),
            wasted: of(|run| run.wasted),
            cache_misses: of(|run| run.cache_misses),
        }
    }

    /// Share served of the customer that fares worst, except for the hot one if there is one.
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

/// Outcomes of the requests of one class.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Counts {
    pub served: usize,
    /// Refused on arrival, within a tenth of a second.
    pub refused: usize,
    /// Refused after waiting.
    pub expired: usize,
    /// Timed out before it was sent.
    pub late: usize,
    /// Timed out after it was sent.
    pub cut: usize,
    pub failed: usize,
}

impl Counts {
    pub fn of(world: &World, class: usize) -> Self {
        let mut counts = Self::default();
        let first = world.requests.iter().filter(|r| r.origin.is_none());
        for request in first.filter(|r| r.arrival.class == class) {
            let count = match request.answer {
                Answer::Served => &mut counts.served,
                Answer::Refused { .. } if request.ended - request.arrival.at < 0.1 => {
                    &mut counts.refused
                }
                Answer::Refused { .. } => &mut counts.expired,
                Answer::Late if request.attempts > 0 => &mut counts.cut,
                Answer::Late | Answer::Pending => &mut counts.late,
                Answer::Failed => &mut counts.failed,
            };
            *count += 1;
        }
        counts
    }
}

//! Cost of a decision, in time by `criterion` and in bytes by a counting allocator, for 12 and 600
//! endpoints and for 10 and 1,000 waiting customers.

use std::alloc::System;
use std::hint::black_box;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use pimento_policy::admission;
use pimento_policy::choice;
use pimento_policy::choice::Candidate;
use pimento_policy::eject;
use pimento_policy::limit;
use pimento_policy::queue;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;
use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::Region;
use stats_alloc::StatsAlloc;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const ENDPOINTS: [usize; 2] = [12, 600];
const CUSTOMERS: [usize; 2] = [10, 1_000];

/// Number of decisions over which allocations are counted.
const COUNTED_DECISIONS: u64 = 10_000;

struct Node {
    gate: admission::Gate,
    queue: queue::Queue,
    limiters: Vec<limit::Limiter>,
    health: eject::Health,
    endpoints: Vec<id::Endpoint>,
    customers: Vec<id::Customer>,
    candidates: Vec<Candidate>,
    step: u64,
}

fn name<T: std::str::FromStr>(prefix: &str, number: usize) -> T
where
    T::Err: std::fmt::Debug,
{
    format!("{prefix}-{number:04}").parse().expect("a name")
}

impl Node {
    /// Creates a node in whose queue each customer has one waiting job.
    fn new(endpoints: usize, customers: usize) -> Self {
        let endpoints: Vec<id::Endpoint> = (0..endpoints).map(|e| name("engine", e)).collect();
        let customers: Vec<id::Customer> = (0..customers).map(|c| name("workspace", c)).collect();
        let mut health = eject::Health::new(eject::Config::default());
        health.set_endpoints(endpoints.iter().cloned());
        let limiter = limit::Limiter::new(limit::Config::default());
        let candidate = |(place, endpoint): (usize, &id::Endpoint)| Candidate {
            name_hash: choice::hash(endpoint.as_str()),
            usable: true,
            extra_delay: Duration::from_millis(if place % 3 == 0 { 0 } else { 10 }),
            own: 0,
            limit: 8,
            others: u32::try_from(place % 7).expect("a small number"),
            report_age: Duration::from_millis(300),
            run_time: Duration::from_millis(500),
        };
        let mut node = Self {
            gate: admission::Gate::new(admission::Config::default()),
            queue: queue::Queue::new(queue::Config::default()),
            limiters: vec![limiter; endpoints.len()],
            health,
            candidates: endpoints.iter().enumerate().map(candidate).collect(),
            endpoints,
            customers,
            step: 0,
        };
        for place in 0..node.customers.len() {
            node.enqueue(place);
        }
        node
    }

    fn now(&self) -> Moment {
        Moment::from_millis(self.step)
    }

    fn enqueue(&mut self, place: usize) {
        self.queue.enqueue(queue::Job {
            customer: self.customers[place].clone(),
            weight: 1,
            priority: u8::try_from(place % 3).expect("a small number"),
            tokens: Tokens(100),
            start_by: Moment::from_nanos(u64::MAX),
        });
    }

    /// Admission of a request, including the work ahead of it.
    fn admit(&mut self, place: usize) -> admission::Verdict {
        let customer = &self.customers[place];
        let priority = u8::try_from(place % 3).expect("a small number");
        let demand = admission::Demand {
            ahead: self.queue.work_ahead(customer, 1, priority, Tokens(100)),
            slots: u32::try_from(self.limiters.len() * 8).expect("a small number"),
            free: 0,
            run_time: self.gate.run_time(Tokens(100)),
            deadline: self.now() + Duration::from_secs(10),
        };
        self.gate.decide(demand, self.now(), self.step)
    }

    /// Updates one candidate; a call only changes the candidate of its own endpoint.
    fn update(&mut self, place: usize) {
        self.candidates[place].own = self.limiters[place].in_flight();
        self.candidates[place].limit = self.limiters[place].limit();
    }

    /// Updates all candidates.
    fn refresh(&mut self) {
        for (candidate, limiter) in self.candidates.iter_mut().zip(&self.limiters) {
            candidate.own = limiter.in_flight();
            candidate.limit = limiter.limit();
        }
        if self.health.ejected() == 0 {
            return;
        }
        let states = self.health.states(self.now());
        for (candidate, state) in self.candidates.iter_mut().zip(states) {
            candidate.usable = state == eject::State::Active;
        }
    }

    fn choose(&self, prefix: Option<u64>) -> Option<usize> {
        let random = self.step.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        choice::choose(&self.candidates, prefix, random, &choice::Config::default())
    }

    /// All decisions for one request: admission, enqueueing and dequeueing, the choice, the slot,
    /// and recording the answer. Candidates are updated call by call and all of them each tenth of
    /// a second (a hundred calls here), or for each request if `refresh`.
    fn handle_request(&mut self, refresh: bool) {
        self.step += 1;
        let place = usize::try_from(self.step).expect("small") % self.customers.len();
        black_box(self.admit(place));
        self.enqueue(place);
        let now = self.now();
        let dispatch = self.queue.next(now, 4_800).expect("jobs wait");
        if refresh || self.step.is_multiple_of(100) {
            self.refresh();
        }
        let chosen = self.choose(Some(self.step % 64)).expect("slots are free");
        assert!(self.limiters[chosen].acquire());
        self.update(chosen);
        self.health.record_sent(&self.endpoints[chosen], now);
        let took = Duration::from_millis(500);
        let tokens = Tokens(100);
        self.limiters[chosen].release(limit::Outcome::Served { tokens, took });
        self.update(chosen);
        let served = eject::Outcome::Served {
            seconds_per_token: 0.005,
        };
        self.health.record(&self.endpoints[chosen], served, now);
        self.gate.record(tokens, took, now);
        self.queue.release(&dispatch);
    }
}

/// Prints the allocations and bytes of many runs of `decide`.
fn count(what: &str, mut decide: impl FnMut()) {
    for _ in 0..COUNTED_DECISIONS {
        decide();
    }
    let region = Region::new(ALLOCATOR);
    for _ in 0..COUNTED_DECISIONS {
        decide();
    }
    let change = region.change();
    println!(
        "bytes: {what}: {} allocations, {} bytes in {COUNTED_DECISIONS} decisions",
        change.allocations + change.reallocations,
        change.bytes_allocated
    );
}

fn decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    group.sample_size(30);
    group.warm_up_time(Duration::from_millis(300));
    group.measurement_time(Duration::from_secs(1));
    for endpoints in ENDPOINTS {
        let mut node = Node::new(endpoints, 10);
        let mut prefix = 0;
        group.bench_function(
            BenchmarkId::new("choice with prefix", endpoints),
            |bencher| {
                bencher.iter(|| {
                    prefix += 1;
                    black_box(node.choose(Some(prefix)))
                });
            },
        );
        group.bench_function(BenchmarkId::new("choice of two", endpoints), |bencher| {
            bencher.iter(|| {
                node.step += 1;
                black_box(node.choose(None))
            });
        });
        count(&format!("choice, {endpoints} endpoints"), || {
            node.step += 1;
            black_box(node.choose(Some(node.step)));
            black_box(node.choose(None));
        });
        for customers in CUSTOMERS {
            let region = Region::new(ALLOCATOR);
            let mut node = Node::new(endpoints, customers);
            let change = region.change();
            let held = change.bytes_allocated - change.bytes_deallocated;
            let sizes = format!("{endpoints} endpoints, {customers} customers");
            println!("bytes: state of {sizes}: {held} bytes");
            group.bench_function(BenchmarkId::new("door", &sizes), |bencher| {
                bencher.iter(|| black_box(node.admit(1)));
            });
            for (what, refresh) in [("whole", false), ("whole, candidates anew", true)] {
                group.bench_function(BenchmarkId::new(what, &sizes), |bencher| {
                    bencher.iter(|| node.handle_request(refresh));
                });
            }
            count(&format!("whole, {sizes}"), || node.handle_request(false));
        }
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);

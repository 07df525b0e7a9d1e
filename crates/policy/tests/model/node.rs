//! An entry node of the model: this crate's modules combined, each of which can be switched off.

use std::collections::VecDeque;
use std::time::Duration;

use pimento_policy::admission;
use pimento_policy::choice;
use pimento_policy::eject;
use pimento_policy::hedge;
use pimento_policy::limit;
use pimento_policy::queue;
use pimento_policy::retry;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;

use super::Random;
use super::engine::BATCH;
use super::floor;
use super::scenario::Arrival;
use super::scenario::CLASSES;
use super::scenario::CUSTOMERS;
use super::scenario::ENDPOINTS;

/// How an endpoint is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    Policy,
    RoundRobin,
    RandomTwo,
    LeastInFlight,
}

/// Which mechanisms are switched on.
#[derive(Debug, Clone, Copy)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "one switch for each mechanism"
)]
pub struct Mechanisms {
    pub admission: bool,
    pub fair: bool,
    pub limit: bool,
    pub budget: bool,
    pub eject: bool,
    pub hedge: bool,
    pub choice: Choice,
}

impl Mechanisms {
    pub const ALL: Self = Self {
        admission: true,
        fair: true,
        limit: true,
        budget: true,
        eject: true,
        hedge: true,
        choice: Choice::Policy,
    };

    /// First in, first out, without admission control, with a fixed limit of one batch per
    /// endpoint.
    pub const fn naive(choice: Choice) -> Self {
        Self {
            admission: false,
            fair: false,
            limit: false,
            budget: false,
            eject: false,
            hedge: false,
            choice,
        }
    }
}

/// Round-trip time between zones.
const ZONE_RTT: Duration = Duration::from_millis(10);

#[derive(Debug, Clone, Copy, Default)]
struct LoadReport {
    /// Calls of other nodes.
    others: u32,
    measured: f64,
}

#[derive(Debug)]
pub struct Node {
    pub zone: usize,
    pub mechanisms: Mechanisms,
    pub gate: admission::Gate,
    pub queue: queue::Queue,
    pub limiters: Vec<limit::Limiter>,
    pub health: eject::Health,
    pub tails: [hedge::LatencyHistogram; CLASSES.len()],
    pub lengths: [admission::AnswerLength; CLASSES.len()],
    pub customers: Vec<retry::Budget>,
    pub pool: retry::Budget,
    pub tickets: Vec<(queue::Ticket, usize)>,
    pub retries: VecDeque<usize>,
    pub random: Random,
    endpoints: Vec<id::Endpoint>,
    workspaces: Vec<id::Customer>,
    reports: Vec<LoadReport>,
    turn: usize,
}

pub fn moment(at: f64) -> Moment {
    Moment::ZERO + Duration::from_secs_f64(at.max(0.0))
}

fn name<T: std::str::FromStr>(prefix: &str, number: usize) -> T
where
    T::Err: std::fmt::Debug,
{
    format!("{prefix}-{number:02}").parse().expect("a name")
}

impl Node {
    pub fn new(number: usize, mechanisms: Mechanisms, seed: u64) -> Self {
        let endpoints: Vec<id::Endpoint> = (0..ENDPOINTS).map(|e| name("engine", e)).collect();
        let mut health = eject::Health::new(eject::Config::default());
        health.set_endpoints(endpoints.iter().cloned());
        let limits = limit::Config::default();
        let fixed = limit::Config {
            initial: 16.0,
            min: 16.0,
            max: 16.0,
            ..limits
        };
        let limits = if mechanisms.limit { limits } else { fixed };
        let fair = queue::Config::default();
        let plain = queue::Config {
            long_threshold: Tokens(u64::MAX),
            ..fair
        };
        let mut random = Random(seed ^ (number as u64) << 32);
        Self {
            zone: number % 3,
            mechanisms,
            gate: admission::Gate::new(admission::Config::default()),
            queue: queue::Queue::new(if mechanisms.fair { fair } else { plain }),
            limiters: (0..ENDPOINTS)
                .map(|_| {
                    limit::Limiter::new(limit::Config {
                        rounding_offset: random.unit(),
                        ..limits
                    })
                })
                .collect(),
            health,
            tails: std::array::from_fn(|_| hedge::LatencyHistogram::default()),
            lengths: CLASSES
                .map(|class| admission::AnswerLength::new(Tokens(floor(class.output) as u64))),
            customers: vec![retry::Budget::new(retry::Config::default()); CUSTOMERS],
            pool: retry::Budget::new(retry::Config::default()),
            tickets: Vec::new(),
            retries: VecDeque::new(),
            random,
            endpoints,
            workspaces: (0..CUSTOMERS).map(|c| name("workspace", c)).collect(),
            reports: vec![LoadReport::default(); ENDPOINTS],
            turn: number,
        }
    }

    pub fn endpoint(&self, place: usize) -> &id::Endpoint {
        &self.endpoints[place]
    }

    /// Estimated work of a request.
    pub fn estimate(&self, arrival: &Arrival) -> Tokens {
        let output = self.lengths[arrival.class].estimate(Tokens(4_000));
        admission::work(Tokens(arrival.input), output)
    }

    fn job(&self, arrival: &Arrival, start_by: Moment) -> queue::Job {
        let fair = self.mechanisms.fair;
        let customer = if fair { arrival.customer } else { 0 };
        queue::Job {
            customer: self.workspaces[customer].clone(),
            weight: 1,
            priority: if fair {
                CLASSES[arrival.class].priority
            } else {
                0
            },
            tokens: self.estimate(arrival),
            start_by,
        }
    }

    fn demand(&self, arrival: &Arrival, deadline: f64, now: f64) -> admission::Demand {
        let job = self.job(arrival, Moment::ZERO);
        let open = |e: &usize| self.open(*e, now);
        admission::Demand {
            ahead: self
                .queue
                .work_ahead(&job.customer, 1, job.priority, job.tokens),
            slots: (0..ENDPOINTS)
                .filter(open)
                .map(|e| self.limiters[e].limit())
                .sum(),
            free: (0..ENDPOINTS)
                .filter(open)
                .map(|e| self.limiters[e].free())
                .sum(),
            run_time: self.gate.run_time(job.tokens),
            deadline: moment(deadline),
        }
    }

    /// Admission control: puts the request into the queue, or returns when it may come back.
    pub fn admit(
        &mut self,
        request: usize,
        returning: bool,
        arrival: &Arrival,
        deadline: f64,
        now: f64,
    ) -> Option<f64> {
        let mut latest = moment(deadline);
        if self.mechanisms.admission {
            let demand = self.demand(arrival, deadline, now);
            let random = self.random.bits();
            let verdict = if returning {
                self.gate.decide_returning(demand, moment(now), random)
            } else {
                self.gate.decide(demand, moment(now), random)
            };
            match verdict {
                admission::Verdict::Admit { start_by } => latest = start_by,
                admission::Verdict::Refuse { retry_after } => {
                    return Some(retry_after.as_secs_f64());
                }
            }
        }
        let ticket = self.queue.enqueue(self.job(arrival, latest));
        self.tickets.push((ticket, request));
        None
    }

    /// Removes a ticket that left the queue and returns its request.
    pub fn remove_ticket(&mut self, ticket: queue::Ticket) -> usize {
        let place = self.tickets.iter().position(|(known, _)| *known == ticket);
        let (_, request) = self.tickets.swap_remove(place.expect("a known ticket"));
        request
    }

    /// When a request that expired in the queue may come back.
    pub fn retry_after(&mut self, arrival: &Arrival, now: f64) -> f64 {
        let demand = self.demand(arrival, now, now);
        let random = self.random.bits();
        self.gate
            .retry_after(demand, moment(now), random)
            .as_secs_f64()
    }

    pub fn slots(&self, now: f64) -> u32 {
        let open = |e: &usize| self.open(*e, now);
        (0..ENDPOINTS)
            .filter(open)
            .map(|e| self.limiters[e].limit())
            .sum()
    }

    fn open(&self, place: usize, now: f64) -> bool {
        let state = self.health.state(&self.endpoints[place], moment(now));
        !self.mechanisms.eject || state == eject::State::Active
    }

    /// Whether any endpoint has a free slot.
    pub fn free(&self, now: f64) -> bool {
        (0..ENDPOINTS).any(|e| self.open(e, now) && self.limiters[e].free() > 0)
    }

    /// Receives the load, running and waiting, that an endpoint measured.
    pub fn receive_report(&mut self, place: usize, load: (u32, u32), measured: f64) {
        let own = self.limiters[place].in_flight();
        let others = (load.0 + load.1).saturating_sub(own);
        self.reports[place] = LoadReport { others, measured };
        self.limiters[place].apply_report(limit::Report {
            running: load.0,
            waiting: load.1,
            batch: u32::try_from(BATCH).unwrap_or(u32::MAX),
        });
    }

    /// The endpoint for an attempt.
    pub fn choose(&mut self, arrival: &Arrival, tried: &[usize], now: f64) -> Option<usize> {
        let fits = |e: usize| !tried.contains(&e) && self.limiters[e].free() > 0;
        let due = self.health.probe_due(moment(now));
        let probe = due.and_then(|name| self.endpoints.iter().position(|e| e == name));
        if let Some(probe) =
            probe.filter(|p| self.mechanisms.eject && arrival.class == 0 && fits(*p))
        {
            return Some(probe);
        }
        let usable = |e: &usize| fits(*e) && self.open(*e, now);
        let open: Vec<usize> = (0..ENDPOINTS).filter(usable).collect();
        if open.is_empty() {
            return None;
        }
        match self.mechanisms.choice {
            Choice::Policy => self.choose_by_policy(arrival, &open, now),
            Choice::RoundRobin => {
                self.turn += 1;
                Some(open[self.turn % open.len()])
            }
            Choice::RandomTwo => {
                let one = open[self.random.below(open.len())];
                let other = open[self.random.below(open.len())];
                [one, other]
                    .into_iter()
                    .min_by_key(|e| self.limiters[*e].in_flight())
            }
            Choice::LeastInFlight => open
                .into_iter()
                .min_by_key(|e| self.limiters[*e].in_flight()),
        }
    }

    fn choose_by_policy(&mut self, arrival: &Arrival, open: &[usize], now: f64) -> Option<usize> {
        let random = self.random.bits();
        let candidate = |e: usize| choice::Candidate {
            name_hash: choice::hash(self.endpoints[e].as_str()),
            usable: open.contains(&e),
            extra_delay: if e % 3 == self.zone {
                Duration::ZERO
            } else {
                ZONE_RTT
            },
            own: self.limiters[e].in_flight(),
            limit: self.limiters[e].limit(),
            others: self.reports[e].others,
            report_age: Duration::from_secs_f64((now - self.reports[e].measured).max(0.0)),
            run_time: Duration::from_secs_f64(self.limiters[e].seconds_per_token() * 100.0),
        };
        let candidates: Vec<choice::Candidate> = (0..ENDPOINTS).map(candidate).collect();
        choice::choose(
            &candidates,
            Some(arrival.prefix),
            random,
            &choice::Config::default(),
        )
    }
}

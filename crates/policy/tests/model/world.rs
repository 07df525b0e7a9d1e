//! The event loop: arrivals reach nodes, attempts reach engines, and callers get answers.

mod attempts;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use pimento_policy::eject;
use pimento_policy::limit;
use pimento_policy::queue;

use super::Random;
use super::engine::Engine;
use super::float;
use super::floor;
use super::node::Mechanisms;
use super::node::Node;
use super::node::moment;
use super::scenario::Arrival;
use super::scenario::CLASSES;
use super::scenario::ENDPOINTS;
use super::scenario::Kind;
use super::scenario::Scenario;

/// Seconds between measurements of an engine's load.
const MEASURE_INTERVAL: f64 = 0.5;
/// Seconds between a node's checks of its queue.
const TICK_INTERVAL: f64 = 0.05;
/// One-way delays in seconds within a zone and between zones.
const DELAYS: [f64; 2] = [0.0005, 0.005];
/// Seconds that the run continues after the last recorded arrival.
const DRAIN_TIME: f64 = 300.0;
/// Seconds until an attempt that can't succeed fails.
const FAILURE_DELAY: f64 = 0.005;

/// What a caller received.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Answer {
    Pending,
    Served,
    /// The caller's timeout expired.
    Late,
    Refused {
        after: f64,
    },
    /// An error that is not retried.
    Failed,
}

/// A request as its caller sees it.
#[derive(Debug, Clone)]
pub struct Request {
    pub arrival: Arrival,
    pub answer: Answer,
    /// When the first token and the final answer came.
    pub first: Option<f64>,
    pub ended: f64,
    pub attempts: u32,
    /// The refused request that this one repeats after `Retry-After`.
    pub origin: Option<usize>,
    node: usize,
    tried: Vec<usize>,
    open_attempts: Vec<usize>,
    dispatch: Option<queue::Dispatch>,
}

#[derive(Debug, Clone)]
struct Attempt {
    request: usize,
    endpoint: usize,
    sent: f64,
    first: bool,
    open: bool,
    reached: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Reach(usize),
    Fail(usize),
    Engine(usize, u64),
    Lose(usize),
    Measure,
    Report(usize, (u32, u32), u64),
    Tick,
    Hedge(usize),
    FirstTokenTimeout(usize),
    Deadline(usize),
}

pub struct World {
    pub requests: Vec<Request>,
    pub engines: Vec<Engine>,
    pub nodes: Vec<Node>,
    /// Work that all engines did while requests arrived.
    pub work_done: f64,
    /// The most calls that one engine held at once, running and waiting.
    pub peak_calls: u32,
    /// The most endpoints that one node had ejected at once.
    pub peak_ejected: usize,
    attempts: Vec<Attempt>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    now: f64,
    lag: f64,
    end: f64,
    random: Random,
}

/// Runs a scenario until each caller has its final answer.
pub fn run(scenario: &Scenario, mechanisms: Mechanisms) -> World {
    let mut world = World::new(scenario, mechanisms);
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        world.now = float(at) / 1e9;
        world.handle(event);
    }
    world
}

impl World {
    fn new(scenario: &Scenario, mechanisms: Mechanisms) -> Self {
        let seed = scenario.recipe.seed;
        let mut engines = vec![Engine::default(); ENDPOINTS];
        for fault in &scenario.faults {
            engines[fault.endpoint].faults.push(*fault);
        }
        let node = |number| Node::new(number, mechanisms, seed);
        let mut world = Self {
            requests: Vec::new(),
            engines,
            nodes: (0..scenario.nodes).map(node).collect(),
            work_done: 0.0,
            peak_calls: 0,
            peak_ejected: 0,
            attempts: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: 0.0,
            lag: scenario.lag,
            end: scenario.arrivals.last().map_or(0.0, |a| a.at) + DRAIN_TIME,
            random: Random(seed),
        };
        for arrival in &scenario.arrivals {
            world.add_request(*arrival, None);
        }
        for fault in scenario.faults.iter().filter(|f| f.kind == Kind::Gone) {
            world.at(fault.from, Event::Lose(fault.endpoint));
        }
        world.at(0.0, Event::Measure);
        world.at(0.0, Event::Tick);
        world
    }

    fn at(&mut self, at: f64, event: Event) {
        self.sequence += 1;
        let nanos = floor(at * 1e9) as u64;
        self.events.push(Reverse((nanos, self.sequence, event)));
    }

    fn add_request(&mut self, arrival: Arrival, origin: Option<usize>) {
        let node = self.random.below(self.nodes.len());
        self.requests.push(Request {
            arrival,
            answer: Answer::Pending,
            first: None,
            ended: 0.0,
            attempts: 0,
            origin,
            node,
            tried: Vec::new(),
            open_attempts: Vec::new(),
            dispatch: None,
        });
        let request = self.requests.len() - 1;
        self.at(arrival.at, Event::Arrive(request));
        self.at(
            arrival.at + CLASSES[arrival.class].timeout,
            Event::Deadline(request),
        );
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Reach(attempt) => self.reach(attempt),
            Event::Fail(attempt) => self.fail(attempt, eject::Outcome::Failed),
            Event::Engine(engine, generation) => self.progress(engine, generation),
            Event::Lose(engine) => {
                for attempt in self.engines[engine].lose(self.now) {
                    self.fail(attempt, eject::Outcome::Failed);
                }
            }
            Event::Measure => self.measure(),
            Event::Report(engine, load, measured) => {
                let measured = float(measured) / 1e9;
                self.nodes
                    .iter_mut()
                    .for_each(|n| n.receive_report(engine, load, measured));
            }
            Event::Tick => self.tick(),
            Event::Hedge(attempt) => self.hedge(attempt),
            Event::FirstTokenTimeout(attempt) => self.first_token_timeout(attempt),
            Event::Deadline(request) => {
                if self.requests[request].answer == Answer::Pending {
                    self.abandon(request, Answer::Late);
                }
            }
        }
    }

    fn arrive(&mut self, request: usize) {
        let Request { arrival, node, .. } = self.requests[request];
        let deadline = arrival.at + CLASSES[arrival.class].timeout;
        let returning = self.requests[request].origin.is_some();
        let refused = self.nodes[node].admit(request, returning, &arrival, deadline, self.now);
        match refused {
            Some(after) => self.refuse(request, after),
            None => self.dispatch(node),
        }
    }

    fn refuse(&mut self, request: usize, after: f64) {
        self.requests[request].answer = Answer::Refused { after };
        self.requests[request].ended = self.now;
        if self.requests[request].origin.is_none() {
            let at = self.now + after;
            self.add_request(
                Arrival {
                    at,
                    ..self.requests[request].arrival
                },
                Some(request),
            );
        }
    }

    fn tick(&mut self) {
        let now = moment(self.now);
        for number in 0..self.nodes.len() {
            for ticket in self.nodes[number].queue.expire(now) {
                let request = self.nodes[number].remove_ticket(ticket);
                if self.nodes[number].mechanisms.admission {
                    let arrival = self.requests[request].arrival;
                    let after = self.nodes[number].retry_after(&arrival, self.now);
                    self.refuse(request, after);
                }
            }
            self.dispatch(number);
        }
        if self.now < self.end {
            self.at(self.now + TICK_INTERVAL, Event::Tick);
        }
    }

    /// Number of calls sent to an endpoint between two times.
    pub fn sent(&self, endpoint: usize, from: f64, to: f64) -> usize {
        let sent = |a: &&Attempt| a.endpoint == endpoint && from <= a.sent && a.sent < to;
        self.attempts.iter().filter(sent).count()
    }

    fn measure(&mut self) {
        let ejected = self.nodes.iter().map(|node| node.health.ejected()).max();
        self.peak_ejected = self.peak_ejected.max(ejected.unwrap_or(0));
        if self.now <= self.end - DRAIN_TIME {
            self.work_done = self.engines.iter().map(|engine| engine.served).sum();
        }
        for engine in 0..ENDPOINTS {
            if self.engines[engine].fault(self.now) == Some(Kind::Gone) {
                continue;
            }
            let load = self.engines[engine].load();
            self.peak_calls = self.peak_calls.max(load.0 + load.1);
            let measured = floor(self.now * 1e9) as u64;
            self.at(self.now + self.lag, Event::Report(engine, load, measured));
        }
        if self.now < self.end {
            self.at(self.now + MEASURE_INTERVAL, Event::Measure);
        }
    }

    /// Sends requests while there is work and a free slot; retries go first.
    fn dispatch(&mut self, number: usize) {
        while self.nodes[number].free(self.now) {
            let request = if let Some(request) = self.nodes[number].retries.pop_front() {
                request
            } else {
                let node = &mut self.nodes[number];
                let slots = node.slots(self.now);
                let Some(dispatch) = node.queue.next(moment(self.now), slots) else {
                    return;
                };
                let request = node.remove_ticket(dispatch.ticket);
                self.requests[request].dispatch = Some(dispatch);
                request
            };
            if self.requests[request].answer != Answer::Pending {
                continue;
            }
            if !self.send(request) {
                self.nodes[number].retries.push_front(request);
                return;
            }
        }
    }

    fn abandon(&mut self, request: usize, answer: Answer) {
        let node = self.requests[request].node;
        let place = self.nodes[node]
            .tickets
            .iter()
            .position(|(_, known)| *known == request);
        if let Some(place) = place {
            let (ticket, _) = self.nodes[node].tickets.swap_remove(place);
            self.nodes[node].queue.cancel(ticket);
        }
        self.nodes[node].retries.retain(|known| *known != request);
        for attempt in self.requests[request].open_attempts.clone() {
            self.drop_call(attempt);
            self.close(attempt, limit::Outcome::Overload, eject::Outcome::Unknown);
        }
        self.finish_request(request, answer);
        self.dispatch(node);
    }

    fn finish_request(&mut self, request: usize, answer: Answer) {
        let state = &mut self.requests[request];
        state.answer = answer;
        state.ended = self.now;
        if let Some(dispatch) = state.dispatch.take() {
            self.nodes[state.node].queue.release(&dispatch);
        }
    }
}

//! Many nodes place prompts at the same engines and tell each other what they have sent.

use std::time::Duration;

use pimento_policy::engine;
use pimento_policy::engine::Candidate;
use pimento_policy::engine::Engine;
use pimento_policy::engine::Part;
use pimento_policy::engine::PrefillEstimator;
use pimento_policy::engine::Prompt;
use pimento_policy::report;
use pimento_units::Moment;
use pimento_units::Tokens;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Prefill speeds of a small and a large model, in seconds per token.
const SMALL: (u64, f64) = (1, 0.000_005);
const LARGE: (u64, f64) = (2, 0.000_05);

/// How long a report takes to arrive.
const DELAY: Duration = Duration::from_millis(5);

/// Simulated time.
const DURATION: Duration = Duration::from_secs(20);

/// Share of the engines' time that prefills take.
const UTILIZATION: f64 = 0.55;

/// A node's view of all engines.
struct Node {
    engines: Vec<Engine>,
    prefill: PrefillEstimator,
    last_report: Moment,
    urgent: bool,
}

struct World {
    nodes: Vec<Node>,
    /// When each engine has prefilled all that it received.
    idle_at: Vec<Moment>,
    /// When a prompt's first token arrives, with its node, engine and call.
    first_tokens: Vec<(Moment, usize, usize, u64)>,
    /// When a report arrives, with its sender and the waits by engine.
    reports: Vec<(Moment, usize, Vec<Duration>)>,
    random: StdRng,
    calls: u64,
    sent: u64,
}

/// Times to the first token of the short prompts, and the number of reports that a node sends a second.
struct Summary {
    mean: Duration,
    p90: Duration,
    reports_per_second: f64,
}

impl World {
    fn new(nodes: usize, seed: u64) -> Self {
        let node = || {
            let mut prefill = PrefillEstimator::default();
            prefill.merge_estimates([SMALL, LARGE]);
            Node {
                engines: vec![Engine::new(Tokens(600_000)); nodes],
                prefill,
                last_report: Moment::ZERO,
                urgent: false,
            }
        };
        Self {
            nodes: (0..nodes).map(|_| node()).collect(),
            idle_at: vec![Moment::ZERO; nodes],
            first_tokens: Vec::new(),
            reports: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            calls: 0,
            sent: 0,
        }
    }

    /// Places a prompt and returns its time to the first token.
    fn send(&mut self, from: usize, model: u64, now: Moment, config: &report::Config) -> Duration {
        self.calls += 1;
        let tokens = self.random.random_range(4_000..16_000);
        let part = Part {
            hash: self.calls,
            tokens: Tokens(tokens),
        };
        let prompt = Prompt {
            model,
            parts: vec![part],
        };
        let node = &mut self.nodes[from];
        let prefill_time = node
            .prefill
            .prefill_time(model, Tokens(tokens), Tokens(tokens));
        let candidate = |(index, engine): (usize, &Engine)| Candidate {
            name_hash: index as u64,
            usable: true,
            remote: false,
            full: false,
            wait: engine.wait(now),
            prefill_time,
        };
        let candidates: Vec<Candidate> = node.engines.iter().enumerate().map(candidate).collect();
        let chosen = engine::choose(&candidates, self.calls, &engine::Config::default());
        let chosen = chosen.expect("all engines are usable");
        node.engines[chosen].record_sent(self.calls, &prompt, prefill_time, now);
        node.urgent |= config.is_urgent(prefill_time);
        let start = self.idle_at[chosen].max(now);
        self.idle_at[chosen] = start + prefill_time;
        let arrives = self.idle_at[chosen];
        self.first_tokens.push((arrives, from, chosen, self.calls));
        arrives.since(now)
    }

    fn deliver(&mut self, now: Moment) {
        let due = self.first_tokens.extract_if(.., |(at, ..)| *at <= now);
        for (at, node, engine, call) in due.collect::<Vec<_>>() {
            let Node {
                engines, prefill, ..
            } = &mut self.nodes[node];
            engines[engine].record_first_token(call, prefill, at);
        }
        let due = self.reports.extract_if(.., |(at, ..)| *at <= now);
        for (_, from, waits) in due.collect::<Vec<_>>() {
            let others = self.nodes.iter_mut().enumerate();
            for (_, node) in others.filter(|(index, _)| *index != from) {
                for (engine, wait) in node.engines.iter_mut().zip(&waits) {
                    engine.record_peer_wait(from as u64, *wait, now);
                }
            }
        }
    }

    fn report(&mut self, interval: Duration, config: &report::Config, now: Moment) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            let regular = now.since(node.last_report) >= interval;
            let urgent = node.urgent && config.delay(node.last_report, now).is_zero();
            if regular || urgent {
                (node.last_report, node.urgent) = (now, false);
                let waits = node.engines.iter().map(|engine| engine.own_wait(now));
                self.reports.push((now + DELAY, index, waits.collect()));
                self.sent += 1;
            }
        }
    }

    /// Runs nodes before as many engines, with one short prompt of the small model for each prompt of the
    /// large one.
    fn run(mut self, interval: Duration, config: &report::Config) -> Summary {
        let nodes = self.nodes.len();
        let step = Duration::from_millis(5);
        let work_per_pair = 10_000.0 * (SMALL.1 + LARGE.1) + 0.016;
        let pairs = UTILIZATION / work_per_pair * step.as_secs_f64() * engine_count(nodes);
        let mut times = Vec::new();
        let mut now = Moment::from_millis(1_000);
        let end = now + DURATION;
        let mut due = 0.0;
        while now < end {
            self.deliver(now);
            due += self.random.random_range(0.0..2.0) * pairs;
            while due >= 1.0 {
                due -= 1.0;
                let from = self.random.random_range(0..nodes);
                self.send(from, LARGE.0, now, config);
                let from = self.random.random_range(0..nodes);
                times.push(self.send(from, SMALL.0, now, config));
            }
            self.report(interval, config, now);
            now = now + step;
        }
        times.sort_unstable();
        let sum: Duration = times.iter().sum();
        Summary {
            mean: sum / u32::try_from(times.len()).expect("thousands"),
            p90: times[times.len() * 9 / 10],
            reports_per_second: per_node_and_second(self.sent, nodes),
        }
    }
}

fn engine_count(nodes: usize) -> f64 {
    f64::from(u32::try_from(nodes).expect("hundreds"))
}

fn per_node_and_second(sent: u64, nodes: usize) -> f64 {
    let sent = f64::from(u32::try_from(sent).expect("millions"));
    sent / engine_count(nodes) / DURATION.as_secs_f64()
}

/// No prompt is urgent.
fn regular_only() -> report::Config {
    report::Config {
        long_prefill: Duration::MAX,
        ..report::Config::default()
    }
}

/// Guards against short prompts that wait behind long ones which other nodes sent since their last
/// report, while other engines are idle.
#[test]
fn long_prompts_reported_at_once_keep_short_ones_from_waiting_behind_them() {
    for nodes in [9, 30, 48] {
        // As the relay's interval: 20 ms for each other node, at most 600 ms.
        let others = u32::try_from(nodes - 1).expect("dozens");
        let interval = (Duration::from_millis(20) * others).min(Duration::from_millis(600));
        let regular = World::new(nodes, 1).run(interval, &regular_only());
        let urgent = World::new(nodes, 1).run(interval, &report::Config::default());
        println!(
            "{nodes} nodes: mean {:?} and {:?}, 90th percentile {:?} and {:?}, reports a second {:.1} and {:.1}",
            regular.mean,
            urgent.mean,
            regular.p90,
            urgent.p90,
            regular.reports_per_second,
            urgent.reports_per_second,
        );
        assert!(urgent.mean < regular.mean.mul_f64(0.8), "{nodes} nodes");
        assert!(urgent.reports_per_second < 50.0, "{nodes} nodes");
    }
}

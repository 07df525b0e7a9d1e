//! Scenarios: each has a TOML file with the recipe, the faults and the expected outcome, and a CSV
//! file with the recorded arrivals.

use std::fmt::Write;
use std::fs;
use std::path::PathBuf;

use serde::Deserialize;

use super::Random;
use super::engine::BATCH_RATE;
use super::engine::PREFILL_RATIO;
use super::float;
use super::floor;

/// Endpoints of the pool.
pub const ENDPOINTS: usize = 12;
/// Customers of a deployment.
pub const CUSTOMERS: usize = 10;
/// Shares of the load by customer; a few are large.
pub const SHARES: [f64; CUSTOMERS] = [0.22, 0.18, 0.14, 0.1, 0.08, 0.08, 0.06, 0.06, 0.04, 0.04];

/// Share of prefill work that remains when four of five prompts find their prefix in a cache.
pub const UNCACHED: f64 = 0.36;

/// Work of a request in generated tokens, by which load and capacity are compared.
pub fn work(input: f64, output: f64) -> f64 {
    output + input * UNCACHED / PREFILL_RATIO
}

/// A class of requests.
#[derive(Debug, Clone, Copy)]
pub struct Class {
    pub name: &'static str,
    pub priority: u8,
    pub timeout: f64,
    pub input: f64,
    pub output: f64,
}

/// Stock answers, summaries and reviews at Nyabarongo; briefings, inspections and plans at
/// Rybníkář, of about the same sizes.
pub const CLASSES: [Class; 3] = [
    Class {
        name: "short",
        priority: 0,
        timeout: 10.0,
        input: 200.0,
        output: 40.0,
    },
    Class {
        name: "middle",
        priority: 1,
        timeout: 45.0,
        input: 1_500.0,
        output: 200.0,
    },
    Class {
        name: "long",
        priority: 2,
        timeout: 240.0,
        input: 12_000.0,
        output: 800.0,
    },
];

#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Slower by this factor.
    Slow(f64),
    /// Accepts calls and never answers.
    Hang,
    /// Fails this share of calls at once.
    Fail(f64),
    /// Unreachable.
    Gone,
}

#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Fault {
    pub endpoint: usize,
    pub kind: Kind,
    pub from: f64,
    pub to: f64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
pub struct Burst {
    pub from: f64,
    pub to: f64,
    pub times: f64,
}

/// How the arrivals are generated.
#[derive(Debug, Clone, Deserialize)]
pub struct Recipe {
    pub seed: u64,
    pub seconds: f64,
    /// Load as a multiple of capacity.
    pub load: f64,
    pub mix: [f64; 3],
    pub burst: Option<Burst>,
    /// Multiple of its share at which one customer sends.
    pub hot_customer: Option<f64>,
    /// Share of all requests that carry the same prefix.
    #[serde(default)]
    pub hot_prefix: f64,
}

/// Expected outcome: bounds on what callers receive.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Outcome {
    /// Minimum share of all requests served in time.
    pub served: Option<f64>,
    /// Minimum share served in time for the customer that fares worst, except for the hot one.
    pub worst: Option<f64>,
    /// Maximum of the 95th percentile of seconds to the first token, for short requests.
    pub short_p95: Option<f64>,
    /// Minimum goodput as a share of capacity.
    pub goodput: Option<f64>,
    /// Maximum of the 99th percentile of seconds until a refused request is answered.
    pub refusal_p99: Option<f64>,
    /// Minimum share served of the requests that come back after their `Retry-After`.
    #[serde(rename = "truth")]
    pub returning_served: Option<f64>,
    /// Maximum mean number of attempts of the requests that were sent.
    pub attempts: Option<f64>,
    /// Maximum work of the engines per token of work served.
    pub cost: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Scenario {
    #[serde(skip)]
    pub name: String,
    pub deployment: String,
    pub about: String,
    pub nodes: usize,
    /// Delay of load reports in seconds.
    pub lag: f64,
    pub recipe: Recipe,
    #[serde(default)]
    pub faults: Vec<Fault>,
    #[serde(default)]
    pub outcome: Outcome,
    #[serde(skip)]
    pub arrivals: Vec<Arrival>,
}

/// One recorded arrival.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    pub at: f64,
    pub customer: usize,
    pub class: usize,
    pub input: u64,
    pub output: u64,
    pub prefix: u64,
}

/// All scenarios, in the order of the benchmark's output.
pub const NAMES: [&str; 11] = [
    "nyabarongo-burst",
    "rybnikar-overload",
    "nyabarongo-overload",
    "nyabarongo-hot-customer",
    "rybnikar-hot-prefix",
    "rybnikar-slow-endpoint",
    "nyabarongo-failing-fast",
    "nyabarongo-long-jobs",
    "rybnikar-zone-lost",
    "nyabarongo-stale-reports",
    "rybnikar-half-failing",
];

fn folder() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../tests/traces")
}

fn trace(name: &str) -> PathBuf {
    folder().join(format!("{name}.csv"))
}

impl Scenario {
    /// Loads the scenario without its arrivals.
    pub fn recipe(name: &str) -> Self {
        let file = folder().join(format!("{name}.toml"));
        let text = fs::read_to_string(&file).unwrap_or_else(|e| panic!("{}: {e}", file.display()));
        let mut scenario: Self = toml::from_str(&text).unwrap_or_else(|e| panic!("{name}: {e}"));
        scenario.name = name.into();
        scenario
    }

    /// Loads the scenario with its recorded arrivals.
    pub fn load(name: &str) -> Self {
        let mut scenario = Self::recipe(name);
        scenario.arrivals = scenario.recorded().lines().skip(1).map(parse).collect();
        scenario
    }

    /// The text of the recorded arrivals.
    pub fn recorded(&self) -> String {
        fs::read_to_string(trace(&self.name)).unwrap_or_else(|e| panic!("{}: {e}", self.name))
    }

    /// Generates the arrivals by the recipe.
    pub fn generate(&self) -> Vec<Arrival> {
        let recipe = &self.recipe;
        let mut random = Random(recipe.seed);
        let parts = CLASSES.iter().zip(recipe.mix);
        let mean: f64 = parts.map(|(c, part)| part * work(c.input, c.output)).sum();
        let rate = recipe.load * BATCH_RATE * float(ENDPOINTS as u64) / mean;
        let mut arrivals = Vec::new();
        for (customer, share) in SHARES.iter().enumerate() {
            let hot = recipe.hot_customer.filter(|_| customer == 3).unwrap_or(1.0);
            let peak = recipe.burst.map_or(1.0, |burst| burst.times);
            let mut at = 0.0;
            loop {
                at += random.gap(rate * share * hot * peak);
                if at >= recipe.seconds {
                    break;
                }
                let inside = |burst: &Burst| burst.from <= at && at < burst.to;
                let now = recipe.burst.filter(inside).map_or(1.0, |burst| burst.times);
                if random.unit() < now / peak {
                    arrivals.push(draw(&mut random, at, customer, recipe));
                }
            }
        }
        arrivals.sort_by(|one, other| one.at.total_cmp(&other.at));
        arrivals
    }

    /// The text of a trace file.
    pub fn text(arrivals: &[Arrival]) -> String {
        let mut text = String::from("at_ms,customer,class,input,output,prefix\n");
        for a in arrivals {
            let at = floor(a.at * 1_000.0);
            let Arrival {
                customer,
                class,
                input,
                output,
                prefix,
                ..
            } = a;
            let _ = writeln!(text, "{at},{customer},{class},{input},{output},{prefix}");
        }
        text
    }

    /// Generates and writes the trace file.
    pub fn write(&self) {
        let text = Self::text(&self.generate());
        fs::write(trace(&self.name), text).unwrap_or_else(|e| panic!("{}: {e}", self.name));
    }
}

fn draw(random: &mut Random, at: f64, customer: usize, recipe: &Recipe) -> Arrival {
    let position = random.unit();
    let class = if position < recipe.mix[0] {
        0
    } else {
        1 + usize::from(position >= recipe.mix[0] + recipe.mix[1])
    };
    let Class { input, output, .. } = CLASSES[class];
    let mut size = |mean: f64| (mean * (0.4 + 1.2 * random.unit())).round();
    let input = floor(size(input)) as u64;
    let output = floor(size(output)).max(1) as u64;
    let group = random.below(4) as u64;
    let own = (customer as u64) * 16 + (class as u64) * 4 + group;
    let prefix = if random.unit() < recipe.hot_prefix {
        9_999
    } else {
        own
    };
    Arrival {
        at: (at * 1_000.0).floor() / 1_000.0,
        customer,
        class,
        input,
        output,
        prefix,
    }
}

fn parse(line: &str) -> Arrival {
    let fields: Vec<u64> = line
        .split(',')
        .map(|f| f.parse().expect("a number"))
        .collect();
    let [at, customer, class, input, output, prefix] = fields[..] else {
        panic!("{line:?} has not six fields");
    };
    Arrival {
        at: float(at) / 1_000.0,
        customer: floor(float(customer)),
        class: floor(float(class)),
        input,
        output,
        prefix,
    }
}

//! Settings and counters of an engine.

use std::net::SocketAddr;

use compact_str::CompactString;
use pimento_units::Share;
use pimento_units::Wall;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

use crate::tally::Count;

/// Settings of an engine. All can be changed while it runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Seed for drawing grades and gaps.
    pub seed: u64,
    /// Maximum number of calls in the batch.
    pub batch: u32,
    /// Maximum number of queued calls; more are refused with 429 and `run: not_run`.
    pub waiting: u32,
    /// Prefill time per prompt token that is not in the prefix cache, in microseconds.
    pub prompt_us: u64,
    /// Time per generated token while one call runs, in microseconds.
    pub token_us: u64,
    /// How much longer a generated token takes in a full batch, in percent.
    pub crowding: u64,
    /// Capacity of the prefix cache, in prefixes.
    pub cache: usize,
    /// Delay before cache events are published, in milliseconds.
    pub cache_lag_ms: u64,
    /// The share of cache events that are never published.
    pub cache_gaps: Share,
    /// Age of the state that `/load` reports, in milliseconds.
    pub load_lag_ms: u64,
    /// How long an order takes for each version to load, in milliseconds.
    pub order_ms: u64,
    /// How orders with an old fencing number are handled.
    pub fencing: Fencing,
    /// How long an attempt runs without a reader before it is cancelled, in milliseconds.
    pub linger_ms: u64,
    /// Whether it reports that it is about to shut down. It still runs and counts the calls that it
    /// gets.
    pub leaving: bool,
    /// The share of good answers by version; 0.9 for versions that are not listed.
    pub quality: Vec<Quality>,
}

/// The quality of one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quality {
    /// The version.
    pub version: id::Version,
    /// The share of its answers that are good.
    pub share: Share,
}

/// How an order with an old fencing number is handled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The order is refused.
    Refuses,
    /// The order is carried out; the number is ignored.
    #[default]
    Ignores,
}

/// Quality of versions that are not listed in the settings, in millionths.
const DEFAULT_QUALITY: u32 = 900_000;

impl Settings {
    /// The quality of a version.
    #[must_use]
    pub fn quality(&self, version: &id::Version) -> Share {
        self.quality
            .iter()
            .find(|quality| quality.version == *version)
            .map_or(Share::from_parts(DEFAULT_QUALITY), |quality| quality.share)
    }
}

impl Default for Settings {
    /// A small engine, about ten times as fast as a real one to keep tests and the demo short.
    fn default() -> Self {
        Self {
            seed: 0,
            batch: 8,
            waiting: 16,
            prompt_us: 50,
            token_us: 2_000,
            crowding: 50,
            cache: 64,
            cache_lag_ms: 200,
            cache_gaps: Share::ZERO,
            load_lag_ms: 200,
            order_ms: 200,
            fencing: Fencing::Ignores,
            linger_ms: 1_000,
            leaving: false,
            quality: Vec::new(),
        }
    }
}

/// The configuration of an engine.
#[derive(Debug, Clone)]
pub struct Config {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Its name.
    pub name: id::Endpoint,
    /// Changes at every restart.
    pub incarnation: u64,
    /// The versions loaded at the start.
    pub versions: Vec<id::Version>,
    /// Its settings.
    pub settings: Settings,
}

impl Config {
    /// An engine with this name and these versions, on any free port.
    #[must_use]
    pub fn new(name: id::Endpoint, versions: impl IntoIterator<Item = id::Version>) -> Self {
        let mut versions: Vec<id::Version> = versions.into_iter().collect();
        versions.sort();
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name,
            incarnation: 1,
            versions,
            settings: Settings::default(),
        }
    }
}

/// Counters of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Calls accepted, to run or to queue.
    pub started: u64,
    /// Calls that finished.
    pub finished: u64,
    /// Calls that were cancelled, on request or because their readers left.
    pub cancelled: u64,
    /// Calls refused without effect.
    pub refused: u64,
    /// Streams that were resumed.
    pub resumed: u64,
    /// Calls accepted while `leaving` was set.
    pub leaving: u64,
    /// Prompt tokens prefilled, which were not in the prefix cache.
    pub prompt: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Orders carried out.
    pub orders: u64,
    /// Orders refused because of their fencing number.
    pub fenced: u64,
    /// Calls accepted, by version, sorted.
    pub versions: Vec<Work>,
    /// Calls accepted, by `attempt-id`, sorted.
    pub attempts: Vec<Count>,
    /// Calls accepted, by the hash of the last message in hexadecimal, sorted. Used to check that
    /// calls refused with `not_run` did not start on any engine.
    pub prompts: Vec<Count>,
}

/// The calls of one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The version.
    pub version: id::Version,
    /// Calls accepted.
    pub started: u64,
    /// When the last one was accepted.
    pub last: Wall,
}

/// The priority of a call without the header.
pub const DEFAULT_PRIORITY: u8 = 128;

/// Parses the `priority` header.
#[must_use]
pub fn priority(header: Option<&str>) -> u8 {
    header
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_PRIORITY)
}

/// Body of the 404 for an unknown attempt.
pub const NO_ATTEMPT: &str = "no such attempt";

/// The `attempt-id` header; a new id if there is none.
#[must_use]
pub fn attempt_id(header: Option<&str>) -> CompactString {
    header.map_or_else(|| uuid::Uuid::now_v7().to_string().into(), Into::into)
}

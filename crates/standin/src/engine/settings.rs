//! Settings and counters of an engine.

use std::net::SocketAddr;

use compact_str::CompactString;
use pimento_units::Share;
use pimento_units::Wall;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

use crate::tally::Count;

/// Settings of an engine; all may be changed while it runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Draws grades and gaps.
    pub seed: u64,
    /// Calls in the batch.
    pub batch: u32,
    /// Calls that wait for the batch; more are refused with 429 and `run: not_run`.
    pub waiting: u32,
    /// Time of a prompt token that is not in the prefix cache, in microseconds.
    pub prompt_us: u64,
    /// Time of a generated token, in microseconds, when the batch holds one call.
    pub token_us: u64,
    /// How much longer a generated token takes in a full batch, in hundredths (50 is half again).
    pub crowding: u64,
    /// Prompts that the prefix cache holds.
    pub cache: usize,
    /// How late events of the cache are published, in milliseconds.
    pub cache_lag_ms: u64,
    /// The share of events of the cache that is never published.
    pub cache_gaps: Share,
    /// How old `/load` is, in milliseconds.
    pub load_lag_ms: u64,
    /// How long an order to hold other versions takes for each new one, in milliseconds.
    pub order_ms: u64,
    /// Whether an order with an old fencing number is refused.
    pub fencing: Fencing,
    /// How long an attempt goes on without a reader before it is cancelled, in milliseconds.
    pub linger_ms: u64,
    /// Whether it says that it is about to go. It still runs what it gets, and counts it.
    pub leaving: bool,
    /// The share of good answers, by version; a version that is not named has 0.9.
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

/// What happens to an order with an old fencing number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// It is refused.
    Refuses,
    /// It is carried out, and the number not looked at.
    #[default]
    Ignores,
}

/// Quality of a version that the settings do not name, in millionths.
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
    /// A small engine, some ten times as fast as a real one, so that tests and the demo are short.
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

/// What an engine is started with.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its name.
    pub name: id::Endpoint,
    /// Changes at every restart.
    pub incarnation: u64,
    /// Versions that it holds at first.
    pub versions: Vec<id::Version>,
    /// Its settings.
    pub settings: Settings,
}

impl Config {
    /// An engine of this name on any port that holds these versions.
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
    /// Calls that were taken, to run or to wait.
    pub started: u64,
    /// Calls that came to their end.
    pub finished: u64,
    /// Calls that were cancelled or lost their reader.
    pub cancelled: u64,
    /// Calls refused without effect.
    pub refused: u64,
    /// Streams that were resumed.
    pub resumed: u64,
    /// Calls taken while it was leaving.
    pub leaving: u64,
    /// Prompt tokens read and not found in the cache.
    pub prompt: u64,
    /// Prompt tokens found in the cache.
    pub cached: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Orders carried out.
    pub orders: u64,
    /// Orders refused for their fencing number.
    pub fenced: u64,
    /// Calls taken, by version, sorted.
    pub versions: Vec<Work>,
    /// Calls taken, by `attempt-id`, sorted.
    pub attempts: Vec<Count>,
    /// Calls taken, by the hash of the last message in hexadecimal, sorted. By it a refusal that
    /// says `not_run` is held against what engines began.
    pub prompts: Vec<Count>,
}

/// What a version did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// The version.
    pub version: id::Version,
    /// Calls taken.
    pub started: u64,
    /// When the last one was taken.
    pub last: Wall,
}

/// The priority of a call that names none.
pub const DEFAULT_PRIORITY: u8 = 128;

/// What the `priority` header says.
#[must_use]
pub fn priority(header: Option<&str>) -> u8 {
    header
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_PRIORITY)
}

/// Answer of an engine that has no such attempt.
pub const NO_ATTEMPT: &str = "no such attempt";

/// An attempt without the header gets a name of its own, so that it can run at all.
#[must_use]
pub fn attempt(header: Option<&str>) -> CompactString {
    header.map_or_else(|| uuid::Uuid::now_v7().to_string().into(), Into::into)
}

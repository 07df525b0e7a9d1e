//! Stand-in of a replica of a plain service, such as an order desk.
//!
//! It accepts any method and path. A call counts as run when it starts. The runs of each
//! `idempotency-key` are counted to check that a call runs at most once. The replica itself does
//! not deduplicate calls by the key.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use hyper::StatusCode;
use pimento_units::id;
use pimento_wire::header;
use serde::Deserialize;
use serde::Serialize;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::server;
use crate::server::Answer;
use crate::server::Call;
use crate::server::Handler;
use crate::server::Running;
use crate::shared::Shared;
use crate::tally::Count;
use crate::tally::Tally;

/// Settings of the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Processing time of a call, in milliseconds.
    pub work_ms: u64,
    /// Maximum number of concurrent calls; more are refused with 429 and `run: not_run`.
    pub capacity: u32,
    /// Whether it is about to shut down. It still runs and counts the calls that it gets.
    pub leaving: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            work_ms: 5,
            capacity: 64,
            leaving: false,
        }
    }
}

/// The configuration of a service.
#[derive(Debug, Clone)]
pub struct Config {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Its name.
    pub name: id::Endpoint,
    /// Its settings.
    pub settings: Settings,
}

impl Config {
    /// A service with this name, on any free port.
    #[must_use]
    pub fn new(name: id::Endpoint) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name,
            settings: Settings::default(),
        }
    }
}

/// Counters of the service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Calls started.
    pub started: u64,
    /// Calls finished.
    pub finished: u64,
    /// Calls started whose caller disconnected before they finished.
    pub cancelled: u64,
    /// Calls refused without effect.
    pub refused: u64,
    /// Calls started while `leaving` was set.
    pub leaving: u64,
    /// Calls started by `idempotency-key`, sorted. Calls without a key are not listed.
    pub keys: Vec<Count>,
}

/// The body of an answer. It describes the call, so that a caller can check that the answer belongs
/// to its own call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// The replica that ran the call.
    pub endpoint: id::Endpoint,
    /// The method of the call.
    pub method: CompactString,
    /// The path of the call.
    pub path: CompactString,
    /// The XXH3 hash of the call's body.
    pub body: u64,
    /// The `idempotency-key` of the call.
    pub key: Option<CompactString>,
    /// How often this replica ran calls with the key, including this one; 1 without a key.
    pub runs: u64,
}

#[derive(Debug, Default)]
struct State {
    settings: Settings,
    stats: Stats,
    running: u32,
    keys: Tally,
}

/// The service.
#[derive(Debug, Clone)]
pub struct Service {
    name: id::Endpoint,
    state: Shared<State>,
}

/// Starts a service.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn start(config: Config, token: CancellationToken) -> io::Result<Running<Service>> {
    let state = State {
        settings: config.settings,
        ..State::default()
    };
    let handler = Service {
        name: config.name,
        state: Shared::new(state),
    };
    server::start(handler, config.listen, token).await
}

/// Counts a run as finished or cancelled when it is dropped.
struct RunGuard {
    state: Shared<State>,
    finished: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.state.with(|state| {
            state.running -= 1;
            state.stats.finished += u64::from(self.finished);
            state.stats.cancelled += u64::from(!self.finished);
        });
    }
}

impl Service {
    /// How often this replica ran calls with a key.
    #[must_use]
    pub fn runs(&self, key: &str) -> u64 {
        self.state.with(|state| state.keys.get(key))
    }

    fn begin(&self, key: Option<&str>) -> Option<(RunGuard, u64, Duration)> {
        let started = self.state.with(|state| {
            if state.running >= state.settings.capacity {
                state.stats.refused += 1;
                return None;
            }
            state.running += 1;
            state.stats.started += 1;
            state.stats.leaving += u64::from(state.settings.leaving);
            let runs = key.map_or(1, |key| state.keys.add(key));
            Some((runs, Duration::from_millis(state.settings.work_ms)))
        });
        let (runs, work) = started?;
        let guard = RunGuard {
            state: self.state.clone(),
            finished: false,
        };
        Some((guard, runs, work))
    }
}

impl Handler for Service {
    type Stats = Stats;
    type Settings = Settings;

    async fn answer(&self, call: Call) -> Answer {
        let key = call.header(header::IDEMPOTENCY_KEY);
        let Some((mut guard, runs, work)) = self.begin(key) else {
            let after = Duration::from_secs(1);
            return server::refusal(StatusCode::TOO_MANY_REQUESTS, after, "full");
        };
        tokio::time::sleep(work).await;
        guard.finished = true;
        let receipt = Receipt {
            endpoint: self.name.clone(),
            method: call.method.as_str().into(),
            path: call.path.as_str().into(),
            body: xxh3_64(&call.body),
            key: key.map(CompactString::from),
            runs,
        };
        server::json(StatusCode::OK, &receipt)
    }

    fn stats(&self) -> Stats {
        self.state.with(|state| {
            let mut stats = state.stats.clone();
            stats.keys = state.keys.counts().to_vec();
            stats
        })
    }

    fn settings(&self) -> Settings {
        self.state.with(|state| state.settings.clone())
    }

    fn set(&self, settings: Settings) {
        self.state.with(|state| state.settings = settings);
    }
}

//! Stand-in of a replica of a plain service, such as an order desk.
//!
//! Any method and path is taken. A call counts as run when it begins; the runs of each
//! `idempotency-key` are the judge of "runs at most once". A replica does not look at the key
//! itself: nothing here saves a caller from running a call twice.

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
    /// How long a call takes, in milliseconds.
    pub work_ms: u64,
    /// Calls at once; more are refused with 429 and `run: not_run`.
    pub capacity: u32,
    /// Whether it is about to go. It still runs what it gets, and counts it.
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

/// What a service is started with.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Its name.
    pub name: id::Endpoint,
    /// Its settings.
    pub settings: Settings,
}

impl Config {
    /// A service of this name on any port.
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
    /// Calls that began.
    pub started: u64,
    /// Calls that came to their end.
    pub finished: u64,
    /// Calls that began and whose caller left before the end.
    pub cancelled: u64,
    /// Calls refused without effect.
    pub refused: u64,
    /// Calls that began while it was leaving.
    pub leaving: u64,
    /// Calls that began, by `idempotency-key`, sorted; calls without one are left out.
    pub keys: Vec<Count>,
}

/// The answer's body: what was run, so that a caller can tell that the answer is to its own call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Receipt {
    /// Which replica ran it.
    pub endpoint: id::Endpoint,
    /// The call's method.
    pub method: CompactString,
    /// The call's path.
    pub path: CompactString,
    /// XXH3 of the call's body.
    pub body: u64,
    /// The call's `idempotency-key`.
    pub key: Option<CompactString>,
    /// How often this replica ran the key, this call included.
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

/// Ends a run when its caller leaves or its work is done.
struct Guard {
    state: Shared<State>,
    finished: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.state.with(|state| {
            state.running -= 1;
            state.stats.finished += u64::from(self.finished);
            state.stats.cancelled += u64::from(!self.finished);
        });
    }
}

impl Service {
    /// How often a key was run here.
    #[must_use]
    pub fn runs(&self, key: &str) -> u64 {
        self.state.with(|state| state.keys.get(key))
    }

    fn begin(&self, key: Option<&str>) -> Option<(Guard, u64, Duration)> {
        let begun = self.state.with(|state| {
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
        let (runs, work) = begun?;
        let guard = Guard {
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

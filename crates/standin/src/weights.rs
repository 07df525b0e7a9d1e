//! Stand-in of the platform's weight store, which is rate-limited.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use hyper::Method;
use hyper::StatusCode;
use pimento_wire::platform::Fetch;
use serde::Deserialize;
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use crate::bucket::TokenBucket;
use crate::server;
use crate::server::Answer;
use crate::server::Call;
use crate::server::Handler;
use crate::server::Running;
use crate::shared::Shared;

/// Settings of the weight store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Fetches per second.
    pub rate: f64,
    /// Maximum burst of fetches.
    pub burst: f64,
    /// How long a fetch takes, in milliseconds.
    pub fetch_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            rate: 2.0,
            burst: 4.0,
            fetch_ms: 100,
        }
    }
}

/// The configuration of a weight store.
#[derive(Debug, Clone)]
pub struct Config {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// Its settings.
    pub settings: Settings,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            settings: Settings::default(),
        }
    }
}

/// Counters of the weight store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Fetches completed.
    pub fetched: u64,
    /// Fetches refused because of the rate limit.
    pub limited: u64,
    /// Versions fetched, as `version in zone`, sorted.
    #[serde(rename = "held")]
    pub versions: Vec<CompactString>,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    bucket: TokenBucket,
    stats: Stats,
}

/// The weight store.
#[derive(Debug, Clone)]
pub struct Weights(Shared<State>);

/// Starts a weight store.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn start(config: Config, token: CancellationToken) -> io::Result<Running<Weights>> {
    let settings = config.settings;
    let state = State {
        bucket: TokenBucket::new(settings.rate, settings.burst, Instant::now()),
        settings,
        stats: Stats::default(),
    };
    let handler = Weights(Shared::new(state));
    server::start(handler, config.listen, token).await
}

impl Weights {
    async fn fetch(&self, fetch: Fetch) -> Answer {
        let acquired = self.0.with(|state| {
            let acquired = state.bucket.try_acquire(Instant::now());
            state.stats.limited += u64::from(acquired.is_err());
            acquired.map(|()| Duration::from_millis(state.settings.fetch_ms))
        });
        let time = match acquired {
            Ok(time) => time,
            Err(after) => {
                return server::refusal(
                    StatusCode::TOO_MANY_REQUESTS,
                    after,
                    "over the rate limit",
                );
            }
        };
        tokio::time::sleep(time).await;
        let name = CompactString::from(format!("{} in {}", fetch.version, fetch.zone));
        self.0.with(|state| {
            state.stats.fetched += 1;
            if let Err(at) = state.stats.versions.binary_search(&name) {
                state.stats.versions.insert(at, name);
            }
        });
        server::empty(StatusCode::OK)
    }
}

impl Handler for Weights {
    type Stats = Stats;
    type Settings = Settings;

    async fn answer(&self, call: Call) -> Answer {
        if call.method != Method::POST || call.path != "/fetch" {
            return server::text(StatusCode::NOT_FOUND, "no such path");
        }
        match call.json() {
            Ok(fetch) => self.fetch(fetch).await,
            Err(answer) => answer,
        }
    }

    fn stats(&self) -> Stats {
        self.0.with(|state| state.stats.clone())
    }

    fn settings(&self) -> Settings {
        self.0.with(|state| state.settings.clone())
    }

    fn set(&self, settings: Settings) {
        self.0.with(|state| {
            state.bucket = TokenBucket::new(settings.rate, settings.burst, Instant::now());
            state.settings = settings;
        });
    }
}

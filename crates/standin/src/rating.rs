//! Stand-in of the service that rates answers. It returns the grade from the answer's mark.
//!
//! An answer without a mark gets 0. With `noise`, a share of ratings is drawn anew from the seed
//! and the answer, so that the same answer always gets the same rating.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use hyper::StatusCode;
use pimento_units::Share;
use pimento_units::share::PARTS;
use pimento_wire::platform::Rate;
use pimento_wire::platform::Rating;
use serde::Deserialize;
use serde::Serialize;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::server;
use crate::server::Answer;
use crate::server::Call;
use crate::server::Handler;
use crate::server::Running;
use crate::shared::Shared;
use crate::text::Mark;
use crate::text::PASS;

/// Settings of the rating service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Seed for drawing noise.
    pub seed: u64,
    /// How long a rating takes, in milliseconds.
    pub rate_ms: u64,
    /// The share of ratings that are random.
    pub noise: Share,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seed: 0,
            rate_ms: 5,
            noise: Share::ZERO,
        }
    }
}

/// The configuration of a rating service.
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

/// Counters of the rating service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Answers rated.
    pub rated: u64,
    /// Answers that passed.
    pub passed: u64,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    stats: Stats,
}

/// The rating service.
#[derive(Debug, Clone)]
pub struct Rater(Shared<State>);

/// Starts a rating service.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn start(config: Config, token: CancellationToken) -> io::Result<Running<Rater>> {
    let state = State {
        settings: config.settings,
        stats: Stats::default(),
    };
    let handler = Rater(Shared::new(state));
    server::start(handler, config.listen, token).await
}

fn grade(answer: &str, settings: &Settings) -> Share {
    let draw = xxh3_64_with_seed(answer.as_bytes(), settings.seed);
    if draw % u64::from(PARTS) < u64::from(settings.noise.parts()) {
        let parts = u32::try_from((draw >> 32) % u64::from(PARTS)).unwrap_or(0);
        return Share::from_parts(parts);
    }
    answer
        .parse::<Mark>()
        .map_or(Share::ZERO, |mark| mark.grade)
}

impl Rater {
    async fn rate(&self, rate: Rate) -> Answer {
        let settings = self.settings();
        tokio::time::sleep(Duration::from_millis(settings.rate_ms)).await;
        let score = grade(&rate.answer, &settings);
        let pass = score.parts() >= PASS;
        self.0.with(|state| {
            state.stats.rated += 1;
            state.stats.passed += u64::from(pass);
        });
        server::json(StatusCode::OK, &Rating { score, pass })
    }
}

impl Handler for Rater {
    type Stats = Stats;
    type Settings = Settings;

    async fn answer(&self, call: Call) -> Answer {
        if call.method != Method::POST || call.path != "/rate" {
            return server::text(StatusCode::NOT_FOUND, "no such path");
        }
        match call.json() {
            Ok(rate) => self.rate(rate).await,
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
        self.0.with(|state| state.settings = settings);
    }
}

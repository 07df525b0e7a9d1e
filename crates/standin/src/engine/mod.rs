//! Stand-in of a model engine: continuous batching, prefix cache, priorities, streams that can be
//! resumed and cancelled, lagging load reports, and orders.
//!
//! Speaks [`pimento_wire::engine`]. Its answers are those of [`crate::text`].

pub mod attempt;
pub mod batch;
pub mod cache;
mod orders;
pub mod reply;
pub mod settings;

use std::io;
use std::time::Duration;
use std::time::Instant;

use hyper::Method;
use hyper::StatusCode;
use pimento_units::id;
use pimento_wire::api::Chat;
use pimento_wire::engine::Load;
use pimento_wire::header;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::body::Body;
use crate::clock;
use crate::engine::attempt::Attempt;
use crate::engine::batch::Batch;
use crate::engine::batch::Ticket;
use crate::engine::cache::Cache;
use crate::server;
use crate::server::Answer;
use crate::server::Call;
use crate::server::Handler;
use crate::server::Running;
use crate::shared::Shared;
use crate::tally::Tally;
use crate::text;

pub use settings::Config;
pub use settings::Fencing;
pub use settings::Quality;
pub use settings::Settings;
pub use settings::Stats;
pub use settings::Work;

/// Attempts kept after their end, so that their streams can be resumed.
const KEPT: usize = 1_024;
/// Events that wait for a slow reader.
const AHEAD: usize = 16;
/// Bound on the reports kept for the lagging `/load`.
const REPORTS: usize = 4_096;

#[derive(Debug)]
struct State {
    incarnation: u64,
    settings: Settings,
    versions: Vec<id::Version>,
    stats: Stats,
    attempts: Tally,
    prompts: Tally,
    recent: Vec<Attempt>,
    cache: Cache,
    fencing: Option<u64>,
    reports: Vec<(Instant, Load)>,
}

/// The engine.
#[derive(Debug, Clone)]
pub struct Engine {
    name: id::Endpoint,
    state: Shared<State>,
    batch: Batch,
    token: CancellationToken,
}

/// Starts an engine.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn start(config: Config, token: CancellationToken) -> io::Result<Running<Engine>> {
    let state = State {
        incarnation: config.incarnation,
        settings: config.settings,
        versions: config.versions,
        stats: Stats::default(),
        attempts: Tally::default(),
        prompts: Tally::default(),
        recent: Vec::new(),
        cache: Cache::default(),
        fencing: None,
        reports: Vec::new(),
    };
    let handler = Engine {
        name: config.name,
        state: Shared::new(state),
        batch: Batch::default(),
        token: token.clone(),
    };
    handler.report();
    server::start(handler, config.listen, token).await
}

impl State {
    fn note(&mut self, attempt: &Attempt) {
        self.stats.started += 1;
        self.stats.leaving += u64::from(self.settings.leaving);
        self.attempts.add(&attempt.id);
        self.prompts.add(&text::hex(attempt.mark.prompt));
        let versions = &mut self.stats.versions;
        let place = versions.binary_search_by(|work| work.version.cmp(&attempt.version));
        let place = place.unwrap_or_else(|at| {
            let work = Work {
                version: attempt.version.clone(),
                started: 0,
                last: clock::now(),
            };
            versions.insert(at, work);
            at
        });
        versions[place].started += 1;
        versions[place].last = clock::now();
        if self.recent.len() == KEPT {
            self.recent.remove(0);
        }
        self.recent.push(attempt.clone());
    }

    /// Prompt tokens that must be read, the cache taken into account.
    fn read(&mut self, chat: &Chat) -> u64 {
        let (before, all) = cache::sizes(&chat.messages);
        let held = cache::prefix(&chat.messages)
            .is_some_and(|prefix| self.cache.touch(prefix, &self.settings, Instant::now()));
        let cached = if held { before } else { 0 };
        self.stats.cached += cached;
        self.stats.prompt += all - cached;
        all - cached
    }
}

impl Engine {
    /// Changes some settings.
    pub fn change(&self, change: impl FnOnce(&mut Settings)) {
        self.state.with(|state| change(&mut state.settings));
        self.report();
    }

    /// Versions that it holds now.
    #[must_use]
    pub fn versions(&self) -> Vec<id::Version> {
        self.state.with(|state| state.versions.clone())
    }

    /// How often an attempt was taken.
    #[must_use]
    pub fn runs(&self, attempt: &str) -> u64 {
        self.state.with(|state| state.attempts.get(attempt))
    }

    /// Keeps a report for the lagging `/load`.
    fn report(&self) {
        let load = self.truth();
        self.state.with(|state| {
            if state.reports.len() == REPORTS {
                state.reports.remove(0);
            }
            state.reports.push((Instant::now(), load));
        });
    }

    fn truth(&self) -> Load {
        let (running, waiting) = self.batch.load();
        self.state.with(|state| Load {
            endpoint: self.name.clone(),
            incarnation: state.incarnation,
            running,
            waiting,
            batch: state.settings.batch,
            age_ms: 0,
            versions: state.versions.clone(),
            leaving: state.settings.leaving,
        })
    }

    /// The newest report that is at least a lag old; the first one if all are newer.
    fn lagging(&self) -> Option<Load> {
        let now = Instant::now();
        self.state.with(|state| {
            let lag = Duration::from_millis(state.settings.load_lag_ms);
            let seen = |(at, _): &(Instant, Load)| now.saturating_duration_since(*at) >= lag;
            let known = state.reports.iter().rposition(seen).unwrap_or(0);
            state.reports.drain(..known);
            let (_, load) = state.reports.first()?;
            let mut load = load.clone();
            // What was true a lag ago: the report itself may be far older than that.
            load.age_ms = state.settings.load_lag_ms;
            Some(load)
        })
    }

    async fn chat(&self, call: &Call) -> Answer {
        let chat: Chat = match call.json() {
            Ok(chat) => chat,
            Err(answer) => return answer,
        };
        let Some(version) = self.holds(&chat) else {
            self.state.with(|state| state.stats.refused += 1);
            let after = Duration::from_secs(1);
            let reason = "this version is not held";
            return server::refusal(StatusCode::SERVICE_UNAVAILABLE, after, reason);
        };
        let settings = self.settings();
        let priority = settings::priority(call.header(header::PRIORITY));
        let Some(ticket) = self.batch.enter(priority, settings.batch, settings.waiting) else {
            self.state.with(|state| state.stats.refused += 1);
            let after = Duration::from_secs(1);
            return server::refusal(StatusCode::TOO_MANY_REQUESTS, after, "full");
        };
        let attempt = attempt::plan(call, &chat, version, &settings);
        self.state.with(|state| state.note(&attempt));
        self.report();
        let reader = attempt.reader(Duration::from_millis(settings.linger_ms));
        tokio::spawn(self.clone().run(attempt.clone(), chat.clone(), ticket));
        if chat.stream {
            return self.stream(attempt, reader, 0);
        }
        if attempt.reached(attempt.total - 1).await {
            return self.signed(server::json(StatusCode::OK, &reply::completion(&attempt)));
        }
        server::text(StatusCode::INTERNAL_SERVER_ERROR, "cancelled")
    }

    fn holds(&self, chat: &Chat) -> Option<id::Version> {
        let version: id::Version = chat.model.parse().ok()?;
        let held = |state: &mut State| state.versions.binary_search(&version).is_ok();
        self.state.with(held).then_some(version)
    }

    async fn run(self, attempt: Attempt, chat: Chat, ticket: Ticket) {
        let finished = tokio::select! {
            () = self.generate(&attempt, &chat, ticket) => true,
            () = attempt.token.cancelled() => false,
            () = self.token.cancelled() => return,
        };
        self.state.with(|state| {
            state.stats.finished += u64::from(finished);
            state.stats.cancelled += u64::from(!finished);
        });
        self.report();
    }

    async fn generate(&self, attempt: &Attempt, chat: &Chat, ticket: Ticket) {
        let Some(slot) = ticket.slot().await else {
            return;
        };
        let settings = self.settings();
        let tokens = self.state.with(|state| state.read(chat));
        let mut at = tokio::time::Instant::now();
        at += Duration::from_micros(settings.prompt_us.saturating_mul(tokens));
        for _ in 0..attempt.total {
            // Steps are counted from one moment on, so that a coarse timer does not add up.
            at += self.step();
            tokio::time::sleep_until(at).await;
            self.state.with(|state| state.stats.tokens += 1);
            attempt.push();
        }
        drop(slot);
    }

    /// Time of the next token: longer in a full batch.
    fn step(&self) -> Duration {
        let (running, _) = self.batch.load();
        let settings = self.settings();
        let others = u64::from(running.saturating_sub(1));
        let room = u64::from(settings.batch.saturating_sub(1)).max(1);
        let crowded = settings.token_us * settings.crowding * others / room / 100;
        Duration::from_micros(settings.token_us + crowded)
    }

    fn stream(&self, attempt: Attempt, reader: attempt::Reader, from: u64) -> Answer {
        let (sender, source) = mpsc::channel(AHEAD);
        tokio::spawn(async move {
            tokio::select! {
                () = reply::feed(&attempt, from, &sender) => {}
                () = sender.closed() => {}
            }
            drop(reader);
        });
        self.signed(server::events(Body::events(source)))
    }

    fn signed(&self, answer: Answer) -> Answer {
        let incarnation = self.state.with(|state| state.incarnation);
        server::with(answer, header::INCARNATION, &incarnation.to_string())
    }

    fn find(&self, id: &str) -> Option<Attempt> {
        self.state
            .with(|state| state.recent.iter().rev().find(|a| a.id == id).cloned())
    }

    fn resume(&self, id: &str, call: &Call) -> Answer {
        let Some(attempt) = self.find(id) else {
            return server::text(StatusCode::NOT_FOUND, settings::NO_ATTEMPT);
        };
        let last: Option<u64> = call
            .header(header::LAST_EVENT)
            .and_then(|text| text.parse().ok());
        let linger = Duration::from_millis(self.settings().linger_ms);
        let reader = attempt.reader(linger);
        self.state.with(|state| state.stats.resumed += 1);
        self.stream(attempt, reader, last.map_or(0, |last| last + 1))
    }

    fn cancel(&self, id: &str) -> Answer {
        let Some(attempt) = self.find(id) else {
            return server::text(StatusCode::NOT_FOUND, settings::NO_ATTEMPT);
        };
        attempt.token.cancel();
        server::empty(StatusCode::NO_CONTENT)
    }
}

impl Handler for Engine {
    type Stats = Stats;
    type Settings = Settings;

    async fn answer(&self, call: Call) -> Answer {
        let attempt = call.path.strip_prefix("/v1/attempts/");
        match (&call.method, call.path.as_str(), attempt) {
            (&Method::POST, "/v1/chat/completions", _) => self.chat(&call).await,
            (&Method::GET, _, Some(id)) => self.resume(id, &call),
            (&Method::DELETE, _, Some(id)) => self.cancel(id),
            (&Method::GET, "/load", _) => server::json(StatusCode::OK, &self.lagging()),
            (&Method::GET, "/cache", _) => {
                let after = call.number("after").unwrap_or(0);
                let cache = self.state.with(|state| {
                    state
                        .cache
                        .published(after, &state.settings, Instant::now())
                });
                server::json(StatusCode::OK, &cache)
            }
            (&Method::POST, "/orders", _) => self.order(&call).await,
            _ => server::text(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn stats(&self) -> Stats {
        self.state.with(|state| {
            let mut stats = state.stats.clone();
            stats.attempts = state.attempts.counts().to_vec();
            stats.prompts = state.prompts.counts().to_vec();
            stats
        })
    }

    fn settings(&self) -> Settings {
        self.state.with(|state| state.settings.clone())
    }

    fn set(&self, settings: Settings) {
        self.change(|current| *current = settings);
    }

    fn restart(&self) {
        let lost = self.state.with(|state| {
            state.incarnation += 1;
            state.cache = Cache::default();
            state.reports.clear();
            std::mem::take(&mut state.recent)
        });
        for attempt in lost {
            attempt.token.cancel();
        }
        self.report();
    }
}

//! Stand-in of a model engine. It has continuous batching, a prefix cache, priorities, streams that
//! can be resumed and cancelled, delayed load reports, and orders.
//!
//! It implements [`pimento_wire::engine`]; [`crate::text`] generates its answers.

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

/// Number of recent attempts retained, so that their streams can be resumed.
const MAX_RECENT: usize = 1_024;
/// Events buffered for a slow reader of a stream.
const STREAM_BUFFER: usize = 16;
/// Maximum number of load reports retained for the delayed `/load`.
const MAX_REPORTS: usize = 4_096;

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
    handler.record_load();
    server::start(handler, config.listen, token).await
}

impl State {
    fn record_start(&mut self, attempt: &Attempt) {
        self.stats.started += 1;
        self.stats.leaving += u64::from(self.settings.leaving);
        self.attempts.add(&attempt.id);
        self.prompts.add(&text::hex(attempt.mark.prompt));
        let versions = &mut self.stats.versions;
        let index = versions.binary_search_by(|work| work.version.cmp(&attempt.version));
        let index = index.unwrap_or_else(|at| {
            let work = Work {
                version: attempt.version.clone(),
                started: 0,
                last: clock::now(),
            };
            versions.insert(at, work);
            at
        });
        versions[index].started += 1;
        versions[index].last = clock::now();
        if self.recent.len() == MAX_RECENT {
            self.recent.remove(0);
        }
        self.recent.push(attempt.clone());
    }

    /// Looks up the prompt's prefix in the cache and returns the number of tokens left to prefill.
    fn prefill_tokens(&mut self, chat: &Chat) -> u64 {
        let (before, all) = cache::sizes(&chat.messages);
        let hit = cache::prefix(&chat.messages)
            .is_some_and(|prefix| self.cache.touch(prefix, &self.settings, Instant::now()));
        let cached = if hit { before } else { 0 };
        self.stats.cached += cached;
        self.stats.prompt += all - cached;
        all - cached
    }
}

impl Engine {
    /// Changes settings.
    pub fn change(&self, change: impl FnOnce(&mut Settings)) {
        self.state.with(|state| change(&mut state.settings));
        self.record_load();
    }

    /// The versions loaded now.
    #[must_use]
    pub fn versions(&self) -> Vec<id::Version> {
        self.state.with(|state| state.versions.clone())
    }

    /// How often an attempt was accepted.
    #[must_use]
    pub fn runs(&self, attempt: &str) -> u64 {
        self.state.with(|state| state.attempts.get(attempt))
    }

    /// Records the current load for the delayed `/load`.
    fn record_load(&self) {
        let load = self.current_load();
        self.state.with(|state| {
            if state.reports.len() == MAX_REPORTS {
                state.reports.remove(0);
            }
            state.reports.push((Instant::now(), load));
        });
    }

    fn current_load(&self) -> Load {
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

    /// The newest report that is at least `load_lag_ms` old; the oldest one if all are newer.
    fn delayed_load(&self) -> Option<Load> {
        let now = Instant::now();
        self.state.with(|state| {
            let lag = Duration::from_millis(state.settings.load_lag_ms);
            let old_enough = |(at, _): &(Instant, Load)| now.saturating_duration_since(*at) >= lag;
            let newest = state.reports.iter().rposition(old_enough).unwrap_or(0);
            state.reports.drain(..newest);
            let (_, load) = state.reports.first()?;
            let mut load = load.clone();
            // The report may be much older, but it still described the state `load_lag_ms` ago.
            load.age_ms = state.settings.load_lag_ms;
            Some(load)
        })
    }

    async fn chat(&self, call: &Call) -> Answer {
        let chat: Chat = match call.json() {
            Ok(chat) => chat,
            Err(answer) => return answer,
        };
        let Some(version) = self.requested_version(&chat) else {
            self.state.with(|state| state.stats.refused += 1);
            let after = Duration::from_secs(1);
            let reason = "this version is not loaded";
            return server::refusal(StatusCode::SERVICE_UNAVAILABLE, after, reason);
        };
        let settings = self.settings();
        let priority = settings::priority(call.header(header::PRIORITY));
        let Some(ticket) = self
            .batch
            .request(priority, settings.batch, settings.waiting)
        else {
            self.state.with(|state| state.stats.refused += 1);
            let after = Duration::from_secs(1);
            return server::refusal(StatusCode::TOO_MANY_REQUESTS, after, "full");
        };
        let attempt = attempt::from_call(call, &chat, version, &settings);
        self.state.with(|state| state.record_start(&attempt));
        self.record_load();
        let reader = attempt.add_reader(Duration::from_millis(settings.linger_ms));
        tokio::spawn(self.clone().run(attempt.clone(), chat.clone(), ticket));
        if chat.stream {
            return self.stream(attempt, reader, 0);
        }
        if attempt.wait_for(attempt.total - 1).await {
            return self
                .with_incarnation(server::json(StatusCode::OK, &reply::completion(&attempt)));
        }
        server::text(StatusCode::INTERNAL_SERVER_ERROR, "cancelled")
    }

    fn requested_version(&self, chat: &Chat) -> Option<id::Version> {
        let version: id::Version = chat.model.parse().ok()?;
        let is_loaded = |state: &mut State| state.versions.binary_search(&version).is_ok();
        self.state.with(is_loaded).then_some(version)
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
        self.record_load();
    }

    async fn generate(&self, attempt: &Attempt, chat: &Chat, ticket: Ticket) {
        let Some(slot) = ticket.slot().await else {
            return;
        };
        let settings = self.settings();
        let tokens = self.state.with(|state| state.prefill_tokens(chat));
        let mut at = tokio::time::Instant::now();
        at += Duration::from_micros(settings.prompt_us.saturating_mul(tokens));
        for _ in 0..attempt.total {
            // Each token's time follows from the start, so that timer inaccuracy does not
            // accumulate.
            at += self.token_time();
            tokio::time::sleep_until(at).await;
            self.state.with(|state| state.stats.tokens += 1);
            attempt.push();
        }
        drop(slot);
    }

    /// The time that the next token takes, which grows with the number of running calls.
    fn token_time(&self) -> Duration {
        let (running, _) = self.batch.load();
        let settings = self.settings();
        let others = u64::from(running.saturating_sub(1));
        let slots = u64::from(settings.batch.saturating_sub(1)).max(1);
        let extra = settings.token_us * settings.crowding * others / slots / 100;
        Duration::from_micros(settings.token_us + extra)
    }

    fn stream(&self, attempt: Attempt, reader: attempt::Reader, from: u64) -> Answer {
        let (sender, source) = mpsc::channel(STREAM_BUFFER);
        tokio::spawn(async move {
            tokio::select! {
                () = reply::send_events(&attempt, from, &sender) => {}
                () = sender.closed() => {}
            }
            drop(reader);
        });
        self.with_incarnation(server::events(Body::events(source)))
    }

    fn with_incarnation(&self, answer: Answer) -> Answer {
        let incarnation = self.state.with(|state| state.incarnation);
        server::with_header(answer, header::INCARNATION, &incarnation.to_string())
    }

    fn find_attempt(&self, id: &str) -> Option<Attempt> {
        self.state
            .with(|state| state.recent.iter().rev().find(|a| a.id == id).cloned())
    }

    fn resume(&self, id: &str, call: &Call) -> Answer {
        let Some(attempt) = self.find_attempt(id) else {
            return server::text(StatusCode::NOT_FOUND, settings::NO_ATTEMPT);
        };
        let last: Option<u64> = call
            .header(header::LAST_EVENT)
            .and_then(|text| text.parse().ok());
        let linger = Duration::from_millis(self.settings().linger_ms);
        let reader = attempt.add_reader(linger);
        self.state.with(|state| state.stats.resumed += 1);
        self.stream(attempt, reader, last.map_or(0, |last| last + 1))
    }

    fn cancel(&self, id: &str) -> Answer {
        let Some(attempt) = self.find_attempt(id) else {
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
            (&Method::GET, "/load", _) => server::json(StatusCode::OK, &self.delayed_load()),
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
        let cancelled = self.state.with(|state| {
            state.incarnation += 1;
            state.cache = Cache::default();
            state.reports.clear();
            std::mem::take(&mut state.recent)
        });
        for attempt in cancelled {
            attempt.token.cancel();
        }
        self.record_load();
    }
}

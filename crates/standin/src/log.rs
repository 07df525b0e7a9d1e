//! Stand-in of the platform's append-only log.
//!
//! It implements the log calls of [`pimento_wire::platform`] and accepts any stream name. Use a
//! `refuse` or `hang` fault for an outage, and `lose_answer` for an append whose answer is lost.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use compact_str::CompactString;
use hyper::Method;
use hyper::StatusCode;
use pimento_units::Offset;
use pimento_units::Wall;
use pimento_wire::platform::Append;
use pimento_wire::platform::Appended;
use pimento_wire::platform::Batch;
use pimento_wire::platform::Entry;
use pimento_wire::platform::Gone;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::bucket::TokenBucket;
use crate::clock;
use crate::server;
use crate::server::Answer;
use crate::server::Call;
use crate::server::Handler;
use crate::server::Running;
use crate::shared::Shared;

/// Maximum number of records in an answer if the reader gives none.
const DEFAULT_MAX: u64 = 1_000;
/// Longest wait of a read, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// Settings of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Appends per second over all streams.
    pub appends: f64,
    /// Maximum burst of appends.
    pub burst: f64,
    /// Maximum number of records retained per stream.
    pub keep: usize,
    /// Retention of records, in milliseconds.
    pub keep_ms: u64,
}

impl Default for Settings {
    /// Allows several hundred appends per second, like the platform. Retention is long enough not
    /// to affect tests that do not set it.
    fn default() -> Self {
        Self {
            appends: 500.0,
            burst: 250.0,
            keep: 10_000_000,
            keep_ms: 7 * 86_400_000,
        }
    }
}

/// The configuration of a log.
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

/// Counters of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Appends that took effect.
    pub appends: u64,
    /// Records appended.
    pub records: u64,
    /// Bytes of records appended.
    pub bytes: u64,
    /// Appends refused because of the rate limit.
    pub limited: u64,
    /// Number of reads.
    pub reads: u64,
    /// Reads refused because retention had removed the records.
    pub gone: u64,
    /// The streams, sorted by name.
    pub streams: Vec<Extent>,
}

/// The offsets retained in a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extent {
    /// The stream's name.
    pub name: CompactString,
    /// The oldest offset retained.
    pub oldest: Offset,
    /// The offset of the next record.
    pub end: Offset,
}

#[derive(Debug)]
struct Stream {
    name: CompactString,
    oldest: u64,
    records: VecDeque<(Wall, Arc<str>)>,
}

#[derive(Debug)]
struct State {
    settings: Settings,
    bucket: TokenBucket,
    streams: Vec<Stream>,
    stats: Stats,
}

/// The log.
#[derive(Debug, Clone)]
pub struct Log {
    state: Shared<State>,
    appended: watch::Sender<u64>,
}

/// Starts a log.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn start(config: Config, token: CancellationToken) -> io::Result<Running<Log>> {
    let handler = Log::new(config.settings);
    server::start(handler, config.listen, token).await
}

impl Stream {
    fn end(&self) -> u64 {
        self.oldest + self.records.len() as u64
    }

    fn expire(&mut self, settings: &Settings, now: Wall) {
        let age = Duration::from_millis(settings.keep_ms);
        while let Some((at, _)) = self.records.front() {
            if self.records.len() <= settings.keep && now.since(*at) <= age {
                return;
            }
            self.records.pop_front();
            self.oldest += 1;
        }
    }

    fn read(&self, from: u64, max: u64, now: Wall) -> Batch {
        let skip = usize::try_from(from.saturating_sub(self.oldest)).unwrap_or(usize::MAX);
        let take = usize::try_from(max).unwrap_or(usize::MAX);
        let found = (from..).zip(self.records.iter().skip(skip).take(take));
        let records: Vec<Entry> = found
            .map(|(offset, (at, record))| Entry {
                offset: Offset(offset),
                at: *at,
                record: record.to_string(),
            })
            .collect();
        Batch {
            next: Offset(from + records.len() as u64),
            records,
            end: Offset(self.end()),
            now,
        }
    }
}

impl State {
    fn stream(&mut self, name: &str) -> &mut Stream {
        let index = self
            .streams
            .binary_search_by(|stream| stream.name.as_str().cmp(name));
        let index = index.unwrap_or_else(|at| {
            let stream = Stream {
                name: name.into(),
                oldest: 0,
                records: VecDeque::new(),
            };
            self.streams.insert(at, stream);
            at
        });
        &mut self.streams[index]
    }

    fn append(&mut self, name: &str, records: Vec<String>) -> Offset {
        let now = clock::now();
        let settings = self.settings.clone();
        self.stats.appends += 1;
        self.stats.records += records.len() as u64;
        self.stats.bytes += records.iter().map(|r| r.len() as u64).sum::<u64>();
        let stream = self.stream(name);
        let first = stream.end();
        let records = records.into_iter().map(|r| (now, Arc::from(r)));
        stream.records.extend(records);
        stream.expire(&settings, now);
        Offset(first)
    }
}

impl Log {
    fn new(settings: Settings) -> Self {
        let bucket = TokenBucket::new(settings.appends, settings.burst, Instant::now());
        let state = State {
            settings,
            bucket,
            streams: Vec::new(),
            stats: Stats::default(),
        };
        Self {
            state: Shared::new(state),
            appended: watch::Sender::new(0),
        }
    }

    /// Appends records without a rate limit, as another writer on the platform would. Returns the
    /// offset of the first one.
    #[must_use]
    pub fn append(&self, stream: &str, records: Vec<String>) -> Offset {
        let first = self.state.with(|state| state.append(stream, records));
        self.appended.send_modify(|count| *count += 1);
        first
    }

    /// All records retained in a stream.
    #[must_use]
    pub fn records(&self, stream: &str) -> Vec<Entry> {
        self.state.with(|state| {
            let stream = state.stream(stream);
            stream.read(stream.oldest, u64::MAX, clock::now()).records
        })
    }

    fn post(&self, name: &str, call: &Call) -> Answer {
        let append: Append = match call.json() {
            Ok(append) => append,
            Err(answer) => return answer,
        };
        let acquired = self.state.with(|state| {
            let acquired = state.bucket.try_acquire(Instant::now());
            state.stats.limited += u64::from(acquired.is_err());
            acquired
        });
        if let Err(after) = acquired {
            return server::refusal(
                StatusCode::TOO_MANY_REQUESTS,
                after,
                "over the append rate limit",
            );
        }
        let first = self.append(name, append.records);
        server::json(StatusCode::OK, &Appended { first })
    }

    async fn get(&self, name: &str, call: &Call) -> Answer {
        let from = call.number("from").unwrap_or(0);
        let max = call.number("max").unwrap_or(DEFAULT_MAX);
        let wait = call.number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait);
        let mut appended = self.appended.subscribe();
        self.state.with(|state| state.stats.reads += 1);
        loop {
            appended.mark_unchanged();
            let batch = match self.read(name, from, max) {
                Ok(batch) => batch,
                Err(gone) => return server::json(StatusCode::GONE, &gone),
            };
            if !batch.records.is_empty() {
                return server::json(StatusCode::OK, &batch);
            }
            if tokio::time::timeout_at(deadline, appended.changed())
                .await
                .is_err()
            {
                return server::json(StatusCode::OK, &batch);
            }
        }
    }

    fn read(&self, name: &str, from: u64, max: u64) -> Result<Batch, Gone> {
        let now = clock::now();
        self.state.with(|state| {
            let settings = state.settings.clone();
            let stream = state.stream(name);
            stream.expire(&settings, now);
            let oldest = stream.oldest;
            if from < oldest {
                state.stats.gone += 1;
                return Err(Gone {
                    oldest: Offset(oldest),
                });
            }
            Ok(stream.read(from, max, now))
        })
    }
}

impl Handler for Log {
    type Stats = Stats;
    type Settings = Settings;

    async fn answer(&self, call: Call) -> Answer {
        let Some(name) = call.path.strip_prefix("/streams/") else {
            return server::text(StatusCode::NOT_FOUND, "no such path");
        };
        let name = name.to_owned();
        match call.method {
            Method::POST => self.post(&name, &call),
            Method::GET => self.get(&name, &call).await,
            _ => server::empty(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    fn stats(&self) -> Stats {
        self.state.with(|state| {
            let mut stats = state.stats.clone();
            let extents = state.streams.iter().map(|stream| Extent {
                name: stream.name.clone(),
                oldest: Offset(stream.oldest),
                end: Offset(stream.end()),
            });
            stats.streams = extents.collect();
            stats
        })
    }

    fn settings(&self) -> Settings {
        self.state.with(|state| state.settings.clone())
    }

    fn set(&self, settings: Settings) {
        self.state.with(|state| {
            state.bucket = TokenBucket::new(settings.appends, settings.burst, Instant::now());
            state.settings = settings;
        });
    }
}

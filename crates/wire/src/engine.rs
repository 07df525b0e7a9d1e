//! The border with model engines (HTTP JSON and server-sent events).
//!
//! | call | meaning |
//! |---|---|
//! | `POST /v1/chat/completions` | [`crate::api::Chat`] with `model` = version; headers `attempt-id`, `priority`, `request-timeout`. Whole: [`crate::api::Completion`]. Streamed: events whose `id` is the sequence number from 0 and whose data is a [`crate::api::Chunk`], then an event with data `[DONE]` |
//! | `GET /v1/attempts/{attempt}` with `last-event-id` | resumes a stream after that event |
//! | `DELETE /v1/attempts/{attempt}` | cancels |
//! | `GET /load` | [`Load`] |
//! | `GET /cache?after={sequence}` | [`Cache`] |
//! | `POST /orders` | [`Order`], answered by [`Reply`] |
//!
//! A refusal that did not start the call has status 429 or 503 and the header `run: not_run`.

use compact_str::CompactString;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

/// What an engine says of itself; lags behind the truth.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Its name.
    pub endpoint: id::Endpoint,
    /// Changes at every restart.
    pub incarnation: u64,
    /// Calls in the running batch.
    pub running: u32,
    /// Calls that wait.
    pub waiting: u32,
    /// The most calls in a batch.
    pub batch: u32,
    /// Milliseconds since this was measured.
    pub age_ms: u64,
    /// Versions loaded, sorted.
    pub versions: Vec<id::Version>,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// Changes of the prefix cache, published late and with gaps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cache {
    /// The sequence number of the newest event.
    pub sequence: u64,
    /// Events after the one asked for; some may be missing.
    pub events: Vec<Event>,
}

/// One change of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number.
    pub sequence: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether it was added (or else evicted).
    pub added: bool,
}

/// An order to an engine. It states the wanted result, so that it may be sent again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Hold exactly these versions (sorted).
    Versions(Vec<id::Version>),
    /// Play this role: `decode`, `prefill` or `mixed`.
    Role(CompactString),
}

/// The engine's answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Whether the order was carried out; false if its fencing number is old.
    pub accepted: bool,
    /// The highest fencing number seen, if the engine checks it.
    pub fencing: Option<u64>,
}

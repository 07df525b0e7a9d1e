//! The API of model engines (HTTP JSON and server-sent events).
//!
//! | call | meaning |
//! |---|---|
//! | `POST /v1/chat/completions` | [`crate::api::Chat`] with `model` = version; headers `attempt-id`, `priority`, `request-timeout`. Whole: [`crate::api::Completion`]. Streamed: events whose `id` is the sequence number from 0 and whose data is a [`crate::api::Chunk`], then an event with data `[DONE]` |
//! | `GET /v1/attempts/{attempt}` with `last-event-id` | resumes a stream after that event |
//! | `DELETE /v1/attempts/{attempt}` | cancels |
//! | `GET /load` | [`Load`] |
//! | `GET /cache?after={sequence}` | [`CacheChanges`] |
//! | `POST /orders` | [`Order`], answered by [`Reply`] |
//!
//! A refusal that did not start the call has status 429 or 503 and the header `run: not_run`.

use compact_str::CompactString;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

/// The load that an engine reports; it lags behind the actual load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The engine's name.
    pub endpoint: id::Endpoint,
    /// The engine's incarnation, which changes at each restart.
    pub incarnation: u64,
    /// Number of calls in the running batch.
    pub running: u32,
    /// Number of waiting calls.
    pub waiting: u32,
    /// Maximum number of calls in a batch.
    pub batch: u32,
    /// Milliseconds since these values were measured.
    pub age_ms: u64,
    /// Loaded versions, sorted.
    pub versions: Vec<id::Version>,
    /// Whether the engine is leaving and accepts no new work.
    pub leaving: bool,
}

/// Changes of the prefix cache. They are published with a delay, and some may be missing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheChanges {
    /// The sequence number of the newest event.
    pub sequence: u64,
    /// Events after the requested sequence number; some may be missing.
    pub events: Vec<Event>,
}

/// One change of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number.
    pub sequence: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix was added; otherwise it was evicted.
    pub added: bool,
}

/// An order to an engine. It names the desired state, so it may be sent repeatedly.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load exactly these versions (sorted).
    Versions(Vec<id::Version>),
    /// Assume this role: `decode`, `prefill` or `mixed`.
    Role(CompactString),
}

/// The engine's answer to an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Whether the order was carried out; false if its fencing number is old.
    pub accepted: bool,
    /// The highest fencing number that the engine has received, if it checks them.
    pub fencing: Option<u64>,
}

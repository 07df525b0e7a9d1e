//! Lives of endpoints.

use pimento_policy::choice;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

/// One life of an endpoint, from a start to its end. What is known of it doesn't hold for the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// Hash of the endpoint's name.
    endpoint: u64,
    /// When it started, in milliseconds since the Unix epoch.
    started_unix_ms: u64,
}

impl Incarnation {
    /// The life of an endpoint that started then.
    #[must_use]
    pub fn new(endpoint: &id::Endpoint, started_unix_ms: u64) -> Self {
        Self {
            endpoint: choice::hash(endpoint.as_str()),
            started_unix_ms,
        }
    }
}

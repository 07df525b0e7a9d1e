//! Endpoints' limits in datagrams.

use std::time::Duration;

use pimento_policy::throttle::Limit;
use pimento_scheduler::limited::Word;
use serde::Deserialize;
use serde::Serialize;

/// What an endpoint named.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitMessage {
    /// The endpoint's key.
    endpoint: u64,
    /// Requests a second; none if it has a limit no more.
    limit: Option<f64>,
    /// Milliseconds since it said so.
    age_ms: u32,
}

/// A word as it is written.
pub fn encode(word: &Word) -> LimitMessage {
    LimitMessage {
        endpoint: word.endpoint,
        limit: word.limit.map(Limit::per_second),
        age_ms: u32::try_from(word.age.as_millis()).unwrap_or(u32::MAX),
    }
}

/// A word as it was read; none if its limit is none that an endpoint can name.
pub fn decode(told: &LimitMessage) -> Option<Word> {
    let limit = match told.limit.map(Limit::try_from).transpose() {
        Ok(limit) => limit,
        Err(error) => {
            log::warn!("neighbours: A limit left out: {error}.");
            return None;
        }
    };
    Some(Word {
        endpoint: told.endpoint,
        limit,
        age: Duration::from_millis(u64::from(told.age_ms)),
    })
}

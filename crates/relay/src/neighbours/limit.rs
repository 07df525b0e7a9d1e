//! Endpoints' rate limits in datagrams.

use std::time::Duration;

use pimento_policy::throttle::RateLimit;
use pimento_scheduler::endpoint_limit;
use serde::Deserialize;
use serde::Serialize;

/// A limit that an endpoint named.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitMessage {
    /// The endpoint's key.
    endpoint: u64,
    /// Requests per second; none if the endpoint has no limit any more.
    limit: Option<f64>,
    /// Milliseconds since the endpoint named it.
    age_ms: u32,
}

impl LimitMessage {
    /// The endpoint's key.
    pub const fn endpoint(&self) -> u64 {
        self.endpoint
    }
}

/// Encodes a limit for a datagram.
pub fn encode(report: &endpoint_limit::Report) -> LimitMessage {
    LimitMessage {
        endpoint: report.endpoint,
        limit: report.limit.map(RateLimit::per_second),
        age_ms: u32::try_from(report.age.as_millis()).unwrap_or(u32::MAX),
    }
}

/// Decodes a limit; none if its rate is not valid.
pub fn decode(message: &LimitMessage) -> Option<endpoint_limit::Report> {
    let limit = match message.limit.map(RateLimit::try_from).transpose() {
        Ok(limit) => limit,
        Err(error) => {
            log::warn!("neighbours: Ignoring a limit that is not valid: {error}.");
            return None;
        }
    };
    Some(endpoint_limit::Report {
        endpoint: message.endpoint,
        limit,
        age: Duration::from_millis(u64::from(message.age_ms)),
    })
}

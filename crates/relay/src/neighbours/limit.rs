//! Endpoints' limits in datagrams.

use std::time::Duration;

use pimento_policy::throttle::RateLimit;
use pimento_scheduler::endpoint_limit;
use pimento_scheduler::endpoint_limit::Kind;
use serde::Deserialize;
use serde::Serialize;

/// A limit that an endpoint named. Its kind follows from where it stands in a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitMessage {
    /// The endpoint's key.
    endpoint: u64,
    /// The limit in requests per second; none if the endpoint has no limit any more.
    limit: Option<f64>,
    /// Milliseconds since the endpoint named it.
    age_ms: u32,
}

/// A number of requests that an endpoint may turn away.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RejectionMessage {
    limit: LimitMessage,
    /// Milliseconds since it turned one away, if that was not long ago.
    rejected_ms: Option<u32>,
}

/// A limit of one kind, to be sent to others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    kind: Kind,
    message: LimitMessage,
    rejected_ms: Option<u32>,
}

impl Limit {
    /// Whether both are limits of the same kind and endpoint.
    pub fn replaces(&self, other: &Self) -> bool {
        (self.kind, self.message.endpoint) == (other.kind, other.message.endpoint)
    }

    /// The limit to be merged; none if its rate is not valid.
    pub fn decode(&self) -> Option<endpoint_limit::Report> {
        let message = &self.message;
        let limit = match message.limit.map(RateLimit::try_from).transpose() {
            Ok(limit) => limit,
            Err(error) => {
                log::warn!("neighbours: Ignoring a limit that is not valid: {error}.");
                return None;
            }
        };
        Some(endpoint_limit::Report {
            endpoint: message.endpoint,
            kind: self.kind,
            limit,
            age: duration(message.age_ms),
            rejected: self.rejected_ms.map(duration),
        })
    }
}

impl From<&endpoint_limit::Report> for Limit {
    fn from(report: &endpoint_limit::Report) -> Self {
        Self {
            kind: report.kind,
            message: LimitMessage {
                endpoint: report.endpoint,
                limit: report.limit.map(RateLimit::per_second),
                age_ms: millis(report.age),
            },
            rejected_ms: report.rejected.map(millis),
        }
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn duration(millis: u32) -> Duration {
    Duration::from_millis(u64::from(millis))
}

/// The limits on requests.
pub fn requests(limits: &[Limit]) -> Vec<LimitMessage> {
    let of_kind = limits.iter().filter(|limit| limit.kind == Kind::Requests);
    of_kind.map(|limit| limit.message).collect()
}

/// The limits on rejections.
pub fn rejections(limits: &[Limit]) -> Vec<RejectionMessage> {
    let of_kind = limits.iter().filter(|limit| limit.kind == Kind::Rejections);
    let messages = of_kind.map(|limit| RejectionMessage {
        limit: limit.message,
        rejected_ms: limit.rejected_ms,
    });
    messages.collect()
}

/// The limits of both kinds, as received.
pub fn joined(requests: &[LimitMessage], rejections: &[RejectionMessage]) -> Vec<Limit> {
    let requests = requests.iter().map(|message| Limit {
        kind: Kind::Requests,
        message: *message,
        rejected_ms: None,
    });
    let rejections = rejections.iter().map(|message| Limit {
        kind: Kind::Rejections,
        message: message.limit,
        rejected_ms: message.rejected_ms,
    });
    requests.chain(rejections).collect()
}

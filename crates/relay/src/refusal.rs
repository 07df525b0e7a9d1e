//! What callers get in place of an answer.
//!
//! Status codes 408, 421, 429 and 503 promise that the request has not run and never will; 502 and
//! 504 promise nothing. A [`Cause`] therefore fixes the status, and [`Refusal::unsure`] turns every
//! promise into 502 once a request may have run.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use pimento_scheduler::Refused;
use pimento_serve::Reply;

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// A header is missing or can't be read.
    BadHead,
    /// The head is over the limit.
    LargeHead,
    /// The body is over the limit.
    LargeBody,
    /// The body did not come in time.
    SlowBody,
    /// The body broke off or can't be read.
    BadBody,
    /// No key, or one that no customer holds.
    UnknownKey,
    /// No route takes the request.
    UnknownRoute,
    /// This VM has no configuration yet.
    NotReady,
    /// This VM can't know whether the key still holds.
    Stale,
    /// The work could not start in time.
    Overloaded,
    /// No endpoint can take the request.
    NoEndpoint,
    /// The time was up before the request was sent.
    Expired,
    /// The time was up while an endpoint had the request.
    Timeout,
    /// The endpoints failed.
    Failed,
    /// Endpoints ended under the request.
    Poison,
}

impl Cause {
    /// The name in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadHead => "bad_head",
            Self::LargeHead => "large_head",
            Self::LargeBody => "large_body",
            Self::SlowBody => "slow_body",
            Self::BadBody => "bad_body",
            Self::UnknownKey => "unknown_key",
            Self::UnknownRoute => "unknown_route",
            Self::NotReady => "not_ready",
            Self::Stale => "stale",
            Self::Overloaded => "overloaded",
            Self::NoEndpoint => "no_endpoint",
            Self::Expired => "expired",
            Self::Timeout => "timeout",
            Self::Failed => "failed",
            Self::Poison => "poison",
        }
    }

    const fn status(self) -> StatusCode {
        match self {
            Self::BadHead | Self::BadBody => StatusCode::BAD_REQUEST,
            Self::LargeHead => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::LargeBody => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            Self::NotReady
            | Self::Stale
            | Self::Overloaded
            | Self::NoEndpoint
            | Self::Expired
            | Self::Poison => StatusCode::SERVICE_UNAVAILABLE,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::Failed => StatusCode::BAD_GATEWAY,
        }
    }

    /// Whether the connection must end, since the rest of the request is not read or other VMs
    /// would serve the caller better.
    const fn closes(self) -> bool {
        matches!(
            self,
            Self::BadHead
                | Self::LargeHead
                | Self::LargeBody
                | Self::SlowBody
                | Self::BadBody
                | Self::NotReady
                | Self::Stale
        )
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// What a caller gets in place of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: Cause,
    /// When to come back, if that can help.
    pub after: Option<Duration>,
    /// Whether the request may have run.
    pub ran: bool,
}

impl Refusal {
    /// A refusal of a request that did not run.
    #[must_use]
    pub const fn new(cause: Cause) -> Self {
        Self {
            cause,
            after: None,
            ran: false,
        }
    }

    /// Adds when to come back.
    #[must_use]
    pub const fn after(mut self, after: Duration) -> Self {
        self.after = Some(after);
        self
    }

    /// The same for a request that may have run: nothing is promised.
    #[must_use]
    pub const fn unsure(mut self) -> Self {
        self.ran = true;
        self.after = None;
        self
    }

    /// The status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        let status = self.cause.status();
        match status {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::REQUEST_TIMEOUT if self.ran => {
                if self.cause == Cause::Expired {
                    StatusCode::GATEWAY_TIMEOUT
                } else {
                    StatusCode::BAD_GATEWAY
                }
            }
            status => status,
        }
    }

    /// The whole response.
    #[must_use]
    pub fn response(&self) -> Response<Reply> {
        let text = format!("{}\n", self.cause);
        let mut response = Response::new(Reply::whole(Bytes::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(after) = self.after {
            let text = format!("{:.3}", after.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(text) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        if self.cause.closes() {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

impl From<Refused> for Refusal {
    fn from(refused: Refused) -> Self {
        match refused {
            Refused::NoEndpoint { after } => Self::new(Cause::NoEndpoint).after(after),
            Refused::Overloaded { after } => Self::new(Cause::Overloaded).after(after),
            Refused::Expired { after } => Self::new(Cause::Expired).after(after),
            Refused::CallerGone => Self::new(Cause::Expired),
        }
    }
}

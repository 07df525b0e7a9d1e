//! Error responses to callers.
//!
//! Status codes 408, 421, 429 and 503 promise that the request has not run and never will; 502 and 504
//! promise nothing. The [`Cause`] determines the status. Once a request may have run,
//! [`Refusal::with_unknown_outcome`] replaces a status that promises too much by 502, or by 504 if the
//! deadline has passed.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use hyper::header::RETRY_AFTER;
use pimento_scheduler::NoSlot;
use pimento_serve::ReplyBody;

/// Retry delay for callers that another VM can serve. By then the load balancer sends the caller to another
/// VM of the zone.
pub const OTHER_VM_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// A required header is missing or malformed.
    BadHead,
    /// The head exceeds the limit.
    LargeHead,
    /// The body exceeds the limit.
    LargeBody,
    /// The prompt exceeds the memory of each engine.
    LargePrompt,
    /// The body finds no memory in time.
    Memory,
    /// The body did not arrive in time.
    SlowBody,
    /// The body is incomplete or malformed.
    BadBody,
    /// The request has no key, or one that belongs to no customer.
    UnknownKey,
    /// No route matches the request.
    UnknownRoute,
    /// This VM has no configuration yet.
    NotReady,
    /// The configuration is too old to tell whether the key is still valid, or is known to lack changes.
    Stale,
    /// The request could not start in time.
    Overloaded,
    /// No endpoint can accept the request.
    NoEndpoint,
    /// The service's new version has had as many requests as it may, and the old one can't take this one.
    Exposure,
    /// All endpoints that could accept the request are in evacuated zones.
    Evacuated,
    /// All endpoints that could accept the request have just started and take few calls.
    Cold,
    /// No endpoint is in the regions in which the request may run.
    NotHome,
    /// The deadline passed before the request was sent.
    Expired,
    /// The deadline passed while an endpoint processed the request.
    Timeout,
    /// The endpoints that were tried failed.
    Failed,
    /// The endpoints that were tried failed, and the retry budget is exhausted.
    NoRetry,
    /// The endpoint cut the answer off because the caller did not read it.
    Unread,
    /// The request is blocked because endpoints crashed while they ran it.
    Poison,
    /// This VM stops before the request can be completed.
    Stopping,
}

impl Cause {
    /// The name in logs, metrics and the response's body.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadHead => "bad_head",
            Self::LargeHead => "large_head",
            Self::LargeBody => "large_body",
            Self::LargePrompt => "large_prompt",
            Self::Memory => "memory",
            Self::SlowBody => "slow_body",
            Self::BadBody => "bad_body",
            Self::UnknownKey => "unknown_key",
            Self::UnknownRoute => "unknown_route",
            Self::NotReady => "not_ready",
            Self::Stale => "stale",
            Self::Overloaded => "overloaded",
            Self::NoEndpoint => "no_endpoint",
            Self::Exposure => "exposure",
            Self::Evacuated => "evacuated",
            Self::Cold => "cold",
            Self::NotHome => "not_home",
            Self::Expired => "expired",
            Self::Timeout => "timeout",
            Self::Failed => "failed",
            Self::NoRetry => "no_retry",
            Self::Unread => "unread",
            Self::Poison => "poison",
            Self::Stopping => "stopping",
        }
    }

    /// Whether the same request may be accepted a moment later.
    #[must_use]
    pub const fn is_momentary(self) -> bool {
        matches!(
            self,
            Self::Stale
                | Self::Memory
                | Self::Overloaded
                | Self::NoEndpoint
                | Self::Exposure
                | Self::Cold
                | Self::NoRetry
        )
    }

    const fn status(self) -> StatusCode {
        match self {
            Self::BadHead | Self::BadBody => StatusCode::BAD_REQUEST,
            Self::LargeHead => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::LargeBody => StatusCode::PAYLOAD_TOO_LARGE,
            Self::SlowBody => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownRoute => StatusCode::NOT_FOUND,
            // As an engine refuses a prompt that exceeds its memory. Another version may have more.
            Self::LargePrompt
            | Self::NotReady
            | Self::Stale
            | Self::Memory
            | Self::Overloaded
            | Self::NoEndpoint
            | Self::Exposure
            | Self::Evacuated
            | Self::Cold
            | Self::NotHome
            | Self::Expired
            | Self::Poison
            | Self::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
            Self::Failed | Self::NoRetry | Self::Unread => StatusCode::BAD_GATEWAY,
        }
    }

    /// Whether the response closes the connection, because the rest of the request was not read or
    /// another VM can serve the caller better.
    const fn closes(self) -> bool {
        matches!(
            self,
            Self::BadHead
                | Self::LargeHead
                | Self::LargeBody
                | Self::SlowBody
                | Self::Memory
                | Self::BadBody
                | Self::NotReady
                | Self::Stale
                | Self::Stopping
        )
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// An error response to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub cause: Cause,
    /// Time after which the caller may retry, if a retry can help.
    pub retry_after: Option<Duration>,
    /// Whether the request may have run.
    pub may_have_run: bool,
}

impl Refusal {
    /// A refusal of a request that did not run.
    #[must_use]
    pub const fn new(cause: Cause) -> Self {
        Self {
            cause,
            retry_after: None,
            may_have_run: false,
        }
    }

    /// The refusal of a request that this VM can't complete because it stops.
    #[must_use]
    pub const fn stopping(may_have_run: bool) -> Self {
        let refusal = Self::new(Cause::Stopping);
        if may_have_run {
            refusal.with_unknown_outcome()
        } else {
            refusal.with_retry_after(OTHER_VM_RETRY_AFTER)
        }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub const fn with_retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// The same refusal for a request that may have run. It promises nothing and suggests no retry.
    #[must_use]
    pub const fn with_unknown_outcome(mut self) -> Self {
        self.may_have_run = true;
        self.retry_after = None;
        self
    }

    /// The HTTP status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        let status = self.cause.status();
        match status {
            StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::PAYLOAD_TOO_LARGE
                if self.may_have_run =>
            {
                if self.cause == Cause::Expired {
                    StatusCode::GATEWAY_TIMEOUT
                } else {
                    StatusCode::BAD_GATEWAY
                }
            }
            status => status,
        }
    }

    /// The complete response. Its body is the cause's name.
    #[must_use]
    pub fn response(&self) -> Response<ReplyBody> {
        let text = format!("{}\n", self.cause);
        let mut response = Response::new(ReplyBody::whole(Bytes::from(text)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(after) = self.retry_after {
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

impl From<NoSlot> for Refusal {
    fn from(no_slot: NoSlot) -> Self {
        match no_slot {
            NoSlot::NoEndpoint { after } => Self::new(Cause::NoEndpoint).with_retry_after(after),
            NoSlot::Overloaded { after } => Self::new(Cause::Overloaded).with_retry_after(after),
            NoSlot::Cold { after } => Self::new(Cause::Cold).with_retry_after(after),
            NoSlot::Expired { after } => Self::new(Cause::Expired).with_retry_after(after),
            NoSlot::TooLarge => Self::new(Cause::LargePrompt),
            NoSlot::CallerGone => Self::new(Cause::Expired),
        }
    }
}

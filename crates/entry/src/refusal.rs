//! All errors that a caller can get: status, kind, code, and whether the call ran.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::ALLOW;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use pimento_scheduler::NoSlot;
use pimento_serve::ReplyBody;
use pimento_wire::api::Error;
use pimento_wire::api::ErrorBody;
use pimento_wire::api::Run;
use pimento_wire::header;

use crate::end::End;

/// Reason why a caller gets an error instead of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Code {
    /// No API key was sent.
    MissingKey,
    /// No contract has this API key.
    UnknownKey,
    /// The path does not exist.
    UnknownPath,
    /// The path does not support this method.
    WrongMethod,
    /// The body is not valid for the path.
    MalformedBody,
    /// The body exceeds the size limit.
    LargeBody,
    /// A header can't be read.
    BadHeader,
    /// The session token is forged, or of another customer.
    BadToken,
    /// The contract has no such class.
    UnknownModel,
    /// The contract has no such service.
    UnknownService,
    /// The request id is too old, or not of version 7 where its age matters.
    BadRequestId,
    /// The request id was used for another call.
    ReusedRequestId,
    /// The call was made before, and its answer is not available.
    AlreadyClaimed,
    /// The contract's spend limit is reached.
    SpendLimit,
    /// Other entry VMs hold the remaining spend at present.
    SpendWait,
    /// The work can't start by its deadline.
    Overloaded,
    /// The entry VM has no configuration yet.
    NotReady,
    /// No version that the contract allows takes new work.
    NoVersion,
    /// No endpoint accepted the call.
    NoEndpoint,
    /// The platform's log does not accept claims at present.
    ClaimsUnavailable,
    /// Neither the platform nor a peer accepts bills at present.
    BillsUnavailable,
    /// The endpoints failed.
    EndpointFailed,
    /// The call is blocked because endpoints crashed while they ran it.
    Poison,
    /// The deadline passed.
    Timeout,
    /// The entry VM is shutting down and can't finish the call.
    ShuttingDown,
    /// The entry VM shut down while the call was under way.
    Aborted,
    /// The caller disconnected, so that nobody receives this error.
    CallerGone,
    /// A fault of the router.
    Internal,
}

impl Code {
    /// HTTP status, kind and stable code.
    const fn parts(self) -> (u16, &'static str, &'static str) {
        const INVALID: &str = "invalid_request_error";
        const AUTH: &str = "authentication_error";
        const RATE: &str = "rate_limit_error";
        const SERVER: &str = "server_error";
        match self {
            Self::MissingKey => (401, AUTH, "missing_api_key"),
            Self::UnknownKey => (401, AUTH, "invalid_api_key"),
            Self::UnknownPath => (404, INVALID, "unknown_path"),
            Self::WrongMethod => (405, INVALID, "wrong_method"),
            Self::MalformedBody => (400, INVALID, "malformed_body"),
            Self::LargeBody => (413, INVALID, "body_too_large"),
            Self::BadHeader => (400, INVALID, "bad_header"),
            Self::BadToken => (400, INVALID, "bad_session_token"),
            Self::UnknownModel => (404, INVALID, "model_not_found"),
            Self::UnknownService => (404, INVALID, "service_not_found"),
            Self::BadRequestId => (400, INVALID, "bad_request_id"),
            Self::ReusedRequestId => (422, INVALID, "request_id_reused"),
            Self::AlreadyClaimed => (409, INVALID, "already_claimed"),
            Self::SpendLimit => (402, "insufficient_quota", "spend_limit"),
            Self::SpendWait => (429, RATE, "spend_wait"),
            Self::Overloaded => (429, RATE, "overloaded"),
            Self::NotReady => (503, SERVER, "not_ready"),
            Self::NoVersion => (503, SERVER, "no_version"),
            Self::NoEndpoint => (503, SERVER, "no_endpoint"),
            Self::ClaimsUnavailable => (503, SERVER, "claims_unavailable"),
            Self::BillsUnavailable => (503, SERVER, "bills_unavailable"),
            Self::EndpointFailed => (502, SERVER, "endpoint_failed"),
            Self::Poison => (503, SERVER, "poison_request"),
            Self::Timeout => (504, SERVER, "timeout"),
            Self::ShuttingDown => (503, SERVER, "shutting_down"),
            Self::Aborted => (504, SERVER, "aborted"),
            Self::CallerGone => (499, SERVER, "caller_gone"),
            Self::Internal => (500, SERVER, "internal_error"),
        }
    }

    /// The stable code used in bodies and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        self.parts().2
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

/// An error response to a caller, also for a request that ran.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Reason.
    pub code: Code,
    /// Human-readable message. Contains no secrets.
    pub message: String,
    /// Whether the call ran.
    pub run: Run,
    /// Delay before a retry, if a retry can help.
    pub retry_after: Option<Duration>,
}

impl From<NoSlot> for Refusal {
    fn from(no_slot: NoSlot) -> Self {
        let (code, after) = match no_slot {
            NoSlot::NoEndpoint { after } => (Code::NoEndpoint, Some(after)),
            NoSlot::Overloaded { after } | NoSlot::Expired { after } | NoSlot::Cold { after } => {
                (Code::Overloaded, Some(after))
            }
            // Jobs of this chain carry no prompts, and their endpoints no memory.
            NoSlot::TooLarge => (Code::LargeBody, None),
            NoSlot::CallerGone => (Code::CallerGone, None),
        };
        let refusal = Self::not_run(code, no_slot.to_string());
        Self {
            retry_after: after,
            ..refusal
        }
    }
}

impl Refusal {
    /// A refusal before anything was sent to an endpoint.
    #[must_use]
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self::new(code, message, Run::NotRun)
    }

    /// An error with what is known about whether the call ran.
    #[must_use]
    pub fn new(code: Code, message: impl Into<String>, run: Run) -> Self {
        Self {
            code,
            message: message.into(),
            run,
            retry_after: None,
        }
    }

    /// A refusal by a VM that is shutting down, before anything was sent to an endpoint.
    #[must_use]
    pub fn shutting_down() -> Self {
        /// Time in which load balancers have noticed that this VM is not ready.
        const RETRY_AFTER: Duration = Duration::from_secs(1);
        let message = "this entry VM is shutting down";
        Self::not_run(Code::ShuttingDown, message).retry_after(RETRY_AFTER)
    }

    /// An error after this VM shut down while the call was under way.
    #[must_use]
    pub fn aborted(run: Run) -> Self {
        let message = "this entry VM shut down before the answer was complete";
        Self::new(Code::Aborted, message, run)
    }

    /// Names this VM as the one that left if it closed the caller's connection itself.
    #[must_use]
    pub fn attribute(self, end: &End) -> Self {
        if self.code == Code::CallerGone && end.is_aborted() {
            return Self::aborted(self.run);
        }
        self
    }

    /// Sets the delay before a retry.
    #[must_use]
    pub const fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }

    /// The error body.
    #[must_use]
    pub fn body(&self) -> ErrorBody {
        let (_, kind, code) = self.code.parts();
        ErrorBody {
            error: Error {
                kind: CompactString::const_new(kind),
                code: CompactString::const_new(code),
                message: self.message.clone(),
                run: self.run,
            },
        }
    }

    /// The body as JSON text.
    #[must_use]
    pub fn json(&self) -> Bytes {
        // All keys of the body are strings, so encoding can't fail.
        serde_json::to_vec(&self.body()).unwrap_or_default().into()
    }

    /// The complete response.
    #[must_use]
    pub fn response(&self) -> Response<ReplyBody> {
        let mut response = Response::new(ReplyBody::whole(self.json()));
        let status = StatusCode::from_u16(self.code.parts().0);
        *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(header::RUN, HeaderValue::from_static(self.run.as_str()));
        if let Some(after) = self.retry_after {
            headers.insert(header::RETRY_AFTER, seconds(after).into());
        }
        if self.code == Code::WrongMethod {
            headers.insert(ALLOW, HeaderValue::from_static("GET, POST"));
        }
        response
    }
}

/// Full seconds, rounded up and at least one, so that a caller does not retry too early.
fn seconds(after: Duration) -> u64 {
    u64::try_from(after.as_millis().div_ceil(1_000))
        .unwrap_or(u64::MAX)
        .max(1)
}

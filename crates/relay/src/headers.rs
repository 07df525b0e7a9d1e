//! The trait that reads and writes HTTP heads for a platform, and its data types.
//!
//! An implementation parses the head of a caller's request, builds the headers of each attempt at an
//! endpoint and parses the head of the endpoint's response. It knows the names of headers and makes no
//! decisions. Bodies are forwarded unchanged.

use std::time::Duration;

use compact_str::CompactString;
use hyper::HeaderMap;
use hyper::http::request;
use hyper::http::response;
use pimento_policy::rest;
use pimento_policy::throttle;
use pimento_units::Tokens;
use pimento_units::id;
use snafu::Snafu;

/// A part of a prompt. Requests whose prompts begin with the same parts can share an engine's prefix
/// cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's text.
    pub hash: u64,
    /// Length of the part.
    pub tokens: Tokens,
}

/// The model that a caller requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestedModel {
    /// Any that the route allows.
    Any,
    /// This model.
    Named(id::Version),
}

/// What the relay reads from the head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestInfo {
    /// Id of the request. The endpoint's response repeats it.
    pub id: CompactString,
    /// The requested host, without a port.
    pub host: CompactString,
    /// The API key.
    pub key: Option<CompactString>,
    /// How long the caller waits for the complete response.
    pub timeout: Option<Duration>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// The requested model.
    pub model: Option<RequestedModel>,
    /// Tokens of the prompt, and the maximum tokens of the answer.
    pub usage: Option<(Tokens, Tokens)>,
    /// The prompt's parts in order.
    pub prompt_parts: Vec<PromptPart>,
    /// Hash of the session that the request belongs to.
    pub session: Option<u64>,
    /// Tokens that the caller expects the answer to have.
    pub expected_tokens: Option<Tokens>,
}

/// A required header that is missing or malformed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{header}: {problem}"))]
pub struct MalformedHeader {
    /// Name of the header.
    pub header: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

/// What the headers of one attempt are built from.
#[derive(Debug, Clone, Copy)]
pub struct AttemptInfo<'a> {
    /// The endpoint that the attempt is addressed to. Another endpoint that has taken over its address
    /// must not run the request.
    pub endpoint: &'a id::Endpoint,
    /// The customer that sent the request.
    pub customer: Option<&'a id::Customer>,
    /// Time left until the response must be complete.
    pub time_left: Option<Duration>,
    /// Model to run in place of the requested one.
    pub model: Option<&'a id::Version>,
    /// Id of the last event that the caller received.
    pub last_event_id: Option<u64>,
    /// Priority class at the engine; lower runs first.
    pub urgency: Option<u8>,
}

/// What the relay reads from the head of an endpoint's response, in addition to its status.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseInfo {
    /// Id of the request that it answers.
    pub id: Option<CompactString>,
    /// Whether the response carries an endpoint's signature.
    pub signed: bool,
    /// Why the request did not run, if the response declares that.
    pub declined: Option<Declined>,
    /// How long the endpoint wants no requests from this VM, if it refused the request.
    pub rest: AnnouncedRest,
    /// Whether the endpoint says that it leaves and takes no new work.
    pub leaving: bool,
    /// The model's confidence in its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// Rate limit that the endpoint announces for the requests of all VMs together.
    pub limit: AnnouncedLimit,
    /// The requests of all VMs together that the endpoint may turn away in a second, if it falls over when
    /// there are more.
    pub max_rejections: AnnouncedLimit,
}

/// Why an endpoint did not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Declined {
    /// It refused the request.
    Refused,
    /// Another endpoint has taken over the address.
    Misdirected,
}

/// The time for which a response asks for no requests.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum AnnouncedRest {
    /// It asks for none.
    #[default]
    Absent,
    /// This time.
    Rest(rest::Rest),
    /// The value is not a valid time.
    Invalid(rest::Error),
}

/// The rate limit that a response announces for its endpoint.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum AnnouncedLimit {
    /// No limit is announced, so none applies.
    #[default]
    Absent,
    /// This limit.
    Limit(throttle::RateLimit),
    /// The value is not a valid limit.
    Invalid(throttle::Error),
}

/// Reads and writes HTTP heads.
pub trait HeaderCodec: Clone + Send + Sync + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`MalformedHeader`] if a required header is missing or malformed.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestInfo, MalformedHeader>;

    /// Builds the headers of an attempt from the head of the caller's request.
    fn attempt_headers(&self, head: &request::Parts, attempt: &AttemptInfo<'_>) -> HeaderMap;

    /// Parses the head of an endpoint's response.
    fn parse_response(&self, head: &response::Parts) -> ResponseInfo;

    /// Removes the headers of a response that apply only to the connection to the endpoint.
    fn strip_connection_headers(&self, headers: &mut HeaderMap);
}

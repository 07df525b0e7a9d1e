//! What the relay asks of a border: how the head of a request is read, how it is passed on to an
//! endpoint, and what the head of the endpoint's answer says.
//!
//! A border knows the names of headers and decides nothing. Bodies pass as they are.

use std::time::Duration;

use compact_str::CompactString;
use hyper::HeaderMap;
use hyper::http::request;
use hyper::http::response;
use pimento_policy::throttle;
use pimento_units::Tokens;
use pimento_units::id;
use snafu::Snafu;

/// A part of a prompt that other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash of the part's text.
    pub hash: u64,
    /// Its length.
    pub tokens: Tokens,
}

/// The model that a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestedModel {
    /// Whichever the route allows.
    Any,
    /// This one.
    Named(id::Version),
}

/// What the head of a caller's request says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestInfo {
    /// The id of this request, which the endpoint's answer repeats.
    pub id: CompactString,
    /// The host asked for, without a port.
    pub host: CompactString,
    /// The API key.
    pub key: Option<CompactString>,
    /// How long the caller waits for the whole answer.
    pub timeout: Option<Duration>,
    /// The last event that the caller has, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// The model asked for.
    pub model: Option<RequestedModel>,
    /// Tokens of the prompt, and the most of the answer.
    pub usage: Option<(Tokens, Tokens)>,
    /// The prompt's parts in order.
    pub prompt_parts: Vec<PromptPart>,
    /// Hash of the session that the request belongs to.
    pub session: Option<u64>,
    /// Tokens that the caller expects of the answer.
    pub expected_tokens: Option<Tokens>,
}

/// A head that can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{header}: {problem}"))]
pub struct MalformedHeader {
    /// The header.
    pub header: &'static str,
    /// What is wrong with it.
    pub problem: &'static str,
}

/// How one attempt is to be made.
#[derive(Debug, Clone, Copy)]
pub struct AttemptInfo<'a> {
    /// The endpoint that it is meant for; another one at its address must not run it.
    pub endpoint: &'a id::Endpoint,
    /// Whose request it is.
    pub customer: Option<&'a id::Customer>,
    /// Time left until the answer must be whole.
    pub time_left: Option<Duration>,
    /// The model to run in place of the one asked for.
    pub model: Option<&'a id::Version>,
    /// The last event that the caller has.
    pub last_event_id: Option<u64>,
    /// Urgency at the engine; lower goes first.
    pub urgency: Option<u8>,
}

/// What the head of an endpoint's answer says beside its status.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ResponseInfo {
    /// The id of the request that it answers.
    pub id: Option<CompactString>,
    /// Whether it bears an endpoint's signature.
    pub signed: bool,
    /// Whether the endpoint says that it did not run the request.
    pub refused: bool,
    /// Whether the address belongs to another endpoint by now, which did not run the request.
    pub misdirected: bool,
    /// The model's opinion of its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// Requests a second that the endpoint takes from all VMs together, as it says.
    pub limit: AnnouncedLimit,
}

/// What an answer says of its endpoint's limit.
#[derive(Debug, Clone, Default, PartialEq)]
pub enum AnnouncedLimit {
    /// Nothing: there is none.
    #[default]
    Absent,
    /// This one.
    Limit(throttle::Limit),
    /// Something that is no limit.
    Invalid(throttle::Error),
}

/// How heads are read and written.
pub trait HeaderCodec: Clone + Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`MalformedHeader`] if a header that must be there is missing or can't be read.
    fn parse_request(&self, head: &request::Parts) -> Result<RequestInfo, MalformedHeader>;

    /// The headers of an attempt.
    fn attempt_headers(&self, head: &request::Parts, attempt: &AttemptInfo<'_>) -> HeaderMap;

    /// Reads the head of an endpoint's answer.
    fn parse_response(&self, head: &response::Parts) -> ResponseInfo;

    /// Takes out of an answer's headers what concerns only the connection to the endpoint.
    fn strip_connection_headers(&self, headers: &mut HeaderMap);
}

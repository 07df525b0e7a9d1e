//! Identifies a request: id, deadline, session, class and body.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::body::Body;
use hyper::body::Incoming;
use pimento_contract::contract::Class;
use pimento_units::Digest;
use pimento_units::Moment;
use pimento_units::Wall;
use pimento_units::id;
use pimento_wire::api::Chat;
use pimento_wire::header;
use tokio::sync::OwnedSemaphorePermit;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

use super::Filter;
use super::authenticate::Caller;
use crate::end::End;
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::session::Session;

/// How long to wait until this node has read the configuration under which the caller's token was issued: a
/// few times as long as a change takes to spread in a zone.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(500);

/// Memory of a request in flight in addition to its body: its task, the buffers of its connections and the
/// chunks that wait for a slow reader.
const REQUEST_OVERHEAD_BYTES: usize = 16 << 10;

/// The unit in which the memory of requests is counted. A semaphore's 32-bit count is too small for bytes.
pub const MEMORY_UNIT_BYTES: usize = 1 << 10;

/// Parses and identifies a model request.
#[derive(Debug, Clone)]
pub struct Identify<'a>(pub &'a Node);

/// Properties that every request has.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The request id.
    pub id: id::Request,
    /// Whether the caller chose the id, so that it may send the request again under it.
    pub caller_chosen: bool,
    /// Whether the age of the id shows that the caller sends the request again, after a refusal.
    pub is_retry: bool,
    /// When it arrived.
    pub arrived: Moment,
    /// When the whole answer must be there.
    pub deadline: Moment,
    /// The end of this VM.
    pub end: End,
    /// Cancelled when the caller disconnects.
    pub caller_gone: CancellationToken,
    /// The request's share of the memory for requests in flight.
    pub memory: Arc<OwnedSemaphorePermit>,
}

impl Identity {
    /// Until when work that is begun now must be done: the caller's deadline, or this VM's end if that comes
    /// first.
    #[must_use]
    pub fn work_deadline(&self) -> Moment {
        self.end.bound(self.deadline)
    }

    /// Whether this VM ends before the caller's deadline.
    #[must_use]
    pub fn is_cut_short(&self) -> bool {
        self.work_deadline() < self.deadline
    }
}

/// A body and its share of the memory for requests in flight.
#[derive(Debug, Clone)]
pub struct Content {
    /// The bytes.
    pub bytes: Bytes,
    /// The share.
    pub memory: Arc<OwnedSemaphorePermit>,
}

/// A model request before it is parsed.
#[derive(Debug)]
pub struct Raw<'a> {
    /// Its caller.
    pub caller: Caller,
    /// Its headers.
    pub headers: &'a HeaderMap,
    /// Its complete body.
    pub body: Content,
    /// Cancelled when the caller disconnects.
    pub caller_gone: CancellationToken,
}

/// A valid model request.
#[derive(Debug, Clone)]
pub struct Request {
    /// Id, deadline and other common properties.
    pub identity: Identity,
    /// The customer that sent it.
    pub customer: id::Customer,
    /// The customer's weight.
    pub weight: u32,
    /// The requested class.
    pub class: Class,
    /// The conversation.
    pub chat: Chat,
    /// Digest of customer and body, by which requests that crash endpoints are blocked. It is the same when
    /// the caller sends the request again.
    pub digest: Digest,
    /// The session; a new one if the caller sent no token.
    pub session: Session,
    /// The token that the caller sent, if it has not expired.
    pub token: Option<String>,
}

impl<'a> Filter<Raw<'a>> for Identify<'_> {
    type Output = Request;

    async fn apply(&self, raw: Raw<'a>) -> Result<Request, Refusal> {
        let node = self.0;
        let chat = parse(&raw.body.bytes)?;
        let customer = raw.caller.customer;
        let digest = Digest::of([customer.as_str().as_bytes(), &raw.body.bytes]);
        let unknown = || {
            let message = format!("the contract has no class {:?}", chat.model);
            Refusal::not_run(Code::UnknownModel, message)
        };
        let contract = raw.caller.state.contract(&customer).ok_or_else(unknown)?;
        let class = contract.class(&chat.model).ok_or_else(unknown)?.clone();
        let weight = contract.weight;
        let default_timeout = class.timeout.duration();
        let identity = identity(
            node,
            raw.headers,
            default_timeout,
            raw.caller_gone,
            raw.body.memory,
        )?;
        let (session, token) = self.session(raw.headers, &customer).await?;
        Ok(Request {
            identity,
            customer,
            weight,
            class,
            chat,
            digest,
            session,
            token,
        })
    }
}

impl Identify<'_> {
    async fn session(
        &self,
        headers: &HeaderMap,
        customer: &id::Customer,
    ) -> Result<(Session, Option<String>), Refusal> {
        let node = self.0;
        let now = node.clock.wall();
        let Some(text) = header_text(headers, header::SESSION_TOKEN)? else {
            let session = Session {
                id: id::Session(Uuid::now_v7()),
                customer: customer.clone(),
                pins: Vec::new(),
                offset: node.state.current().offset,
                at: now,
            };
            return Ok((session, None));
        };
        let opened = node.session_key.open(text, customer);
        let mut session = opened
            .map_err(|error| Refusal::not_run(Code::BadToken, format!("{error}; leave it out")))?;
        if session.expired(now, node.config.session_life) {
            session.pins.clear();
            return Ok((session, None));
        }
        node.state
            .wait_for_offset(session.offset, CATCH_UP_TIMEOUT)
            .await;
        Ok((session, Some(text.into())))
    }
}

/// Reads a whole body of bounded size.
///
/// # Errors
///
/// A [`Refusal`] if the body is too large or incomplete, or if requests in flight use all of the memory
/// reserved for them.
pub async fn body(node: &Node, body: Incoming) -> Result<Content, Refusal> {
    let limit = node.config.max_body;
    let declared_size = body.size_hint().exact();
    let size = declared_size.and_then(|size| usize::try_from(size).ok());
    let size = size.unwrap_or(limit).min(limit) + REQUEST_OVERHEAD_BYTES;
    let units = u32::try_from(size.div_ceil(MEMORY_UNIT_BYTES)).unwrap_or(u32::MAX);
    let memory = Arc::clone(&node.request_memory).try_acquire_many_owned(units);
    let memory = memory.map_err(|_| {
        /// Time for the queues to drain; how long that takes is not known here.
        const RETRY_AFTER: Duration = Duration::from_secs(1);
        let message = "requests in flight use all of the memory reserved for them";
        Refusal::not_run(Code::Overloaded, message).retry_after(RETRY_AFTER)
    })?;
    let bytes = read_body(body, limit).await?;
    Ok(Content {
        bytes,
        memory: Arc::new(memory),
    })
}

async fn read_body(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let message = format!("the body is over {limit} bytes");
            Err(Refusal::not_run(Code::LargeBody, message))
        }
        Err(_) => Err(Refusal::not_run(
            Code::MalformedBody,
            "the body is incomplete",
        )),
    }
}

fn parse(body: &[u8]) -> Result<Chat, Refusal> {
    let malformed = |message: String| Refusal::not_run(Code::MalformedBody, message);
    let chat: Chat = serde_json::from_slice(body)
        .map_err(|error| malformed(format!("not a chat completion request: {error}")))?;
    if chat.messages.is_empty() {
        return Err(malformed("`messages` must not be empty".into()));
    }
    if chat.max_tokens == Some(0) {
        return Err(malformed("`max_tokens` must be at least 1".into()));
    }
    Ok(chat)
}

/// Age of a request id above which the request counts as a retry. A first attempt takes less time to arrive,
/// and no refusal asks for an earlier retry.
const RETRY_AGE: Duration = Duration::from_secs(1);

fn is_retry(id: id::Request, now: Wall) -> bool {
    id.created()
        .is_some_and(|created| now.since(created) > RETRY_AGE)
}

/// Reads the request id and the deadline; `default_timeout` is the timeout if the caller sends none.
///
/// # Errors
///
/// A [`Refusal`] if a header is invalid.
pub fn identity(
    node: &Node,
    headers: &HeaderMap,
    default_timeout: Duration,
    caller_gone: CancellationToken,
    memory: Arc<OwnedSemaphorePermit>,
) -> Result<Identity, Refusal> {
    let given = header_text(headers, header::IDEMPOTENCY_KEY)?;
    let id = match given {
        None => id::Request(Uuid::now_v7()),
        Some(text) => text
            .parse()
            .map_err(|error| bad_header(header::IDEMPOTENCY_KEY, error))?,
    };
    let timeout = match header_text(headers, header::REQUEST_TIMEOUT)? {
        None => default_timeout,
        Some(text) => parse_seconds(text).ok_or_else(|| {
            bad_header(header::REQUEST_TIMEOUT, "not a positive number of seconds")
        })?,
    };
    let arrived = node.clock.now();
    Ok(Identity {
        id,
        caller_chosen: given.is_some(),
        is_retry: given.is_some() && is_retry(id, node.clock.wall()),
        arrived,
        deadline: arrived + timeout.min(node.config.max_timeout),
        end: node.end.clone(),
        caller_gone,
        memory,
    })
}

fn parse_seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    let duration = Duration::try_from_secs_f64(seconds).ok()?;
    (!duration.is_zero()).then_some(duration)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad_header(name, "given more than once"));
    }
    let text = value
        .to_str()
        .map_err(|_| bad_header(name, "not plain text"))?;
    Ok(Some(text.trim()))
}

fn bad_header(name: &str, problem: impl std::fmt::Display) -> Refusal {
    Refusal::not_run(Code::BadHeader, format!("header `{name}`: {problem}"))
}

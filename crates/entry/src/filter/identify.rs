//! Which request it is: id, deadline, session, class and body.

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
use crate::node::Node;
use crate::refusal::Code;
use crate::refusal::Refusal;
use crate::session::Session;

/// How long to wait for a configuration that the caller's token was issued under, but which this
/// node has not read yet: a few times what a change takes to spread in a zone.
const BEHIND: Duration = Duration::from_millis(500);

/// What a request in flight costs beside its body: its task, buffers of its connections and the
/// pieces that wait for a slow reader.
const OVERHEAD: usize = 16 << 10;

/// The unit in which memory of requests is counted, since a semaphore counts in 32 bits.
pub const UNIT: usize = 1 << 10;

/// Reads what a model request says of itself.
#[derive(Debug, Clone)]
pub struct Identify<'a>(pub &'a Node);

/// What every request says of itself.
#[derive(Debug, Clone)]
pub struct Identity {
    /// The request id.
    pub id: id::Request,
    /// Whether the caller chose it, so that it may ask again under it.
    pub given: bool,
    /// Whether it was made a while ago: the caller comes back with a request that was refused.
    pub returning: bool,
    /// When it arrived.
    pub arrived: Moment,
    /// When the whole answer must be there.
    pub deadline: Moment,
    /// Cancelled when the caller went away.
    pub gone: CancellationToken,
    /// The request's part of the memory for requests in flight.
    pub room: Arc<OwnedSemaphorePermit>,
}

/// A body and its part of the memory for requests in flight.
#[derive(Debug, Clone)]
pub struct Content {
    /// The bytes.
    pub bytes: Bytes,
    /// The memory.
    pub room: Arc<OwnedSemaphorePermit>,
}

/// A model request as it came.
#[derive(Debug)]
pub struct Raw<'a> {
    /// Its caller.
    pub caller: Caller,
    /// Its headers.
    pub headers: &'a HeaderMap,
    /// Its body, whole.
    pub body: Content,
    /// Cancelled when the caller went away.
    pub gone: CancellationToken,
}

/// A model request that was understood.
#[derive(Debug, Clone)]
pub struct Request {
    /// What it says of itself.
    pub identity: Identity,
    /// Whose it is.
    pub customer: id::Customer,
    /// The customer's weight.
    pub weight: u32,
    /// The class asked for.
    pub class: Class,
    /// The conversation.
    pub chat: Chat,
    /// What it shares with its caller's later tries.
    pub digest: Digest,
    /// The session, new if the caller has none.
    pub session: Session,
    /// The token that the caller sent, if it still counts as it is.
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
        let default = class.timeout.duration();
        let identity = identity(node, raw.headers, default, raw.gone, raw.body.room)?;
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
        let Some(text) = text(headers, header::SESSION_TOKEN)? else {
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
        node.state.reach(session.offset, BEHIND).await;
        Ok((session, Some(text.into())))
    }
}

/// Reads a whole body of bounded size.
///
/// # Errors
///
/// A [`Refusal`] if it is too large or breaks off, or if requests in flight fill the memory meant
/// for them.
pub async fn body(node: &Node, body: Incoming) -> Result<Content, Refusal> {
    let limit = node.config.max_body;
    let announced = body.size_hint().exact();
    let size = announced.and_then(|size| usize::try_from(size).ok());
    let size = size.unwrap_or(limit).min(limit) + OVERHEAD;
    let units = u32::try_from(size.div_ceil(UNIT)).unwrap_or(u32::MAX);
    let room = Arc::clone(&node.room).try_acquire_many_owned(units);
    let room = room.map_err(|_| {
        /// The queues drain meanwhile; how fast is not known here.
        const AGAIN: Duration = Duration::from_secs(1);
        let message = "requests in flight fill the memory meant for them";
        Refusal::not_run(Code::Overloaded, message).retry_after(AGAIN)
    })?;
    let bytes = read(body, limit).await?;
    Ok(Content {
        bytes,
        room: Arc::new(room),
    })
}

async fn read(body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let message = format!("the body is over {limit} bytes");
            Err(Refusal::not_run(Code::LargeBody, message))
        }
        Err(_) => Err(Refusal::not_run(Code::MalformedBody, "the body broke off")),
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

/// Age from which a request id tells of a second call. A first one takes less from its caller to us,
/// and nobody is told to come back sooner.
const RETURNS: Duration = Duration::from_secs(1);

fn returns(id: id::Request, now: Wall) -> bool {
    id.created()
        .is_some_and(|created| now.since(created) > RETURNS)
}

/// Reads request id and deadline; `default` is the wait if the caller names none.
///
/// # Errors
///
/// A [`Refusal`] if a header can't be read.
pub fn identity(
    node: &Node,
    headers: &HeaderMap,
    default: Duration,
    gone: CancellationToken,
    room: Arc<OwnedSemaphorePermit>,
) -> Result<Identity, Refusal> {
    let given = text(headers, header::IDEMPOTENCY_KEY)?;
    let id = match given {
        None => id::Request(Uuid::now_v7()),
        Some(text) => text
            .parse()
            .map_err(|error| bad(header::IDEMPOTENCY_KEY, error))?,
    };
    let wait = match text(headers, header::REQUEST_TIMEOUT)? {
        None => default,
        Some(text) => seconds(text)
            .ok_or_else(|| bad(header::REQUEST_TIMEOUT, "not a positive number of seconds"))?,
    };
    let arrived = node.clock.now();
    Ok(Identity {
        id,
        given: given.is_some(),
        returning: given.is_some() && returns(id, node.clock.wall()),
        arrived,
        deadline: arrived + wait.min(node.config.max_timeout),
        gone,
        room,
    })
}

fn seconds(text: &str) -> Option<Duration> {
    let seconds: f64 = text.trim().parse().ok()?;
    let span = Duration::try_from_secs_f64(seconds).ok()?;
    (!span.is_zero()).then_some(span)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(bad(name, "given more than once"));
    }
    let text = value.to_str().map_err(|_| bad(name, "not plain text"))?;
    Ok(Some(text.trim()))
}

fn bad(name: &str, problem: impl std::fmt::Display) -> Refusal {
    Refusal::not_run(Code::BadHeader, format!("header `{name}`: {problem}"))
}

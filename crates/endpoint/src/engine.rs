//! Model engines.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::ToCompactString;
use compact_str::format_compact;
use futures::Stream;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use pimento_units::id;
use pimento_wire::api::Chat;
use pimento_wire::api::Chunk;
use pimento_wire::api::Completion;
use pimento_wire::engine::Cache;
use pimento_wire::engine::Load;
use pimento_wire::engine::Order;
use pimento_wire::engine::Reply;
use pimento_wire::header;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::client::Pool;
use crate::client::fault;
use crate::client::uri;
use crate::events::Events;
use crate::fault::Fault;

/// A call to an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// This attempt.
    pub attempt: id::Attempt,
    /// The conversation, `model` being the version.
    pub chat: Chat,
    /// Lower goes first.
    pub priority: u8,
    /// How long the whole answer may take.
    pub timeout: Duration,
}

/// An event of a stream, as it came.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A numbered piece.
    Chunk {
        /// Its number, from 0.
        sequence: u64,
        /// The piece.
        chunk: Chunk,
    },
    /// The end mark; `sequence` is the number of pieces before it.
    Done {
        /// The number of pieces of the whole stream.
        sequence: u64,
    },
}

/// A model engine at an address.
pub trait Engine: Clone + Send + Sync + 'static {
    /// A streamed answer.
    type Events: Stream<Item = Result<Event, Fault>> + Send + Unpin + 'static;

    /// Asks for a whole answer.
    fn complete(&self, call: Call) -> impl Future<Output = Result<Completion, Fault>> + Send;

    /// Asks for a streamed answer; returns once the engine has begun.
    fn stream(&self, call: Call) -> impl Future<Output = Result<Self::Events, Fault>> + Send;

    /// Resumes a stream of the same engine after event `after`.
    fn resume(
        &self,
        attempt: id::Attempt,
        after: u64,
    ) -> impl Future<Output = Result<Self::Events, Fault>> + Send;

    /// Cancels an attempt.
    fn cancel(&self, attempt: id::Attempt) -> impl Future<Output = Result<(), Fault>> + Send;

    /// What the engine says of itself.
    fn load(&self) -> impl Future<Output = Result<Load, Fault>> + Send;

    /// Gives an order with a fencing number.
    fn order(
        &self,
        order: Order,
        fencing: Option<u64>,
    ) -> impl Future<Output = Result<Reply, Fault>> + Send;
}

/// The `hyper` client of a model engine; the protocol is in [`pimento_wire::engine`].
#[derive(Debug, Clone)]
pub struct Remote {
    pool: Pool,
    address: SocketAddr,
}

/// How long calls other than an answer may take: they carry a few hundred bytes.
const BRIEF: Duration = Duration::from_secs(2);

/// How long an order may take: an engine answers it after it has loaded a version.
const ORDER: Duration = Duration::from_mins(1);

impl Remote {
    /// The engine at `address`, over shared connections.
    #[must_use]
    pub const fn new(pool: Pool, address: SocketAddr) -> Self {
        Self { pool, address }
    }

    /// Where it is.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    fn post(&self, path: &str, body: &impl Serialize) -> Result<Builder, Fault> {
        let body = serde_json::to_vec(body).map_err(|error| Fault::Unreachable {
            reason: error.to_compact_string(),
        })?;
        let request = Request::post(uri(self.address, path)?);
        Ok(Builder {
            request: request.header(CONTENT_TYPE, "application/json"),
            body: body.into(),
        })
    }

    async fn begin(&self, call: &Call) -> Result<Response<Incoming>, Fault> {
        let request = self
            .post("/v1/chat/completions", &call.chat)?
            .header(header::ATTEMPT, &call.attempt.to_string())
            .header(header::PRIORITY, &call.priority.to_string())
            .header(
                header::REQUEST_TIMEOUT,
                &call.timeout.as_secs_f64().to_string(),
            )
            .build()?;
        succeed(self.pool.send(request, call.timeout).await?)
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<T, Fault> {
        let response = succeed(self.pool.send(request, timeout).await?)?;
        let body = self.pool.read(response.into_body(), timeout).await?;
        parse(&body)
    }

    fn bare(&self, method: Method, path: &str) -> Result<Builder, Fault> {
        let request = Request::builder()
            .method(method)
            .uri(uri(self.address, path)?);
        Ok(Builder {
            request,
            body: Bytes::new(),
        })
    }

    /// Changes of the engine's prefix cache after event `after`.
    ///
    /// # Errors
    ///
    /// Any [`Fault`].
    pub async fn cache(&self, after: u64) -> Result<Cache, Fault> {
        let path = format!("/cache?after={after}");
        let request = self.bare(Method::GET, &path)?.build()?;
        self.ask(request, BRIEF).await
    }
}

impl Engine for Remote {
    type Events = Events;

    async fn complete(&self, call: Call) -> Result<Completion, Fault> {
        let begun = Instant::now();
        let response = self.begin(&call).await?;
        let left = call.timeout.saturating_sub(begun.elapsed());
        let body = self.pool.read(response.into_body(), left).await?;
        let completion: Completion = parse(&body)?;
        if completion.model != call.chat.model {
            return Err(foreign(&completion.model));
        }
        Ok(completion)
    }

    async fn stream(&self, call: Call) -> Result<Events, Fault> {
        let response = self.begin(&call).await?;
        Events::new(response)
    }

    async fn resume(&self, attempt: id::Attempt, after: u64) -> Result<Events, Fault> {
        let request = self
            .bare(Method::GET, &format!("/v1/attempts/{attempt}"))?
            .header(header::LAST_EVENT, &after.to_string())
            .build()?;
        let response = self.pool.send(request, BRIEF).await?;
        Events::new(succeed(response)?)
    }

    async fn cancel(&self, attempt: id::Attempt) -> Result<(), Fault> {
        let path = format!("/v1/attempts/{attempt}");
        let request = self.bare(Method::DELETE, &path)?.build()?;
        succeed(self.pool.send(request, BRIEF).await?).map(drop)
    }

    async fn load(&self) -> Result<Load, Fault> {
        let request = self.bare(Method::GET, "/load")?.build()?;
        self.ask(request, BRIEF).await
    }

    async fn order(&self, order: Order, fencing: Option<u64>) -> Result<Reply, Fault> {
        let mut request = self.post("/orders", &order)?;
        if let Some(number) = fencing {
            request = request.header(header::FENCING, &number.to_string());
        }
        self.ask(request.build()?, ORDER).await
    }
}

/// A request under construction. Whatever fails here fails before a byte is sent.
struct Builder {
    request: hyper::http::request::Builder,
    body: Bytes,
}

impl Builder {
    fn header(mut self, name: &str, value: &str) -> Self {
        self.request = self.request.header(name, value);
        self
    }

    fn build(self) -> Result<Request<Full<Bytes>>, Fault> {
        let request = self.request.body(Full::new(self.body));
        request.map_err(|error| Fault::Unreachable {
            reason: error.to_compact_string(),
        })
    }
}

fn succeed(response: Response<Incoming>) -> Result<Response<Incoming>, Fault> {
    if response.status().is_success() {
        return Ok(response);
    }
    Err(fault(response.status(), response.headers()))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(body).map_err(|error| Fault::Invalid {
        reason: error.to_compact_string(),
    })
}

/// An engine that answers from another version than it was asked for would serve a customer from
/// a version that its contract may not allow.
fn foreign(model: &str) -> Fault {
    Fault::Invalid {
        reason: format_compact!("the answer is from {model}, which was not asked"),
    }
}

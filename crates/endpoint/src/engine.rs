//! The interface of model engines and its `hyper` client.

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
use pimento_wire::engine::CacheChanges;
use pimento_wire::engine::Load;
use pimento_wire::engine::Order;
use pimento_wire::engine::Reply;
use pimento_wire::header;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::client::Pool;
use crate::client::status_fault;
use crate::client::uri;
use crate::events::Events;
use crate::fault::Fault;

/// A call to an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Id of this attempt.
    pub attempt: id::Attempt,
    /// The conversation; its `model` is the version.
    pub chat: Chat,
    /// Priority; lower values run first.
    pub priority: u8,
    /// Timeout of the whole response.
    pub timeout: Duration,
}

/// An event of a stream, in order of arrival.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A numbered chunk.
    Chunk {
        /// Its number, starting at 0.
        sequence: u64,
        /// The chunk.
        chunk: Chunk,
    },
    /// The end mark.
    Done {
        /// Number of chunks before the end mark.
        sequence: u64,
    },
}

/// A model engine at an address.
pub trait Engine: Clone + Send + Sync + 'static {
    /// The events of a streamed response.
    type Events: Stream<Item = Result<Event, Fault>> + Send + Unpin + 'static;

    /// Requests a whole response.
    fn complete(&self, call: Call) -> impl Future<Output = Result<Completion, Fault>> + Send;

    /// Requests a streamed response. Returns when its head has arrived.
    fn stream(&self, call: Call) -> impl Future<Output = Result<Self::Events, Fault>> + Send;

    /// Resumes a stream at the same engine after event `after`.
    fn resume(
        &self,
        attempt: id::Attempt,
        after: u64,
    ) -> impl Future<Output = Result<Self::Events, Fault>> + Send;

    /// Cancels an attempt.
    fn cancel(&self, attempt: id::Attempt) -> impl Future<Output = Result<(), Fault>> + Send;

    /// Queries the engine's load report.
    fn load(&self) -> impl Future<Output = Result<Load, Fault>> + Send;

    /// Sends an order with a fencing number.
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

/// Timeout of calls other than completions and orders, which transfer a few hundred bytes.
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a load report or an answer to an order, in bytes. They have some hundred; all engines of a pool
/// are polled at a time.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Maximum size of the changes of a prefix cache, in bytes.
const MAX_CACHE_BYTES: usize = 1 << 20;

/// Timeout of an order. An engine responds only after it has loaded the version.
const ORDER_TIMEOUT: Duration = Duration::from_mins(1);

impl Remote {
    /// The engine at `address`, over shared connections.
    #[must_use]
    pub const fn new(pool: Pool, address: SocketAddr) -> Self {
        Self { pool, address }
    }

    /// The engine's address.
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

    async fn send_chat(&self, call: &Call) -> Result<Response<Incoming>, Fault> {
        let request = self
            .post("/v1/chat/completions", &call.chat)?
            .header(header::ATTEMPT, &call.attempt.to_string())
            .header(header::PRIORITY, &call.priority.to_string())
            .header(
                header::REQUEST_TIMEOUT,
                &call.timeout.as_secs_f64().to_string(),
            )
            .build()?;
        check_status(self.pool.send(request, call.timeout).await?)
    }

    async fn fetch<T: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
        max: usize,
        timeout: Duration,
    ) -> Result<T, Fault> {
        let response = check_status(self.pool.send(request, timeout).await?)?;
        let body = response.into_body();
        let body = self.pool.read_body(body, max, timeout).await?;
        decode(&body)
    }

    fn empty(&self, method: Method, path: &str) -> Result<Builder, Fault> {
        let request = Request::builder()
            .method(method)
            .uri(uri(self.address, path)?);
        Ok(Builder {
            request,
            body: Bytes::new(),
        })
    }

    /// Queries the changes of the engine's prefix cache after event `after`.
    ///
    /// # Errors
    ///
    /// Any [`Fault`].
    pub async fn cache(&self, after: u64) -> Result<CacheChanges, Fault> {
        let path = format!("/cache?after={after}");
        let request = self.empty(Method::GET, &path)?.build()?;
        self.fetch(request, MAX_CACHE_BYTES, SHORT_TIMEOUT).await
    }
}

impl Engine for Remote {
    type Events = Events;

    async fn complete(&self, call: Call) -> Result<Completion, Fault> {
        let started = Instant::now();
        let response = self.send_chat(&call).await?;
        let remaining = call.timeout.saturating_sub(started.elapsed());
        let (body, max) = (response.into_body(), self.pool.max_body());
        let body = self.pool.read_body(body, max, remaining).await?;
        let completion: Completion = decode(&body)?;
        if completion.model != call.chat.model {
            return Err(wrong_version(&completion.model));
        }
        Ok(completion)
    }

    async fn stream(&self, call: Call) -> Result<Events, Fault> {
        let response = self.send_chat(&call).await?;
        Events::new(response)
    }

    async fn resume(&self, attempt: id::Attempt, after: u64) -> Result<Events, Fault> {
        let request = self
            .empty(Method::GET, &format!("/v1/attempts/{attempt}"))?
            .header(header::LAST_EVENT, &after.to_string())
            .build()?;
        let response = self.pool.send(request, SHORT_TIMEOUT).await?;
        Events::new(check_status(response)?)
    }

    async fn cancel(&self, attempt: id::Attempt) -> Result<(), Fault> {
        let path = format!("/v1/attempts/{attempt}");
        let request = self.empty(Method::DELETE, &path)?.build()?;
        check_status(self.pool.send(request, SHORT_TIMEOUT).await?).map(drop)
    }

    async fn load(&self) -> Result<Load, Fault> {
        let request = self.empty(Method::GET, "/load")?.build()?;
        self.fetch(request, MAX_REPORT_BYTES, SHORT_TIMEOUT).await
    }

    async fn order(&self, order: Order, fencing: Option<u64>) -> Result<Reply, Fault> {
        let mut request = self.post("/orders", &order)?;
        if let Some(number) = fencing {
            request = request.header(header::FENCING, &number.to_string());
        }
        self.fetch(request.build()?, MAX_REPORT_BYTES, ORDER_TIMEOUT)
            .await
    }
}

/// A request under construction. A failure here means that no byte was sent.
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

fn check_status(response: Response<Incoming>) -> Result<Response<Incoming>, Fault> {
    if response.status().is_success() {
        return Ok(response);
    }
    Err(status_fault(response.status(), response.headers()))
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(body).map_err(|error| Fault::Invalid {
        reason: error.to_compact_string(),
    })
}

/// The fault for a response from another version than the requested one. The customer's contract
/// may not allow that version.
fn wrong_version(model: &str) -> Fault {
    Fault::Invalid {
        reason: format_compact!("the response is from {model}, which was not requested"),
    }
}

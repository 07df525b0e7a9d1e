//! One attempt at one endpoint, over a connection of its own.
//!
//! A kept connection may be reset while a request crosses its close, may carry a late second answer
//! where the next one is due, or bytes that belong to no request. None of these can happen on a
//! connection that carries one request and is then closed; what that costs is one round trip within
//! a zone. Dropping a [`EndpointResponse`] closes the connection, which stops the endpoint's work.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Uri;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::http::response;
use hyper_util::rt::TokioIo;
use pimento_endpoint::Fault;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

/// The largest head of an answer, in bytes.
const HEAD: usize = 64 << 10;

/// What is sent.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    /// Method, as the caller sent it.
    pub method: Method,
    /// Path and query, as the caller sent them.
    pub uri: Uri,
    /// Headers of this attempt.
    pub headers: HeaderMap,
    /// Body, as the caller sent it.
    pub body: Bytes,
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct EndpointResponse {
    /// The head.
    pub head: response::Parts,
    /// The body.
    pub body: ResponseBody,
}

/// The body of an answer, with the connection that it comes on.
#[derive(Debug)]
pub struct ResponseBody {
    incoming: Incoming,
    _sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

impl ResponseBody {
    /// Bytes that are known to come.
    #[must_use]
    pub fn min_remaining(&self) -> u64 {
        self.incoming.size_hint().lower()
    }

    /// The next bytes; none at a clean end.
    ///
    /// # Errors
    ///
    /// [`Fault::Cut`] if the body broke off.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Fault> {
        while let Some(frame) = self.incoming.frame().await {
            let frame = frame.map_err(|error| Fault::Cut {
                reason: CompactString::from(error.to_string()),
            })?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
        Ok(None)
    }
}

/// A connection on which nothing was sent yet.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortOnDropHandle<()>,
}

impl Connection {
    /// Connects to an endpoint within `bound`.
    ///
    /// # Errors
    ///
    /// [`Fault::Unreachable`]: nothing was sent.
    pub async fn open(address: SocketAddr, bound: Duration) -> Result<Self, Fault> {
        let connecting = tokio::time::timeout(bound, TcpStream::connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(unreachable(&error)),
            Err(_) => return Err(unreachable(&"no answer in time")),
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("call: {error}.");
        }
        let handshake = http1::Builder::new()
            .max_buf_size(HEAD)
            .handshake(TokioIo::new(stream));
        let (sender, connection) = handshake.await.map_err(|error| unreachable(&error))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("call: Connection to {address} ended: {error}.");
            }
        });
        Ok(Self {
            sender,
            driver: AbortOnDropHandle::new(driver),
        })
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// [`Fault::Cut`] if the connection ended first; the request may have run.
    pub async fn send(mut self, message: OutgoingRequest) -> Result<EndpointResponse, Fault> {
        let OutgoingRequest {
            method,
            uri,
            headers,
            body,
        } = message;
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        *request.headers_mut() = headers;
        request
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
        let response = self.sender.send_request(request).await.map_err(|error| {
            let reason = CompactString::from(error.to_string());
            if error.is_parse() {
                return Fault::Nonsense { reason };
            }
            Fault::Cut { reason }
        })?;
        let (head, body) = response.into_parts();
        let body = ResponseBody {
            incoming: body,
            _sender: self.sender,
            _driver: self.driver,
        };
        Ok(EndpointResponse { head, body })
    }
}

fn unreachable(error: &impl ToString) -> Fault {
    Fault::Unreachable {
        reason: CompactString::from(error.to_string()),
    }
}

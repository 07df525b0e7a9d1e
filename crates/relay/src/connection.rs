//! Connections to endpoints. Each carries one request.
//!
//! A reused connection may be closed by the endpoint while a request is on its way, and may deliver a
//! late second response in place of the next one or bytes that belong to no request. A connection that
//! carries a single request and is then closed has none of these problems, at the cost of one round
//! trip within a zone. Dropping an [`EndpointResponse`] closes the connection, which stops the endpoint's
//! work.

mod meter;

use std::error::Error;
use std::io;
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
use hyper::ext;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::header::TRANSFER_ENCODING;
use hyper::http::response;
use hyper_util::rt::TokioIo;
use pimento_endpoint::Fault;
use pimento_endpoint::framing;
use pimento_endpoint::limits::MAX_HEAD_BYTES;
use pimento_endpoint::limits::MAX_HEADERS;
use pimento_serve::traffic::Traffic;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio_util::task::AbortOnDropHandle;

use self::meter::Meter;
use self::meter::Metered;

/// Bytes that the kernel buffers of a response, which it doubles for its own use. By itself it would go up to
/// megabytes for each response whose caller reads slowly.
const RECEIVE_BUFFER_BYTES: u32 = 64 << 10;

/// Opens a connection to an endpoint or to another VM.
///
/// # Errors
///
/// As [`TcpSocket::connect`].
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.connect(address).await
}

/// A request to an endpoint.
#[derive(Debug, Clone)]
pub struct OutgoingRequest {
    /// The caller's method.
    pub method: Method,
    /// The caller's path and query.
    pub uri: Uri,
    /// Headers of this attempt.
    pub headers: HeaderMap,
    /// The caller's body.
    pub body: Bytes,
}

/// A response whose head was received.
#[derive(Debug)]
pub struct EndpointResponse {
    /// The head.
    pub head: response::Parts,
    /// The body.
    pub body: ResponseBody,
}

/// The body of a response, with the connection that delivers it.
#[derive(Debug)]
pub struct ResponseBody {
    incoming: Incoming,
    meter: Meter,
    ends_with_connection: bool,
    _sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

impl ResponseBody {
    /// Lower bound of the bytes that are still to come.
    #[must_use]
    pub fn min_remaining(&self) -> u64 {
        self.incoming.size_hint().lower()
    }

    /// Whether nothing but the end of the connection shows the end of the body.
    #[must_use]
    pub const fn ends_with_connection(&self) -> bool {
        self.ends_with_connection
    }

    /// The next chunk; none at the regular end of the body.
    ///
    /// # Errors
    ///
    /// [`Fault::Interrupted`] if the connection failed before the end of the body, [`Fault::Invalid`] if the
    /// body is not valid HTTP or its framing exceeds a limit.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Fault> {
        while let Some(frame) = self.incoming.frame().await {
            let frame = frame.map_err(|error| broken(&error))?;
            if let Ok(data) = frame.into_data() {
                self.meter.content_taken();
                return Ok(Some(data));
            }
        }
        Ok(None)
    }
}

/// An open connection on which no request was sent yet.
#[derive(Debug)]
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    meter: Meter,
    driver: AbortOnDropHandle<()>,
}

impl Connection {
    /// Connects to another VM, waiting at most for `timeout`.
    ///
    /// # Errors
    ///
    /// [`Fault::Unreachable`]: nothing was sent.
    pub async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, Fault> {
        let connecting = tokio::time::timeout(timeout, connect(address));
        let stream = match connecting.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(unreachable(&error)),
            Err(_) => return Err(unreachable(&"connect timed out")),
        };
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("call: Can't disable Nagle's algorithm: {error}.");
        }
        Self::over(stream, address, Traffic::default()).await
    }

    /// Prepares an open connection to `address` for a request. Its bytes are counted in `traffic`.
    ///
    /// # Errors
    ///
    /// [`Fault::Unreachable`]: nothing was sent.
    pub async fn over(
        stream: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
        address: SocketAddr,
        traffic: Traffic,
    ) -> Result<Self, Fault> {
        let meter = Meter::default();
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADERS)
            .handshake(TokioIo::new(Metered::new(stream, meter.clone(), traffic)));
        let (sender, connection) = handshake.await.map_err(|error| unreachable(&error))?;
        let driver = tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("call: Connection to {address} failed: {error}.");
            }
        });
        Ok(Self {
            sender,
            meter,
            driver: AbortOnDropHandle::new(driver),
        })
    }

    /// Sends the request and waits for the head of the response.
    ///
    /// # Errors
    ///
    /// [`Fault::Interrupted`] if the connection failed first, [`Fault::Invalid`] if the response is not valid
    /// HTTP or its head exceeds a limit. In both cases the request may have run.
    pub async fn send(mut self, outgoing: OutgoingRequest) -> Result<EndpointResponse, Fault> {
        let OutgoingRequest {
            method,
            uri,
            headers,
            body,
        } = outgoing;
        let mut request = Request::new(Full::new(body));
        let asked = method.clone();
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        *request.headers_mut() = headers;
        request
            .headers_mut()
            .insert(CONNECTION, HeaderValue::from_static("close"));
        let meter = self.meter.clone();
        ext::on_informational(&mut request, move |_| meter.head_was_interim());
        let response = tokio::select! {
            biased;
            response = self.sender.send_request(request) => response.map_err(|error| broken(&error))?,
            () = self.meter.head_overdue() => return Err(Fault::Invalid {
                reason: "the head does not end".into(),
            }),
        };
        let (mut head, body) = response.into_parts();
        let length = body.size_hint().exact();
        let chunked = head.headers.contains_key(TRANSFER_ENCODING);
        framing::normalize(&asked, &mut head, length)?;
        let body = ResponseBody {
            ends_with_connection: length.is_none() && !chunked,
            incoming: body,
            meter: self.meter,
            _sender: self.sender,
            _driver: self.driver,
        };
        Ok(EndpointResponse { head, body })
    }
}

/// The fault for a response that could not be received. What is malformed or over a limit is the endpoint's doing;
/// anything else may be due to its end.
fn broken(error: &hyper::Error) -> Fault {
    let reason = CompactString::from(error.to_string());
    let malformed = |kind| {
        matches!(
            kind,
            io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput
        )
    };
    let cause = error.source().and_then(<dyn Error>::downcast_ref);
    if error.is_parse() || cause.is_some_and(|cause: &io::Error| malformed(cause.kind())) {
        return Fault::Invalid { reason };
    }
    Fault::Interrupted { reason }
}

fn unreachable(error: &impl ToString) -> Fault {
    Fault::Unreachable {
        reason: CompactString::from(error.to_string()),
    }
}

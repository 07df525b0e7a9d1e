//! The HTTP client of the load generator.

use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use compact_str::format_compact;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde::de::DeserializeOwned;

/// An HTTP client with a connection pool, which clones share.
#[derive(Debug, Clone)]
pub struct Client(legacy::Client<HttpConnector, Full<Bytes>>);

/// Why there was no answer. The text is the same for the same cause, so that it can be counted.
pub type Reason = CompactString;

/// How long an idle connection stays in the pool. Shorter than the usual idle timeout of a server,
/// so that a call is not sent on a connection that is being closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        // Without it, Nagle's algorithm delays small requests until the previous one is
        // acknowledged.
        connector.set_nodelay(true);
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self(client)
    }
}

/// A request, which can be sent more than once.
#[derive(Debug, Clone)]
pub struct Message {
    /// Method.
    pub method: Method,
    /// Path, with the leading slash.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Message {
    /// A request without headers and body.
    #[must_use]
    pub fn get(path: &str) -> Self {
        Self {
            method: Method::GET,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }
}

impl Client {
    /// Sends a request to the first of `addresses` that accepts a connection, and waits for the
    /// head of the response. Like a load balancer, it tries the next address only if no connection
    /// was made, so that a request is never sent twice.
    ///
    /// # Errors
    ///
    /// Why there is no response.
    pub async fn send(
        &self,
        message: &Message,
        addresses: impl IntoIterator<Item = impl AsRef<str>>,
    ) -> Result<Response<Incoming>, Reason> {
        let mut last = Reason::const_new("no address");
        for address in addresses {
            let uri = format!("http://{}{}", address.as_ref(), message.path);
            let mut request = Request::new(Full::new(message.body.clone()));
            *request.method_mut() = message.method.clone();
            *request.headers_mut() = message.headers.clone();
            *request.uri_mut() = uri.parse().map_err(|_| Reason::const_new("bad address"))?;
            match self.0.request(request).await {
                Ok(response) => return Ok(response),
                Err(error) if error.is_connect() => last = "not reachable".into(),
                Err(_) => return Err("connection lost".into()),
            }
        }
        Err(last)
    }

    /// Sends a request to one address and reads the whole response.
    ///
    /// # Errors
    ///
    /// Why there is no response.
    pub async fn fetch(
        &self,
        message: &Message,
        address: &str,
    ) -> Result<(StatusCode, HeaderMap, Bytes), Reason> {
        let response = self.send(message, [address]).await?;
        collect(response).await
    }

    /// Gets JSON from one address.
    ///
    /// # Errors
    ///
    /// Why it could not be read.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        address: &str,
    ) -> Result<T, Reason> {
        let (status, _, body) = self.fetch(&Message::get(path), address).await?;
        if status != StatusCode::OK {
            return Err(format_compact!("status {status}"));
        }
        serde_json::from_slice(&body).map_err(|error| format_compact!("{error}"))
    }
}

/// Reads the whole body of a response.
///
/// # Errors
///
/// Why it could not be read.
pub async fn collect(
    response: Response<Incoming>,
) -> Result<(StatusCode, HeaderMap, Bytes), Reason> {
    let (head, body) = response.into_parts();
    let body = body.collect().await;
    let body = body.map_err(|_| Reason::const_new("answer cut off"))?;
    Ok((head.status, head.headers, body.to_bytes()))
}

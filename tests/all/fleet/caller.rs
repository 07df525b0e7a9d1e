//! The client of a fleet.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use pimento_wire::api::Completion;
use pimento_wire::api::ErrorBody;
use pimento_wire::api::Run;
use serde_json::json;
use uuid::Uuid;

use super::Node;
use super::SECRET;

/// Maximum wait for the complete response.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Sends requests and reads complete responses.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A complete response.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    /// Parses the error body.
    pub fn failure(&self) -> ErrorBody {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("no error body ({error}): {:?}", self.body))
    }

    /// Whether the response is an error that says that the request was not run.
    pub fn not_run(&self) -> bool {
        self.status >= 400 && self.failure().error.run == Run::NotRun
    }

    /// The text of a completion that was not streamed; `None` for other bodies.
    pub fn text(&self) -> Option<String> {
        let completion: Completion = serde_json::from_slice(&self.body).ok()?;
        let choice = completion.choices.into_iter().next()?;
        Some(choice.message.content)
    }

    /// Whether the body is an event stream that ends with its end mark.
    pub fn is_complete_stream(&self) -> bool {
        let text = String::from_utf8_lossy(&self.body);
        text.trim_end().ends_with("data: [DONE]")
    }

    /// The value of a header, if it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Generates an idempotency key for an order.
pub fn key() -> String {
    Uuid::now_v7().to_string()
}

impl Caller {
    pub fn new() -> Self {
        // Each request uses its own connection. Killed processes leave broken connections in a
        // pool, and the client would retry on another one, which hides the result of a single
        // request.
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self { client }
    }

    /// A GET request of an operator.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<Answer> {
        let url = format!("http://{address}{path}");
        let request = Request::get(url).body(Full::default()).expect("a request");
        self.send(request, Duration::from_secs(2)).await
    }

    /// A model request whose response is not streamed.
    pub async fn chat(&self, node: &Node, prompt: &str) -> Option<Answer> {
        self.model(node, prompt, false, 40).await
    }

    /// A model request for at most `tokens` output tokens. `None` if the connection broke.
    pub async fn model(
        &self,
        node: &Node,
        prompt: &str,
        stream: bool,
        tokens: u64,
    ) -> Option<Answer> {
        let body = json!({
            "model": "stock",
            "messages": [{"role": "user", "content": prompt}],
            "stream": stream,
            "max_tokens": tokens,
        });
        let request = self.request(node, Method::POST, "/v1/chat/completions");
        let body = Full::from(body.to_string());
        let request = request.body(body).expect("a request");
        self.send(request, TIMEOUT).await
    }

    /// A repeatable request to the service.
    pub async fn read_service(&self, node: &Node) -> Option<Answer> {
        let request = self.request(node, Method::GET, "/services/order-desk/drums");
        let request = request.body(Full::default()).expect("a request");
        self.send(request, TIMEOUT).await
    }

    /// A drum order, which must not run twice. `None` if the connection broke.
    pub async fn order(&self, node: &Node, key: &str) -> Option<Answer> {
        self.order_within(node, key, TIMEOUT).await
    }

    /// A drum order with a request timeout of `wait`.
    pub async fn order_within(&self, node: &Node, key: &str, wait: Duration) -> Option<Answer> {
        let request = self.request(node, Method::POST, "/services/order-desk/drums");
        let request = request
            .header("idempotency-key", key)
            .header("request-timeout", wait.as_secs_f64().to_string());
        let body = Full::from("{\"drums\":4}");
        let request = request.body(body).expect("a request");
        self.send(request, wait).await
    }

    #[expect(clippy::unused_self, reason = "reads as the caller's request")]
    fn request(&self, node: &Node, method: Method, path: &str) -> hyper::http::request::Builder {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", node.callers))
            .header("authorization", format!("Bearer {SECRET}"))
            .header("content-type", "application/json")
    }

    async fn send(&self, request: Request<Full<Bytes>>, timeout: Duration) -> Option<Answer> {
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            let (parts, body) = response.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            Some(Answer {
                status: parts.status.as_u16(),
                headers: parts.headers,
                body,
            })
        };
        tokio::time::timeout(timeout, exchange).await.ok()?
    }
}

//! A caller of the fleet.

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

/// How long a caller waits for its whole answer.
const PATIENCE: Duration = Duration::from_secs(20);

/// Sends requests and reads whole answers.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    /// The error body.
    pub fn failure(&self) -> ErrorBody {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("no error body ({error}): {:?}", self.body))
    }

    /// Whether it says that the call was not run.
    pub fn not_run(&self) -> bool {
        self.status >= 400 && self.failure().error.run == Run::NotRun
    }

    /// The text of a whole completion; none if it is something else.
    pub fn text(&self) -> Option<String> {
        let completion: Completion = serde_json::from_slice(&self.body).ok()?;
        let choice = completion.choices.into_iter().next()?;
        Some(choice.message.content)
    }

    /// Whether the body is a stream of events that ends with its end mark.
    pub fn whole_stream(&self) -> bool {
        let text = String::from_utf8_lossy(&self.body);
        text.trim_end().ends_with("data: [DONE]")
    }

    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// A fresh key for an order.
pub fn key() -> String {
    Uuid::now_v7().to_string()
}

impl Caller {
    pub fn new() -> Self {
        // Each call on a connection of its own: killed processes leave broken ones behind, and a
        // caller's retry on the next one would blur what one call gets.
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build_http();
        Self { client }
    }

    /// An operator's look.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Option<Answer> {
        let url = format!("http://{address}{path}");
        let request = Request::get(url).body(Full::default()).expect("a request");
        self.send(request, Duration::from_secs(2)).await
    }

    /// A model request, whole.
    pub async fn chat(&self, node: &Node, prompt: &str) -> Option<Answer> {
        self.model(node, prompt, false, 40).await
    }

    /// A model request with a bound on its tokens. `None` if the connection broke.
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
        self.send(request, PATIENCE).await
    }

    /// A repeatable call to the service.
    pub async fn look(&self, node: &Node) -> Option<Answer> {
        let request = self.request(node, Method::GET, "/services/order-desk/drums");
        let request = request.body(Full::default()).expect("a request");
        self.send(request, PATIENCE).await
    }

    /// A drum order, which may not be repeated. `None` if the connection broke.
    pub async fn order(&self, node: &Node, key: &str) -> Option<Answer> {
        self.order_within(node, key, PATIENCE).await
    }

    /// A drum order whose caller waits this long.
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

    async fn send(&self, request: Request<Full<Bytes>>, patience: Duration) -> Option<Answer> {
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
        tokio::time::timeout(patience, exchange).await.ok()?
    }
}

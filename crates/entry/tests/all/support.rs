//! A platform, one pool of engines, one plain service, and entry VMs, all in this process.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use pimento_contract::Change;
use pimento_contract::Contract;
use pimento_contract::Rollout;
use pimento_contract::Service;
use pimento_contract::State;
use pimento_contract::Value;
use pimento_contract::Version;
use pimento_contract::change;
use pimento_contract::contract::Class;
use pimento_contract::contract::Key;
use pimento_contract::contract::Spend;
use pimento_contract::rollout;
use pimento_contract::rollout::Gate;
use pimento_contract::service::ClaimMode;
use pimento_contract::version;
use pimento_contract::version::Price;
use pimento_entry::Config;
use pimento_entry::Running;
use pimento_entry::config::Raw;
use pimento_ledger::Bill;
use pimento_standin::Handler;
use pimento_standin::Running as Standin;
use pimento_standin::engine;
use pimento_standin::engine::Engine;
use pimento_standin::log;
use pimento_standin::log::Log;
use pimento_standin::rating;
use pimento_standin::rating::Rater;
use pimento_standin::service;
use pimento_standin::service::Service as Desk;
use pimento_standin::vms;
use pimento_standin::vms::Vms;
use pimento_units::Money;
use pimento_units::Share;
use pimento_units::Span;
use pimento_units::Tokens;
use pimento_units::Wall;
use pimento_units::id;
use pimento_wire::api::Completion;
use pimento_wire::api::ErrorBody;
use pimento_wire::platform::Role;
use pimento_wire::platform::Vm;
use serde_json::json;
use tokio_util::sync::CancellationToken;
use uuid::Uuid;

/// Timeout of any wait in a test. It only ends a test that hangs.
pub const TIMEOUT: Duration = Duration::from_secs(20);

pub const KEY: &str = "demo-key-garage";
pub const SMALL: &str = "pimento-mini@1";
pub const LARGE: &str = "pimento-large@1";
const POOL: &str = "pimento-llm";
const DESKS: &str = "order-desk";

/// The stand-ins of the platform and the endpoints. They stop when it is dropped.
pub struct Fixture {
    pub log: Standin<Log>,
    pub vms: Standin<Vms>,
    pub rater: Standin<Rater>,
    pub engines: Vec<Standin<Engine>>,
    pub desks: Vec<Standin<Desk>>,
    token: CancellationToken,
}

/// The response that a caller gets.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |v| v.to_str().unwrap())
    }

    pub fn error_body(&self) -> ErrorBody {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("no error body ({error}): {:?}", self.body))
    }

    pub fn completion(&self) -> Completion {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("no completion ({error}): {:?}", self.body))
    }

    /// The data of each event of a streamed answer.
    pub fn events(&self) -> Vec<String> {
        let text = std::str::from_utf8(&self.body).unwrap();
        let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
        data.map(str::to_owned).collect()
    }

    /// The text of a streamed answer.
    pub fn streamed(&self) -> String {
        let content = |event: &String| {
            let chunk: serde_json::Value = serde_json::from_str(event).ok()?;
            Some(chunk["choices"][0]["delta"]["content"].as_str()?.to_owned())
        };
        self.events().iter().filter_map(content).collect()
    }

    pub fn whole_stream(&self) -> bool {
        self.events().last().is_some_and(|event| event == "[DONE]")
    }
}

pub fn name<T>(text: &str) -> T
where
    T: for<'a> TryFrom<&'a str, Error = id::Error>,
{
    text.try_into().unwrap()
}

pub fn version(id: &str, price: u64, quality: f64) -> Version {
    Version {
        id: name(id),
        pool: name(POOL),
        price: Price {
            input: Money::from_micros(price),
            output: Money::from_micros(price * 2),
        },
        quality: Share::try_from(quality).unwrap(),
        status: version::Status::Serving,
    }
}

pub fn contract(versions: &[&str], quality: f64) -> Contract {
    let class = |class: &str, priority: u8| Class {
        name: name(class),
        versions: versions.iter().map(|v| name(v)).collect(),
        quality: Share::try_from(quality).unwrap(),
        priority,
        timeout: Span::from_secs(15),
        output: Tokens(400),
    };
    Contract {
        customer: name("garage"),
        keys: vec![Key::of(KEY)],
        weight: 1,
        spend: Spend {
            limit: Money::from_micros(1_000_000_000),
            period: Span::from_secs(86_400 * 30),
        },
        classes: vec![class("review", 1), class("stock", 0)],
        services: vec![name(DESKS)],
    }
}

pub fn rollout(weight: f64) -> Rollout {
    Rollout {
        from: name(SMALL),
        to: name(LARGE),
        stages: vec![Share::try_from(weight).unwrap(), Share::ONE],
        stage: 0,
        status: rollout::Status::Running,
        gate: Gate {
            samples: 20,
            quality: Share::try_from(0.05).unwrap(),
            errors: Share::try_from(0.1).unwrap(),
            latency: 200,
            dwell: Span::from_secs(1),
        },
    }
}

fn desk() -> Service {
    Service {
        name: name(DESKS),
        pool: name(DESKS),
        repeatable: vec!["GET".into()],
        claims: ClaimMode::Log,
        price: Money::from_micros(500),
        timeout: Span::from_secs(10),
    }
}

impl Fixture {
    /// Starts a platform with `engines` engines that serve both versions, two replicas of the
    /// service, and a contract for one customer that allows only the small version.
    pub async fn start(engines: usize) -> Self {
        let fixture = Self::bare(engines).await;
        fixture.publish(Value::Contract(contract(&[SMALL], 0.5)));
        fixture.publish(Value::Version(version(SMALL, 1_000, 0.9)));
        fixture.publish(Value::Version(version(LARGE, 10_000, 0.98)));
        fixture.publish(Value::Service(desk()));
        fixture
    }

    async fn bare(engines: usize) -> Self {
        let token = CancellationToken::new();
        let log = log::start(log::Config::default(), token.child_token());
        let rater = rating::start(rating::Config::default(), token.child_token());
        let vms = vms::start(vms::Config::default(), token.child_token());
        let mut fixture = Self {
            log: log.await.unwrap(),
            vms: vms.await.unwrap(),
            rater: rater.await.unwrap(),
            engines: Vec::new(),
            desks: Vec::new(),
            token,
        };
        for number in 0..engines {
            fixture.engine(number).await;
        }
        for number in 0..2 {
            let config = service::Config::new(name(&format!("desk-{number}")));
            let desk = service::start(config, fixture.token.child_token())
                .await
                .unwrap();
            fixture.list(
                &format!("desk-{number}"),
                desk.address,
                Role::Service(name(DESKS)),
            );
            fixture.desks.push(desk);
        }
        fixture
    }

    async fn engine(&mut self, number: usize) {
        let label = format!("engine-{number}");
        let mut config = engine::Config::new(name(&label), [name(LARGE), name(SMALL)]);
        config.settings.seed = 7;
        config.settings.load_lag_ms = 0;
        config.settings.linger_ms = 5_000;
        let engine = engine::start(config, self.token.child_token())
            .await
            .unwrap();
        self.list(&label, engine.address, Role::Engine(name(POOL)));
        self.engines.push(engine);
    }

    fn list(&self, label: &str, address: SocketAddr, role: Role) {
        let vm = Vm {
            name: label.into(),
            zone: name("kig-remera"),
            address: CompactString::from(address.to_string()),
            role,
            leaving: false,
        };
        self.vms.handler.change(|vms| vms.push(vm));
    }

    /// The configuration state after all records of the log.
    pub fn state(&self) -> State {
        let mut state = State::default();
        for entry in self.log.handler.records("configuration") {
            match serde_json::from_str(&entry.record) {
                Ok(change::Entry::Change(change)) => {
                    state.apply(entry.offset, &change);
                }
                // Entry VMs write checkpoints, which change nothing.
                Ok(change::Entry::Checkpoint(_)) | Err(_) => state.skip(entry.offset),
            }
        }
        state
    }

    /// Publishes a value as an operator would.
    pub fn publish(&self, value: Value) {
        let subject = value.subject();
        let change = Change {
            id: id::Record(Uuid::now_v7()),
            base: self.state().revision(&subject),
            subject,
            value: Some(value),
            by: "test".into(),
            at: Wall::from_millis(0),
        };
        let record = serde_json::to_string(&change::Entry::Change(change)).unwrap();
        let _ = self.log.handler.append("configuration", vec![record]);
    }

    pub fn withdraw(&self, id: &str) {
        let mut version = self.state().version(&name(id)).unwrap().clone();
        version.status = version::Status::Withdrawn;
        self.publish(Value::Version(version));
    }

    pub fn bills(&self) -> Vec<Bill> {
        let records = self.log.handler.records("usage");
        let bills = records
            .iter()
            .filter_map(|e| serde_json::from_str(&e.record).ok());
        bills.collect()
    }

    /// Calls started at all engines, as the engines count them.
    pub fn started(&self) -> u64 {
        self.engines.iter().map(|e| e.handler.stats().started).sum()
    }

    /// How often the replicas of the service ran a request id.
    pub fn runs(&self, key: &str) -> u64 {
        self.desks.iter().map(|desk| desk.handler.runs(key)).sum()
    }

    pub fn settings(&self, node: &str) -> Vec<(&'static str, String)> {
        [
            ("node", node.to_owned()),
            ("zone", "kig-remera".into()),
            ("listen", "127.0.0.1:0".into()),
            ("operators-listen", "127.0.0.1:0".into()),
            ("peer-listen", "127.0.0.1:0".into()),
            ("log-address", self.log.address.to_string()),
            ("vms-address", self.vms.address.to_string()),
            ("rater-address", self.rater.address.to_string()),
            ("peer-key", "a secret that peers share".into()),
            ("session-key", "a secret of entry VMs".into()),
            ("session-life", "7d".into()),
            ("grace", "100ms".into()),
            ("last-bound", "15s".into()),
            ("max-body", "65536".into()),
            ("request-memory", "16777216".into()),
            ("max-timeout", "1h".into()),
            ("platform-timeout", "1s".into()),
            ("stall-timeout", "1s".into()),
            ("poll-interval", "50ms".into()),
            ("far-interval", "1s".into()),
            ("zone-delay", "10ms".into()),
            ("stale-bound", "1m".into()),
            ("claims-window", "30m".into()),
            ("claim-timeout", "2s".into()),
            ("bill-timeout", "5s".into()),
            ("kept-bytes", "1048576".into()),
            ("second-worth", "0".into()),
            ("metric-customers", "5".into()),
            ("threads", "0".into()),
            ("log-format", "text".into()),
            ("log-level", "off".into()),
        ]
        .into()
    }

    /// Starts an entry VM, and waits until it is ready and knows all endpoints.
    pub async fn entry(&self, node: &str) -> Entry {
        self.entry_with(node, &[]).await
    }

    pub async fn entry_with(&self, node: &str, changed: &[(&'static str, &str)]) -> Entry {
        let mut settings = self.settings(node);
        for (flag, value) in changed {
            let place = settings.iter().position(|(known, _)| known == flag);
            match place {
                Some(place) => (*value).clone_into(&mut settings[place].1),
                None => settings.push((flag, (*value).to_owned())),
            }
        }
        let raw: Raw = settings.into_iter().collect();
        let config = Config::try_from(&raw).unwrap();
        let running = Running::start(config).await.unwrap();
        let entry = Entry::new(running);
        wait_until("the entry VM knows configuration and endpoints", || {
            let node = &entry.running.node;
            let pools = node.scheduler.pools();
            let usable: usize = pools.iter().map(|(_, pool)| pool.metrics().usable).sum();
            let known = node.state.current().offset >= self.state().offset;
            let claims = node.claimer.follower().caught_up();
            node.ready() && claims && known && usable == self.engines.len() + self.desks.len()
        })
        .await;
        entry
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        self.token.cancel();
    }
}

/// An entry VM and an HTTP client for it.
pub struct Entry {
    pub running: Running,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Builds and sends one request.
pub struct RequestBuilder {
    method: Method,
    url: String,
    headers: Vec<(String, String)>,
    body: Bytes,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Entry {
    fn new(running: Running) -> Self {
        Self {
            running,
            client: Client::builder(TokioExecutor::new()).build_http(),
        }
    }

    pub fn request(&self, method: Method, path: &str) -> RequestBuilder {
        RequestBuilder {
            method,
            url: format!("http://{}{path}", self.running.caller_address),
            headers: vec![("authorization".into(), format!("Bearer {KEY}"))],
            body: Bytes::new(),
            client: self.client.clone(),
        }
    }

    pub fn chat(&self, prompt: &str, stream: bool) -> RequestBuilder {
        let body = json!({
            "model": "stock",
            "messages": [{"role": "user", "content": prompt}],
            "stream": stream,
            "temperature": 0.0,
        });
        self.request(Method::POST, "/v1/chat/completions")
            .body(body.to_string())
    }

    pub fn order(&self, key: &str) -> RequestBuilder {
        self.request(Method::POST, "/services/order-desk/drums?kind=blue")
            .header("idempotency-key", key)
            .body("{\"drums\":4}")
    }

    pub async fn operators(&self, path: &str) -> Answer {
        let url = format!("http://{}{path}", self.running.operator_address);
        let request = Request::get(url).body(Full::default()).unwrap();
        send(&self.client, request).await
    }
}

impl RequestBuilder {
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self.headers.push((name.into(), value.into()));
        self
    }

    pub fn without(mut self, name: &str) -> Self {
        self.headers.retain(|(known, _)| known != name);
        self
    }

    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// The request body.
    pub fn content(&self) -> Bytes {
        self.body.clone()
    }

    pub async fn send(self) -> Answer {
        let mut request = Request::builder().method(self.method).uri(self.url);
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(self.body)).unwrap();
        send(&self.client, request).await
    }
}

async fn send(
    client: &Client<HttpConnector, Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Answer {
    let exchange = async {
        let (head, body) = client.request(request).await.unwrap().into_parts();
        Answer {
            status: head.status,
            headers: head.headers,
            body: body.collect().await.unwrap().to_bytes(),
        }
    };
    let answer = tokio::time::timeout(TIMEOUT, exchange).await;
    answer.expect("an answer before the timeout")
}

/// Waits for a condition, at most for [`TIMEOUT`].
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let result = tokio::time::timeout(TIMEOUT, wait).await;
    assert!(result.is_ok(), "timed out waiting until {what}");
}

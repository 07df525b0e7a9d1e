//! The HTTP server used by all stand-ins. It applies the fault table to each call.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use pimento_wire::header;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::body::Body;
use crate::fault::Faults;
use crate::fault::Plan;
use crate::fault::Replacement;

/// The behaviour of one stand-in.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Counters returned by `GET /stats`.
    type Stats: Serialize;
    /// Settings returned by `GET /settings` and replaced by `PUT /settings`.
    type Settings: Serialize + DeserializeOwned + Send;

    /// Handles a call.
    fn answer(&self, call: Call) -> impl Future<Output = Answer> + Send;

    /// Returns the counters.
    fn stats(&self) -> Self::Stats;

    /// Returns the settings.
    fn settings(&self) -> Self::Settings;

    /// Replaces the settings.
    fn set(&self, settings: Self::Settings);

    /// Restarts with a new incarnation, which has lost the calls of the previous one.
    fn restart(&self) {}
}

/// A response.
pub type Answer = Response<Body>;

/// A request with its complete body.
#[derive(Debug, Clone)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// A header as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// A numeric query parameter.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        let mut pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// A response with status 400.
    // The error is the response itself. It is created once per bad call and not passed far.
    #[expect(clippy::result_large_err)]
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body)
            .map_err(|error| text(StatusCode::BAD_REQUEST, &error.to_string()))
    }
}

/// A stand-in that runs until its token is cancelled.
#[derive(Debug, Clone)]
pub struct Running<S> {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Its fault table.
    pub faults: Faults,
    /// The stand-in itself, for access without HTTP.
    pub handler: S,
    /// Triggers a crash with this downtime.
    crash: watch::Sender<Duration>,
}

impl<S> Running<S> {
    /// Crashes the stand-in and closes all its connections. It listens on the same address again
    /// after `downtime`, with a new incarnation.
    pub fn crash(&self, downtime: Duration) {
        self.crash.send_replace(downtime);
    }
}

/// Starts a server for `handler`.
///
/// Cancelling `token` closes the socket and all connections, like the loss of a VM.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn start<S: Handler>(
    handler: S,
    listen: SocketAddr,
    token: CancellationToken,
) -> io::Result<Running<S>> {
    let listener = TcpListener::bind(listen).await?;
    let running = Running {
        address: listener.local_addr()?,
        faults: Faults::default(),
        handler,
        crash: watch::Sender::new(Duration::ZERO),
    };
    tokio::spawn(run(listener, running.clone(), token));
    Ok(running)
}

/// Runs the server, and runs it again after each crash, until the token is cancelled.
async fn run<S: Handler>(listener: TcpListener, running: Running<S>, token: CancellationToken) {
    let address = running.address;
    let mut listener = listener;
    loop {
        let mut crash = running.crash.subscribe();
        let accept_token = token.clone();
        tokio::select! {
            () = accept(listener, running.clone(), accept_token) => return,
            _ = crash.changed() => {}
        }
        let downtime = *crash.borrow();
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(downtime) => {}
        }
        running.handler.restart();
        listener = match TcpListener::bind(address).await {
            Ok(listener) => listener,
            Err(error) => return log::error!("standin: can't listen on {address} again: {error}"),
        };
    }
}

async fn accept<S: Handler>(listener: TcpListener, running: Running<S>, token: CancellationToken) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(connection(stream, running.clone()));
                }
                Err(error) => {
                    log::warn!("standin: accept failed: {error}");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            },
        }
    }
}

/// Delay after a failed accept. Without it, running out of file descriptors would cause a busy
/// loop.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

async fn connection<S: Handler>(stream: TcpStream, running: Running<S>) {
    // Without it, Nagle's algorithm delays each event until the previous one is acknowledged.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let running = running.clone();
        async move { serve(&running, request).await }
    });
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("standin: connection ended: {error}");
    }
}

async fn serve<S: Handler>(
    running: &Running<S>,
    request: hyper::Request<Incoming>,
) -> io::Result<Answer> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    let call = Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
    };
    if let Some(answer) = control(running, &call) {
        return Ok(answer);
    }
    let plan = running.faults.plan(&call);
    execute(running, call, plan).await
}

async fn execute<S: Handler>(running: &Running<S>, call: Call, plan: Plan) -> io::Result<Answer> {
    tokio::time::sleep(plan.delay).await;
    match plan.replacement {
        Some(Replacement::Refuse {
            status,
            retry_after,
            run,
        }) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
            let mut answer = text(status, "refused by the fault table");
            if let Some(seconds) = retry_after {
                answer = with_header(answer, header::RETRY_AFTER, &seconds.to_string());
            }
            if let Some(run) = run {
                answer = with_header(answer, header::RUN, run.as_str());
            }
            return Ok(answer);
        }
        Some(Replacement::Hang) => return std::future::pending().await,
        Some(Replacement::Drop) => return Err(io::Error::other("dropped by the fault table")),
        Some(Replacement::Crash { downtime }) => {
            running.crash(downtime);
            return std::future::pending().await;
        }
        None => {}
    }
    let answer = running.handler.answer(call).await;
    tokio::time::sleep(plan.answer_delay).await;
    if plan.lose_answer {
        return Err(io::Error::other("answer lost by the fault table"));
    }
    if plan.garbage {
        return Ok(text(StatusCode::OK, "this is {not what [was asked for"));
    }
    Ok(answer.map(|body| body.with_faults(plan.stream)))
}

/// Handles calls that control the stand-in itself. They are exempt from faults.
fn control<S: Handler>(running: &Running<S>, call: &Call) -> Option<Answer> {
    let answer = match (call.method.as_str(), call.path.as_str()) {
        ("GET", "/faults") => json(StatusCode::OK, &running.faults.table()),
        ("PUT", "/faults") => put(call, |table| running.faults.set(table)),
        ("GET", "/stats") => json(StatusCode::OK, &running.handler.stats()),
        ("GET", "/settings") => json(StatusCode::OK, &running.handler.settings()),
        ("PUT", "/settings") => put(call, |settings| running.handler.set(settings)),
        _ => return None,
    };
    Some(answer)
}

fn put<T: DeserializeOwned>(call: &Call, set: impl FnOnce(T)) -> Answer {
    match call.json() {
        Ok(value) => {
            set(value);
            empty(StatusCode::NO_CONTENT)
        }
        Err(answer) => answer,
    }
}

/// A response without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Answer {
    answer(status, "text/plain", Bytes::new())
}

/// A plain-text response.
#[must_use]
pub fn text(status: StatusCode, body: &str) -> Answer {
    let body = Bytes::copy_from_slice(body.as_bytes());
    answer(status, "text/plain; charset=utf-8", body)
}

/// A JSON response.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => answer(status, "application/json", body.into()),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// A refusal of a call that had no effect, with `run: not_run` and `retry-after`, rounded up to
/// whole seconds.
#[must_use]
pub fn refusal(status: StatusCode, after: Duration, reason: &str) -> Answer {
    let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
    let answer = with_header(text(status, reason), header::RUN, "not_run");
    with_header(answer, header::RETRY_AFTER, &seconds.to_string())
}

/// Adds a header, unless its value is invalid.
#[must_use]
pub fn with_header(mut answer: Answer, name: &'static str, value: &str) -> Answer {
    if let Ok(value) = value.parse() {
        answer.headers_mut().insert(name, value);
    }
    answer
}

/// A response that streams events.
#[must_use]
pub fn events(body: Body) -> Answer {
    let mut answer = Response::new(body);
    let value = hyper::header::HeaderValue::from_static("text/event-stream");
    answer
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, value);
    answer
}

fn answer(status: StatusCode, content: &'static str, body: Bytes) -> Answer {
    let mut answer = Response::new(Body::Whole(body));
    *answer.status_mut() = status;
    let value = hyper::header::HeaderValue::from_static(content);
    answer
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, value);
    answer
}

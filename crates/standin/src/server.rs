//! The HTTP server that all stand-ins share: it applies the fault table around each call.

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
use crate::fault::Instead;
use crate::fault::Plan;

/// What one stand-in does.
pub trait Handler: Clone + Send + Sync + 'static {
    /// Counters shown at `GET /stats`.
    type Stats: Serialize;
    /// Settings shown at `GET /settings` and replaced by `PUT /settings`.
    type Settings: Serialize + DeserializeOwned + Send;

    /// Carries out a call.
    fn answer(&self, call: Call) -> impl Future<Output = Answer> + Send;

    /// The counters.
    fn stats(&self) -> Self::Stats;

    /// The settings.
    fn settings(&self) -> Self::Settings;

    /// Replaces the settings.
    fn set(&self, settings: Self::Settings);

    /// Begins another life, which knows nothing of what ran in the one before.
    fn restart(&self) {}
}

/// An answer.
pub type Answer = Response<Body>;

/// A call with its whole body.
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

    /// A number of the query.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        let mut pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    }

    /// The body as JSON.
    ///
    /// # Errors
    ///
    /// A 400 to answer with.
    // The error is the answer itself, which is made once for each bad call and not passed far.
    #[expect(clippy::result_large_err)]
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body)
            .map_err(|error| text(StatusCode::BAD_REQUEST, &error.to_string()))
    }
}

/// A stand-in that runs until its token is cancelled.
#[derive(Debug, Clone)]
pub struct Running<S> {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its fault table.
    pub faults: Faults,
    /// The stand-in itself, to be read and changed without HTTP.
    pub handler: S,
    /// Told how long the stand-in is to be gone.
    crash: watch::Sender<Duration>,
}

impl<S> Running<S> {
    /// Ends the stand-in with all its connections. It is back at its address after `back`, as
    /// another life of itself.
    pub fn crash(&self, back: Duration) {
        self.crash.send_replace(back);
    }
}

/// Starts a server for `handler`.
///
/// Cancelling `token` closes the socket and cuts all connections, as the loss of a VM would.
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
    tokio::spawn(live(listener, running.clone(), token));
    Ok(running)
}

/// One life after the other, until the token is cancelled.
async fn live<S: Handler>(listener: TcpListener, running: Running<S>, token: CancellationToken) {
    let address = running.address;
    let mut listener = listener;
    loop {
        let mut crash = running.crash.subscribe();
        let ends = token.clone();
        tokio::select! {
            () = accept(listener, running.clone(), ends) => return,
            _ = crash.changed() => {}
        }
        let back = *crash.borrow();
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(back) => {}
        }
        running.handler.restart();
        listener = match TcpListener::bind(address).await {
            Ok(listener) => listener,
            Err(error) => return log::error!("standin: Not back at {address}: {error}."),
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
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
}

/// Pause after a failed accept. Running out of file descriptors would otherwise spin the loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

async fn connection<S: Handler>(stream: TcpStream, running: Running<S>) {
    // Without it each event of a stream would wait for the acknowledgement of the one before.
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
    if let Some(answer) = steer(running, &call) {
        return Ok(answer);
    }
    let plan = running.faults.draw(&call);
    carry(running, call, plan).await
}

async fn carry<S: Handler>(running: &Running<S>, call: Call, plan: Plan) -> io::Result<Answer> {
    tokio::time::sleep(plan.delay).await;
    match plan.instead {
        Some(Instead::Refuse {
            status,
            retry_after,
            run,
        }) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
            let mut answer = text(status, "refused by the fault table");
            if let Some(seconds) = retry_after {
                answer = with(answer, header::RETRY_AFTER, &seconds.to_string());
            }
            if let Some(run) = run {
                answer = with(answer, header::RUN, run.as_str());
            }
            return Ok(answer);
        }
        Some(Instead::Hang) => return std::future::pending().await,
        Some(Instead::Drop) => return Err(io::Error::other("dropped by the fault table")),
        Some(Instead::Crash { back }) => {
            running.crash(back);
            return std::future::pending().await;
        }
        None => {}
    }
    let answer = running.handler.answer(call).await;
    tokio::time::sleep(plan.late).await;
    if plan.lose {
        return Err(io::Error::other("answer lost by the fault table"));
    }
    if plan.garbage {
        return Ok(text(StatusCode::OK, "this is {not what [was asked for"));
    }
    Ok(answer.map(|body| body.mangled(plan.mangle)))
}

/// Calls that steer the stand-in itself; no fault strikes them.
fn steer<S: Handler>(running: &Running<S>, call: &Call) -> Option<Answer> {
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

/// An answer without a body.
#[must_use]
pub fn empty(status: StatusCode) -> Answer {
    answer(status, "text/plain", Bytes::new())
}

/// An answer for people.
#[must_use]
pub fn text(status: StatusCode, body: &str) -> Answer {
    let body = Bytes::copy_from_slice(body.as_bytes());
    answer(status, "text/plain; charset=utf-8", body)
}

/// An answer in JSON.
#[must_use]
pub fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => answer(status, "application/json", body.into()),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// A refusal without effect, with `run: not_run` and whole seconds in `retry-after`.
#[must_use]
pub fn refusal(status: StatusCode, after: Duration, reason: &str) -> Answer {
    let seconds = after.as_secs() + u64::from(after.subsec_nanos() > 0);
    let answer = with(text(status, reason), header::RUN, "not_run");
    with(answer, header::RETRY_AFTER, &seconds.to_string())
}

/// Adds a header; one that HTTP does not allow is left out.
#[must_use]
pub fn with(mut answer: Answer, name: &'static str, value: &str) -> Answer {
    if let Ok(value) = value.parse() {
        answer.headers_mut().insert(name, value);
    }
    answer
}

/// A stream of events.
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

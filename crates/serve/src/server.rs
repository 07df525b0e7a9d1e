//! HTTP/1 servers, whose connections are shut down without cutting off requests.

use std::convert::Infallible;
use std::future::Future;
use std::future::poll_fn;
use std::future::ready;
use std::io;
use std::net::SocketAddr;
use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::task::Poll;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::coop::unconstrained;
use tokio::task::yield_now;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::body::ReplyBody;
use crate::cuts::Cuts;
use crate::progress::Progress;
use crate::progress::Stage;
use crate::progress::Tracked;
use crate::receiving::Permit;
use crate::receiving::Receiving;
use crate::socket::Socket;
use crate::traffic::Traffic;

/// Wait after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum number of connections that are accepted after the server has begun to close; the kernel
/// holds no more by default.
const BACKLOG: usize = 4_096;

/// Time that a new connection has for the first byte of its first request once the server is closing.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(300);

/// Time that the rest of a head has for arriving once the server is closing.
const HEAD_WAIT: Duration = Duration::from_secs(1);

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum time for receiving the head of a request, including idle time on a persistent
    /// connection.
    pub head_timeout: Duration,
    /// Maximum number of bytes of a head that are read before it is refused.
    pub head_bytes: usize,
    /// Maximum number of open connections. Further ones are closed at once, before anything is read, so
    /// that callers may turn to another VM whatever they ask for.
    pub connections: usize,
    /// Maximum time in which a caller takes nothing of an answer that waits for it. Its connection is then
    /// reset, as it holds memory and may never be closed.
    pub unread_timeout: Duration,
}

/// Default of [`Limits::unread_timeout`]. A caller that reads 1 kB a second lets its kernel announce room for
/// more only when half of a buffer of 64 KiB is free, so a shorter time would break off answers that are read.
pub const UNREAD_TIMEOUT: Duration = Duration::from_mins(2);

impl Default for Limits {
    fn default() -> Self {
        Self {
            head_timeout: Duration::from_secs(30),
            head_bytes: 400 << 10,
            connections: usize::MAX,
            unread_timeout: UNREAD_TIMEOUT,
        }
    }
}

/// Answers requests.
pub trait Serve: Clone + Send + Sync + 'static {
    /// Answers one request. The future is dropped when the caller closes its connection.
    fn serve(&self, request: Request<Incoming>)
    -> impl Future<Output = Response<ReplyBody>> + Send;

    /// The limits, read for each new connection.
    fn limits(&self) -> Limits {
        Limits::default()
    }

    /// How many connections may receive a request at a time, read before each is accepted; any number if there
    /// is no limit.
    fn max_receiving(&self) -> Option<usize> {
        None
    }

    /// Whether callers are asked to close their connections after the next response. Requests on open connections
    /// can't be left unaccepted.
    fn closes_connections(&self) -> bool {
        false
    }

    /// Where the bytes of its connections are counted.
    fn traffic(&self) -> Traffic {
        Traffic::default()
    }
}

/// Signals for the steps of a server's shutdown.
#[derive(Debug, Clone, Default)]
pub struct Stop {
    /// Responses ask callers to close their connections.
    pub leaving: CancellationToken,
    /// Requests and connections that have arrived by now are read and answered. No further connections
    /// are accepted, and each one is closed once it is idle.
    pub closing: CancellationToken,
    /// All remaining connections are closed at once. Takes effect only after `closing`.
    pub abort: CancellationToken,
}

/// Serves until `stop` is closing; returns once all connections are closed. Logs how many were aborted,
/// and what they were at.
pub async fn run(listener: TcpListener, service: impl Serve, stop: Stop) {
    let mut acceptor = Acceptor {
        listener,
        service,
        receiving: Receiving::default(),
        stop,
        connections: TaskTracker::new(),
        full: false,
        cuts: Arc::default(),
    };
    acceptor.run().await;
    acceptor.drain().await;
    let Acceptor {
        listener,
        connections,
        cuts,
        ..
    } = acceptor;
    // The kernel goes on accepting for an open listener, and nobody would answer these callers.
    drop(listener);
    connections.close();
    connections.wait().await;
    cuts.log();
}

/// Accepts connections.
struct Acceptor<S> {
    listener: TcpListener,
    service: S,
    receiving: Receiving,
    stop: Stop,
    connections: TaskTracker,
    /// Whether the last connection was one too many.
    full: bool,
    cuts: Arc<Cuts>,
}

impl<S: Serve> Acceptor<S> {
    /// Accepts connections until the server is closing.
    async fn run(&mut self) {
        loop {
            let accepting = async {
                let limit = || self.service.max_receiving();
                self.receiving.wait_for_room(limit).await;
                self.listener.accept().await
            };
            let accepted = tokio::select! {
                () = self.stop.closing.cancelled() => return,
                accepted = accepting => accepted,
            };
            if !self.admit(accepted) {
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }

    /// Accepts what has connected by now. The kernel has told these callers that they are connected, and
    /// would reset their connections, and the requests they have sent, when the listener is closed.
    async fn drain(&mut self) {
        // A task learns of new connections only after the runtime has polled the kernel.
        yield_now().await;
        for _ in 0..BACKLOG {
            let accepted = tokio::select! {
                biased;
                accepted = unconstrained(self.listener.accept()) => accepted,
                () = ready(()) => return,
            };
            if !self.admit(accepted) {
                return;
            }
        }
    }

    /// Starts to serve a connection. False if it couldn't be accepted.
    fn admit(&mut self, accepted: io::Result<(TcpStream, SocketAddr)>) -> bool {
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("server: Connection not accepted: {error}.");
                return false;
            }
        };
        let limits = self.service.limits();
        let open = self.connections.len();
        let fits = open < limits.connections;
        if fits {
            let accepted = Accepted {
                stream,
                permit: self.receiving.begin(),
                receiving: self.receiving.clone(),
            };
            self.connections.spawn(connection(
                accepted,
                self.service.clone(),
                limits,
                self.stop.clone(),
                Arc::clone(&self.cuts),
            ));
        } else if !self.full {
            log::warn!(open; "server: Too many connections, closing new ones.");
        }
        self.full = !fits;
        true
    }
}

/// A connection that was accepted.
struct Accepted {
    stream: TcpStream,
    receiving: Receiving,
    /// The permit to receive its first request.
    permit: Permit,
}

async fn connection(
    accepted: Accepted,
    service: impl Serve,
    limits: Limits,
    stop: Stop,
    cuts: Arc<Cuts>,
) {
    let Accepted {
        stream,
        receiving,
        permit,
    } = accepted;
    // Each piece of a stream is sent immediately.
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("server: Setting TCP_NODELAY failed: {error}.");
    }
    let progress = Arc::new(Progress::default());
    let socket = Socket::new(
        stream,
        Arc::clone(&progress),
        service.traffic(),
        limits.unread_timeout,
    );
    let first = Mutex::new(Some(permit));
    let answers = service_fn(|mut request| {
        progress.serve(&request);
        let first = first.lock().unwrap_or_else(PoisonError::into_inner).take();
        let permit = first.unwrap_or_else(|| receiving.begin());
        request.extensions_mut().insert(permit);
        answer(service.clone(), request, &stop, &progress)
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_buf_size(limits.head_bytes)
        .serve_connection(TokioIo::new(socket), answers);
    tokio::pin!(connection);
    let served = async {
        tokio::select! {
            biased;
            result = connection.as_mut() => return result,
            () = last_request(&progress, &stop) => {}
        }
        progress.settle();
        connection.as_mut().graceful_shutdown();
        connection.as_mut().await
    };
    tokio::select! {
        // An answer that is ready is written before an abort takes effect.
        biased;
        result = served => {
            if let Err(error) = result {
                log::debug!("server: Connection ended: {error}.");
            }
        }
        () = aborted(&stop) => {
            cuts.count(progress.stage());
            progress.cut();
        }
    }
}

async fn answer(
    service: impl Serve,
    request: Request<Incoming>,
    stop: &Stop,
    progress: &Arc<Progress>,
) -> Result<Response<Tracked>, Infallible> {
    let closes = service.closes_connections();
    let serving = async { service.serve(request).await };
    let mut response = catch(serving).await.unwrap_or_else(|Panic| {
        log::error!("server: The service panicked, the request gets a 500.");
        panic_response()
    });
    if closes || stop.leaving.is_cancelled() || stop.closing.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response.map(|body| Tracked::new(body, Arc::clone(progress))))
}

/// A future panicked. The panic hook has said where.
struct Panic;

/// Catches a panic. It would end the connection's task, and the caller would see a closed connection, which
/// tells it nothing.
async fn catch<T>(future: impl Future<Output = T>) -> Result<T, Panic> {
    let mut future = pin!(future);
    // The future isn't polled again after a panic, so nobody sees what it left half done.
    poll_fn(|cx| {
        let polled = catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(cx)));
        polled.map_or(Poll::Ready(Err(Panic)), |poll| poll.map(Ok))
    })
    .await
}

/// Promises nothing of whether the request ran.
fn panic_response() -> Response<ReplyBody> {
    let mut response = Response::new(ReplyBody::whole("internal error\n"));
    *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

/// Waits until the server is closing and all requests that had arrived have been read.
///
/// A busy VM lags behind its kernel: a connection that looks idle may have received a request long
/// before, and would be closed without an answer. This future is polled in the connection's task and
/// after it, and so sees what the connection has just read.
async fn last_request(progress: &Progress, stop: &Stop) {
    stop.closing.cancelled().await;
    // A task learns of received bytes only after the runtime has polled the kernel.
    yield_now().await;
    let left = |stage| {
        poll_fn(move |_| {
            if progress.stage() == stage {
                Poll::Pending
            } else {
                Poll::Ready(())
            }
        })
    };
    // A caller that takes longer than this isn't waited for.
    let _ = timeout(FIRST_REQUEST_WAIT, left(Stage::New)).await;
    let _ = timeout(HEAD_WAIT, left(Stage::Reading)).await;
}

async fn aborted(stop: &Stop) {
    stop.closing.cancelled().await;
    stop.abort.cancelled().await;
}

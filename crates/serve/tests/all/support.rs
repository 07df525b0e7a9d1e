//! A server on loopback whose answers the test releases, and callers that write synchronously: what
//! they have written lies in the server's kernel buffer when the write returns.

use std::io::ErrorKind;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use pimento_serve::Limits;
use pimento_serve::ReplyBody;
use pimento_serve::Serve;
use pimento_serve::Stop;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Far longer than anything that a test waits for.
pub const BOUND: Duration = Duration::from_secs(10);

/// Time for connecting: the kernel drops the packets of callers while its backlog is full.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The body of an answer: more than the kernel delivers to a caller who doesn't read.
pub const ANSWER: &[u8] = &[b'a'; 512 << 10];

/// The number of bytes in the body of a long stream: more than the kernel holds for a caller.
pub const LARGE: usize = 24 << 20;

/// The number of bytes in the body of a brief answer.
pub const BRIEF: usize = 100;

/// Answers by path: `/now` at once, `/held` and `/brief` when released, all after reading the body; `/early` at once
/// without reading the body; `/cut` with a stream that breaks off when released; `/large` with a long stream;
/// `/panic` with a panic.
#[derive(Debug, Clone, Default)]
pub struct Script {
    pub release: CancellationToken,
    /// Cancelled once the caller of `/large` is gone.
    pub gone: CancellationToken,
    /// Limit on the time in which a caller takes nothing; the default if there is none.
    pub unread_timeout: Option<Duration>,
}

impl Serve for Script {
    async fn serve(&self, request: Request<Incoming>) -> Response<ReplyBody> {
        let path = request.uri().path().to_owned();
        assert_ne!(path, "/panic", "a fault of the service");
        match path.as_str() {
            "/early" => {
                let mut response = Response::new(ReplyBody::whole(ANSWER));
                *response.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
                return response;
            }
            "/large" => {
                let (writer, body) = ReplyBody::stream();
                let gone = self.gone.clone();
                tokio::spawn(async move {
                    match writer.send(vec![b'a'; LARGE]).await {
                        Ok(()) => writer.end().await.unwrap_or_default(),
                        Err(_) => gone.cancel(),
                    }
                });
                return Response::new(body);
            }
            "/cut" => {
                let (writer, body) = ReplyBody::stream();
                writer.send("piece").await.unwrap();
                let release = self.release.clone();
                tokio::spawn(async move {
                    release.cancelled().await;
                    drop(writer);
                });
                return Response::new(body);
            }
            _ => {}
        }
        read(request.into_body()).await;
        if path != "/now" {
            self.release.cancelled().await;
        }
        let bytes = if path == "/brief" {
            &ANSWER[..BRIEF]
        } else {
            ANSWER
        };
        Response::new(ReplyBody::whole(bytes))
    }

    fn limits(&self) -> Limits {
        let limits = Limits::default();
        Limits {
            unread_timeout: self.unread_timeout.unwrap_or(limits.unread_timeout),
            ..limits
        }
    }
}

async fn read(body: Incoming) {
    let mut body = std::pin::pin!(body);
    while let Some(frame) = std::future::poll_fn(|cx| body.as_mut().poll_frame(cx)).await {
        if frame.is_err() {
            return;
        }
    }
}

/// A running server.
pub struct Server {
    pub address: SocketAddr,
    pub stop: Stop,
    pub script: Script,
    running: JoinHandle<()>,
}

impl Server {
    /// Each server has an address of its own: a port that one has given up may at once be another's.
    pub async fn start() -> Self {
        Self::with(Script::default()).await
    }

    /// The same with this script.
    pub async fn with(script: Script) -> Self {
        static STARTED: AtomicU16 = AtomicU16::new(1);
        let [high, low] = STARTED.fetch_add(1, Relaxed).to_be_bytes();
        let listener = TcpListener::bind((Ipv4Addr::new(127, 1, high, low), 0))
            .await
            .unwrap();
        let address = listener.local_addr().unwrap();
        let stop = Stop::default();
        let running = tokio::spawn(pimento_serve::run(listener, script.clone(), stop.clone()));
        Self {
            address,
            stop,
            script,
            running,
        }
    }

    /// Waits until the server has stopped by itself.
    pub async fn stopped(self) {
        tokio::time::timeout(BOUND, self.running)
            .await
            .expect("the server stops")
            .unwrap();
    }
}

/// Lets the server do all that it can do now.
pub async fn catch_up() {
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// Lets the server take notice of signals, in far less time than it waits for callers.
pub async fn take_notice() {
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
}

/// A caller's connection.
pub struct Caller(std::net::TcpStream);

impl Caller {
    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let stream = std::net::TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        // Otherwise a second write is held back until the server has acknowledged the first.
        stream.set_nodelay(true)?;
        Ok(Self(stream))
    }

    /// Writes synchronously; false if the connection is closed.
    pub fn write(&mut self, bytes: impl AsRef<[u8]>) -> bool {
        self.0.write_all(bytes.as_ref()).is_ok()
    }

    /// Waits until a brief answer has arrived, and leaves it unread.
    pub async fn answered(&self) {
        let arrival = async {
            let mut bytes = [0; 4 << 10];
            let mut arrived = 0;
            while Answer::parse(&bytes[..arrived]).body < BRIEF {
                catch_up().await;
                self.0.set_nonblocking(true).unwrap();
                arrived = self.0.peek(&mut bytes).unwrap_or(0);
                self.0.set_nonblocking(false).unwrap();
            }
        };
        let arrived = tokio::time::timeout(BOUND, arrival).await;
        arrived.expect("an answer arrives");
    }

    /// Has one request answered, so that the connection is a kept one.
    pub async fn keep(self) -> Self {
        let mut caller = self;
        assert!(caller.write(post("/now", 2) + "ab"));
        let (caller, answer) = caller
            .read_until(|bytes| Answer::parse(bytes).body_whole())
            .await;
        assert!(answer.body_whole(), "{answer:?}");
        caller
    }

    /// Reads until the server closes the connection; this end stays open meanwhile.
    pub async fn answer(self) -> Answer {
        self.answer_and_connection().await.1
    }

    /// Reads until the server closes the connection; this end stays open.
    pub async fn answer_and_connection(self) -> (Self, Answer) {
        self.read_until(|_| false).await
    }

    async fn read_until(self, enough: impl Fn(&[u8]) -> bool) -> (Self, Answer) {
        self.0.set_nonblocking(true).unwrap();
        let mut stream = tokio::net::TcpStream::from_std(self.0).unwrap();
        let mut bytes = Vec::new();
        let mut reset = false;
        let reading = async {
            while !enough(&bytes) {
                match stream.read_buf(&mut bytes).await {
                    Ok(0) => break,
                    Ok(_) => {}
                    Err(error) => {
                        assert_eq!(error.kind(), ErrorKind::ConnectionReset);
                        reset = true;
                        break;
                    }
                }
            }
        };
        let read = tokio::time::timeout(BOUND, reading).await;
        read.expect("the connection is closed");
        let stream = stream.into_std().unwrap();
        stream.set_nonblocking(false).unwrap();
        let mut answer = Answer::parse(&bytes);
        answer.reset = reset;
        (Self(stream), answer)
    }
}

/// What a caller has received.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Answer {
    pub status: Option<u16>,
    /// Whether the caller was asked to close the connection.
    pub close: bool,
    /// The number of bytes after the head.
    pub body: usize,
    /// Whether the connection ended with a reset.
    pub reset: bool,
}

impl Answer {
    pub fn parse(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            return Self::default();
        };
        Self {
            status: head.split(' ').nth(1).and_then(|code| code.parse().ok()),
            close: head.to_ascii_lowercase().contains("connection: close"),
            body: body.len(),
            reset: false,
        }
    }

    /// Whether the answer has arrived in full, and nothing after it.
    pub fn body_whole(&self) -> bool {
        self.status.is_some() && self.body == ANSWER.len()
    }
}

/// A request without a body.
pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: loopback\r\n\r\n")
}

/// The head of a request with a body.
pub fn post(path: &str, body: usize) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: loopback\r\ncontent-length: {body}\r\n\r\n")
}

//! Calls over TCP: a frame with the call, a frame with its answer, then the next call on the same
//! connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use pimento_progress::Progress;
use pimento_progress::TimedOut;
use pimento_wire::Frame;
use pimento_wire::frame;
use pimento_wire::frame::LENGTH_BYTES;
use pimento_wire::frame::MAX_BODY;
use pimento_wire::peer::Answer;
use pimento_wire::peer::Call;
use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::Instant;

use super::Error;
use super::FrameSnafu;
use super::Handler;
use super::Peer;
use super::Shared;
use super::lock;

/// The largest number of connections served at once. The peers of the zone (50 at the target size) use
/// a few connections each; more would only cost memory.
const MAX_CONNECTIONS: usize = 256;
/// Time limit on the server's side for each call of a connection, from the wait for the call to the end
/// of its answer.
const CALL_TIMEOUT: Duration = Duration::from_mins(1);
/// How long an idle connection can be reused. It is shorter than [`CALL_TIMEOUT`], so that the peer
/// seldom closes a connection just when it is reused.
const REUSE_TIMEOUT: Duration = Duration::from_secs(30);
/// The largest number of idle connections to one peer.
const MAX_IDLE: usize = 4;

/// Bytes that are reserved for each read of a frame.
const READ_CHUNK: usize = 16 << 10;

/// Why an exchange failed.
#[derive(Debug, Snafu)]
enum Fault {
    #[snafu(display("{source}"), context(false))]
    Socket { source: std::io::Error },
    #[snafu(display("{source}"), context(false))]
    Frame { source: frame::Error },
    #[snafu(display("{source}"), context(false))]
    Stalled { source: TimedOut },
}

/// Idle connections for later calls.
#[derive(Debug, Default)]
pub(super) struct Pool {
    idle: Mutex<Vec<Idle>>,
}

#[derive(Debug)]
struct Idle {
    address: SocketAddr,
    since: Instant,
    stream: TcpStream,
}

impl Pool {
    fn acquire(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut idle = lock(&self.idle);
        idle.retain(|connection| connection.since.elapsed() < REUSE_TIMEOUT);
        let at = idle
            .iter()
            .rposition(|connection| connection.address == address)?;
        Some(idle.remove(at).stream)
    }

    fn release(&self, address: SocketAddr, stream: TcpStream) {
        let mut idle = lock(&self.idle);
        if idle
            .iter()
            .filter(|connection| connection.address == address)
            .count()
            < MAX_IDLE
        {
            let since = Instant::now();
            idle.push(Idle {
                address,
                since,
                stream,
            });
        }
    }
}

/// Makes a call, on an idle connection if there is one. If the call fails there, it is repeated on a new
/// connection before the same deadline.
pub(super) async fn call(shared: &Shared, peer: &Peer, call: &Call) -> Result<Answer, Error> {
    let frame = Frame::seal(call, &shared.settings.key, MAX_BODY).context(FrameSnafu)?;
    let lost = |reason: String| Error::Lost {
        node: peer.node.clone(),
        reason,
    };
    let deadline = Instant::now() + shared.settings.timeout;
    let pooled = shared.pool.acquire(peer.address);
    let repeated = pooled.is_some();
    if let Some(stream) = pooled
        && let Ok(answer) = exchange(shared, peer.address, stream, &frame, deadline).await
    {
        return Ok(answer);
    }
    let connect = connect(shared.settings.listen, peer.address);
    let stream = match tokio::time::timeout_at(deadline, connect).await {
        Ok(Ok(stream)) => stream,
        // The peer may have received the call on the pooled connection.
        _ if repeated => {
            return Err(lost(
                "the call failed on a pooled connection, and connecting again failed".into(),
            ));
        }
        _ => {
            let node = peer.node.clone();
            return Err(Error::Unreachable { node });
        }
    };
    let attempt = exchange(shared, peer.address, stream, &frame, deadline).await;
    attempt.map_err(|fault| lost(fault.to_string()))
}

/// Connects from the IP address that this node listens on. On a VM with several addresses, calls would
/// otherwise come from one that the network rules between zones don't expect.
async fn connect(own: SocketAddr, to: SocketAddr) -> std::io::Result<TcpStream> {
    if own.ip().is_unspecified() || own.is_ipv4() != to.is_ipv4() {
        return TcpStream::connect(to).await;
    }
    let socket = if to.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.bind(SocketAddr::new(own.ip(), 0))?;
    socket.connect(to).await
}

/// Sends a call and reads its answer, which must begin by `deadline` and must not pause for longer than
/// the timeout. The connection is reused only after a complete answer, so that a late answer is never
/// read as the answer to the next call.
async fn exchange(
    shared: &Shared,
    address: SocketAddr,
    mut stream: TcpStream,
    frame: &Frame,
    deadline: Instant,
) -> Result<Answer, Fault> {
    let progress = Progress::default();
    let answer = async {
        stream.set_nodelay(true)?;
        write(&mut stream, frame).await?;
        let frame = read(&mut stream, &progress).await?;
        Ok(frame.open(&shared.settings.key)?)
    };
    let first = deadline.saturating_duration_since(Instant::now());
    let answer = progress
        .wait(answer, first, shared.settings.timeout)
        .await?;
    if let Err(Fault::Frame { source }) = &answer {
        shared.drops.add(source);
    }
    let answer = answer?;
    shared.pool.release(address, stream);
    Ok(answer)
}

async fn write(stream: &mut TcpStream, frame: &Frame) -> std::io::Result<()> {
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + frame.bytes().len());
    bytes.extend_from_slice(&frame.length());
    bytes.extend_from_slice(frame.bytes());
    stream.write_all(&bytes).await
}

/// Reads a frame. Memory grows with the bytes received and not with the length that the peer announced.
async fn read(stream: &mut TcpStream, progress: &Progress) -> Result<Frame, Fault> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await?;
    progress.add(LENGTH_BYTES);
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_BODY {
        let limit = MAX_BODY;
        return Err(frame::Error::Size { length, limit }.into());
    }
    let mut bytes = Vec::new();
    let mut body = stream.take(length as u64);
    loop {
        bytes.reserve(READ_CHUNK);
        match body.read_buf(&mut bytes).await? {
            0 => break,
            received => progress.add(received),
        }
    }
    if bytes.len() < length {
        return Err(frame::Error::Short.into());
    }
    Ok(Frame::receive(bytes, MAX_BODY)?)
}

/// Answers calls from peers.
pub(super) struct Server<H> {
    shared: Arc<Shared>,
    handler: Arc<H>,
    permits: Arc<Semaphore>,
}

impl<H: Handler> Server<H> {
    /// A server that answers calls with `handler`.
    pub(super) fn new(shared: Arc<Shared>, handler: H) -> Self {
        Self {
            shared,
            handler: Arc::new(handler),
            permits: Arc::new(Semaphore::new(MAX_CONNECTIONS)),
        }
    }

    /// Accepts connections until the returned future is dropped, which also closes them.
    pub(super) async fn run(self, listener: TcpListener) {
        let mut connections = tokio::task::JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            let Ok(permit) = Arc::clone(&self.permits).acquire_owned().await else {
                return;
            };
            let stream = match listener.accept().await {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!("mesh: accepting a connection failed: {error}");
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    continue;
                }
            };
            let connection = Connection {
                shared: Arc::clone(&self.shared),
                handler: Arc::clone(&self.handler),
            };
            connections.spawn(async move {
                connection.run(stream).await;
                drop(permit);
            });
        }
    }
}

struct Connection<H> {
    shared: Arc<Shared>,
    handler: Arc<H>,
}

impl<H: Handler> Connection<H> {
    async fn run(self, mut stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        while let Ok(Ok(())) = tokio::time::timeout(CALL_TIMEOUT, self.serve(&mut stream)).await {}
    }

    async fn serve(&self, stream: &mut TcpStream) -> Result<(), Fault> {
        // The progress is not checked: `run` bounds the time of the call as a whole.
        let progress = Progress::default();
        let call = read(stream, &progress).await.and_then(|frame| {
            let call = frame.open(&self.shared.settings.key)?;
            Ok(call)
        });
        // A frame that fails authentication or decoding gets no answer; the connection is closed.
        if let Err(Fault::Frame { source }) = &call {
            self.shared.drops.add(source);
        }
        let answer = self.handler.handle(call?).await;
        let frame = self.seal(&answer)?;
        write(stream, &frame).await?;
        Ok(())
    }

    fn seal(&self, answer: &impl Serialize) -> Result<Frame, frame::Error> {
        Frame::seal(answer, &self.shared.settings.key, MAX_BODY)
    }
}

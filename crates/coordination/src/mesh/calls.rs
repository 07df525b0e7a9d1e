//! Calls by TCP: one frame there, one frame back, then the next on the same connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use pimento_progress::Progress;
use pimento_progress::TimedOut;
use pimento_wire::Frame;
use pimento_wire::frame;
use pimento_wire::frame::LENGTH;
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

/// Connections served at once. A node is called by the peers of its zone (50 at the target size)
/// with a few connections each; more would only cost memory.
const CONNECTIONS: usize = 256;
/// How long a connection waits for its next call.
const IDLE: Duration = Duration::from_mins(1);
/// How long a kept connection is used again; shorter than [`IDLE`], so that it is seldom closed by
/// the other side in the moment of its use.
const KEEP: Duration = Duration::from_secs(30);
/// Connections kept for each peer.
const KEPT: usize = 4;

/// Bytes of a frame that are read at once.
const PIECE: usize = 16 << 10;

/// Why an exchange failed.
#[derive(Debug, Snafu)]
enum Fault {
    #[snafu(display("{source}"), context(false))]
    Socket { source: std::io::Error },
    #[snafu(display("{source}"), context(false))]
    Bad { source: frame::Error },
    #[snafu(display("{source}"), context(false))]
    Stalled { source: TimedOut },
}

/// Connections kept for their next call.
#[derive(Debug, Default)]
pub(super) struct Pool {
    kept: Mutex<Vec<Kept>>,
}

#[derive(Debug)]
struct Kept {
    address: SocketAddr,
    since: Instant,
    stream: TcpStream,
}

impl Pool {
    fn take(&self, address: SocketAddr) -> Option<TcpStream> {
        let mut kept = lock(&self.kept);
        kept.retain(|k| k.since.elapsed() < KEEP);
        let at = kept.iter().rposition(|k| k.address == address)?;
        Some(kept.remove(at).stream)
    }

    fn keep(&self, address: SocketAddr, stream: TcpStream) {
        let mut kept = lock(&self.kept);
        if kept.iter().filter(|k| k.address == address).count() < KEPT {
            let since = Instant::now();
            kept.push(Kept {
                address,
                since,
                stream,
            });
        }
    }
}

/// Makes a call, on a kept connection if there is one.
pub(super) async fn call(shared: &Shared, peer: &Peer, call: &Call) -> Result<Answer, Error> {
    let frame = Frame::seal(call, &shared.settings.key, MAX_BODY).context(FrameSnafu)?;
    let lost = |reason: String| Error::Lost {
        node: peer.node.clone(),
        reason,
    };
    let deadline = Instant::now() + shared.settings.timeout;
    let kept = shared.pool.take(peer.address);
    let again = kept.is_some();
    if let Some(stream) = kept
        && let Ok(answer) = exchange(shared, peer.address, stream, &frame, deadline).await
    {
        return Ok(answer);
    }
    let connect = connect(shared.settings.listen, peer.address);
    let stream = match tokio::time::timeout_at(deadline, connect).await {
        Ok(Ok(stream)) => stream,
        // The peer may have got the call on the kept connection.
        _ if again => return Err(lost("the connection broke".into())),
        _ => {
            let node = peer.node.clone();
            return Err(Error::Unreachable { node });
        }
    };
    let attempt = exchange(shared, peer.address, stream, &frame, deadline).await;
    attempt.map_err(|fault| lost(fault.to_string()))
}

/// Connects from the address that peers reach this node at. On a VM with several addresses, rules of
/// the network between zones would else meet calls that come from another one.
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

/// One call and its answer, which begins by `deadline` and then keeps coming. The connection is kept
/// only after a whole answer: a late one must not be read as that of the next call.
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
    if let Err(Fault::Bad { source }) = &answer {
        shared.drops.add(source);
    }
    let answer = answer?;
    shared.pool.keep(address, stream);
    Ok(answer)
}

async fn write(stream: &mut TcpStream, frame: &Frame) -> std::io::Result<()> {
    let mut bytes = Vec::with_capacity(LENGTH + frame.bytes().len());
    bytes.extend_from_slice(&frame.length());
    bytes.extend_from_slice(frame.bytes());
    stream.write_all(&bytes).await
}

/// Reads a frame. Memory grows with the bytes that came and not with the length that was said.
async fn read(stream: &mut TcpStream, progress: &Progress) -> Result<Frame, Fault> {
    let mut length = [0; LENGTH];
    stream.read_exact(&mut length).await?;
    progress.add(LENGTH);
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_BODY {
        let limit = MAX_BODY;
        return Err(frame::Error::Size { length, limit }.into());
    }
    let mut bytes = Vec::new();
    let mut rest = stream.take(length as u64);
    loop {
        bytes.reserve(PIECE);
        match rest.read_buf(&mut bytes).await? {
            0 => break,
            came => progress.add(came),
        }
    }
    if bytes.len() < length {
        return Err(frame::Error::Short.into());
    }
    Ok(Frame::receive(bytes, MAX_BODY)?)
}

/// Answers calls.
pub(super) struct Server<H> {
    shared: Arc<Shared>,
    handler: Arc<H>,
    permits: Arc<Semaphore>,
}

impl<H: Handler> Server<H> {
    /// A server that answers by `handler`.
    pub(super) fn new(shared: Arc<Shared>, handler: H) -> Self {
        Self {
            shared,
            handler: Arc::new(handler),
            permits: Arc::new(Semaphore::new(CONNECTIONS)),
        }
    }

    /// Accepts connections for ever. They end with the returned future, so with the mesh's token.
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
                    log::warn!("mesh: connection not accepted: {error}");
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
        while let Ok(Ok(())) = tokio::time::timeout(IDLE, self.serve(&mut stream)).await {}
    }

    async fn serve(&self, stream: &mut TcpStream) -> Result<(), Fault> {
        // Nobody waits for a call but the connection, which is bounded as a whole.
        let progress = Progress::default();
        let call = read(stream, &progress).await.and_then(|frame| {
            let call = frame.open(&self.shared.settings.key)?;
            Ok(call)
        });
        // Whoever sends a frame that does not open gets no answer, only a closed connection.
        if let Err(Fault::Bad { source }) = &call {
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

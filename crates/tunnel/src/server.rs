//! The side that reaches the endpoint.

use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use futures::SinkExt;
use futures::StreamExt;
use pimento_units::id;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Semaphore;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::task::TaskTracker;

use crate::message;
use crate::message::MAX_FRAME;
use crate::message::Reply;
use crate::message::Request;

/// The most tunnels at a time. Each takes two sockets and two buffers.
pub const MAX_TUNNELS: usize = 256;

/// Time within which a VM must say what it wants.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// The longest time for which a tunnel stays open, whatever was asked for.
const MAX_LIFETIME: Duration = Duration::from_mins(2);

/// Wait after a failed accept, which usually means that file descriptors have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Connects to endpoints on behalf of other VMs.
pub trait Gate: Clone + Send + Sync + 'static {
    /// Connects to an endpoint if other VMs may use this one for it.
    ///
    /// # Errors
    ///
    /// The answer to the other VM, which is never [`Reply::Open`].
    fn connect(
        &self,
        endpoint: &id::Endpoint,
    ) -> impl Future<Output = Result<TcpStream, Reply>> + Send;
}

/// Serves tunnels to other VMs.
#[derive(Debug, Clone)]
pub struct Server<G> {
    gate: G,
    free: Arc<Semaphore>,
    tunnels: TaskTracker,
}

impl<G: Gate> Server<G> {
    /// Creates a server that connects through `gate` and runs its tunnels in `tunnels`.
    #[must_use]
    pub fn new(gate: G, tunnels: TaskTracker) -> Self {
        Self {
            gate,
            free: Arc::new(Semaphore::new(MAX_TUNNELS)),
            tunnels,
        }
    }

    /// Serves until it is dropped. Tunnels that are open then live on.
    pub async fn run(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    let server = self.clone();
                    self.tunnels.spawn(async move {
                        if let Err(error) = server.serve(stream).await {
                            log::debug!("tunnel: Closed: {error}.");
                        }
                    });
                }
                Err(error) => {
                    log::warn!("tunnel: Connection not accepted: {error}.");
                    tokio::time::sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    async fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let mut reader = FramedRead::new(reader, message::codec());
        let mut writer = FramedWrite::new(writer, message::codec());
        let asked = tokio::time::timeout(REQUEST_TIMEOUT, reader.next()).await?;
        let Some(asked) = asked.transpose()? else {
            return Ok(());
        };
        let request: Request = postcard::from_bytes(&asked).map_err(io::Error::other)?;
        let Ok(_tunnel) = self.free.try_acquire() else {
            return reply(&mut writer, Reply::Busy).await;
        };
        let endpoint = match self.gate.connect(&request.endpoint).await {
            Ok(endpoint) => endpoint,
            Err(declined) => return reply(&mut writer, declined).await,
        };
        reply(&mut writer, Reply::Open).await?;
        let copied = copy(reader.into_inner(), writer, endpoint);
        tokio::time::timeout(request.lifetime.min(MAX_LIFETIME), copied).await?
    }
}

type Frames = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

async fn reply(writer: &mut Frames, reply: Reply) -> io::Result<()> {
    let bytes = message::encode(&reply).map_err(io::Error::other)?;
    writer.send(bytes).await
}

/// Copies both ways until the endpoint's response has ended or the other VM has closed the tunnel.
async fn copy(reader: OwnedReadHalf, writer: Frames, endpoint: TcpStream) -> io::Result<()> {
    let (response, request) = endpoint.into_split();
    tokio::select! {
        ended = send_frames(response, writer) => ended,
        closed = forward(reader, request) => closed,
    }
}

/// Sends the endpoint's bytes in frames, with an empty one at the regular end.
async fn send_frames(mut response: OwnedReadHalf, mut writer: Frames) -> io::Result<()> {
    let mut buffer = bytes::BytesMut::with_capacity(MAX_FRAME);
    loop {
        buffer.reserve(MAX_FRAME);
        let mut limited = (&mut response).take(MAX_FRAME as u64);
        limited.read_buf(&mut buffer).await?;
        let frame = buffer.split().freeze();
        let ended = frame.is_empty();
        writer.send(frame).await?;
        if ended {
            return Ok(());
        }
    }
}

/// Forwards the request's bytes until the other VM closes the tunnel. An endpoint that stops reading may
/// still send its response.
async fn forward(mut reader: OwnedReadHalf, request: OwnedWriteHalf) -> io::Result<()> {
    let mut request = Some(request);
    let mut buffer = vec![0; MAX_FRAME];
    loop {
        let length = reader.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        if let Some(open) = &mut request
            && let Err(error) = open.write_all(&buffer[..length]).await
        {
            log::debug!("tunnel: The endpoint stopped reading: {error}.");
            request = None;
        }
    }
}

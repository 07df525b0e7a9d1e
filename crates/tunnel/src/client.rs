//! The side that has the request.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::Stream;
use futures::StreamExt;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::io::Join;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;
use tokio_util::io::StreamReader;

use crate::message;
use crate::message::Reply;
use crate::message::Request;

/// A connection to an endpoint through another VM. Dropping it closes the connection to the endpoint.
pub type Tunnel = Join<StreamReader<Frames, Bytes>, OwnedWriteHalf>;

/// Why a tunnel was not opened. No byte reached the endpoint.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The other VM did not respond in time.
    #[snafu(display("the other VM did not respond in time"))]
    Timeout,
    /// The connection to the other VM failed.
    #[snafu(display("the connection to the other VM failed: {source}"))]
    Connection {
        /// What happened.
        source: io::Error,
    },
    /// A message can't be encoded or decoded.
    #[snafu(display("a message is malformed: {source}"))]
    Message {
        /// What is wrong with it.
        source: postcard::Error,
    },
    /// The other VM did not connect to the endpoint.
    #[snafu(display("the other VM did not connect: {}", reply.as_str()))]
    Declined {
        /// Its answer.
        reply: Reply,
    },
}

/// Opens a tunnel at the VM with this address, waiting at most for `timeout`.
///
/// # Errors
///
/// [`Error`]: no byte reached the endpoint.
pub async fn open(vm: SocketAddr, request: &Request, timeout: Duration) -> Result<Tunnel, Error> {
    match tokio::time::timeout(timeout, connect(vm, request)).await {
        Ok(opened) => opened,
        Err(_) => Err(Error::Timeout),
    }
}

async fn connect(vm: SocketAddr, request: &Request) -> Result<Tunnel, Error> {
    let stream = TcpStream::connect(vm).await.context(ConnectionSnafu)?;
    stream.set_nodelay(true).context(ConnectionSnafu)?;
    let (reader, writer) = stream.into_split();
    let mut writer = FramedWrite::new(writer, message::codec());
    let request = message::encode(request).context(MessageSnafu)?;
    writer.send(request).await.context(ConnectionSnafu)?;
    let mut frames = Frames {
        inner: FramedRead::new(reader, message::codec()),
        ended: false,
    };
    let reply = match frames.next().await {
        Some(reply) => reply.context(ConnectionSnafu)?,
        None => return Err(closed()).context(ConnectionSnafu),
    };
    match postcard::from_bytes(&reply).context(MessageSnafu)? {
        Reply::Open => Ok(tokio::io::join(
            StreamReader::new(frames),
            writer.into_inner(),
        )),
        reply => Err(Error::Declined { reply }),
    }
}

/// The content of the frames up to the empty one that marks the end.
#[derive(Debug)]
pub struct Frames {
    inner: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
    ended: bool,
}

impl Stream for Frames {
    type Item = io::Result<Bytes>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let frame = match ready!(self.inner.poll_next_unpin(cx)) {
            Some(Ok(frame)) if !frame.is_empty() => return Poll::Ready(Some(Ok(frame.freeze()))),
            Some(Ok(_)) => None,
            Some(Err(error)) => Some(Err(error)),
            None => Some(Err(closed())),
        };
        self.ended = true;
        Poll::Ready(frame)
    }
}

fn closed() -> io::Error {
    io::Error::new(
        io::ErrorKind::UnexpectedEof,
        "the other VM closed the tunnel",
    )
}

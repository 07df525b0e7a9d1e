//! Bodies of responses to callers: whole, or a stream that can't end cleanly by accident.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use snafu::Snafu;
use tokio::sync::mpsc;

/// Pieces that wait for a slow reader before the engine's stream is no longer read.
const WAITING: usize = 32;

/// The body of a response.
#[derive(Debug)]
pub enum ReplyBody {
    /// Known as a whole.
    Whole(Option<Bytes>),
    /// Comes piece by piece.
    Stream(Stream),
}

/// The reading end of a streamed body.
#[derive(Debug)]
pub struct Stream {
    pieces: mpsc::Receiver<Piece>,
    ended: bool,
}

#[derive(Debug)]
enum Piece {
    Data(Bytes),
    End,
}

/// The writing end of a streamed body. Dropped without [`Writer::end`], it breaks the connection,
/// so that a caller can't take a part for the whole.
#[derive(Debug)]
pub struct Writer {
    pieces: mpsc::Sender<Piece>,
}

/// The writer went away before the end.
#[derive(Debug, Snafu)]
#[snafu(display("the answer broke off"))]
pub struct Truncated;

/// The reader went away.
#[derive(Debug, Snafu)]
#[snafu(display("the caller went away"))]
pub struct Disconnected;

impl ReplyBody {
    /// A whole body.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// A streamed body and its writer.
    #[must_use]
    pub fn stream() -> (Writer, Self) {
        let (sender, pieces) = mpsc::channel(WAITING);
        let stream = Stream {
            pieces,
            ended: false,
        };
        (Writer { pieces: sender }, Self::Stream(stream))
    }
}

impl Writer {
    /// Sends a piece, waiting for a slow reader.
    ///
    /// # Errors
    ///
    /// [`Disconnected`] if the reader went away.
    pub async fn send(&self, data: impl Into<Bytes>) -> Result<(), Disconnected> {
        let piece = Piece::Data(data.into());
        self.pieces.send(piece).await.map_err(|_| Disconnected)
    }

    /// Ends the body cleanly.
    ///
    /// # Errors
    ///
    /// [`Disconnected`] if the reader went away.
    pub async fn end(self) -> Result<(), Disconnected> {
        self.pieces.send(Piece::End).await.map_err(|_| Disconnected)
    }

    /// Returns once the reader went away.
    pub async fn disconnected(&self) {
        self.pieces.closed().await;
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Self::Stream(stream) => stream.poll(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream(stream) => stream.ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            Self::Whole(None) => SizeHint::with_exact(0),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

impl Stream {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        if self.ended {
            return Poll::Ready(None);
        }
        self.pieces.poll_recv(cx).map(|piece| match piece {
            Some(Piece::Data(data)) => Some(Ok(Frame::data(data))),
            Some(Piece::End) => {
                self.ended = true;
                None
            }
            None => {
                self.ended = true;
                Some(Err(Truncated))
            }
        })
    }
}

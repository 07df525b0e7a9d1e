//! Bodies of responses to callers: complete ones, and streams that are never truncated unnoticed.

use std::future::ready;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use snafu::Snafu;
use tokio::sync::mpsc;

use crate::unread::Backlog;
use crate::unread::MAX_PIECE_BYTES;
use crate::unread::Unread;

/// The body of a response.
#[derive(Debug)]
pub enum ReplyBody {
    /// A complete body; `None` once it has been sent.
    Whole(Option<Bytes>),
    /// A streamed body.
    Stream(Stream),
}

/// The reading end of a streamed body.
#[derive(Debug)]
pub struct Stream {
    pieces: mpsc::UnboundedReceiver<Piece>,
    ended: bool,
}

#[derive(Debug)]
enum Piece {
    Data(Bytes),
    End,
}

/// The writing end of a streamed body. If it is dropped without [`Writer::end`], the connection is
/// broken off, so that callers can't mistake a partial body for a complete one.
#[derive(Debug)]
pub struct Writer {
    /// Bounded by the backlog, in bytes.
    pieces: mpsc::UnboundedSender<Piece>,
    backlog: Arc<Backlog>,
}

/// The writer was dropped before the end of the body.
#[derive(Debug, Snafu)]
#[snafu(display("the response body ended before it was complete"))]
pub struct Truncated;

/// The reader of the body was dropped.
#[derive(Debug, Snafu)]
#[snafu(display("the caller disconnected"))]
pub struct Disconnected;

impl ReplyBody {
    /// Creates a complete body.
    #[must_use]
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }

    /// Creates a streamed body and its writer.
    #[must_use]
    pub fn stream() -> (Writer, Self) {
        Self::stream_within(&Unread::default())
    }

    /// The same for a caller of a VM, with the limits on what it buffers for all of them.
    #[must_use]
    pub fn stream_within(unread: &Unread) -> (Writer, Self) {
        let (sender, pieces) = mpsc::unbounded_channel();
        let stream = Stream {
            pieces,
            ended: false,
        };
        let writer = Writer {
            pieces: sender,
            backlog: Arc::new(Backlog::new(unread.clone())),
        };
        (writer, Self::Stream(stream))
    }
}

impl Writer {
    /// Sends a piece. Waits while there is no room for it.
    ///
    /// # Errors
    ///
    /// [`Disconnected`] if the reader was dropped.
    pub async fn send(&self, data: impl Into<Bytes>) -> Result<(), Disconnected> {
        let mut data = data.into();
        while !data.is_empty() {
            let piece = data.split_to(data.len().min(MAX_PIECE_BYTES));
            let admitted = tokio::select! {
                biased;
                () = self.pieces.closed() => return Err(Disconnected),
                admitted = self.backlog.admit(piece) => admitted,
            };
            let sent = self.pieces.send(Piece::Data(admitted));
            sent.map_err(|_| Disconnected)?;
        }
        Ok(())
    }

    /// Ends the body cleanly.
    ///
    /// # Errors
    ///
    /// [`Disconnected`] if the reader was dropped.
    pub fn end(self) -> impl Future<Output = Result<(), Disconnected>> {
        ready(self.pieces.send(Piece::End).map_err(|_| Disconnected))
    }

    /// How long the caller's slow reading has held the writer back, if that isn't over for longer than
    /// `within`.
    #[must_use]
    pub fn held_back(&self, within: Duration) -> Duration {
        self.backlog.held_back(within)
    }

    /// Waits until the reader is dropped.
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

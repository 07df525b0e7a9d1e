//! How far a connection has come with its requests.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering::Relaxed;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::Request;
use hyper::Version;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

use crate::body::ReplyBody;
use crate::body::Truncated;

/// What a connection is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Stage {
    /// Nothing has been read yet.
    New,
    /// The head of a request has been read in part.
    Reading,
    /// A request is being answered.
    Serving,
    /// The last answer is complete, and not all of it has been written.
    Writing,
    /// The last answer has been written.
    Idle,
    /// The last answer was broken off.
    Cut,
    /// The writing side is shut down.
    Closed,
}

const STAGES: [Stage; 7] = [
    Stage::New,
    Stage::Reading,
    Stage::Serving,
    Stage::Writing,
    Stage::Idle,
    Stage::Cut,
    Stage::Closed,
];

/// The progress of one connection, noted by its socket, its service and the bodies of its answers.
#[derive(Debug, Default)]
pub struct Progress {
    stage: AtomicU8,
    unread: AtomicBool,
    unframed: AtomicBool,
}

impl Progress {
    /// What the connection is at.
    pub fn stage(&self) -> Stage {
        STAGES[usize::from(self.stage.load(Relaxed))]
    }

    /// Whether the caller may have sent bytes that are left unread when the connection ends.
    pub fn unread(&self) -> bool {
        self.unread.load(Relaxed)
    }

    /// Whether an answer was broken off whose end is told by the end of the connection alone.
    pub fn looks_complete(&self) -> bool {
        self.stage() == Stage::Cut && self.unframed.load(Relaxed)
    }

    /// Notes that bytes were read.
    pub fn read(&self) {
        match self.stage() {
            Stage::New | Stage::Idle => self.enter(Stage::Reading),
            Stage::Serving | Stage::Writing => self.unread.store(true, Relaxed),
            Stage::Reading | Stage::Cut | Stage::Closed => {}
        }
    }

    /// Notes that a request is handed over.
    pub fn serve(&self, request: &Request<Incoming>) {
        self.enter(Stage::Serving);
        self.unread.store(!request.body().is_end_stream(), Relaxed);
        self.unframed
            .store(request.version() == Version::HTTP_10, Relaxed);
    }

    /// Notes that all that has been handed to the socket is written.
    pub fn flushed(&self) {
        if self.stage() == Stage::Writing {
            self.enter(Stage::Idle);
        }
    }

    /// Notes that the answer under way is broken off.
    pub fn cut(&self) {
        if matches!(self.stage(), Stage::Serving | Stage::Writing) {
            self.enter(Stage::Cut);
        }
    }

    /// Notes that the writing side is shut down.
    pub fn close(&self) {
        self.enter(Stage::Closed);
    }

    /// Notes that all that was read has been answered, if no request is in hand.
    pub fn settle(&self) {
        if self.stage() == Stage::Idle {
            self.unread.store(false, Relaxed);
        }
    }

    fn complete(&self) {
        if self.stage() == Stage::Serving {
            self.enter(Stage::Writing);
        }
    }

    fn enter(&self, stage: Stage) {
        self.stage.store(stage as u8, Relaxed);
    }
}

/// The body of an answer, whose end is noted.
#[derive(Debug)]
pub struct Tracked {
    body: ReplyBody,
    progress: Arc<Progress>,
}

impl Tracked {
    /// Wraps `body`.
    pub const fn new(body: ReplyBody, progress: Arc<Progress>) -> Self {
        Self { body, progress }
    }
}

impl Drop for Tracked {
    fn drop(&mut self) {
        self.progress.complete();
    }
}

impl Body for Tracked {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let tracked = self.get_mut();
        let frame = Pin::new(&mut tracked.body).poll_frame(cx);
        if let Poll::Ready(Some(Err(Truncated))) = frame {
            tracked.progress.cut();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

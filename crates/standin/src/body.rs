//! Bodies of answers: whole, or a stream of events to which faults can be done.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;

use crate::fault::Mangle;

/// The body of an answer.
#[derive(Debug)]
pub enum Body {
    /// All of it at once.
    Whole(Bytes),
    /// Event by event.
    Events(Events),
}

/// Events in the order in which they are made, with the faults done to them on the way.
#[derive(Debug)]
pub struct Events {
    source: mpsc::Receiver<Bytes>,
    mangle: Mangle,
    number: u64,
    sent: u64,
    flushed: bool,
    held: Option<Bytes>,
    ready: VecDeque<Bytes>,
}

impl Body {
    /// A stream of the events that come by `source`.
    #[must_use]
    pub fn events(source: mpsc::Receiver<Bytes>) -> Self {
        Self::Events(Events {
            source,
            mangle: Mangle::default(),
            number: 0,
            sent: 0,
            flushed: false,
            held: None,
            ready: VecDeque::new(),
        })
    }

    /// Does faults to the body. A whole one can only be cut, in its middle.
    #[must_use]
    pub fn mangled(self, mangle: Mangle) -> Self {
        match self {
            Self::Events(events) => Self::Events(Events { mangle, ..events }),
            Self::Whole(bytes) if mangle.cut.is_some() => Self::half(&bytes),
            whole @ Self::Whole(_) => whole,
        }
    }

    fn half(bytes: &Bytes) -> Self {
        let (sender, source) = mpsc::channel(1);
        // The channel is new and has room for one.
        let _ = sender.try_send(bytes.slice(..bytes.len() / 2));
        let mangle = Mangle {
            cut: Some(1),
            ..Mangle::default()
        };
        Self::events(source).mangled(mangle)
    }
}

impl Events {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        loop {
            if self.mangle.cut.is_some_and(|after| self.sent >= after) {
                if self.flushed {
                    let error = io::Error::other("cut by the fault table");
                    return Poll::Ready(Some(Err(error)));
                }
                // An error makes the server drop what it has not written yet, so that it must get
                // a turn to write the events before the cut.
                self.flushed = true;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            if self.mangle.stall.is_some_and(|event| self.sent >= event) {
                // Nobody wakes this task again: the stream stands still until its reader leaves.
                return Poll::Pending;
            }
            if let Some(bytes) = self.ready.pop_front() {
                self.sent += 1;
                return Poll::Ready(Some(Ok(bytes)));
            }
            let Some(bytes) = ready!(self.source.poll_recv(context)) else {
                let Some(bytes) = self.held.take() else {
                    return Poll::Ready(None);
                };
                self.ready.push_back(bytes);
                continue;
            };
            self.take(bytes);
        }
    }

    fn take(&mut self, bytes: Bytes) {
        let number = self.number;
        self.number += 1;
        if self.mangle.skip.contains(&number) {
            return;
        }
        if self.mangle.reorder.contains(&number) && self.held.is_none() {
            self.held = Some(bytes);
            return;
        }
        if self.mangle.duplicate.contains(&number) {
            self.ready.push_back(bytes.clone());
        }
        self.ready.push_back(bytes);
        self.ready.extend(self.held.take());
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Events(events) => {
                let next = ready!(events.poll(context));
                Poll::Ready(next.map(|bytes| bytes.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Events(_) => SizeHint::default(),
        }
    }
}

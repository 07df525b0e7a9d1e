//! Response bodies: whole, or a stream of events into which faults can be injected.

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

use crate::fault::StreamFaults;

/// The body of a response.
#[derive(Debug)]
pub enum Body {
    /// A body sent at once.
    Whole(Bytes),
    /// A stream of events.
    Events(Events),
}

/// A stream of events with injected faults.
#[derive(Debug)]
pub struct Events {
    source: mpsc::Receiver<Bytes>,
    faults: StreamFaults,
    number: u64,
    sent: u64,
    flushed: bool,
    delayed: Option<Bytes>,
    ready: VecDeque<Bytes>,
}

impl Body {
    /// A stream of the events received from `source`.
    #[must_use]
    pub fn events(source: mpsc::Receiver<Bytes>) -> Self {
        Self::Events(Events {
            source,
            faults: StreamFaults::default(),
            number: 0,
            sent: 0,
            flushed: false,
            delayed: None,
            ready: VecDeque::new(),
        })
    }

    /// Injects faults into the body. A whole body is cut in its middle; the other faults apply only
    /// to streams.
    #[must_use]
    pub fn with_faults(self, faults: StreamFaults) -> Self {
        match self {
            Self::Events(events) => Self::Events(Events { faults, ..events }),
            Self::Whole(bytes) if faults.cut.is_some() => Self::half(&bytes),
            whole @ Self::Whole(_) => whole,
        }
    }

    fn half(bytes: &Bytes) -> Self {
        let (sender, source) = mpsc::channel(1);
        // This can't fail: the channel is new and has capacity for one event.
        let _ = sender.try_send(bytes.slice(..bytes.len() / 2));
        let faults = StreamFaults {
            cut: Some(1),
            ..StreamFaults::default()
        };
        Self::events(source).with_faults(faults)
    }
}

impl Events {
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        loop {
            if self.faults.cut.is_some_and(|after| self.sent >= after) {
                if self.flushed {
                    let error = io::Error::other("cut by the fault table");
                    return Poll::Ready(Some(Err(error)));
                }
                // An error makes the server drop what it has not written yet. Yield once, so that
                // it writes the events before the cut.
                self.flushed = true;
                context.waker().wake_by_ref();
                return Poll::Pending;
            }
            if self.faults.stall.is_some_and(|event| self.sent >= event) {
                // Nothing wakes this task again, so the stream stalls until its reader disconnects.
                return Poll::Pending;
            }
            if let Some(bytes) = self.ready.pop_front() {
                self.sent += 1;
                return Poll::Ready(Some(Ok(bytes)));
            }
            let Some(bytes) = ready!(self.source.poll_recv(context)) else {
                let Some(bytes) = self.delayed.take() else {
                    return Poll::Ready(None);
                };
                self.ready.push_back(bytes);
                continue;
            };
            self.push(bytes);
        }
    }

    fn push(&mut self, bytes: Bytes) {
        let number = self.number;
        self.number += 1;
        if self.faults.skip.contains(&number) {
            return;
        }
        if self.faults.reorder.contains(&number) && self.delayed.is_none() {
            self.delayed = Some(bytes);
            return;
        }
        if self.faults.duplicate.contains(&number) {
            self.ready.push_back(bytes.clone());
        }
        self.ready.push_back(bytes);
        self.ready.extend(self.delayed.take());
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

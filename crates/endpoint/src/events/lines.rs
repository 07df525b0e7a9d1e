//! The lines of an event stream, each scanned once.
//!
//! The parser of events searches all that it holds each time that bytes arrive and moves what follows a line. It gets
//! one whole line at a time, so that an endless line, or many short ones, cost no more than their length.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use futures::Stream;
use futures::StreamExt;
use futures::ready;
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use snafu::Snafu;

/// Maximum size of an event in bytes, with the comments before it. Events hold a few tokens; without a limit, an
/// endpoint that never ends an event would exhaust the memory.
const MAX_EVENT_BYTES: usize = 128 << 10;

/// Why there is no further line.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The connection failed.
    #[snafu(transparent)]
    Connection {
        /// What happened.
        source: hyper::Error,
    },
    /// An event, or what was received of it, exceeds the maximum size.
    #[snafu(display("an event has over {MAX_EVENT_BYTES} bytes"))]
    TooLong,
}

/// The lines of a body, with their ends, and at last what follows the last one.
#[derive(Debug)]
pub struct Lines {
    body: BodyDataStream<Incoming>,
    buffer: BytesMut,
    /// Leading bytes of the buffer that contain no end of a line.
    searched: usize,
    /// Bytes of the lines since the last event.
    passed: usize,
    /// Whether one of these lines has data.
    has_data: bool,
}

impl Lines {
    pub fn new(body: Incoming) -> Self {
        Self {
            body: BodyDataStream::new(body),
            buffer: BytesMut::new(),
            searched: 0,
            passed: 0,
            has_data: false,
        }
    }

    /// Removes the next whole line. A carriage return ends a line, and a line feed after it belongs to it.
    fn next_line(&mut self) -> Option<Bytes> {
        let rest = &self.buffer[self.searched..];
        let Some(end) = rest.iter().position(|byte| matches!(byte, b'\n' | b'\r')) else {
            self.searched = self.buffer.len();
            return None;
        };
        let end = self.searched + end;
        let length = match self.buffer[end..] {
            // A line feed may follow.
            [b'\r'] => return None,
            [b'\r', b'\n', ..] => end + 2,
            _ => end + 1,
        };
        let line = self.buffer.split_to(length).freeze();
        self.searched = 0;
        self.count(&line, end);
        Some(line)
    }

    /// Counts a line of this length without its end. An empty one ends an event.
    fn count(&mut self, line: &[u8], length: usize) {
        self.passed += line.len();
        self.has_data |= line.starts_with(b"data:") || line[..length] == *b"data";
        if length == 0 && self.has_data {
            (self.passed, self.has_data) = (0, false);
        }
    }
}

impl Stream for Lines {
    type Item = Result<Bytes, Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            let line = self.next_line();
            if self.passed + self.searched > MAX_EVENT_BYTES {
                return Poll::Ready(Some(Err(Error::TooLong)));
            }
            if let Some(line) = line {
                return Poll::Ready(Some(Ok(line)));
            }
            match ready!(self.body.poll_next_unpin(cx)) {
                Some(Ok(data)) => self.buffer.extend_from_slice(&data),
                Some(Err(error)) => return Poll::Ready(Some(Err(error.into()))),
                None if self.buffer.is_empty() => return Poll::Ready(None),
                None => {
                    self.searched = 0;
                    return Poll::Ready(Some(Ok(self.buffer.split().freeze())));
                }
            }
        }
    }
}

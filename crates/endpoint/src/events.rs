//! Decodes a streamed response from a connection.

mod lines;

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use compact_str::CompactString;
use compact_str::ToCompactString;
use compact_str::format_compact;
use eventsource_stream::EventStream;
use eventsource_stream::EventStreamError;
use futures::Stream;
use futures::ready;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use pimento_wire::api::Chunk;
use pimento_wire::api::DONE;

use self::lines::Lines;
use crate::client::broken;
use crate::engine::Event;
use crate::fault::Fault;

/// The events of one attempt. Dropping it closes the connection, so that late data of a cancelled
/// attempt is never read.
pub struct Events {
    inner: EventStream<Lines>,
    /// One more than the highest chunk number received.
    chunk_count: u64,
}

impl Events {
    pub(crate) fn new(response: Response<Incoming>) -> Result<Self, Fault> {
        let content = response.headers().get(CONTENT_TYPE);
        let is_event_stream =
            content.is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"));
        if !is_event_stream {
            return Err(Fault::Invalid {
                reason: CompactString::const_new("the response is not an event stream"),
            });
        }
        Ok(Self {
            inner: EventStream::new(Lines::new(response.into_body())),
            chunk_count: 0,
        })
    }

    fn decode(&mut self, event: &eventsource_stream::Event) -> Result<Event, Fault> {
        if event.data == DONE {
            return Ok(Event::Done {
                sequence: self.chunk_count,
            });
        }
        let sequence: u64 = event.id.parse().map_err(|_| Fault::Invalid {
            reason: format_compact!("the event's id {:?} is not a number", event.id),
        })?;
        let chunk: Chunk = serde_json::from_str(&event.data).map_err(|error| Fault::Invalid {
            reason: error.to_compact_string(),
        })?;
        self.chunk_count = self.chunk_count.max(sequence.saturating_add(1));
        Ok(Event::Chunk { sequence, chunk })
    }
}

impl Stream for Events {
    type Item = Result<Event, Fault>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let item = match ready!(Pin::new(&mut self.inner).poll_next(cx)) {
            None => None,
            Some(Ok(event)) => Some(self.decode(&event)),
            Some(Err(EventStreamError::Transport(lines::Error::Connection { source }))) => {
                Some(Err(broken(&source)))
            }
            Some(Err(error)) => Some(Err(Fault::Invalid {
                reason: error.to_compact_string(),
            })),
        };
        Poll::Ready(item)
    }
}

//! A stream from one endpoint.

use std::sync::Arc;
use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_scheduler::Permit;
use tokio::time::Instant;

use crate::connection::ResponseBody;
use crate::events::Event;
use crate::events::Splitter;
use crate::links::Links;
use crate::table::Route;

/// Time without an event after which another endpoint resumes a stream, if the route sets no target for the
/// time between events. An engine that prefills long prompts between the tokens of other requests, or
/// preempts requests, may pause for over a second; callers disconnect after eight.
pub const DEFAULT_EVENT_TIMEOUT: Duration = Duration::from_secs(4);

/// Share of a route's target for the time between events after which another endpoint resumes a stream. The
/// rest of the target is for the other engine's prefill. Without this timeout, a stream whose endpoint
/// stalls would be late by seconds. A stream that would have continued on its own loses little by the move,
/// since it would have missed the target a moment later anyway.
const EVENT_TIMEOUT_SHARE: f64 = 0.8;

/// Minimum event timeout, regardless of the route: some ten steps of an engine that prefills a chunk of a
/// long prompt in each step.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of events that were received before, in bytes, between two new ones. A resumed run may repeat a
/// whole answer of some thousand events. Repeated events are dropped at once and take no memory.
const MAX_REPEATED_BYTES: usize = 1 << 20;

/// A stream from one endpoint.
#[derive(Debug)]
pub struct Source {
    /// The endpoint's slot.
    pub permit: Permit,
    body: ResponseBody,
    splitter: Splitter,
    links: Arc<Links>,
    /// Timeout for an event after the first.
    event_timeout: Duration,
    /// Whether an event was received.
    begun: bool,
    /// Id of the last event, of this run or one before it.
    last_event_id: Option<u64>,
    /// Bytes of repeated events since the last new one.
    repeated: usize,
    /// Time waited for data since the last new event. The time in which a caller did not read is not part of it.
    waited: Duration,
}

/// The next item of a source.
pub enum Item {
    /// An event that was not received before.
    Event(Event),
    /// The regular end.
    End,
}

impl Source {
    /// The stream that a response carries, which goes on after the event with this id.
    pub fn new(
        permit: Permit,
        body: ResponseBody,
        route: &Route,
        last_event_id: Option<u64>,
        links: Arc<Links>,
    ) -> Self {
        let timeout = route
            .max_event_gap
            .map(|gap| gap.mul_f64(EVENT_TIMEOUT_SHARE));
        Self {
            permit,
            body,
            splitter: Splitter::default(),
            links,
            event_timeout: timeout.map_or(DEFAULT_EVENT_TIMEOUT, |timeout| {
                timeout.clamp(MIN_EVENT_TIMEOUT, DEFAULT_EVENT_TIMEOUT)
            }),
            begun: false,
            last_event_id,
            repeated: 0,
            waited: Duration::ZERO,
        }
    }

    /// Time without an event after which the run counts as silent. The first event takes longer than later
    /// ones, since it waits for the prefill.
    pub const fn timeout(&self) -> Duration {
        if self.begun {
            self.event_timeout
        } else {
            DEFAULT_EVENT_TIMEOUT
        }
    }

    /// The next new event, or the regular end; [`Fault::Timeout`] if the run is silent.
    pub async fn next(&mut self) -> Result<Item, Fault> {
        self.next_within(self.timeout().saturating_sub(self.waited))
            .await
    }

    /// The same, with this timeout. No data is lost if the future is dropped. Comments and repeated events don't
    /// end a silence.
    pub async fn next_within(&mut self, timeout: Duration) -> Result<Item, Fault> {
        let due = Instant::now() + timeout;
        let mut polled = false;
        loop {
            if let Some(event) = self.next_new_event()? {
                self.record_event(event.id);
                return Ok(Item::Event(event));
            }
            let began = Instant::now();
            // Data that always arrives in time would keep the timeout from being noticed.
            if polled && began >= due {
                return Err(Fault::Timeout);
            }
            polled = true;
            let data = tokio::time::timeout_at(due, self.body.next()).await;
            self.waited += began.elapsed();
            match data.unwrap_or(Err(Fault::Timeout))? {
                Some(data) => self.splitter.push(&data),
                None => return self.end().await,
            }
        }
    }

    /// Whether nothing but the end of the connection shows the end of the stream.
    pub const fn ends_with_connection(&self) -> bool {
        self.body.ends_with_connection()
    }

    /// Takes events up to the first new one.
    fn next_new_event(&mut self) -> Result<Option<Event>, Fault> {
        while let Some(event) = self.splitter.next_event().map_err(|e| invalid(&e))? {
            if !self.is_repeated(&event) {
                return Ok(Some(event));
            }
            self.repeated += event.bytes.len();
            if self.repeated > MAX_REPEATED_BYTES {
                return Err(invalid(&"the stream repeats events"));
            }
        }
        Ok(None)
    }

    fn is_repeated(&self, event: &Event) -> bool {
        event.id.is_some_and(|id| Some(id) <= self.last_event_id)
    }

    async fn end(&mut self) -> Result<Item, Fault> {
        if self.splitter.has_partial_event() {
            return Err(Fault::Interrupted {
                reason: "the stream ended within an event".into(),
            });
        }
        if self.begun
            && let Some(rest) = self.splitter.take_rest()
        {
            return Ok(Item::Event(rest));
        }
        if self.body.ends_with_connection() {
            self.links.check_end(&self.permit).await?;
        }
        Ok(Item::End)
    }

    /// Closes the connection, which stops the endpoint's work, and returns the slot.
    pub fn close(self) -> Permit {
        self.permit
    }

    fn record_event(&mut self, id: Option<u64>) {
        self.last_event_id = id.or(self.last_event_id);
        self.repeated = 0;
        self.waited = Duration::ZERO;
        self.permit.end_silence();
        if !self.begun {
            self.begun = true;
            self.permit.record_first_token();
        }
    }
}

fn invalid(reason: &impl ToString) -> Fault {
    Fault::Invalid {
        reason: reason.to_string().into(),
    }
}

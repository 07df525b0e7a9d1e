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
}

/// The next item of a source.
pub enum Item {
    /// An event.
    Event(Event),
    /// The regular end.
    End,
}

impl Source {
    /// The stream that a response carries.
    pub fn new(permit: Permit, body: ResponseBody, route: &Route, links: Arc<Links>) -> Self {
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

    /// The next complete event, or the regular end; [`Fault::Timeout`] if the run is silent.
    pub async fn next(&mut self) -> Result<Item, Fault> {
        self.next_within(self.timeout()).await
    }

    /// The same, with this timeout. No data is lost if the future is dropped.
    pub async fn next_within(&mut self, timeout: Duration) -> Result<Item, Fault> {
        let due = Instant::now() + timeout;
        loop {
            if let Some(event) = self.splitter.next_event() {
                self.record_event();
                return Ok(Item::Event(event));
            }
            let data = tokio::time::timeout_at(due, self.body.next()).await;
            match data.unwrap_or(Err(Fault::Timeout))? {
                Some(data) => self.splitter.push(&data).map_err(|error| Fault::Invalid {
                    reason: error.to_string().into(),
                })?,
                None if self.splitter.has_partial_event() => {
                    return Err(Fault::Interrupted {
                        reason: "the stream ended within an event".into(),
                    });
                }
                None => {
                    if self.body.ends_with_connection() {
                        self.links.check_end(&self.permit).await?;
                    }
                    return Ok(Item::End);
                }
            }
        }
    }

    /// Whether nothing but the end of the connection shows the end of the stream.
    pub const fn ends_with_connection(&self) -> bool {
        self.body.ends_with_connection()
    }

    /// Closes the connection, which stops the endpoint's work, and returns the slot.
    pub fn close(self) -> Permit {
        self.permit
    }

    fn record_event(&mut self) {
        self.permit.end_silence();
        if !self.begun {
            self.begun = true;
            self.permit.record_first_token();
        }
    }
}

//! Forwards streams of server-sent events. Each event is forwarded once and in order, and another endpoint
//! resumes a broken stream within the same response.
//!
//! The caller gets the response's head with the first event. Until then, a response may be dropped and the
//! request sent again. Afterwards the head and signature of the first endpoint remain, and a new attempt
//! resumes after the last forwarded event. A stream that can't be completed is aborted, so that the caller
//! never takes it for complete.

use std::time::Duration;

use bytes::BytesMut;
use hyper::Response;
use hyper::StatusCode;
use hyper::http::response;
use pimento_endpoint::Fault;
use pimento_scheduler::Permit;
use pimento_serve::ReplyBody;
use pimento_serve::Writer;
use pimento_serve::body::Disconnected;
use pimento_units::Tokens;
use tokio::time::Instant;

use crate::admitted::AdmittedRequest;
use crate::attempts::Attempts;
use crate::attempts::Opened;
use crate::attempts::Overrides;
use crate::cascade;
use crate::codec::Codec;
use crate::connection::ResponseBody;
use crate::events::Event;
use crate::events::Splitter;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::node::millis;
use crate::refusal::Cause;
use crate::refusal::Refusal;
use crate::table::Route;
use crate::topic::Log;

/// Time without an event after which another endpoint resumes a stream, if the route sets no target for the
/// time between events. An engine that prefills long prompts between the tokens of other requests, or
/// preempts requests, may pause for over a second; callers disconnect after eight.
const DEFAULT_EVENT_TIMEOUT: Duration = Duration::from_secs(4);

/// Share of a route's target for the time between events after which another endpoint resumes a stream. The
/// rest of the target is for the other engine's prefill. Without this timeout, a stream whose endpoint
/// stalls would be late by seconds. A stream that would have continued on its own loses little by the move,
/// since it would have missed the target a moment later anyway.
const EVENT_TIMEOUT_SHARE: f64 = 0.8;

/// Minimum event timeout, regardless of the route: some ten steps of an engine that prefills a chunk of a
/// long prompt in each step.
const MIN_EVENT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of an error response's body, in bytes. It is buffered to be forwarded.
const MAX_ERROR_BODY_BYTES: usize = 64 << 10;

/// A stream from one endpoint.
#[derive(Debug)]
struct Source {
    permit: Permit,
    body: ResponseBody,
    splitter: Splitter,
    /// Timeout for the next event.
    event_timeout: Duration,
}

/// The next item of a source.
enum Item {
    Event(Event),
    End,
}

impl Source {
    fn new(permit: Permit, body: ResponseBody, route: &Route) -> Self {
        let timeout = route
            .max_event_gap
            .map(|gap| gap.mul_f64(EVENT_TIMEOUT_SHARE));
        Self {
            permit,
            body,
            splitter: Splitter::default(),
            event_timeout: timeout.map_or(DEFAULT_EVENT_TIMEOUT, |timeout| {
                timeout.clamp(MIN_EVENT_TIMEOUT, DEFAULT_EVENT_TIMEOUT)
            }),
        }
    }

    /// The next complete event, or the regular end.
    async fn next(&mut self) -> Result<Item, Fault> {
        self.next_within(self.event_timeout).await
    }

    /// The first complete event, or the regular end. The first event takes longer than later ones, since it
    /// waits for the prefill.
    async fn first(&mut self, left: Duration) -> Result<Item, Fault> {
        self.next_within(left.min(DEFAULT_EVENT_TIMEOUT)).await
    }

    async fn next_within(&mut self, timeout: Duration) -> Result<Item, Fault> {
        loop {
            if let Some(event) = self.splitter.next_event() {
                return Ok(Item::Event(event));
            }
            let data = tokio::time::timeout(timeout, self.body.next()).await;
            match data.unwrap_or(Err(Fault::Timeout))? {
                Some(data) => self.splitter.push(&data).map_err(|error| Fault::Invalid {
                    reason: error.to_string().into(),
                })?,
                None if self.splitter.has_partial_event() => {
                    return Err(Fault::Invalid {
                        reason: "the stream ended within an event".into(),
                    });
                }
                None => return Ok(Item::End),
            }
        }
    }
}

/// A stream whose first event was received.
struct StartedStream {
    head: response::Parts,
    source: Source,
    event: Event,
    /// The model's confidence in its answer, from 0 to 100.
    confidence: Option<u8>,
}

/// The start of an endpoint's response.
enum FirstResponse {
    /// A stream, with its first event.
    Stream(Box<StartedStream>),
    /// An error response, to be forwarded if no other response follows.
    Error(Response<ReplyBody>),
}

/// Handles a request for a stream.
///
/// # Errors
///
/// A [`Refusal`] if no endpoint answered.
pub async fn serve<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    request: AdmittedRequest,
) -> Result<Response<ReplyBody>, Refusal> {
    let mut attempts = Attempts::new(node, &request);
    let mut error: Option<Response<ReplyBody>> = None;
    let mut dropped = None;
    let mut overrides = Overrides {
        model: cascade::first_model(&request),
        last_event_id: None,
    };
    let (mut head, source, first) = loop {
        let opened = match attempts.open(&overrides).await {
            Ok(opened) => opened,
            Err(refusal) => return error.ok_or(refusal),
        };
        match read_start(&mut attempts, node, &request, opened).await {
            Ok(Some(FirstResponse::Stream(started))) => {
                let confidence = started.confidence;
                let larger =
                    cascade::choose_larger(&attempts, &overrides, confidence, &mut dropped);
                let Some(model) = larger else {
                    break (started.head, started.source, started.event);
                };
                overrides.model = Some(model);
            }
            Ok(Some(FirstResponse::Error(response))) => {
                if !attempts.may_retry() {
                    return Ok(response);
                }
                error = Some(response);
            }
            Ok(None) => {}
            Err(refusal) => return error.ok_or(refusal),
        }
    };
    let state = attempts.into_state();
    node.platform.strip_connection_headers(&mut head.headers);
    let took = node.now().since(request.began);
    node.metrics
        .observe_first_byte(&request.grant.route.name, took);
    let (writer, reply) = ReplyBody::stream();
    let node = node.clone();
    let tasks = node.response_tasks.clone();
    tasks.spawn(async move {
        let attempts = Attempts::with_state(&node, &request, state);
        let mut stream = Stream {
            node: &node,
            request: &request,
            attempts,
            overrides,
            last_event_id: request.info.last_event_id,
            events: 0,
        };
        stream.run(writer, source, first).await;
    });
    Ok(Response::from_parts(head, reply))
}

/// Reads a response up to its first event. Returns none if the attempt failed and another one may be made.
async fn read_start<P: HeaderCodec + Codec, L: Log>(
    attempts: &mut Attempts<'_, P, L>,
    node: &Node<P, L>,
    request: &AdmittedRequest,
    opened: Opened,
) -> Result<Option<FirstResponse>, Refusal> {
    let Opened {
        permit,
        response,
        info,
    } = opened;
    let (mut head, mut body) = (response.head, response.body);
    let left = request.left(node.now());
    if head.status != StatusCode::OK {
        let read = tokio::time::timeout(left, collect(&mut body)).await;
        return match read.unwrap_or(Err(Fault::Timeout)) {
            Ok(bytes) => {
                attempts.record_result(&permit, head.status.is_server_error());
                attempts.response_complete(head.status);
                // The endpoint has the prompt in its cache, so the scheduler would prefer it for the next
                // attempt.
                attempts.avoid(permit.endpoint());
                permit.failed(&Fault::Failed {
                    status: head.status.as_u16(),
                });
                node.platform.strip_connection_headers(&mut head.headers);
                let response = Response::from_parts(head, ReplyBody::whole(bytes));
                Ok(Some(FirstResponse::Error(response)))
            }
            Err(fault) => attempts.attempt_failed(permit, &fault).map(|()| None),
        };
    }
    let mut source = Source::new(permit, body, &request.grant.route);
    match source.first(left).await {
        Ok(Item::Event(event)) => {
            source.permit.record_first_token();
            attempts.record_result(&source.permit, false);
            Ok(Some(FirstResponse::Stream(Box::new(StartedStream {
                head,
                source,
                event,
                confidence: info.confidence,
            }))))
        }
        Ok(Item::End) => {
            let fault = Fault::Invalid {
                reason: "the stream has no event".into(),
            };
            attempts
                .attempt_failed(source.permit, &fault)
                .map(|()| None)
        }
        Err(fault) => attempts
            .attempt_failed(source.permit, &fault)
            .map(|()| None),
    }
}

async fn collect(body: &mut ResponseBody) -> Result<Vec<u8>, Fault> {
    let mut bytes = Vec::new();
    while let Some(data) = body.next().await? {
        if bytes.len() + data.len() > MAX_ERROR_BODY_BYTES {
            return Err(Fault::Invalid {
                reason: "the body of an error response is too long".into(),
            });
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}

/// Maximum time for which an event is buffered to be sent together with the following ones. An engine
/// generates one every ten to twenty milliseconds. Callers read three at once just as well, and fewer
/// packets mean fewer losses, each of which delays all later events until the retransmission.
const MAX_BATCH_DELAY: Duration = Duration::from_millis(40);

/// Buffer of events that are sent together.
#[derive(Debug, Default)]
struct EventBatch {
    bytes: BytesMut,
    /// When the events must be sent.
    due: Option<Instant>,
    first_pushed: bool,
}

impl EventBatch {
    fn push(&mut self, event: &Event, now: Instant) {
        self.bytes.extend_from_slice(&event.bytes);
        // The caller waits for the first event, so it is sent at once.
        let delay = if self.first_pushed {
            MAX_BATCH_DELAY
        } else {
            Duration::ZERO
        };
        self.first_pushed = true;
        self.due.get_or_insert(now + delay);
    }

    async fn flush(&mut self, writer: &Writer) -> Result<(), Disconnected> {
        self.due = None;
        if self.bytes.is_empty() {
            return Ok(());
        }
        writer.send(self.bytes.split().freeze()).await
    }
}

/// Waits for the next item of a source and sends buffered events when they are due.
async fn next(
    source: &mut Source,
    writer: &Writer,
    batch: &mut EventBatch,
) -> Result<Result<Item, Fault>, Disconnected> {
    while let Some(due) = batch.due {
        match tokio::time::timeout_at(due, source.next()).await {
            Ok(item) => return Ok(item),
            Err(_) => batch.flush(writer).await?,
        }
    }
    Ok(source.next().await)
}

/// A stream that is being forwarded to a caller.
struct Stream<'a, P, L> {
    node: &'a Node<P, L>,
    request: &'a AdmittedRequest,
    attempts: Attempts<'a, P, L>,
    overrides: Overrides,
    /// Id of the last forwarded event.
    last_event_id: Option<u64>,
    /// Number of forwarded events.
    events: u64,
}

/// How a stream ended.
enum StreamEnd {
    /// All events were forwarded.
    Complete,
    /// The caller disconnected.
    Disconnected,
    /// The stream can't be completed.
    Aborted(Cause),
}

impl<P: HeaderCodec + Codec, L: Log> Stream<'_, P, L> {
    async fn run(&mut self, writer: Writer, source: Source, first: Event) {
        let left = self.request.left(self.node.now());
        let forwarding = self.forward(&writer, source, first);
        let end = tokio::select! {
            end = forwarding => end,
            () = writer.disconnected() => StreamEnd::Disconnected,
            () = tokio::time::sleep(left) => StreamEnd::Aborted(Cause::Timeout),
        };
        self.record_end(&end);
        // Dropping the writer without a call of end() aborts the connection.
        if matches!(end, StreamEnd::Complete) && writer.end().await.is_err() {
            log::debug!("stream: Caller disconnected at the end.");
        }
    }

    /// Records how the stream ended, in metrics and the log.
    fn record_end(&self, end: &StreamEnd) {
        let took = self.node.now().since(self.request.began);
        let (end, cause) = match end {
            StreamEnd::Complete => ("whole", None),
            StreamEnd::Disconnected => ("caller_left", None),
            StreamEnd::Aborted(cause) => ("broken_off", Some(cause.as_str())),
        };
        let route = &self.request.grant.route.name;
        self.node.metrics.observe_end(route, end, took);
        log::info!(
            request = self.request.info.id.as_str(),
            end,
            cause,
            events = self.events,
            last = self.last_event_id,
            took_ms = millis(took);
            "stream: Ended."
        );
    }

    async fn forward(&mut self, writer: &Writer, source: Source, first: Event) -> StreamEnd {
        let mut source = source;
        let mut batch = EventBatch::default();
        let mut item = Ok(Item::Event(first));
        loop {
            match item {
                Ok(Item::Event(event)) => match self.accept(&event) {
                    Ok(true) => {
                        batch.push(&event, Instant::now());
                        item = match next(&mut source, writer, &mut batch).await {
                            Ok(item) => item,
                            Err(Disconnected) => return StreamEnd::Disconnected,
                        };
                    }
                    Ok(false) => item = source.next().await,
                    Err(fault) => item = Err(fault),
                },
                Ok(Item::End) => {
                    if batch.flush(writer).await.is_err() {
                        return StreamEnd::Disconnected;
                    }
                    self.attempts.response_complete(StatusCode::OK);
                    self.attempts.record_session_version(&source.permit);
                    source.permit.served(Tokens(1));
                    return StreamEnd::Complete;
                }
                Err(Fault::Timeout)
                    if source.event_timeout < DEFAULT_EVENT_TIMEOUT && !self.may_resume() =>
                {
                    source.event_timeout = DEFAULT_EVENT_TIMEOUT;
                    item = source.next().await;
                }
                Err(fault) => {
                    if batch.flush(writer).await.is_err() {
                        return StreamEnd::Disconnected;
                    }
                    if let Err(refusal) = self.attempts.attempt_failed(source.permit, &fault) {
                        return StreamEnd::Aborted(refusal.cause);
                    }
                    source = match self.resume().await {
                        Ok(source) => source,
                        Err(refusal) => return StreamEnd::Aborted(refusal.cause),
                    };
                    item = source.first(self.request.left(self.node.now())).await;
                    if matches!(item, Ok(Item::Event(_))) {
                        source.permit.record_first_token();
                    }
                }
            }
        }
    }

    /// Whether another endpoint may resume the stream. If not, the stream waits longer for its endpoint,
    /// since a late event is better than an aborted response.
    fn may_resume(&self) -> bool {
        self.attempts.may_retry()
            && self.attempts.has_retry_budget()
            && self.attempts.check_allowed().is_ok()
    }

    /// Whether an event is to be forwarded. Returns false for one that was forwarded before.
    ///
    /// # Errors
    ///
    /// [`Fault::Invalid`] if an event before it is missing.
    fn accept(&mut self, event: &Event) -> Result<bool, Fault> {
        let Some(id) = event.id else {
            return Ok(true);
        };
        if let Some(last) = self.last_event_id {
            if id <= last {
                return Ok(false);
            }
            if id > last + 1 {
                return Err(Fault::Invalid {
                    reason: "an event is missing".into(),
                });
            }
        }
        self.last_event_id = Some(id);
        self.events += 1;
        Ok(true)
    }

    /// Resumes the stream at another endpoint, after the last forwarded event.
    async fn resume(&mut self) -> Result<Source, Refusal> {
        self.overrides.last_event_id = self.last_event_id;
        loop {
            let opened = self.attempts.open(&self.overrides).await?;
            let Opened {
                permit, response, ..
            } = opened;
            if response.head.status == StatusCode::OK {
                return Ok(Source::new(
                    permit,
                    response.body,
                    &self.request.grant.route,
                ));
            }
            let fault = Fault::Failed {
                status: response.head.status.as_u16(),
            };
            self.attempts.attempt_failed(permit, &fault)?;
        }
    }
}

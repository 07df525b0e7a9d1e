//! Forwards streams of server-sent events. Each event is forwarded once and in order, and another endpoint
//! resumes a broken stream within the same response.
//!
//! The caller gets the response's head with the first event. Until then, a response may be dropped and the
//! request sent again. Afterwards the head and signature of the first endpoint remain, and a new attempt
//! resumes after the last forwarded event. A stream that can't be completed is aborted, so that the caller
//! never takes it for complete.

mod batch;
mod source;

use std::sync::Arc;

use hyper::Response;
use hyper::StatusCode;
use hyper::http::response;
use pimento_endpoint::Fault;
use pimento_serve::ReplyBody;
use pimento_serve::Writer;
use pimento_serve::body::Disconnected;
use pimento_units::Tokens;
use tokio::time::Instant;

use self::batch::Batch;
use self::source::DEFAULT_EVENT_TIMEOUT;
use self::source::Item;
use self::source::Source;
use crate::admitted::AdmittedRequest;
use crate::attempts::Attempts;
use crate::attempts::Opened;
use crate::attempts::Overrides;
use crate::cascade;
use crate::codec::Codec;
use crate::connection::ResponseBody;
use crate::deadline;
use crate::events::Event;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::node::millis;
use crate::refusal::Cause;
use crate::refusal::Refusal;
use crate::topic::Log;

/// Maximum size of an error response's body, in bytes. It is buffered to be forwarded.
const MAX_ERROR_BODY_BYTES: usize = 64 << 10;

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
    let links = Arc::clone(&node.links);
    let mut source = Source::new(permit, body, &request.grant.route, links);
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

/// Waits for the next item of a source and sends buffered events when they are due.
async fn next(
    source: &mut Source,
    writer: &Writer,
    batch: &mut Batch,
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
        let deadline = deadline::passed(self.node, self.request);
        let forwarding = self.forward(&writer, source, first);
        let end = tokio::select! {
            end = forwarding => end,
            () = writer.disconnected() => StreamEnd::Disconnected,
            () = deadline => StreamEnd::Aborted(Cause::Timeout),
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
        let mut batch = Batch::default();
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
                    Arc::clone(&self.node.links),
                ));
            }
            let fault = Fault::Failed {
                status: response.head.status.as_u16(),
            };
            self.attempts.attempt_failed(permit, &fault)?;
        }
    }
}

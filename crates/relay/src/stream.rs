//! Forwards streams of server-sent events. Each event is forwarded once and in order, and another endpoint
//! resumes a broken stream within the same response.
//!
//! The caller gets the response's head with the first event. Until then, a response may be dropped and the
//! request sent again. Afterwards the head and signature of the first endpoint remain, and a new attempt
//! resumes after the last forwarded event. A stream that can't be completed is aborted, so that the caller
//! never takes it for complete.

mod batch;
mod larger;
mod silence;
mod source;
mod start;
pub mod unread;

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use hyper::StatusCode;
use pimento_endpoint::Fault;
use pimento_serve::ReplyBody;
use pimento_serve::Writer;
use pimento_serve::body::Disconnected;
use pimento_units::Moment;
use pimento_units::Tokens;
use tokio::time::Instant;

use self::batch::Batch;
use self::silence::Silence;
use self::source::Item;
use self::source::Source;
use self::start::FirstResponse;
use crate::admitted::AdmittedRequest;
use crate::attempts::Attempts;
use crate::attempts::Opened;
use crate::attempts::Overrides;
use crate::attempts::Reservation;
use crate::cascade;
use crate::codec::Codec;
use crate::deadline;
use crate::events::Event;
use crate::headers::HeaderCodec;
use crate::node::Node;
use crate::node::millis;
use crate::refusal::Cause;
use crate::refusal::Refusal;
use crate::topic::Log;

/// Time after which a broken stream is aborted if no endpoint can resume it. A stream that goes on late is
/// better than one that its caller must ask for anew, but callers disconnect after some seconds without an
/// event.
const MAX_RESUME_WAIT: Duration = Duration::from_secs(4);

/// Pause between two tries to resume a broken stream.
const RESUME_PAUSE: Duration = Duration::from_millis(500);

/// Time after the deadline within which a silent run is counted as failed before its stream is dropped.
const END_SLACK: Duration = Duration::from_millis(10);

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
    let mut reservation = None;
    let (mut head, source, first) = loop {
        let opened = match reservation.take() {
            Some(reserved) => attempts.send(reserved, &overrides).await,
            None => attempts.open(&overrides).await.map(Some),
        };
        let opened = match opened {
            Ok(Some(opened)) => opened,
            Ok(None) => continue,
            Err(refusal) => return error.ok_or(refusal),
        };
        match start::read(&mut attempts, &overrides, opened).await {
            Ok(Some(FirstResponse::Stream(started))) => {
                let confidence = started.confidence;
                let upgrade =
                    larger::reserve(&mut attempts, &overrides, confidence, &mut dropped).await;
                let Some(upgrade) = upgrade else {
                    break (started.head, started.source, started.event);
                };
                // Two endpoints would work on the request otherwise.
                drop(started);
                overrides.model = Some(upgrade.model);
                reservation = Some(upgrade.reservation);
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
    let (writer, reply) = ReplyBody::stream_within(&node.unread);
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
            begun: node.now(),
        };
        stream.run(writer, source, first).await;
    });
    Ok(Response::from_parts(head, reply))
}

/// Waits for the next item of a source and sends buffered events when they are due.
async fn next(
    source: &mut Source,
    writer: &Writer,
    batch: &mut Batch,
) -> Result<Result<Item, Fault>, Disconnected> {
    if batch.is_full() {
        batch.flush(writer).await?;
    }
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
    /// When the first event came.
    begun: Moment,
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
        let deadline = async {
            deadline::passed(self.node, self.request).await;
            tokio::time::sleep(END_SLACK).await;
        };
        let forwarding = self.forward(&writer, source, first);
        let end = tokio::select! {
            // On a busy VM both are ready at once, and a silent run would not be counted as failed.
            biased;
            end = forwarding => end,
            () = writer.disconnected() => StreamEnd::Disconnected,
            () = deadline => StreamEnd::Aborted(Cause::Timeout),
        };
        self.record_end(&end);
        self.record_pace(&end);
        // Dropping the writer without a call of end() aborts the connection.
        if matches!(end, StreamEnd::Complete) && writer.end().await.is_err() {
            log::debug!("stream: Caller disconnected at the end.");
        }
    }

    /// Records how fast the model generated a whole stream.
    fn record_pace(&self, end: &StreamEnd) {
        let one_run = self.overrides.last_event_id.is_none();
        if one_run && matches!(end, StreamEnd::Complete) {
            let (took, rest) = (
                self.node.now().since(self.begun),
                self.events.saturating_sub(1),
            );
            let statistics = &self.node.cascade;
            statistics.record_pace(self.request, &self.overrides, rest, took);
        }
    }

    /// Records how the stream ended, in metrics and the log.
    fn record_end(&self, end: &StreamEnd) {
        let took = self.node.now().since(self.request.began);
        let (end, cause) = match end {
            StreamEnd::Complete => ("whole", None),
            StreamEnd::Disconnected if self.node.lifetime.is_aborted() => ("vm_stopped", None),
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
                    Ok(()) => {
                        batch.push(&event, Instant::now());
                        item = match next(&mut source, writer, &mut batch).await {
                            Ok(item) => item,
                            Err(Disconnected) => return StreamEnd::Disconnected,
                        };
                    }
                    Err(fault) => item = Err(fault),
                },
                Ok(Item::End) => {
                    if batch.flush(writer).await.is_err() {
                        return StreamEnd::Disconnected;
                    }
                    if source.ends_with_connection() && unread::is_cut_off(writer) {
                        return self.cut_off(source);
                    }
                    self.attempts.response_complete(StatusCode::OK);
                    self.attempts.record_session_version(&source.permit);
                    source.permit.served(Tokens(1));
                    return StreamEnd::Complete;
                }
                Err(fault) => {
                    if batch.flush(writer).await.is_err() {
                        return StreamEnd::Disconnected;
                    }
                    if fault.is_interrupted() && unread::is_cut_off(writer) {
                        return self.cut_off(source);
                    }
                    (source, item) = match self.recover(source, fault).await {
                        Ok(recovered) => recovered,
                        Err(refusal) => return StreamEnd::Aborted(refusal.cause),
                    };
                }
            }
        }
    }

    /// Ends a stream that its endpoint cut off because the caller did not read. It isn't resumed: the repeat
    /// would be taken from the budget of all callers, and the same caller may let the next run be cut off.
    fn cut_off(&self, source: Source) -> StreamEnd {
        unread::record(self.node, &self.request.pool, source.close());
        StreamEnd::Aborted(Cause::Unread)
    }

    /// Goes on after a fault, with a late item of the same run or the first item of another one.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if the stream can't be completed.
    async fn recover(
        &mut self,
        mut source: Source,
        fault: Fault,
    ) -> Result<(Source, Result<Item, Fault>), Refusal> {
        self.overrides.last_event_id = self.last_event_id;
        let mut reservation = None;
        if fault == Fault::Timeout {
            match silence::outlast(&mut self.attempts, &self.overrides, &mut source).await {
                Silence::Over(item) => return Ok((source, item)),
                Silence::TakenOver(reserved) => reservation = Some(*reserved),
                Silence::Expired => {}
            }
        }
        // Resuming takes a while, in which two endpoints would work on the request.
        self.attempts.attempt_failed(source.close(), &fault)?;
        let mut source = self.resume(reservation).await?;
        let item = source.next().await;
        Ok((source, item))
    }

    /// Counts an event that is to be forwarded.
    ///
    /// # Errors
    ///
    /// [`Fault::Invalid`] if an event before it is missing.
    fn accept(&mut self, event: &Event) -> Result<(), Fault> {
        let Some(id) = event.id else {
            return Ok(());
        };
        if self
            .last_event_id
            .is_some_and(|last| id > last.saturating_add(1))
        {
            return Err(Fault::Invalid {
                reason: "an event is missing".into(),
            });
        }
        self.last_event_id = Some(id);
        self.events += 1;
        Ok(())
    }

    /// Reserves an endpoint for a stream whose run is gone, within [`MAX_RESUME_WAIT`].
    async fn reserve(&mut self) -> Result<Reservation, Refusal> {
        let began = Instant::now();
        loop {
            self.attempts.begin_search();
            match self.attempts.reserve(&self.overrides, None).await {
                Ok(reservation) => return Ok(reservation),
                Err(refusal) => self.wait_after(refusal, began).await?,
            }
        }
    }

    /// Waits after a refusal before an endpoint is asked for again, if that may help.
    async fn wait_after(&self, refusal: Refusal, began: Instant) -> Result<(), Refusal> {
        let waited = began.elapsed() >= MAX_RESUME_WAIT;
        if waited || !refusal.cause.is_momentary() || !self.attempts.may_retry() {
            return Err(refusal);
        }
        let request = self.request.info.id.as_str();
        let cause = refusal.cause.as_str();
        log::info!(request, cause; "stream: Broken, no endpoint can resume it yet.");
        tokio::time::sleep(RESUME_PAUSE).await;
        Ok(())
    }

    /// Resumes the stream after the last forwarded event, at the reserved endpoint if there is one.
    async fn resume(&mut self, reservation: Option<Reservation>) -> Result<Source, Refusal> {
        let began = Instant::now();
        let mut reservation = reservation;
        loop {
            let reserved = match reservation.take() {
                Some(reserved) => reserved,
                None => self.reserve().await?,
            };
            let opened = match self.attempts.send(reserved, &self.overrides).await {
                Ok(Some(opened)) => opened,
                Ok(None) => continue,
                Err(refusal) => {
                    self.wait_after(refusal, began).await?;
                    continue;
                }
            };
            let Opened {
                permit, response, ..
            } = opened;
            if response.head.status == StatusCode::OK {
                return Ok(Source::new(
                    permit,
                    response.body,
                    &self.request.grant.route,
                    self.last_event_id,
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

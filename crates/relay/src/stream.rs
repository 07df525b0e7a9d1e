//! Streams: events are passed on as they come, each once and in order, and a stream that breaks goes
//! on at another endpoint within the same answer.
//!
//! The caller gets its head with the first event. Until then an answer may be dropped and asked for
//! again; afterwards the head and signature of the first endpoint stay, and a new attempt resumes
//! after the last event passed on. A stream that can't be finished is broken off, never ended.

use std::time::Duration;

use bytes::BytesMut;
use hyper::Response;
use hyper::StatusCode;
use hyper::http::response;
use pimento_endpoint::Fault;
use pimento_scheduler::Permit;
use pimento_serve::Reply;
use pimento_serve::Writer;
use pimento_serve::body::Gone;
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

/// How long a stream may be silent before it is taken up elsewhere, where its route says nothing of
/// pauses. An engine that reads long prompts between the tokens of others, or preempts, pauses for over
/// a second; callers leave after eight.
const SILENCE: Duration = Duration::from_secs(4);

/// Share of the longest pause that a route has for on time, after which a stream is taken up elsewhere.
/// The rest is for the other engine to read the prompt. Without it, a stream whose endpoint fell silent
/// came late by seconds. One that would have gone on loses nothing but its place: it is late in any case
/// a moment later.
const QUIET: f64 = 0.8;

/// The shortest silence that counts, whatever a route says: some ten steps of an engine that reads a
/// chunk of a long prompt in each.
const LEAST: Duration = Duration::from_millis(400);

/// The largest body of a failure that is kept to be handed on.
const FAILURE: usize = 64 << 10;

/// A stream at one endpoint.
#[derive(Debug)]
struct Source {
    permit: Permit,
    body: ResponseBody,
    splitter: Splitter,
    /// How long it may be silent between events.
    silence: Duration,
}

/// What comes next from a source.
enum Step {
    Event(Event),
    End,
}

impl Source {
    fn new(permit: Permit, body: ResponseBody, route: &Route) -> Self {
        let quiet = route.max_event_gap.map(|gap| gap.mul_f64(QUIET));
        Self {
            permit,
            body,
            splitter: Splitter::default(),
            silence: quiet.map_or(SILENCE, |quiet| quiet.clamp(LEAST, SILENCE)),
        }
    }

    /// The next whole event, or the clean end.
    async fn next(&mut self) -> Result<Step, Fault> {
        self.within(self.silence).await
    }

    /// The same for the first event, which waits for the prompt to be read.
    async fn first(&mut self, left: Duration) -> Result<Step, Fault> {
        self.within(left.min(SILENCE)).await
    }

    async fn within(&mut self, silence: Duration) -> Result<Step, Fault> {
        loop {
            if let Some(event) = self.splitter.take() {
                return Ok(Step::Event(event));
            }
            let data = tokio::time::timeout(silence, self.body.next()).await;
            match data.unwrap_or(Err(Fault::Timeout))? {
                Some(data) => self.splitter.push(&data).map_err(|error| Fault::Nonsense {
                    reason: error.to_string().into(),
                })?,
                None if self.splitter.torn() => {
                    return Err(Fault::Nonsense {
                        reason: "the stream ended within an event".into(),
                    });
                }
                None => return Ok(Step::End),
            }
        }
    }
}

/// A stream whose first event has come.
struct First {
    head: response::Parts,
    source: Source,
    event: Event,
    /// The model's opinion of its answer.
    confidence: Option<u8>,
}

/// What an endpoint's answer turned out to be.
enum Begun {
    /// A stream, with its first event.
    Stream(Box<First>),
    /// A failure, to be handed on if nothing better comes.
    Failure(Response<Reply>),
}

/// Answers a request for a stream.
///
/// # Errors
///
/// A [`Refusal`] if no endpoint answered.
pub async fn serve<P: HeaderCodec + Codec, L: Log>(
    node: &Node<P, L>,
    request: AdmittedRequest,
) -> Result<Response<Reply>, Refusal> {
    let mut attempts = Attempts::new(node, &request);
    let mut failure: Option<Response<Reply>> = None;
    let mut dropped = None;
    let mut overrides = Overrides {
        model: cascade::first(&request),
        resume: None,
    };
    let (mut head, source, first) = loop {
        let opened = match attempts.open(&overrides).await {
            Ok(opened) => opened,
            Err(refusal) => return failure.ok_or(refusal),
        };
        match begin(&mut attempts, node, &request, opened).await {
            Ok(Some(Begun::Stream(begun))) => {
                let larger = cascade::larger(&attempts, &overrides, begun.confidence, &mut dropped);
                let Some(model) = larger else {
                    break (begun.head, begun.source, begun.event);
                };
                overrides.model = Some(model);
            }
            Ok(Some(Begun::Failure(response))) => {
                if !attempts.again() {
                    return Ok(response);
                }
                failure = Some(response);
            }
            Ok(None) => {}
            Err(refusal) => return failure.ok_or(refusal),
        }
    };
    let state = attempts.state();
    node.platform.strip_connection_headers(&mut head.headers);
    let took = node.now().since(request.began);
    node.metrics.began(&request.grant.route.name, took);
    let (writer, reply) = Reply::stream();
    let node = node.clone();
    let tasks = node.tasks.clone();
    tasks.spawn(async move {
        let attempts = Attempts::resume(&node, &request, state);
        let mut stream = Stream {
            node: &node,
            request: &request,
            attempts,
            overrides,
            last: request.info.last_event_id,
            events: 0,
        };
        stream.run(writer, source, first).await;
    });
    Ok(Response::from_parts(head, reply))
}

/// Reads up to the first event; none if the answer broke off and another attempt may be made.
async fn begin<P: HeaderCodec + Codec, L: Log>(
    attempts: &mut Attempts<'_, P, L>,
    node: &Node<P, L>,
    request: &AdmittedRequest,
    opened: Opened,
) -> Result<Option<Begun>, Refusal> {
    let Opened {
        permit,
        call,
        reply,
    } = opened;
    let (mut head, mut body) = (call.head, call.body);
    let left = request.left(node.now());
    if head.status != StatusCode::OK {
        let read = tokio::time::timeout(left, collect(&mut body)).await;
        return match read.unwrap_or(Err(Fault::Timeout)) {
            Ok(bytes) => {
                attempts.judged(&permit, head.status.is_server_error());
                attempts.whole();
                // Its prompt is kept there, so that the next attempt would go to it first.
                attempts.leave(permit.endpoint());
                permit.failed(&Fault::Failed {
                    status: head.status.as_u16(),
                });
                node.platform.strip_connection_headers(&mut head.headers);
                let response = Response::from_parts(head, Reply::whole(bytes));
                Ok(Some(Begun::Failure(response)))
            }
            Err(fault) => attempts.broken(permit, &fault).map(|()| None),
        };
    }
    let mut source = Source::new(permit, body, &request.grant.route);
    match source.first(left).await {
        Ok(Step::Event(event)) => {
            source.permit.first_token();
            attempts.judged(&source.permit, false);
            Ok(Some(Begun::Stream(Box::new(First {
                head,
                source,
                event,
                confidence: reply.confidence,
            }))))
        }
        Ok(Step::End) => {
            let fault = Fault::Nonsense {
                reason: "the stream has no event".into(),
            };
            attempts.broken(source.permit, &fault).map(|()| None)
        }
        Err(fault) => attempts.broken(source.permit, &fault).map(|()| None),
    }
}

async fn collect(body: &mut ResponseBody) -> Result<Vec<u8>, Fault> {
    let mut bytes = Vec::new();
    while let Some(data) = body.next().await? {
        if bytes.len() + data.len() > FAILURE {
            return Err(Fault::Nonsense {
                reason: "the body of a failure is too long".into(),
            });
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}

/// How long an event may be held back to go out with those that follow. An engine makes one each
/// ten to twenty milliseconds; a caller reads three at once as well, and each packet less is one less
/// that may be lost and keep all after it waiting for a retransmission.
const HOLD: Duration = Duration::from_millis(40);

/// Events that go out together.
#[derive(Debug, Default)]
struct Held {
    bytes: BytesMut,
    due: Option<Instant>,
    begun: bool,
}

impl Held {
    fn push(&mut self, event: &Event, now: Instant) {
        self.bytes.extend_from_slice(&event.bytes);
        // The first event of all is what the caller waits for.
        let hold = if self.begun { HOLD } else { Duration::ZERO };
        self.begun = true;
        self.due.get_or_insert(now + hold);
    }

    async fn flush(&mut self, writer: &Writer) -> Result<(), Gone> {
        self.due = None;
        if self.bytes.is_empty() {
            return Ok(());
        }
        writer.send(self.bytes.split().freeze()).await
    }
}

/// What comes next; meanwhile events that are due go out.
async fn next(
    source: &mut Source,
    writer: &Writer,
    held: &mut Held,
) -> Result<Result<Step, Fault>, Gone> {
    while let Some(due) = held.due {
        match tokio::time::timeout_at(due, source.next()).await {
            Ok(step) => return Ok(step),
            Err(_) => held.flush(writer).await?,
        }
    }
    Ok(source.next().await)
}

/// A stream on its way to a caller.
struct Stream<'a, P, L> {
    node: &'a Node<P, L>,
    request: &'a AdmittedRequest,
    attempts: Attempts<'a, P, L>,
    overrides: Overrides,
    /// Id of the last event passed on.
    last: Option<u64>,
    /// Events passed on.
    events: u64,
}

/// Why a stream came to its end.
enum End {
    /// All events were passed on.
    Whole,
    /// The caller left.
    Gone,
    /// It can't be finished.
    Broken(Cause),
}

impl<P: HeaderCodec + Codec, L: Log> Stream<'_, P, L> {
    async fn run(&mut self, writer: Writer, source: Source, first: Event) {
        let left = self.request.left(self.node.now());
        let passing = self.pass(&writer, source, first);
        let end = tokio::select! {
            end = passing => end,
            () = writer.gone() => End::Gone,
            () = tokio::time::sleep(left) => End::Broken(Cause::Timeout),
        };
        self.tell(&end);
        // Dropped without its end, the writer breaks the connection.
        if matches!(end, End::Whole) && writer.end().await.is_err() {
            log::debug!("stream: The caller left at the end.");
        }
    }

    /// Tells how the stream ended.
    fn tell(&self, end: &End) {
        let took = self.node.now().since(self.request.began);
        let (end, cause) = match end {
            End::Whole => ("whole", None),
            End::Gone => ("caller_left", None),
            End::Broken(cause) => ("broken_off", Some(cause.as_str())),
        };
        let route = &self.request.grant.route.name;
        self.node.metrics.ended(route, end, took);
        log::info!(
            request = self.request.info.id.as_str(),
            end,
            cause,
            events = self.events,
            last = self.last,
            took_ms = millis(took);
            "stream: Ended."
        );
    }

    async fn pass(&mut self, writer: &Writer, source: Source, first: Event) -> End {
        let mut source = source;
        let mut held = Held::default();
        let mut step = Ok(Step::Event(first));
        loop {
            match step {
                Ok(Step::Event(event)) => match self.take(&event) {
                    Ok(true) => {
                        held.push(&event, Instant::now());
                        step = match next(&mut source, writer, &mut held).await {
                            Ok(step) => step,
                            Err(Gone) => return End::Gone,
                        };
                    }
                    Ok(false) => step = source.next().await,
                    Err(fault) => step = Err(fault),
                },
                Ok(Step::End) => {
                    if held.flush(writer).await.is_err() {
                        return End::Gone;
                    }
                    self.attempts.whole();
                    self.attempts.note(&source.permit);
                    source.permit.served(Tokens(1));
                    return End::Whole;
                }
                Err(Fault::Timeout) if source.silence < SILENCE && !self.elsewhere() => {
                    source.silence = SILENCE;
                    step = source.next().await;
                }
                Err(fault) => {
                    if held.flush(writer).await.is_err() {
                        return End::Gone;
                    }
                    if let Err(refusal) = self.attempts.broken(source.permit, &fault) {
                        return End::Broken(refusal.cause);
                    }
                    source = match self.resume().await {
                        Ok(source) => source,
                        Err(refusal) => return End::Broken(refusal.cause),
                    };
                    step = source.first(self.request.left(self.node.now())).await;
                    if matches!(step, Ok(Step::Event(_))) {
                        source.permit.first_token();
                    }
                }
            }
        }
    }

    /// Whether the stream may go on at another endpoint. One that may not is waited for: a pause is late,
    /// but an answer that is broken off at it is lost.
    fn elsewhere(&self) -> bool {
        self.attempts.again() && self.attempts.affords() && self.attempts.allowed().is_ok()
    }

    /// Whether an event is the next one. One that was passed on already is left out.
    fn take(&mut self, event: &Event) -> Result<bool, Fault> {
        let Some(id) = event.id else {
            return Ok(true);
        };
        if let Some(last) = self.last {
            if id <= last {
                return Ok(false);
            }
            if id > last + 1 {
                return Err(Fault::Nonsense {
                    reason: "an event is missing".into(),
                });
            }
        }
        self.last = Some(id);
        self.events += 1;
        Ok(true)
    }

    /// Goes on after the last event at another endpoint.
    async fn resume(&mut self) -> Result<Source, Refusal> {
        self.overrides.resume = self.last;
        loop {
            let opened = self.attempts.open(&self.overrides).await?;
            let Opened { permit, call, .. } = opened;
            if call.head.status == StatusCode::OK {
                return Ok(Source::new(permit, call.body, &self.request.grant.route));
            }
            let fault = Fault::Failed {
                status: call.head.status.as_u16(),
            };
            self.attempts.broken(permit, &fault)?;
        }
    }
}

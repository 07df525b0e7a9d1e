//! Delivery to the caller: chunks are passed on as they arrive, or buffered until the answer is accepted.
//!
//! The last chunk is always held back until the bill is stored. A stream that can't be completed ends with an
//! error event and without the end mark.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use compact_str::CompactString;
use compact_str::format_compact;
use hyper::Response;
use pimento_endpoint::Fault;
use pimento_scheduler::Clock;
use pimento_serve::ReplyBody;
use pimento_serve::Writer;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;
use pimento_wire::api::Chunk;
use pimento_wire::api::DONE;
use pimento_wire::api::Usage;
use serde::Serialize;
use tokio::sync::oneshot;

use crate::filter::reply;
use crate::refusal::Refusal;

/// Delivers an answer to the caller.
#[derive(Debug)]
pub struct Delivery {
    clock: Clock,
    id: CompactString,
    created: u64,
    deadline: Moment,
    sink: Sink,
    started: Arc<AtomicBool>,
    /// Whether chunks are sent as they arrive.
    immediate: bool,
    /// Chunks that wait for the release.
    buffered: Vec<Chunk>,
    text: String,
    /// Bytes of the text that a restarted attempt has repeated; none if there is nothing to repeat.
    repeated: Option<usize>,
    last: Option<Chunk>,
    chunks: u64,
    first_sent_at: Option<Moment>,
    head: reply::Head,
}

#[derive(Debug)]
enum Sink {
    /// The caller requested the answer as a whole.
    Whole,
    /// The caller requested a stream, and nothing has been sent yet.
    NotStarted(oneshot::Sender<Response<ReplyBody>>),
    /// The stream has started.
    Open(Writer),
    /// The stream has ended.
    Ended,
}

/// A complete answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The text.
    pub text: String,
    /// The finish reason.
    pub finish: CompactString,
    /// Tokens used.
    pub usage: Usage,
    chunks: Vec<Chunk>,
    last: Option<Chunk>,
}

impl Answer {
    /// Prompt tokens.
    #[must_use]
    pub const fn input(&self) -> Tokens {
        Tokens(self.usage.prompt_tokens)
    }

    /// Generated tokens.
    #[must_use]
    pub const fn output(&self) -> Tokens {
        Tokens(self.usage.completion_tokens)
    }
}

impl Delivery {
    /// Creates the delivery for a caller that requested the answer as a whole.
    #[must_use]
    pub fn whole(clock: Clock, request: id::Request, deadline: Moment) -> Self {
        Self::new(clock, request, deadline, Sink::Whole)
    }

    /// Creates the delivery for a caller that requested a stream. The response, or the refusal, is sent to
    /// `response_sender` when the first chunk is released.
    #[must_use]
    pub fn stream(
        clock: Clock,
        request: id::Request,
        deadline: Moment,
        response_sender: oneshot::Sender<Response<ReplyBody>>,
    ) -> Self {
        Self::new(clock, request, deadline, Sink::NotStarted(response_sender))
    }

    fn new(clock: Clock, request: id::Request, deadline: Moment, sink: Sink) -> Self {
        Self {
            clock,
            id: format_compact!("chatcmpl-{request}"),
            created: clock.wall().millis() / 1_000,
            deadline,
            sink,
            started: Arc::default(),
            immediate: false,
            buffered: Vec::new(),
            text: String::new(),
            repeated: None,
            last: None,
            chunks: 0,
            first_sent_at: None,
            head: reply::Head::default(),
        }
    }

    /// Begins the answer of a version. If `immediate`, chunks are sent as they arrive.
    pub fn begin(&mut self, head: reply::Head, immediate: bool) {
        self.immediate = immediate && !matches!(self.sink, Sink::Whole);
        self.head = head;
        self.clear();
    }

    fn clear(&mut self) {
        self.buffered.clear();
        self.text.clear();
        self.last = None;
        self.chunks = 0;
        self.repeated = None;
    }

    /// Whether a part of the answer has been sent.
    #[must_use]
    pub const fn has_started(&self) -> bool {
        matches!(self.sink, Sink::Open(_))
    }

    /// Whether a part of the answer has been sent, for a reader that doesn't hold the delivery.
    #[must_use]
    pub fn started(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.started)
    }

    /// Prepares for another attempt at the same version. If a part of the answer has been sent, the new attempt
    /// must repeat that part exactly, and only what follows is sent.
    pub fn restart(&mut self) {
        if self.has_started() {
            // The last chunk was held back, so the caller does not have it.
            let unsent = self.last.take();
            let unsent = unsent.as_ref().map_or(0, |chunk| content(chunk).len());
            self.text.truncate(self.text.len() - unsent);
            self.repeated = Some(0);
        } else {
            self.clear();
        }
    }

    /// Accepts the next chunk.
    ///
    /// # Errors
    ///
    /// [`Fault::Invalid`] if a restarted attempt does not repeat what was sent, [`Fault::Cancelled`] if the
    /// caller disconnected, [`Fault::Timeout`] if it does not read.
    pub async fn push(&mut self, mut chunk: Chunk) -> Result<(), Fault> {
        chunk.id = self.id.clone();
        chunk.created = self.created;
        let Some(chunk) = self.skip_repeated(chunk)? else {
            return Ok(());
        };
        self.chunks += 1;
        self.text.push_str(content(&chunk));
        if finish_reason(&chunk).is_some() {
            self.last = Some(chunk);
            return Ok(());
        }
        if !self.immediate {
            self.buffered.push(chunk);
            return Ok(());
        }
        self.send(&chunk).await
    }

    /// The part of a chunk that has not been sent yet; none if all of it has been sent.
    fn skip_repeated(&mut self, mut chunk: Chunk) -> Result<Option<Chunk>, Fault> {
        let Some(repeated) = self.repeated else {
            return Ok(Some(chunk));
        };
        let sent = &self.text[repeated..];
        let text = content(&chunk);
        if let Some(unsent) = text.strip_prefix(sent) {
            let unsent = unsent.to_owned();
            if unsent.is_empty() && finish_reason(&chunk).is_none() {
                self.repeated = Some(self.text.len());
                return Ok(None);
            }
            self.repeated = None;
            set_content(&mut chunk, unsent);
            return Ok(Some(chunk));
        }
        if sent.starts_with(text) && finish_reason(&chunk).is_none() {
            self.repeated = Some(repeated + text.len());
            return Ok(None);
        }
        Err(Fault::Invalid {
            reason: CompactString::const_new("the restarted answer differs from its first part"),
        })
    }

    /// Sends a buffered answer except for its last chunk.
    ///
    /// # Errors
    ///
    /// [`Fault::Cancelled`] or [`Fault::Timeout`].
    pub async fn release(&mut self) -> Result<(), Fault> {
        if matches!(self.sink, Sink::Whole) {
            self.first_sent_at.get_or_insert(self.clock.now());
            return Ok(());
        }
        self.immediate = true;
        for chunk in std::mem::take(&mut self.buffered) {
            self.send(&chunk).await?;
        }
        Ok(())
    }

    /// The answer, after all of its chunks were pushed. `prompt` is used as the number of prompt tokens if the
    /// engine reports no usage.
    #[must_use]
    pub fn answer(&mut self, prompt: Tokens) -> Answer {
        let last = self.last.clone();
        let usage = last.as_ref().and_then(|chunk| chunk.usage);
        let usage = usage.unwrap_or(Usage {
            prompt_tokens: prompt.0,
            completion_tokens: self.chunks,
            total_tokens: prompt.0 + self.chunks,
        });
        Answer {
            text: self.text.clone(),
            finish: last.as_ref().and_then(finish_reason).unwrap_or_default(),
            usage,
            chunks: self.buffered.clone(),
            last,
        }
    }

    /// Restores an answer that was set aside while a better one was sought without success.
    pub fn restore(&mut self, head: reply::Head, answer: &Answer) {
        self.head = head;
        self.buffered.clone_from(&answer.chunks);
        self.last.clone_from(&answer.last);
        self.text.clone_from(&answer.text);
    }

    /// Sends the last chunk and the end mark.
    ///
    /// # Errors
    ///
    /// [`Fault::Cancelled`] or [`Fault::Timeout`].
    pub async fn finish(&mut self) -> Result<(), Fault> {
        if matches!(self.sink, Sink::Whole) {
            return Ok(());
        }
        if let Some(last) = self.last.take() {
            self.send(&last).await?;
        }
        self.write(event(DONE)).await?;
        self.end().await;
        Ok(())
    }

    /// Ends with an error: as the response, or as an event if the stream has started.
    pub async fn fail(&mut self, refusal: &Refusal) {
        match std::mem::replace(&mut self.sink, Sink::Ended) {
            Sink::NotStarted(response_sender) => {
                // Sending fails only if the caller has disconnected.
                let _ = response_sender.send(refusal.response());
            }
            Sink::Open(writer) => {
                self.sink = Sink::Open(writer);
                let text = String::from_utf8_lossy(&refusal.json()).into_owned();
                if self.write(event(&text)).await.is_ok() {
                    self.end().await;
                }
            }
            Sink::Whole | Sink::Ended => {}
        }
    }

    /// When the first byte was sent or, for an answer sent as a whole, when the answer was accepted.
    #[must_use]
    pub const fn first_sent_at(&self) -> Option<Moment> {
        self.first_sent_at
    }

    /// Number of chunks in the present answer.
    #[must_use]
    pub const fn chunks(&self) -> u64 {
        self.chunks
    }

    async fn send(&mut self, chunk: &Chunk) -> Result<(), Fault> {
        self.write(event(&json(chunk))).await
    }

    async fn write(&mut self, data: Bytes) -> Result<(), Fault> {
        self.open()?;
        let Sink::Open(writer) = &self.sink else {
            return Err(Fault::Cancelled);
        };
        // A caller that stops reading must not occupy an endpoint's slot long past its deadline.
        let deadline = self.clock.instant(self.deadline + WRITE_GRACE);
        match tokio::time::timeout_at(deadline, writer.send(data)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(Fault::Cancelled),
            Err(_) => Err(Fault::Timeout),
        }
    }

    fn open(&mut self) -> Result<(), Fault> {
        let sink = std::mem::replace(&mut self.sink, Sink::Ended);
        self.sink = match sink {
            Sink::NotStarted(response_sender) => {
                let (writer, body) = ReplyBody::stream();
                self.first_sent_at = Some(self.clock.now());
                response_sender
                    .send(self.head.stream(body))
                    .map_err(|_| Fault::Cancelled)?;
                self.started.store(true, Ordering::Relaxed);
                Sink::Open(writer)
            }
            sink => sink,
        };
        Ok(())
    }

    async fn end(&mut self) {
        let sink = std::mem::replace(&mut self.sink, Sink::Ended);
        if let Sink::Open(writer) = sink {
            // Ending the body fails only if the caller has disconnected.
            let _ = writer.end().await;
        }
    }
}

/// Time after the deadline during which an error event or the last chunk may still be written.
const WRITE_GRACE: Duration = Duration::from_secs(5);

fn content(chunk: &Chunk) -> &str {
    let choice = chunk.choices.first();
    let content = choice.and_then(|choice| choice.delta.content.as_deref());
    content.unwrap_or_default()
}

fn set_content(chunk: &mut Chunk, text: String) {
    if let Some(choice) = chunk.choices.first_mut() {
        choice.delta.role = None;
        choice.delta.content = Some(text);
    }
}

fn finish_reason(chunk: &Chunk) -> Option<CompactString> {
    chunk.choices.first()?.finish_reason.clone()
}

fn json(value: &impl Serialize) -> String {
    // Encoding a plain structure with string keys can't fail.
    serde_json::to_string(value).unwrap_or_default()
}

fn event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

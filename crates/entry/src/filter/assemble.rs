//! What reaches the caller: pieces as they come, or an answer that is held until it is accepted.
//!
//! The last piece is held in any case, until the bill is safe. A stream that can't be finished ends
//! with an error event and without the end mark.

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

/// The caller's end of an answer.
#[derive(Debug)]
pub struct Delivery {
    clock: Clock,
    id: CompactString,
    created: u64,
    deadline: Moment,
    outlet: Outlet,
    live: bool,
    held: Vec<Chunk>,
    text: String,
    /// Bytes of the text that a restarted attempt has repeated; none if it is not one.
    repeated: Option<usize>,
    last: Option<Chunk>,
    pieces: u64,
    first: Option<Moment>,
    head: reply::Head,
}

#[derive(Debug)]
enum Outlet {
    /// The caller wants the answer as a whole.
    Whole,
    /// The caller wants a stream, and nothing was sent yet.
    Closed(oneshot::Sender<Response<ReplyBody>>),
    /// The stream has begun.
    Open(Writer),
    /// The stream has ended.
    Ended,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// The text.
    pub text: String,
    /// Why it ended.
    pub finish: CompactString,
    /// Tokens used.
    pub usage: Usage,
    pieces: Vec<Chunk>,
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
    /// For a caller that wants the answer as a whole.
    #[must_use]
    pub fn whole(clock: Clock, request: id::Request, deadline: Moment) -> Self {
        Self::new(clock, request, deadline, Outlet::Whole)
    }

    /// For a caller that wants a stream; `head` takes the response once the first piece is
    /// released, or the refusal.
    #[must_use]
    pub fn stream(
        clock: Clock,
        request: id::Request,
        deadline: Moment,
        head: oneshot::Sender<Response<ReplyBody>>,
    ) -> Self {
        Self::new(clock, request, deadline, Outlet::Closed(head))
    }

    fn new(clock: Clock, request: id::Request, deadline: Moment, outlet: Outlet) -> Self {
        Self {
            clock,
            id: format_compact!("chatcmpl-{request}"),
            created: clock.wall().millis() / 1_000,
            deadline,
            outlet,
            live: false,
            held: Vec::new(),
            text: String::new(),
            repeated: None,
            last: None,
            pieces: 0,
            first: None,
            head: reply::Head::default(),
        }
    }

    /// Begins the answer of a version; pieces are passed on as they come if `live`.
    pub fn begin(&mut self, head: reply::Head, live: bool) {
        self.live = live && !matches!(self.outlet, Outlet::Whole);
        self.head = head;
        self.clear();
    }

    fn clear(&mut self) {
        self.held.clear();
        self.text.clear();
        self.last = None;
        self.pieces = 0;
        self.repeated = None;
    }

    /// Whether the caller has a part of the answer already.
    #[must_use]
    pub const fn begun(&self) -> bool {
        matches!(self.outlet, Outlet::Open(_))
    }

    /// Prepares for another attempt of the same version. If the caller has a part already, the new
    /// attempt must repeat it word for word, and only what follows is passed on.
    pub fn restart(&mut self) {
        if self.begun() {
            // The last piece was held, so that the caller does not have it.
            let held = self.last.take();
            let held = held.as_ref().map_or(0, |chunk| content(chunk).len());
            self.text.truncate(self.text.len() - held);
            self.repeated = Some(0);
        } else {
            self.clear();
        }
    }

    /// Takes the next piece.
    ///
    /// # Errors
    ///
    /// [`Fault::Nonsense`] if a restarted attempt does not repeat what the caller has,
    /// [`Fault::Cancelled`] if the caller went away, [`Fault::Timeout`] if it does not read.
    pub async fn push(&mut self, mut chunk: Chunk) -> Result<(), Fault> {
        chunk.id = self.id.clone();
        chunk.created = self.created;
        let Some(chunk) = self.fresh(chunk)? else {
            return Ok(());
        };
        self.pieces += 1;
        self.text.push_str(content(&chunk));
        if finish(&chunk).is_some() {
            self.last = Some(chunk);
            return Ok(());
        }
        if !self.live {
            self.held.push(chunk);
            return Ok(());
        }
        self.send(&chunk).await
    }

    /// The part of a piece that the caller does not have; none if it has all of it.
    fn fresh(&mut self, mut chunk: Chunk) -> Result<Option<Chunk>, Fault> {
        let Some(repeated) = self.repeated else {
            return Ok(Some(chunk));
        };
        let known = &self.text[repeated..];
        let piece = content(&chunk);
        if let Some(rest) = piece.strip_prefix(known) {
            let rest = rest.to_owned();
            if rest.is_empty() && finish(&chunk).is_none() {
                self.repeated = Some(self.text.len());
                return Ok(None);
            }
            self.repeated = None;
            set(&mut chunk, rest);
            return Ok(Some(chunk));
        }
        if known.starts_with(piece) && finish(&chunk).is_none() {
            self.repeated = Some(repeated + piece.len());
            return Ok(None);
        }
        Err(Fault::Nonsense {
            reason: CompactString::const_new("the restarted answer differs from its first part"),
        })
    }

    /// Releases an answer that was held, up to its last piece.
    ///
    /// # Errors
    ///
    /// [`Fault::Cancelled`] or [`Fault::Timeout`].
    pub async fn release(&mut self) -> Result<(), Fault> {
        if matches!(self.outlet, Outlet::Whole) {
            self.first.get_or_insert(self.clock.now());
            return Ok(());
        }
        self.live = true;
        for chunk in std::mem::take(&mut self.held) {
            self.send(&chunk).await?;
        }
        Ok(())
    }

    /// The answer, once all of its pieces were pushed. `prompt` stands for the prompt's tokens if
    /// the engine did not count them.
    #[must_use]
    pub fn answer(&mut self, prompt: Tokens) -> Answer {
        let last = self.last.clone();
        let usage = last.as_ref().and_then(|chunk| chunk.usage);
        let usage = usage.unwrap_or(Usage {
            prompt_tokens: prompt.0,
            completion_tokens: self.pieces,
            total_tokens: prompt.0 + self.pieces,
        });
        Answer {
            text: self.text.clone(),
            finish: last.as_ref().and_then(finish).unwrap_or_default(),
            usage,
            pieces: self.held.clone(),
            last,
        }
    }

    /// Takes back an answer that was set aside for a better one which did not come.
    pub fn restore(&mut self, head: reply::Head, answer: &Answer) {
        self.head = head;
        self.held.clone_from(&answer.pieces);
        self.last.clone_from(&answer.last);
        self.text.clone_from(&answer.text);
    }

    /// Sends the last piece and the end mark.
    ///
    /// # Errors
    ///
    /// [`Fault::Cancelled`] or [`Fault::Timeout`].
    pub async fn finish(&mut self) -> Result<(), Fault> {
        if matches!(self.outlet, Outlet::Whole) {
            return Ok(());
        }
        if let Some(last) = self.last.take() {
            self.send(&last).await?;
        }
        self.write(event(DONE)).await?;
        self.end().await;
        Ok(())
    }

    /// Ends with an error: as the response, or as an event if the stream has begun.
    pub async fn fail(&mut self, refusal: &Refusal) {
        match std::mem::replace(&mut self.outlet, Outlet::Ended) {
            Outlet::Closed(head) => {
                // A caller that is gone needs no refusal.
                let _ = head.send(refusal.response());
            }
            Outlet::Open(writer) => {
                self.outlet = Outlet::Open(writer);
                let text = String::from_utf8_lossy(&refusal.json()).into_owned();
                if self.write(event(&text)).await.is_ok() {
                    self.end().await;
                }
            }
            Outlet::Whole | Outlet::Ended => {}
        }
    }

    /// When the first byte was released.
    #[must_use]
    pub const fn first(&self) -> Option<Moment> {
        self.first
    }

    /// Pieces of the present answer.
    #[must_use]
    pub const fn pieces(&self) -> u64 {
        self.pieces
    }

    async fn send(&mut self, chunk: &Chunk) -> Result<(), Fault> {
        self.write(event(&json(chunk))).await
    }

    async fn write(&mut self, data: Bytes) -> Result<(), Fault> {
        self.open()?;
        let Outlet::Open(writer) = &self.outlet else {
            return Err(Fault::Cancelled);
        };
        // A caller that stops reading must not hold an endpoint's slot past its own deadline.
        let deadline = self.clock.instant(self.deadline + LATE);
        match tokio::time::timeout_at(deadline, writer.send(data)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(Fault::Cancelled),
            Err(_) => Err(Fault::Timeout),
        }
    }

    fn open(&mut self) -> Result<(), Fault> {
        let outlet = std::mem::replace(&mut self.outlet, Outlet::Ended);
        self.outlet = match outlet {
            Outlet::Closed(head) => {
                let (writer, body) = ReplyBody::stream();
                self.first = Some(self.clock.now());
                head.send(self.head.stream(body))
                    .map_err(|_| Fault::Cancelled)?;
                Outlet::Open(writer)
            }
            outlet => outlet,
        };
        Ok(())
    }

    async fn end(&mut self) {
        let outlet = std::mem::replace(&mut self.outlet, Outlet::Ended);
        if let Outlet::Open(writer) = outlet {
            // A caller that is gone has all the bytes that it will ever get.
            let _ = writer.end().await;
        }
    }
}

/// Time past the deadline in which an error event or the last piece may still be written.
const LATE: Duration = Duration::from_secs(5);

fn content(chunk: &Chunk) -> &str {
    let choice = chunk.choices.first();
    let content = choice.and_then(|choice| choice.delta.content.as_deref());
    content.unwrap_or_default()
}

fn set(chunk: &mut Chunk, text: String) {
    if let Some(choice) = chunk.choices.first_mut() {
        choice.delta.role = None;
        choice.delta.content = Some(text);
    }
}

fn finish(chunk: &Chunk) -> Option<CompactString> {
    chunk.choices.first()?.finish_reason.clone()
}

fn json(value: &impl Serialize) -> String {
    // Plain structures with string keys always encode.
    serde_json::to_string(value).unwrap_or_default()
}

fn event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

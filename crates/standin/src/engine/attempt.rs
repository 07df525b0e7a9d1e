//! One attempt: the tokens generated so far, and those who read them.

use std::time::Duration;

use pimento_units::id;
use pimento_wire::api::Chat;
use pimento_wire::api::Usage;
use pimento_wire::header;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::engine::cache;
use crate::engine::settings;
use crate::engine::settings::Settings;
use crate::server::Call;
use crate::shared::Shared;
use crate::text::Mark;

/// An attempt. Clones are the same attempt.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Its name.
    pub id: String,
    /// The version that answers.
    pub version: id::Version,
    /// The answer's mark.
    pub mark: Mark,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the whole answer.
    pub total: u64,
    /// Whether the answer ends because of the caller's limit.
    pub limited: bool,
    /// Seconds since the Unix epoch at which it was taken.
    pub created: u64,
    /// Ends it.
    pub token: CancellationToken,
    made: watch::Sender<u64>,
    readers: Shared<u64>,
}

/// Tokens of an answer if the caller sets no limit.
const DEFAULT_TOKENS: u64 = 32;

/// What an attempt is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Its name.
    pub id: String,
    /// The version that answers.
    pub version: id::Version,
    /// The answer's mark.
    pub mark: Mark,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens of the whole answer.
    pub total: u64,
    /// Whether the answer ends because of the caller's limit.
    pub limited: bool,
    /// Seconds since the Unix epoch at which it was taken.
    pub created: u64,
}

/// Somebody who reads an attempt. If the last one leaves, the attempt is cancelled after a while.
#[derive(Debug)]
pub struct Reader {
    attempt: Attempt,
    linger: Duration,
}

impl Attempt {
    /// An attempt that has generated nothing.
    #[must_use]
    pub fn new(plan: Plan) -> Self {
        Self {
            id: plan.id,
            version: plan.version,
            mark: plan.mark,
            prompt: plan.prompt,
            total: plan.total,
            limited: plan.limited,
            created: plan.created,
            token: CancellationToken::new(),
            made: watch::Sender::new(0),
            readers: Shared::new(0),
        }
    }

    /// Adds a token.
    pub fn push(&self) {
        self.made.send_modify(|made| *made += 1);
    }

    /// Whether all tokens are there.
    #[must_use]
    pub fn done(&self) -> bool {
        *self.made.borrow() >= self.total
    }

    /// Waits until token `number` (from 0) is there; false if the attempt was cancelled.
    pub async fn reached(&self, number: u64) -> bool {
        let mut made = self.made.subscribe();
        tokio::select! {
            biased;
            reached = made.wait_for(|made| *made > number) => reached.is_ok(),
            () = self.token.cancelled() => false,
        }
    }

    /// Registers a reader.
    #[must_use]
    pub fn reader(&self, linger: Duration) -> Reader {
        self.readers.with(|readers| *readers += 1);
        Reader {
            attempt: self.clone(),
            linger,
        }
    }

    /// Tokens of the whole answer.
    #[must_use]
    pub fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt,
            completion_tokens: self.total,
            total_tokens: self.prompt + self.total,
        }
    }

    /// Why the answer ends.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        if self.limited { "length" } else { "stop" }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let left = self.attempt.readers.with(|readers| {
            *readers -= 1;
            *readers
        });
        if left > 0 || self.attempt.done() {
            return;
        }
        let attempt = self.attempt.clone();
        let linger = self.linger;
        tokio::spawn(async move {
            tokio::time::sleep(linger).await;
            if attempt.readers.with(|readers| *readers == 0) {
                attempt.token.cancel();
            }
        });
    }
}

/// The attempt that a call asks for.
#[must_use]
pub fn plan(call: &Call, chat: &Chat, version: id::Version, settings: &Settings) -> Attempt {
    let prompt = chat.messages.last().map_or("", |m| m.content.as_str());
    let wanted = wanted(prompt);
    let limit = chat.max_tokens.unwrap_or(DEFAULT_TOKENS).max(1);
    let (_, size) = cache::sizes(&chat.messages);
    let mark = Mark::new(prompt, &version, settings.quality(&version), settings.seed);
    Attempt::new(Plan {
        id: settings::attempt(call.header(header::ATTEMPT)).into(),
        version,
        mark,
        prompt: size,
        total: wanted.unwrap_or(limit).clamp(1, limit),
        limited: wanted.is_none_or(|wanted| wanted > limit),
        created: clock::now().millis() / 1_000,
    })
}

/// Tokens that a prompt asks for, as `answer in N tokens`.
fn wanted(prompt: &str) -> Option<u64> {
    let (_, rest) = prompt.split_once("answer in ")?;
    rest.split_once(" tokens")?.0.parse().ok()
}

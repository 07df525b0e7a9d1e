//! An attempt: the tokens generated so far, and their readers.

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

/// An attempt. Clones share its state.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The attempt id.
    pub id: String,
    /// The version that answers.
    pub version: id::Version,
    /// The mark of the answer.
    pub mark: Mark,
    /// Tokens in the prompt.
    pub prompt: u64,
    /// Tokens in the complete answer.
    pub total: u64,
    /// Whether the caller's token limit truncates the answer.
    pub truncated: bool,
    /// When it was accepted, in seconds since the Unix epoch.
    pub created: u64,
    /// Cancels it.
    pub token: CancellationToken,
    generated: watch::Sender<u64>,
    readers: Shared<u64>,
}

/// Tokens in an answer if the caller sets no limit.
const DEFAULT_TOKENS: u64 = 32;

/// The parameters of an attempt.
#[derive(Debug, Clone)]
pub struct Parameters {
    /// The attempt id.
    pub id: String,
    /// The version that answers.
    pub version: id::Version,
    /// The mark of the answer.
    pub mark: Mark,
    /// Tokens in the prompt.
    pub prompt: u64,
    /// Tokens in the complete answer.
    pub total: u64,
    /// Whether the caller's token limit truncates the answer.
    pub truncated: bool,
    /// When it was accepted, in seconds since the Unix epoch.
    pub created: u64,
}

/// A reader of an attempt. When the last one is dropped before the answer is complete, the attempt
/// is cancelled after `linger`, unless another reader is added in the meantime.
#[derive(Debug)]
pub struct Reader {
    attempt: Attempt,
    linger: Duration,
}

impl Attempt {
    /// An attempt that has generated no token yet.
    #[must_use]
    pub fn new(parameters: Parameters) -> Self {
        Self {
            id: parameters.id,
            version: parameters.version,
            mark: parameters.mark,
            prompt: parameters.prompt,
            total: parameters.total,
            truncated: parameters.truncated,
            created: parameters.created,
            token: CancellationToken::new(),
            generated: watch::Sender::new(0),
            readers: Shared::new(0),
        }
    }

    /// Adds a token.
    pub fn push(&self) {
        self.generated.send_modify(|count| *count += 1);
    }

    /// Whether all tokens were generated.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        *self.generated.borrow() >= self.total
    }

    /// Waits until token `number` (from 0) is generated. Returns false if the attempt was
    /// cancelled.
    pub async fn wait_for(&self, number: u64) -> bool {
        let mut count = self.generated.subscribe();
        tokio::select! {
            biased;
            generated = count.wait_for(|count| *count > number) => generated.is_ok(),
            () = self.token.cancelled() => false,
        }
    }

    /// Registers a reader.
    #[must_use]
    pub fn add_reader(&self, linger: Duration) -> Reader {
        self.readers.with(|readers| *readers += 1);
        Reader {
            attempt: self.clone(),
            linger,
        }
    }

    /// The token counts of the prompt and of the complete answer.
    #[must_use]
    pub fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt,
            completion_tokens: self.total,
            total_tokens: self.prompt + self.total,
        }
    }

    /// The `finish_reason` of the answer.
    #[must_use]
    pub fn finish_reason(&self) -> &'static str {
        if self.truncated { "length" } else { "stop" }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let left = self.attempt.readers.with(|readers| {
            *readers -= 1;
            *readers
        });
        if left > 0 || self.attempt.is_complete() {
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

/// Creates the attempt for a call.
#[must_use]
pub fn from_call(call: &Call, chat: &Chat, version: id::Version, settings: &Settings) -> Attempt {
    let prompt = chat.messages.last().map_or("", |m| m.content.as_str());
    let requested = requested_tokens(prompt);
    let limit = chat.max_tokens.unwrap_or(DEFAULT_TOKENS).max(1);
    let (_, tokens) = cache::sizes(&chat.messages);
    let mark = Mark::new(prompt, &version, settings.quality(&version), settings.seed);
    Attempt::new(Parameters {
        id: settings::attempt_id(call.header(header::ATTEMPT)).into(),
        version,
        mark,
        prompt: tokens,
        total: requested.unwrap_or(limit).clamp(1, limit),
        truncated: requested.is_none_or(|requested| requested > limit),
        created: clock::now().millis() / 1_000,
    })
}

/// The number of tokens that a prompt requests as `answer in N tokens`.
fn requested_tokens(prompt: &str) -> Option<u64> {
    let (_, rest) = prompt.split_once("answer in ")?;
    rest.split_once(" tokens")?.0.parse().ok()
}

//! One attempt: the tokens generated so far, and those who read them.

use std::time::Duration;

use pimento_units::id;
use pimento_wire::border::Usage;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

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

//! What entry VMs tell each other of requests under which endpoints end.

use std::time::Duration;

use pimento_policy::poison::Crash;
use pimento_units::Digest;
use pimento_units::Moment;
use serde::Deserialize;
use serde::Serialize;

/// Times that a word is told, as datagrams are lost, and the time between two. A word to another zone
/// goes to one VM there, which may be gone; after twice this time it goes to another one.
const REPEATS: u32 = 3;
const REPEAT_INTERVAL: Duration = Duration::from_millis(1_100);

/// Words that wait to be told at most.
const MAX_PENDING: usize = 512;

/// What one VM tells another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Report {
    /// An endpoint ended while the request ran there.
    Crashed {
        /// The request.
        digest: Digest,
        /// Hash of the endpoint's id.
        endpoint: u64,
        /// When the life that ended had begun, by the endpoint's clock.
        life: Option<u64>,
    },
    /// An answer to the request was whole.
    Answered {
        /// The request.
        digest: Digest,
    },
}

impl Report {
    /// An endpoint ended under a request.
    #[must_use]
    pub const fn crashed(digest: Digest, crash: Crash) -> Self {
        Self::Crashed {
            digest,
            endpoint: crash.endpoint,
            life: crash.life,
        }
    }
}

/// A word that is to be told so many times more.
#[derive(Debug)]
struct Due {
    word: Report,
    at: Moment,
    left: u32,
}

/// Words to be told.
#[derive(Debug, Default)]
pub struct Outbox {
    due: Vec<Due>,
}

impl Outbox {
    /// Has an own word told.
    pub fn push(&mut self, word: Report, now: Moment) {
        self.add(word, REPEATS, now);
    }

    /// Has a word of another zone told, which comes several times by itself.
    pub fn forward(&mut self, word: Report, now: Moment) {
        self.add(word, 1, now);
    }

    /// Leaves out a word that another VM has told, unless it was told from here already.
    pub fn cancel(&mut self, word: Report) {
        self.due
            .retain(|due| due.word != word || due.left < REPEATS);
    }

    fn add(&mut self, word: Report, left: u32, now: Moment) {
        if self.due.iter().any(|due| due.word == word) {
            return;
        }
        if self.due.len() >= MAX_PENDING {
            log::warn!("poison: Too much to tell, a word left out.");
            return;
        }
        self.due.push(Due {
            word,
            at: now,
            left,
        });
    }

    /// The words that are due.
    pub fn take_due(&mut self, now: Moment) -> Vec<Report> {
        let mut words = Vec::new();
        for due in self.due.iter_mut().filter(|due| due.at <= now) {
            words.push(due.word);
            due.left -= 1;
            due.at = now + REPEAT_INTERVAL;
        }
        self.due.retain(|due| due.left > 0);
        words
    }
}

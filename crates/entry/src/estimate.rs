//! What is expected of a request before it runs: tokens, and the share of answers that pass.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use pimento_contract::Version;
use pimento_policy::cascade;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;
use pimento_wire::api::Chat;

/// Bytes of text in a token, at the usual rate for European languages.
const BYTES: u64 = 4;

/// Bytes in a token that hardly any text goes below; what is reserved for a prompt must cover it.
const FEWEST_BYTES: u64 = 2;

/// Tokens that a message costs beside its text.
const MESSAGE: u64 = 8;

/// Answers expected before any was seen, in tokens, unless the limit is lower.
const FIRST: u64 = 256;

/// Weight of a new answer in the mean length.
const WEIGHT: f64 = 0.1;

/// Tokens that a prompt is expected to have.
#[must_use]
pub fn prompt(chat: &Chat) -> Tokens {
    count(chat, BYTES)
}

/// Tokens that a prompt hardly has more than.
#[must_use]
pub fn longest(chat: &Chat) -> Tokens {
    count(chat, FEWEST_BYTES)
}

fn count(chat: &Chat, bytes: u64) -> Tokens {
    let text: usize = chat.messages.iter().map(|m| m.content.len()).sum();
    let messages = chat.messages.len() as u64;
    Tokens((text as u64).div_ceil(bytes) + messages * MESSAGE)
}

/// What was learnt of one customer's class.
#[derive(Debug)]
struct Entry {
    customer: id::Customer,
    class: id::Class,
    length: Option<f64>,
    /// Sorted by version.
    quality: Vec<(id::Version, cascade::Estimate)>,
}

/// All that was learnt, sorted by customer and class. Bounded by the contracts.
#[derive(Debug, Default)]
pub struct Book {
    entries: Mutex<Vec<Entry>>,
}

impl Book {
    fn lock(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with<T>(
        &self,
        customer: &id::Customer,
        class: &id::Class,
        act: impl FnOnce(&mut Entry) -> T,
    ) -> T {
        let mut entries = self.lock();
        let key = (customer, class);
        let place = entries.binary_search_by(|e| (&e.customer, &e.class).cmp(&key));
        let place = place.unwrap_or_else(|place| {
            let entry = Entry {
                customer: customer.clone(),
                class: class.clone(),
                length: None,
                quality: Vec::new(),
            };
            entries.insert(place, entry);
            place
        });
        act(&mut entries[place])
    }

    /// Tokens that an answer is expected to have, at most `limit`.
    #[must_use]
    pub fn answer(&self, customer: &id::Customer, class: &id::Class, limit: Tokens) -> Tokens {
        let length = self.with(customer, class, |entry| entry.length);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a mean of token counts is small and not negative"
        )]
        let length = length.map_or(FIRST, |mean| mean as u64);
        Tokens(length.clamp(1, limit.0.max(1)))
    }

    /// Learns the length of an answer.
    pub fn answered(&self, customer: &id::Customer, class: &id::Class, tokens: Tokens) {
        #[expect(clippy::cast_precision_loss, reason = "token counts are small")]
        let tokens = tokens.0 as f64;
        self.with(customer, class, |entry| {
            let mean = entry.length.unwrap_or(tokens);
            entry.length = Some(mean + WEIGHT * (tokens - mean));
        });
    }

    /// Expected share of a version's answers that pass, and its lower bound.
    #[must_use]
    pub fn quality(
        &self,
        customer: &id::Customer,
        class: &id::Class,
        version: &Version,
        now: Moment,
    ) -> (f64, f64) {
        self.with(customer, class, |entry| {
            let estimate = entry.estimate(version);
            (estimate.mean(now), estimate.lower_bound(now))
        })
    }

    /// Learns a rating.
    pub fn rated(
        &self,
        customer: &id::Customer,
        class: &id::Class,
        version: &Version,
        pass: bool,
        now: Moment,
    ) {
        self.with(customer, class, |entry| {
            entry.estimate(version).record(pass, now);
        });
    }
}

impl Entry {
    fn estimate(&mut self, version: &Version) -> &mut cascade::Estimate {
        let place = self
            .quality
            .binary_search_by(|(known, _)| known.cmp(&version.id));
        let place = place.unwrap_or_else(|place| {
            let config = cascade::Config::default();
            let estimate = cascade::Estimate::new(version.quality, config);
            self.quality.insert(place, (version.id.clone(), estimate));
            place
        });
        &mut self.quality[place].1
    }
}

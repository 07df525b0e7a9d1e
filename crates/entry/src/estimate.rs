//! Estimates for a request before it runs: token counts, and the share of answers that pass their rating.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use pimento_contract::Version;
use pimento_policy::cascade;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;
use pimento_wire::api::Chat;

/// Bytes of text per token, typical of European languages.
const BYTES_PER_TOKEN: u64 = 4;

/// Bytes per token below which hardly any text falls. The money reserved for a prompt must cover its
/// actual tokens.
const MIN_BYTES_PER_TOKEN: u64 = 2;

/// Tokens of a message in addition to its text.
const MESSAGE_OVERHEAD_TOKENS: u64 = 8;

/// Expected length of an answer, in tokens, before any was observed.
const DEFAULT_ANSWER_TOKENS: u64 = 256;

/// Weight of a new answer in the exponentially weighted mean length.
const MEAN_WEIGHT: f64 = 0.1;

/// Expected number of tokens in a prompt.
#[must_use]
pub fn prompt_tokens(chat: &Chat) -> Tokens {
    count_tokens(chat, BYTES_PER_TOKEN)
}

/// Upper estimate of the tokens in a prompt, which hardly any text exceeds.
#[must_use]
pub fn max_prompt_tokens(chat: &Chat) -> Tokens {
    count_tokens(chat, MIN_BYTES_PER_TOKEN)
}

fn count_tokens(chat: &Chat, bytes_per_token: u64) -> Tokens {
    let text: usize = chat.messages.iter().map(|m| m.content.len()).sum();
    let messages = chat.messages.len() as u64;
    Tokens((text as u64).div_ceil(bytes_per_token) + messages * MESSAGE_OVERHEAD_TOKENS)
}

/// Statistics of one class of one customer.
#[derive(Debug)]
struct Entry {
    customer: id::Customer,
    class: id::Class,
    /// Mean length of answers in tokens; none before the first answer.
    mean_length: Option<f64>,
    /// Sorted by version.
    quality: Vec<(id::Version, cascade::Estimate)>,
}

/// Statistics per customer and class. Their number is bounded by the contracts.
#[derive(Debug, Default)]
pub struct Estimator {
    /// Sorted by customer and class.
    entries: Mutex<Vec<Entry>>,
}

impl Estimator {
    fn lock(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with_entry<T>(
        &self,
        customer: &id::Customer,
        class: &id::Class,
        update: impl FnOnce(&mut Entry) -> T,
    ) -> T {
        let mut entries = self.lock();
        let key = (customer, class);
        let index = entries.binary_search_by(|e| (&e.customer, &e.class).cmp(&key));
        let index = index.unwrap_or_else(|index| {
            let entry = Entry {
                customer: customer.clone(),
                class: class.clone(),
                mean_length: None,
                quality: Vec::new(),
            };
            entries.insert(index, entry);
            index
        });
        update(&mut entries[index])
    }

    /// Expected number of tokens in an answer, at most `limit`.
    #[must_use]
    pub fn answer_tokens(
        &self,
        customer: &id::Customer,
        class: &id::Class,
        limit: Tokens,
    ) -> Tokens {
        let length = self.with_entry(customer, class, |entry| entry.mean_length);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a mean of token counts is small and not negative"
        )]
        let length = length.map_or(DEFAULT_ANSWER_TOKENS, |mean| mean as u64);
        Tokens(length.clamp(1, limit.0.max(1)))
    }

    /// Records the length of an answer.
    pub fn record_answer(&self, customer: &id::Customer, class: &id::Class, tokens: Tokens) {
        #[expect(clippy::cast_precision_loss, reason = "token counts are small")]
        let tokens = tokens.0 as f64;
        self.with_entry(customer, class, |entry| {
            let mean = entry.mean_length.unwrap_or(tokens);
            entry.mean_length = Some(mean + MEAN_WEIGHT * (tokens - mean));
        });
    }

    /// Expected share of a version's answers that pass, and the lower bound of that share.
    #[must_use]
    pub fn quality(
        &self,
        customer: &id::Customer,
        class: &id::Class,
        version: &Version,
        now: Moment,
    ) -> (f64, f64) {
        self.with_entry(customer, class, |entry| {
            let estimate = entry.estimate(version);
            (estimate.mean(now), estimate.lower_bound(now))
        })
    }

    /// Records a rating.
    pub fn record_rating(
        &self,
        customer: &id::Customer,
        class: &id::Class,
        version: &Version,
        pass: bool,
        now: Moment,
    ) {
        self.with_entry(customer, class, |entry| {
            entry.estimate(version).record(pass, now);
        });
    }
}

impl Entry {
    fn estimate(&mut self, version: &Version) -> &mut cascade::Estimate {
        let index = self
            .quality
            .binary_search_by(|(known, _)| known.cmp(&version.id));
        let index = index.unwrap_or_else(|index| {
            let config = cascade::Config::default();
            let estimate = cascade::Estimate::new(version.quality, config);
            self.quality.insert(index, (version.id.clone(), estimate));
            index
        });
        &mut self.quality[index].1
    }
}

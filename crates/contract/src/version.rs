//! Model versions: where they run, what they cost and whether they accept new work.

use pimento_units::Money;
use pimento_units::Share;
use pimento_units::Tokens;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

/// Number of tokens that a [`Price`] is for.
pub const PRICE_TOKENS: u64 = 1_000;

/// One version of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The version's name.
    pub id: id::Version,
    /// The pool whose engines load it.
    pub pool: id::Pool,
    /// Its price.
    pub price: Price,
    /// The fraction of its answers that is expected to pass the rating, used before any was rated.
    pub quality: Share,
    /// Whether it accepts new work.
    pub status: Status,
}

/// Price of [`PRICE_TOKENS`] tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Price {
    /// Price of prompt tokens.
    pub input: Money,
    /// Price of generated tokens.
    pub output: Money,
}

/// Whether a version accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// New work may be sent to the version.
    Serving,
    /// No new work may be sent to the version; running requests may finish.
    Withdrawn,
}

impl Price {
    /// The price of a call. Prompt and generated tokens are each rounded up to a millionth.
    #[must_use]
    pub fn of(&self, input: Tokens, output: Tokens) -> Money {
        self.input.scale(input.0, PRICE_TOKENS) + self.output.scale(output.0, PRICE_TOKENS)
    }
}

//! A model version: where it runs, what it costs and whether it may take new work.

use pimento_units::Money;
use pimento_units::Share;
use pimento_units::Tokens;
use pimento_units::id;
use serde::Deserialize;
use serde::Serialize;

/// Tokens that a [`Price`] is given for.
pub const PRICE_TOKENS: u64 = 1_000;

/// One version of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The version's name.
    pub id: id::Version,
    /// The pool whose engines hold it.
    pub pool: id::Pool,
    /// What it costs.
    pub price: Price,
    /// The share of its answers that is expected to pass the rating before any was seen.
    pub quality: Share,
    /// Whether it takes new work.
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

/// Whether a version takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// New work may be sent to it.
    Serving,
    /// No new work may be sent to it; what runs may finish.
    Withdrawn,
}

impl Price {
    /// The price of a call, rounded up to a millionth.
    #[must_use]
    pub fn of(&self, input: Tokens, output: Tokens) -> Money {
        self.input.scale(input.0, PRICE_TOKENS) + self.output.scale(output.0, PRICE_TOKENS)
    }
}

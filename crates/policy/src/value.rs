//! What an answer is worth against the usual one, and what its model costs against that.
//!
//! **Load:** requests that differ a hundredfold in size, in rank and in what a larger model costs them.
//! **Without it:** each answer weighs the same, so that a short note of the lowest rank takes as much of
//! the large model as a long report, and a summary that the large model reads in 30 ms waits for its
//! share behind notes that it reads in 90. **How:** an answer is worth its work, in generated tokens,
//! less by its route's rank. Price and reading are both held against that, each compared with what is
//! usual among the service's latest requests, so that no unit of money and no speed is built in.
//!
//! **Grounds:** serving by worth for a unit of the scarce resource is the greedy rule for the fractional
//! knapsack (Dantzig, 1957). Generated tokens as the unit are those of [`crate::admission`].

use std::time::Duration;

use pimento_units::Tokens;

use crate::admission;
use crate::number;

/// What a rank is worth against the one above it. Operators rank routes and say no more; the exact
/// figure matters little: at 0.45 one answer in a hundred fewer was of use to callers.
const RANK: f64 = 0.6;

/// What the use of a prompt's token costs against that of a generated one, as models' prices are told.
const PROMPT: f64 = 0.25;

/// Share of the sums that a further request leaves: some two hundred requests are remembered, those of
/// twenty seconds at ten a second, as the mix of routes moves over minutes.
const KEPT: f64 = 0.995;

/// The least that is divided by, where nothing was seen.
const LEAST: f64 = 1e-9;

/// A request as far as its worth goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Tokens of its prompt.
    pub prompt: Tokens,
    /// Tokens that its answer is expected to have.
    pub answer: Tokens,
    /// Rank of its route; 0 is the highest.
    pub priority: u8,
}

impl Request {
    fn worth(&self) -> f64 {
        let work = admission::work(self.prompt, self.answer);
        number::float(work.0.max(1)) * RANK.powi(i32::from(self.priority))
    }

    /// Tokens by which the use of a model is paid for.
    fn paid(&self) -> f64 {
        number::float(self.answer.0) + number::float(self.prompt.0) * PROMPT
    }
}

/// What is at stake with one answer, each against the usual one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelativeValue {
    /// Its worth.
    pub value: f64,
    /// What the use of a model costs for its worth.
    pub price: f64,
    /// Reading of a usual prompt as a whole by the largest model.
    pub prefill: Duration,
}

/// What is usual among a service's latest requests: sums that forget.
#[derive(Debug, Clone, Copy, Default)]
pub struct Baseline {
    worth: f64,
    /// Of the worth's square, so that the usual worth is that of the usual unit of it.
    square: f64,
    paid: f64,
    /// Of the reading by worth.
    reading: f64,
}

impl Baseline {
    /// Counts a request, of whose prompt the largest model's reading takes `reading`.
    pub fn record(&mut self, request: &Request, reading: Duration) {
        let worth = request.worth();
        self.worth = self.worth * KEPT + worth;
        self.square = self.square * KEPT + worth * worth;
        self.paid = self.paid * KEPT + request.paid();
        self.reading = self.reading * KEPT + worth * reading.as_secs_f64();
    }

    /// What is at stake with a request's answer. One that was counted alone is the usual one.
    #[must_use]
    pub fn compare(&self, request: &Request) -> RelativeValue {
        let worth = request.worth();
        let usual = self.square / self.worth.max(LEAST);
        let price = self.paid / self.worth.max(LEAST);
        RelativeValue {
            value: worth / usual.max(LEAST),
            price: request.paid() / worth / price.max(LEAST),
            prefill: number::seconds(self.reading / self.worth.max(LEAST)),
        }
    }
}

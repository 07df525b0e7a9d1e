//! Value of an answer and price of its model, relative to a service's latest requests.
//!
//! Requests differ a hundredfold in size, in priority and in what a larger model costs them. If all
//! answers had the same value, a short note of the lowest priority would take as much of the large
//! model as a long report, and a summary that the large model prefills in 30 ms would wait behind
//! notes that take 90 ms. Here the value of an answer is its work in generated tokens, reduced by
//! the priority of its route. Price and prefill time are set against that value and compared with
//! the baseline of the service's latest requests, so that no currency and no speed is built in.
//!
//! Serving by value per unit of the scarce resource is the greedy rule for the fractional knapsack
//! (Dantzig, 1957). The unit of generated tokens is that of [`crate::admission`].

use std::time::Duration;

use pimento_units::Tokens;

use crate::admission;
use crate::number;

/// Value at one priority relative to the next higher one. Operators only order routes by priority.
/// The exact figure matters little; a lower one loses some useful answers.
const PRIORITY_FACTOR: f64 = 0.6;

/// Price of a prompt token relative to a generated one, as in common price lists of models.
const PROMPT_PRICE: f64 = 0.25;

/// Factor by which each further request reduces the sums. About two hundred requests are
/// remembered, or twenty seconds at ten requests a second; the mix of routes changes over minutes.
const DECAY: f64 = 0.995;

/// Lower bound of divisors, for sums to which nothing was added.
const EPSILON: f64 = 1e-9;

/// What determines the value of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Tokens of its prompt.
    pub prompt: Tokens,
    /// Tokens that its answer is expected to have.
    pub answer: Tokens,
    /// Priority of its route; 0 is the highest.
    pub priority: u8,
}

impl Request {
    fn value(&self) -> f64 {
        let work = admission::work(self.prompt, self.answer);
        number::float(work.0.max(1)) * PRIORITY_FACTOR.powi(i32::from(self.priority))
    }

    /// Tokens that a model's price applies to, in generated tokens.
    fn billed_tokens(&self) -> f64 {
        number::float(self.answer.0) + number::float(self.prompt.0) * PROMPT_PRICE
    }
}

/// A request compared with the baseline.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RelativeValue {
    /// Value of its answer, as a multiple of the baseline.
    pub value: f64,
    /// Price of a model's use per unit of value, as a multiple of the baseline.
    pub price: f64,
    /// Baseline engine time in which the largest model prefills a whole prompt.
    pub engine_time: Duration,
}

/// Decaying sums over a service's latest requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Baseline {
    value: f64,
    /// Sum of squared values. Divided by the sum of values it gives the mean weighted by value.
    squared_value: f64,
    billed_tokens: f64,
    /// Sum of engine times in seconds, weighted by value.
    engine_time: f64,
}

impl Baseline {
    /// Records a request. `engine_time` is that in which the largest model prefills its whole
    /// prompt.
    pub fn record(&mut self, request: &Request, engine_time: Duration) {
        let value = request.value();
        self.value = self.value * DECAY + value;
        self.squared_value = self.squared_value * DECAY + value * value;
        self.billed_tokens = self.billed_tokens * DECAY + request.billed_tokens();
        self.engine_time = self.engine_time * DECAY + value * engine_time.as_secs_f64();
    }

    /// Compares a request with the baseline. If only this request was recorded, it is the baseline.
    #[must_use]
    pub fn compare(&self, request: &Request) -> RelativeValue {
        let value = request.value();
        let mean_value = self.squared_value / self.value.max(EPSILON);
        let mean_price = self.billed_tokens / self.value.max(EPSILON);
        RelativeValue {
            value: value / mean_value.max(EPSILON),
            price: request.billed_tokens() / value / mean_price.max(EPSILON),
            engine_time: number::seconds(self.engine_time / self.value.max(EPSILON)),
        }
    }
}

//! Cascade by a model's own confidence: whether an answer is dropped in favour of a larger model's.
//!
//! The relay uses this cascade. The entry uses that of [`crate::cascade`], which has answers rated.
//!
//! Requests differ in difficulty, and models in cost and prefill speed. The small model alone
//! answers many requests too poorly to be of use. The large one alone takes several times the
//! engines' time, and under load many callers get no answer. So the smallest model answers first,
//! and the head of its answer carries its confidence before the caller has received anything. The
//! expected gain of each larger model, scaled by the value of the answer, is set against its price
//! and against the engine time it takes from other requests; the fuller the engines, the larger the
//! gain must be. An answer after the caller's target counts for less, so that a prompt which the
//! largest model is unlikely to prefill in time goes to a middle one. The confidences of larger
//! models for requests that a smaller one was unsure of are recorded and replace the initial
//! estimate.
//!
//! Cascades by a score are those of `FrugalGPT` (Chen, Zaharia and Zou, 2023). A price on a shared
//! resource that rises with its queue is the textbook one (Kelly, 1997). The pass rates below are
//! initial estimates. They come from requests that were answered by several models
//! (`docs/MEASUREMENTS.md`).

use std::time::Duration;

use pimento_units::Moment;

use crate::forecast::Forecast;
use crate::number;
use crate::value::RelativeValue;

/// Settings of the cascade.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Value of an answer after the target, as a share of that of an answer in time.
    pub late_value: f64,
    /// Weight of a model's price: the increase in the pass rate that the most expensive model must
    /// bring to an answer with the baseline price per value. A higher weight loses useful answers;
    /// with a lower one, some answers don't earn their price.
    pub price_weight: f64,
    /// Weight of the engines' load. The required increase in the pass rate is `load_weight *
    /// (next_wait / target) * engine_time / (baseline_engine_time * value)`, where `engine_time` is
    /// that of the prefill at the larger model. A higher weight loses useful answers; with a lower
    /// one, other requests wait for what is gained.
    pub load_weight: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            late_value: 0.5,
            price_weight: 0.25,
            load_weight: 1.5,
        }
    }
}

/// Share of answers that pass by confidence, with linear interpolation between the points.
const PASS_RATES: [(f64, f64); 7] = [
    (0.0, 0.05),
    (15.0, 0.2),
    (35.0, 0.25),
    (45.0, 0.5),
    (55.0, 0.65),
    (65.0, 0.92),
    (100.0, 0.97),
];

/// Share of the largest model's answers that pass.
const LARGEST_PASS_RATE: f64 = 0.93;

/// Part of the largest model's gain that a middle model reaches, by the confidence of the smallest
/// model: none for requests that are far too hard, all for those that were nearly answered.
const MIDDLE_GAIN: [(f64, f64); 4] = [(18.0, 0.0), (25.0, 0.42), (45.0, 0.85), (55.0, 1.0)];

/// Linear interpolation between points; constant before the first and after the last.
fn interpolate(points: &[(f64, f64)], x: f64) -> f64 {
    let Some(next) = points.iter().position(|(from, _)| *from > x) else {
        return points.last().map_or(0.0, |(_, y)| *y);
    };
    if next == 0 {
        return points[0].1;
    }
    let (left, right) = (points[next - 1], points[next]);
    left.1 + (right.1 - left.1) * (x - left.0) / (right.0 - left.0)
}

/// Share of answers that pass at a confidence from 0 to 100.
#[must_use]
pub fn pass_rate(confidence: u8) -> f64 {
    interpolate(&PASS_RATES, f64::from(confidence))
}

/// Initial estimate of the share of a larger model's answers that pass where a smaller one had this
/// confidence. `rank` is the larger model's place between the smallest, 0, and the largest, 1.
fn prior_pass_rate(confidence: u8, rank: f64) -> f64 {
    let passes = pass_rate(confidence).min(LARGEST_PASS_RATE);
    let middle = interpolate(&MIDDLE_GAIN, f64::from(confidence));
    // `MIDDLE_GAIN` applies to a model at rank 0.5; others are interpolated.
    let part = if rank >= 0.5 {
        middle + (1.0 - middle) * (rank - 0.5) * 2.0
    } else {
        middle * rank * 2.0
    };
    passes + (LARGEST_PASS_RATE - passes) * part
}

/// Number of answers that the initial estimate counts as.
const PRIOR_ANSWERS: f64 = 12.0;

/// Maximum number of answers remembered for each band. After a model was replaced by another
/// version, the estimate follows within about this many answers.
const MAX_ANSWERS: f64 = 120.0;

/// Number of confidence bands, which is also the width of each: ten bands of ten points.
const BANDS: usize = 10;

/// Pass rates of one larger model by the confidence of one smaller model.
#[derive(Debug, Clone)]
struct ModelPair {
    smaller: u64,
    larger: u64,
    /// For each band, the sum of the pass rates at the larger model's confidences, and their
    /// number.
    bands: [(f64, f64); BANDS],
}

/// Pass rates of larger models by the confidence of smaller ones.
#[derive(Debug, Clone, Default)]
pub struct PassRates {
    /// Sorted by the two models.
    rows: Vec<ModelPair>,
}

const fn band(confidence: u8) -> usize {
    let band = confidence as usize / BANDS;
    if band < BANDS { band } else { BANDS - 1 }
}

impl PassRates {
    fn find(&self, smaller: u64, larger: u64) -> Result<usize, usize> {
        self.rows
            .binary_search_by_key(&(smaller, larger), |row| (row.smaller, row.larger))
    }

    /// Records the confidences of a smaller and a larger model for the same request, each with the
    /// hash of its model.
    pub fn record(&mut self, smaller: (u64, u8), larger: (u64, u8)) {
        let index = self.find(smaller.0, larger.0).unwrap_or_else(|index| {
            let row = ModelPair {
                smaller: smaller.0,
                larger: larger.0,
                bands: [(0.0, 0.0); BANDS],
            };
            self.rows.insert(index, row);
            index
        });
        let (sum, count) = &mut self.rows[index].bands[band(smaller.1)];
        if *count >= MAX_ANSWERS {
            *sum *= 1.0 - 1.0 / MAX_ANSWERS;
            *count -= 1.0;
        }
        *sum += pass_rate(larger.1).min(LARGEST_PASS_RATE);
        *count += 1.0;
    }

    /// Share of a larger model's answers that pass where a smaller one had this confidence.
    fn pass_rate(&self, smaller: u64, confidence: u8, larger: &LargerModel) -> f64 {
        let prior = prior_pass_rate(confidence, larger.rank);
        let Ok(index) = self.find(smaller, larger.model) else {
            return prior;
        };
        let (sum, count) = self.rows[index].bands[band(confidence)];
        (prior * PRIOR_ANSWERS + sum) / (PRIOR_ANSWERS + count)
    }
}

/// A larger model that may be used instead.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LargerModel {
    /// Hash of the model.
    pub model: u64,
    /// Its place between the smallest model, 0, and the largest, 1.
    pub rank: f64,
    /// Price of its use, as a share of the most expensive model's.
    pub price: f64,
    /// Wait for the prompts ahead at its engine.
    pub wait: Duration,
    /// Time to prefill what is not in the engine's prefix cache.
    pub prefill: Duration,
    /// The part of that time in which other prompts wait at the engine.
    pub engine_time: Duration,
}

impl LargerModel {
    /// Expected time to its first token.
    #[must_use]
    pub fn first_token(&self) -> Duration {
        self.wait + self.prefill
    }
}

/// The answer to decide on, and the state of the engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Answer {
    /// Hash of the model that gave it.
    pub model: u64,
    /// That model's confidence, from 0 to 100.
    pub confidence: u8,
    /// When the request was received.
    pub received: Moment,
    /// Time by which the caller should have the first token.
    pub target: Duration,
    /// How long the next prompt would wait at the engines.
    pub next_wait: Duration,
    /// Value and price of the request.
    pub relative: RelativeValue,
}

impl Answer {
    /// Time until the caller should have the first token; zero once that has passed.
    #[must_use]
    pub fn time_left(&self, now: Moment) -> Duration {
        self.target.saturating_sub(now.since(self.received))
    }
}

impl Config {
    /// The index of the model that the answer is dropped for; none if the answer is forwarded.
    #[must_use]
    pub fn choose(
        &self,
        answer: &Answer,
        larger: &[LargerModel],
        pass_rates: &PassRates,
        forecast: &Forecast,
        now: Moment,
    ) -> Option<usize> {
        let left = answer.time_left(now);
        let passes = pass_rate(answer.confidence);
        let target = answer.target.as_secs_f64().max(f64::MIN_POSITIVE);
        let load = self.load_weight * answer.next_wait.as_secs_f64() / target;
        let relative = answer.relative;
        let baseline = (relative.engine_time.as_secs_f64() * relative.value).max(f64::MIN_POSITIVE);
        let price = self.price_weight * relative.price;
        let gain = |model: &LargerModel| {
            let in_time = forecast.probability(model.first_token(), left);
            let value = in_time + (1.0 - in_time) * self.late_value;
            let expected = pass_rates.pass_rate(answer.model, answer.confidence, model) * value;
            let engine_time = model.engine_time.as_secs_f64() / baseline;
            expected - passes - price * model.price - load * engine_time
        };
        let gains = larger.iter().map(gain).enumerate();
        let best = gains.max_by(|one, other| one.1.total_cmp(&other.1))?;
        (best.1 > 0.0).then_some(best.0)
    }
}

/// The rank of the model at `place` among `count` models by size: 0 for the smallest, 1 for the
/// largest.
#[must_use]
pub fn rank(place: usize, count: usize) -> f64 {
    let last = count.saturating_sub(1).max(1);
    number::float(place as u64) / number::float(last as u64)
}

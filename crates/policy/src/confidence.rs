//! Cascade by a model's own confidence: whether an answer is dropped for a larger model's.
//!
//! **Load:** requests of unlike difficulty, and models whose cost and speed of reading differ tenfold.
//! **Without it:** the small model alone answers half of the requests too poorly to be of use; the
//! large one alone takes seven times the engines' time, and under load a third of the callers get
//! nothing. **How:** the smallest model answers first, and its head brings its confidence before the
//! caller has anything. What each larger model is expected to add is weighed, by what the answer is
//! worth, against its price and the engines' time that it takes from others: the fuller the engines, the
//! more it must add. An answer that
//! would come after the caller's target counts for little, so that a prompt which the largest model
//! reads too slowly goes to a middle one. What larger models say of requests that a smaller one was
//! unsure of is kept, and replaces the first guess.
//!
//! **Grounds:** `FrugalGPT` (Chen, Zaharia and Zou, 2023) for cascades by a score; a price on a shared
//! resource that rises with its queue is the textbook one (Kelly, 1997). The curve of passing answers
//! was measured: answers of one day were asked for again below rising confidences, at the middle and
//! at the largest model, and what that added was divided by the number of those asked for again
//! (`docs/MEASUREMENTS.md`).

use std::time::Duration;

use pimento_units::Moment;

use crate::number;
use crate::value::RelativeValue;

/// Figures of a cascade by confidence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// What an answer after the target is worth, as a share.
    pub late_value: f64,
    /// What the most expensive model must add by its price to an answer that costs the usual for its
    /// worth, as a share of that. At 0.35 one answer in a hundred fewer was of use on whole days, at
    /// 0.17 the price of some was not earned.
    pub price_weight: f64,
    /// What reading the usual prompt by the largest model must add to an answer of the usual worth for
    /// each target's length that the next prompt would wait at the engines. At 3.5 one answer in a hundred fewer was of use, at 5
    /// four; at 1.8 others waited for what it gained.
    pub load_weight: f64,
    /// Share of the target that an estimate may take. For prompts that take over half a second to read it
    /// errs by 2 in 100 of the target at the median; a greater margin kept long prompts from a model that
    /// would have been in time.
    pub target_share: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            late_value: 0.3,
            price_weight: 0.25,
            load_weight: 2.5,
            target_share: 0.95,
        }
    }
}

/// Share of answers that pass at a confidence, as measured; straight between the points.
const PASSES: [(f64, f64); 7] = [
    (0.0, 0.05),
    (15.0, 0.2),
    (35.0, 0.25),
    (45.0, 0.5),
    (55.0, 0.65),
    (65.0, 0.92),
    (100.0, 0.97),
];

/// Share of the largest model's answers that pass, as measured.
const LARGEST: f64 = 0.93;

/// Part of what the largest model adds that a middle one does, by the confidence of the smallest:
/// nothing for what is far too hard, all for what was nearly right.
const MIDDLE: [(f64, f64); 4] = [(18.0, 0.0), (25.0, 0.42), (45.0, 0.85), (55.0, 1.0)];

fn at(points: &[(f64, f64)], x: f64) -> f64 {
    let Some(after) = points.iter().position(|(from, _)| *from > x) else {
        return points.last().map_or(0.0, |(_, y)| *y);
    };
    if after == 0 {
        return points[0].1;
    }
    let (left, right) = (points[after - 1], points[after]);
    left.1 + (right.1 - left.1) * (x - left.0) / (right.0 - left.0)
}

/// Share of answers that pass at a confidence.
#[must_use]
pub fn passes(confidence: u8) -> f64 {
    at(&PASSES, f64::from(confidence))
}

/// Share of a larger model's answers that pass where a smaller one had this confidence, before any
/// were seen. `rank` is the larger model's place between the smallest, 0, and the largest, 1.
fn expected(confidence: u8, rank: f64) -> f64 {
    let passes = passes(confidence).min(LARGEST);
    let middle = at(&MIDDLE, f64::from(confidence));
    // Halfway up stands the model that was measured; others lie between it and their neighbours.
    let part = if rank >= 0.5 {
        middle + (1.0 - middle) * (rank - 0.5) * 2.0
    } else {
        middle * rank * 2.0
    };
    passes + (LARGEST - passes) * part
}

/// Answers that the first guess counts for.
const PRIOR: f64 = 12.0;

/// The most answers remembered of one band: a model that is replaced by another version is known
/// again after about as many.
const MEMORY: f64 = 120.0;

/// Bands of confidence that are told apart.
const BANDS: usize = 10;

/// What larger models said of answers of one smaller model.
#[derive(Debug, Clone)]
struct Row {
    smaller: u64,
    larger: u64,
    /// For each band, the sum of what was expected to pass, and the number.
    bands: [(f64, f64); BANDS],
}

/// What was seen of confidences, sorted by the two models.
#[derive(Debug, Clone, Default)]
pub struct PassRates {
    rows: Vec<Row>,
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

    /// Learns what a larger model says of a request of which a smaller one had some confidence.
    pub fn record(&mut self, smaller: (u64, u8), larger: (u64, u8)) {
        let place = self.find(smaller.0, larger.0).unwrap_or_else(|place| {
            let row = Row {
                smaller: smaller.0,
                larger: larger.0,
                bands: [(0.0, 0.0); BANDS],
            };
            self.rows.insert(place, row);
            place
        });
        let (sum, count) = &mut self.rows[place].bands[band(smaller.1)];
        if *count >= MEMORY {
            *sum *= 1.0 - 1.0 / MEMORY;
            *count -= 1.0;
        }
        *sum += passes(larger.1).min(LARGEST);
        *count += 1.0;
    }

    /// Share of a larger model's answers that pass where a smaller one had this confidence.
    fn passes(&self, smaller: u64, confidence: u8, larger: &LargerModel) -> f64 {
        let guess = expected(confidence, larger.rank);
        let Ok(place) = self.find(smaller, larger.model) else {
            return guess;
        };
        let (sum, count) = self.rows[place].bands[band(confidence)];
        (guess * PRIOR + sum) / (PRIOR + count)
    }
}

/// A larger model that might be asked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LargerModel {
    /// Hash of the model.
    pub model: u64,
    /// Its place between the smallest model, 0, and the largest, 1.
    pub rank: f64,
    /// What its use costs, as a share of what the most expensive one costs.
    pub cost: f64,
    /// Wait for the prompts before it.
    pub wait: Duration,
    /// Reading of what the engine does not keep.
    pub prefill: Duration,
}

/// The answer at hand, and what the engines are like.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Answer {
    /// Hash of the model.
    pub model: u64,
    /// Its confidence, from 0 to 100.
    pub confidence: u8,
    /// When the request came.
    pub received: Moment,
    /// Time until the first token that the caller is to have.
    pub target: Duration,
    /// What the next prompt would wait at the engines.
    pub next_wait: Duration,
    /// What is at stake with it.
    pub relative: RelativeValue,
}

impl Config {
    /// The model that the answer is dropped for, as an index; none if it is passed on.
    #[must_use]
    pub fn choose(
        &self,
        answer: &Answer,
        larger: &[LargerModel],
        book: &PassRates,
        now: Moment,
    ) -> Option<usize> {
        let spent = now.since(answer.received);
        let passes = passes(answer.confidence);
        let target = answer.target.as_secs_f64().max(f64::MIN_POSITIVE);
        let rise = self.load_weight * answer.next_wait.as_secs_f64() / target;
        let relative = answer.relative;
        let usual = (relative.prefill.as_secs_f64() * relative.value).max(f64::MIN_POSITIVE);
        let price = self.price_weight * relative.price;
        let gain = |model: &LargerModel| {
            let first = spent + model.wait + model.prefill;
            let in_time = first <= answer.target.mul_f64(self.target_share);
            let worth = if in_time { 1.0 } else { self.late_value };
            let better = book.passes(answer.model, answer.confidence, model) * worth;
            let taken = model.prefill.as_secs_f64() / usual;
            better - passes - price * model.cost - rise * taken
        };
        let gains = larger.iter().map(gain).enumerate();
        let best = gains.max_by(|one, other| one.1.total_cmp(&other.1))?;
        (best.1 > 0.0).then_some(best.0)
    }
}

/// The place of one of `count` models between the smallest and the largest.
#[must_use]
pub fn rank(place: usize, count: usize) -> f64 {
    let last = count.saturating_sub(1).max(1);
    number::float(place as u64) / number::float(last as u64)
}

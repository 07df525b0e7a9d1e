//! Cascade by a model's own confidence: whether an answer is dropped for a larger model's.
//!
//! **Load:** requests of unlike difficulty, and models whose cost and speed of reading differ tenfold.
//! **Without it:** the small model alone answers half of the requests too poorly to be of use; the
//! large one alone takes seven times the engines' time, and under load a third of the callers get
//! nothing. **How:** the small model answers first, and its head brings its confidence before the
//! caller has anything. What a larger model's answer is expected to add is weighed against the
//! engines' time that it takes from others: the fuller the engines, the more it must add. An answer
//! that would come after the caller's target counts for little.
//!
//! **Grounds:** `FrugalGPT` (Chen, Zaharia and Zou, 2023) for cascades by a score; a price on a shared
//! resource that rises with its queue is the textbook one (Kelly, 1997). The curve of passing answers
//! was measured: answers of one day were asked for again below rising confidences, and what that
//! added was divided by the number of those asked for again (`docs/MEASUREMENTS.md`).

use std::time::Duration;

/// Figures of a cascade by confidence.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Config {
    /// Share of answers that pass at no confidence, and for each point of confidence more.
    pub least: f64,
    /// See `least`.
    pub slope: f64,
    /// Share of the largest model's answers that pass.
    pub largest: f64,
    /// What an answer after the target is worth, as a share.
    pub late: f64,
    /// What the largest model's reading of a whole prompt must add while the engines are idle, as a
    /// share of the answer's worth: the price of its use.
    pub base: f64,
    /// The same for each target's length that the next prompt would wait at the engines.
    pub rise: f64,
    /// Share of the target that an estimate may take: the rest is for its error.
    pub trust: f64,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            least: 0.05,
            slope: 0.0135,
            largest: 0.93,
            late: 0.3,
            base: 0.15,
            rise: 2.0,
            trust: 0.85,
        }
    }
}

/// A larger model that might be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Larger {
    /// Wait for the prompts before it.
    pub wait: Duration,
    /// Reading of what the engine does not keep.
    pub work: Duration,
    /// Reading of the whole prompt.
    pub full: Duration,
    /// What the next prompt would wait at the engines.
    pub next: Duration,
}

/// What is known of the answer at hand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// The model's confidence, from 0 to 100.
    pub confidence: u8,
    /// Time since the request came.
    pub spent: Duration,
    /// Time until the first token that the caller is to have.
    pub target: Duration,
}

impl Config {
    /// Whether the answer is to be dropped for the larger model's.
    #[must_use]
    pub fn drops(&self, answer: &Answer, larger: &Larger) -> bool {
        let passes = self.least + self.slope * f64::from(answer.confidence);
        let first = answer.spent + larger.wait + larger.work;
        let in_time = first <= answer.target.mul_f64(self.trust);
        let worth = if in_time { 1.0 } else { self.late };
        let adds = self.largest * worth - passes.min(self.largest);
        let taken = larger.work.as_secs_f64() / larger.full.as_secs_f64().max(f64::MIN_POSITIVE);
        adds > self.hurdle(answer, larger) * taken
    }

    /// What reading a whole prompt must add.
    fn hurdle(&self, answer: &Answer, larger: &Larger) -> f64 {
        let target = answer.target.as_secs_f64().max(f64::MIN_POSITIVE);
        self.base + self.rise * larger.next.as_secs_f64() / target
    }
}

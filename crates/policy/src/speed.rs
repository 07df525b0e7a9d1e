//! Speeds of a pool's engines relative to each other, learned by several nodes together.
//!
//! Engines of one pool may differ in hardware. Without their own speeds, prompts go to a slow engine as often as
//! to a fast one of the same load, and the expected time to a first token is wrong at both. Each prompt that found
//! its engine idle is a sample: the logarithm of the time that it took over the time that the model's prefill speed
//! predicts. One node sends too few prompts to each engine to learn alone, so nodes exchange their samples as
//! [`Sum`]s.
//!
//! An engine that pauses for a moment, or prefills the prompt of a node that did not report it, takes longer, never
//! shorter. [`Speed`] therefore keeps the distribution of the samples and takes the mean of its lower part. What
//! all engines have in common, such as a wrong estimate of the model's speed, cancels against the pool's median.
//!
//! [`Pace`] decides whether the speeds of a pool differ at all, by an analysis of variance: the variance between
//! engines must exceed by far what the variance within their samples explains. Otherwise all factors are 1, and
//! engines of equal speed are treated alike whatever the noise of their samples.

use std::time::Duration;

use pimento_units::Moment;

use crate::engine::Timing;
use crate::number;

/// Steps of a logarithm of 1, in which samples are counted: one step is a tenth.
const STEPS: f64 = 10.0;

/// The largest sample in steps, 4.5 times the expected time. A longer one is counted as this.
const MAX_STEPS: i16 = 15;

/// One bucket for each number of steps between the smallest and the largest sample.
const BUCKETS: usize = 31;

/// Maximum number of samples in one [`Sum`]. A node that could not send for long would otherwise report all its
/// samples at once.
const MAX_COUNT: u8 = 8;

/// Maximum weight of one sum. Samples that were taken close together share the same pause, if there was one, and are
/// not independent.
const MAX_SUM_WEIGHT: f64 = 2.0;

/// Half-life of a sample. It outlasts the load peaks of some seconds in which an engine gets no samples, since
/// none of its prompts finds it idle, and forgets within minutes what a node that was cut off no longer learns.
const HALF_LIFE: Duration = Duration::from_secs(30);

/// Time between samples of an engine that count. A pause of half a second in which many prompts arrive must not
/// outweigh the seconds around it.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(300);

/// Weight above which further samples do not count until some of it has decayed.
const MAX_WEIGHT: f64 = 32.0;

/// The part of the samples whose mean is the estimate. Above it are pauses, which may affect a third of the time;
/// below it are prompts whose parts were cached without the node knowing.
const TRIMMED_LOW: f64 = 0.1;
const TRIMMED_HIGH: f64 = 0.6;

/// Weight from which an engine counts when speeds are compared for the first time, and once they are known to
/// differ. A slow engine gets few prompts from then on, and its samples decay. If it no longer counted, the others
/// would look equal, and the prompts would return to it all at once.
const MIN_WEIGHT: f64 = 6.0;
const MIN_KNOWN_WEIGHT: f64 = 0.25;

/// Weight of the assumption that an engine is as fast as the median one, against samples that say that it is
/// slower and that it is faster. An engine that is wrongly taken for fast draws the prompts of all nodes; one that
/// is wrongly taken for slow is only spared.
const PRIOR_WEIGHT_SLOWER: f64 = 4.0;
const PRIOR_WEIGHT_FASTER: f64 = 12.0;

/// Engines that must have enough samples, or their variance is mere chance.
const MIN_ENGINES: usize = 3;

/// Ratio of the variance between engines to that within their samples from which they differ: `VARIANCE_RATIO`
/// for many engines, and more for few, whose variance varies by chance. Below a third of that they no longer
/// differ.
const VARIANCE_RATIO: f64 = 4.0;
const FEW_ENGINES: f64 = 8.0;

/// Standard deviation of the engines' logarithms below which their differences do not matter, and half of which
/// ends a difference.
const MIN_DEVIATION: f64 = 0.25;

/// Least variance within the samples, a tenth of the time squared: samples of one VM that are equal by chance
/// must not make a difference of a few percent significant.
const MIN_VARIANCE: f64 = 0.01;

/// Step between the logarithms of factors: each factor is 1.65 times the next lower one. Engines whose estimates
/// differ by less get the same factor. Otherwise all nodes, which know much the same samples, would send their
/// prompts to the few engines with the lowest estimates, before any of them hears of the others' prompts.
const FACTOR_STEP: f64 = 0.5;

/// The largest factor and, inverted, the smallest.
const MAX_FACTOR: f64 = 4.0;

/// Samples of one engine, as nodes exchange them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sum {
    /// Their number.
    pub count: u8,
    /// The sum of their clamped logarithms, in tenths.
    pub steps: i16,
}

impl Sum {
    /// One sample. Returns `None` if the prompt's parts seem to have been cached, which says nothing of the engine.
    #[must_use]
    pub fn sample(timing: Timing) -> Option<Self> {
        let ratio = timing.took.as_secs_f64() / timing.expected.as_secs_f64();
        let steps = ratio.ln() * STEPS;
        if steps.is_nan() || steps < -f64::from(MAX_STEPS) {
            return None;
        }
        Some(Self {
            count: 1,
            steps: rounded(steps.min(f64::from(MAX_STEPS))),
        })
    }

    /// Adds later samples. They are dropped once the sum holds `MAX_COUNT`.
    pub fn merge(&mut self, other: Self) {
        if self.count < MAX_COUNT {
            self.count = self.count.saturating_add(other.count);
            self.steps = self.steps.saturating_add(other.steps);
        }
    }

    /// Returns whether there are no samples.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.count == 0
    }

    /// Returns the bucket of the mean. Another node may have sent any numbers.
    fn bucket(self) -> Option<usize> {
        let mean = f64::from(self.steps) / f64::from(self.count);
        let limit = f64::from(MAX_STEPS);
        let mean = (!mean.is_nan()).then(|| mean.clamp(-limit, limit))?;
        usize::try_from(rounded(mean) + MAX_STEPS).ok()
    }
}

/// Rounds a small number to the nearest integer.
#[expect(
    clippy::cast_possible_truncation,
    reason = "a float to integer cast saturates"
)]
fn rounded(value: f64) -> i16 {
    value.round() as i16
}

/// What a node knows of one engine's speed.
#[derive(Debug, Clone, Default)]
pub struct Speed {
    /// Weight of the samples by their steps; empty before the first sample.
    weights: Vec<f64>,
    /// When the weights were last decayed.
    decayed: Moment,
    /// When a sample was last counted.
    counted: Option<Moment>,
}

/// The mean and the variance of an engine's samples.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Estimate {
    /// The logarithm of the time that the engine takes over the expected one.
    log: f64,
    variance: f64,
    /// The number of samples, less the older they are.
    weight: f64,
}

impl Speed {
    /// Adds samples, this node's own or those of another.
    pub fn record(&mut self, sum: Sum, now: Moment) {
        let recent = |at: Moment| now.since(at) < SAMPLE_INTERVAL;
        let Some(bucket) = sum.bucket() else {
            return;
        };
        if self.counted.is_some_and(recent) {
            return;
        }
        self.weights.resize(BUCKETS, 0.0);
        let decay = number::decay(now.since(self.decayed), HALF_LIFE);
        self.weights.iter_mut().for_each(|weight| *weight *= decay);
        self.decayed = now;
        if self.weights.iter().sum::<f64>() < MAX_WEIGHT {
            self.counted = Some(now);
            self.weights[bucket] += f64::from(sum.count).min(MAX_SUM_WEIGHT);
        }
    }

    /// Returns the estimate; `None` if there are no samples, or only old ones.
    #[must_use]
    pub fn estimate(&self, now: Moment) -> Option<Estimate> {
        let decay = number::decay(now.since(self.decayed), HALF_LIFE);
        let total: f64 = self.weights.iter().sum();
        if total * decay < MIN_KNOWN_WEIGHT {
            return None;
        }
        let steps = |bucket| f64::from(bucket) - f64::from(MAX_STEPS);
        let buckets = || (0_u32..).map(steps).zip(self.weights.iter().copied());
        let mean = buckets().map(|(at, weight)| at * weight).sum::<f64>() / total;
        let square = |(at, weight): (f64, f64)| (at - mean) * (at - mean) * weight;
        let variance = buckets().map(square).sum::<f64>() / total;
        let (low, high) = (TRIMMED_LOW * total, TRIMMED_HIGH * total);
        let mut before = 0.0;
        let mut trimmed = 0.0;
        for (at, weight) in buckets() {
            let end = before + weight;
            trimmed += at * (end.min(high) - before.max(low)).max(0.0);
            before = end;
        }
        Some(Estimate {
            log: trimmed / (high - low) / STEPS,
            variance: variance / (STEPS * STEPS),
            weight: total * decay,
        })
    }
}

/// Whether the engines of a pool differ in speed, and the median of those that are known.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Pace {
    /// The median logarithm while the speeds are known to differ.
    median: Option<f64>,
}

impl Pace {
    /// Compares the engines of the pool.
    pub fn update(&mut self, estimates: &[Estimate]) {
        let known = self.median.is_some();
        let least = if known { MIN_KNOWN_WEIGHT } else { MIN_WEIGHT };
        let mut compared: Vec<Estimate> = estimates
            .iter()
            .copied()
            .filter(|e| e.weight >= least)
            .collect();
        compared.sort_by(|one, other| one.log.total_cmp(&other.log));
        let middle = compared.len().saturating_sub(1) / 2;
        self.median = compared
            .get(middle)
            .map(|engine| engine.log)
            .filter(|_| compared.len() >= MIN_ENGINES && differ(&compared, known));
    }

    /// Returns whether the speeds are known to differ.
    #[must_use]
    pub const fn is_uneven(&self) -> bool {
        self.median.is_some()
    }

    /// Returns the factor by which an engine takes longer than the median one. It is exactly 1 if the speeds are
    /// not known to differ, and close to 1 for an engine with few samples.
    #[must_use]
    pub fn factor(&self, estimate: Option<Estimate>) -> f64 {
        let Some((median, engine)) = self.median.zip(estimate) else {
            return 1.0;
        };
        let log = engine.log - median;
        let prior = if log > 0.0 {
            PRIOR_WEIGHT_SLOWER
        } else {
            PRIOR_WEIGHT_FASTER
        };
        let log = log * engine.weight / (engine.weight + prior);
        let factor = ((log / FACTOR_STEP).round() * FACTOR_STEP).exp();
        factor.clamp(1.0 / MAX_FACTOR, MAX_FACTOR)
    }
}

/// Whether engines differ by more than their samples do by chance; `known` if they did before.
fn differ(engines: &[Estimate], known: bool) -> bool {
    let sum = |of: fn(&Estimate) -> f64| engines.iter().map(of).sum::<f64>();
    let weight = sum(|e| e.weight);
    let count = number::float(u64::try_from(engines.len()).unwrap_or(u64::MAX));
    let mean = sum(|e| e.log * e.weight) / weight;
    let within = (sum(|e| e.variance * e.weight) / weight).max(MIN_VARIANCE);
    let squares = engines.iter().map(|e| (e.log - mean) * (e.log - mean));
    let weighted = squares.clone().zip(engines).map(|(s, e)| s * e.weight);
    let between = weighted.sum::<f64>() / (count - 1.0);
    let deviation = (squares.sum::<f64>() / count).sqrt();
    let ratio = VARIANCE_RATIO * (1.0 + FEW_ENGINES / (count - 1.0));
    if known {
        between > within * ratio / 3.0 && deviation > MIN_DEVIATION / 2.0
    } else {
        between > within * ratio && deviation > MIN_DEVIATION
    }
}

//! Roll-outs in stages: which sessions use the new version, and when the next stage or a withdrawal
//! is due. The crates entry and control use these. Roll-outs by a deadline, which the relay uses,
//! are those of [`crate::shift`].
//!
//! A version may turn bad while it is rolled out. A weight drawn for each request would move
//! sessions back and forth, a split by `hash mod n` would move most sessions at each change of
//! weight, and a bad version would be found by callers. Here each session has one fixed position
//! between 0 and 1 for each new version and uses that version if the position is below the weight,
//! so that a rising weight only moves sessions to the new version. A gate compares the evidence on
//! the new version with that on the old one. Enough good evidence allows the next stage. Evidence
//! that chance hardly explains withdraws the version at once, long before the samples are complete.
//!
//! The fixed position is weighted rendezvous hashing. The bounds are Wilson's (1927), which hold
//! for few samples and for shares near 0 and 1. Because the evidence is evaluated repeatedly, the
//! bound is 99% rather than the usual 95%.

use std::time::Duration;

use pimento_contract::Rollout;
use pimento_contract::rollout::Gate;
use pimento_contract::rollout::Status;
use pimento_units::Moment;
use pimento_units::Share;
use pimento_units::id;
use pimento_units::share;

use crate::number;

/// Half-life of evidence. The stages of a roll-out last minutes to hours; a longer memory would
/// hide a version that turned bad after a good start.
const HALF_LIFE: Duration = Duration::from_mins(10);

/// Standard deviations of a one-sided 99% bound.
const DEVIATIONS: f64 = 2.33;

/// Minimum number of samples that can withdraw a version, because three failures in a row may be
/// chance.
const MIN_SAMPLES: f64 = 5.0;

/// Evidence on one version in one stage.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Evidence {
    rated: f64,
    passed: f64,
    attempts: f64,
    failed: f64,
    /// Sum of the times of timed attempts, in the unit of the caller: seconds per token, or seconds
    /// to the first byte.
    time_sum: f64,
    /// Attempts whose time is known.
    timed_attempts: f64,
    /// When the sums were last updated.
    updated: Moment,
}

/// Counts of one stage as another process reports them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counts {
    /// Rated answers.
    pub rated: u32,
    /// Answers that passed.
    pub passed: u32,
    /// Attempts.
    pub attempts: u32,
    /// Attempts that failed.
    pub failed: u32,
    /// Mean time of an answered attempt, in any unit that is the same for all versions; none if it
    /// is unknown.
    pub mean_time: Option<f64>,
}

impl From<Counts> for Evidence {
    fn from(counts: Counts) -> Self {
        let answered = f64::from(counts.attempts.saturating_sub(counts.failed));
        // Attempts of unknown time must not count as instant, or any version compared with them
        // would seem slow.
        let timed = counts.mean_time.map_or(0.0, |_| answered);
        Self {
            rated: f64::from(counts.rated),
            passed: f64::from(counts.passed),
            attempts: f64::from(counts.attempts),
            failed: f64::from(counts.failed),
            time_sum: counts.mean_time.unwrap_or(0.0) * timed,
            timed_attempts: timed,
            updated: Moment::ZERO,
        }
    }
}

/// Decision of the gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// There is not enough evidence, or the stage has not lasted long enough.
    Wait,
    /// The next stage may begin.
    Advance,
    /// The new version is worse than the gate allows, and must no longer be used.
    Withdraw(Cause),
}

/// Why a version is withdrawn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Its answers pass too seldom.
    Quality,
    /// Its attempts fail too often.
    Errors,
    /// It is too slow.
    Latency,
}

impl Evidence {
    /// Records a rating.
    pub fn record_rating(&mut self, pass: bool, now: Moment) {
        self.decay(now);
        self.rated += 1.0;
        self.passed += if pass { 1.0 } else { 0.0 };
    }

    /// Records an answered attempt with its seconds per token.
    pub fn record_answer(&mut self, seconds_per_token: f64, now: Moment) {
        self.decay(now);
        self.attempts += 1.0;
        self.time_sum += seconds_per_token;
        self.timed_attempts += 1.0;
    }

    /// Records an attempt that failed because of the version or its engine.
    pub fn record_failure(&mut self, now: Moment) {
        self.decay(now);
        self.attempts += 1.0;
        self.failed += 1.0;
    }

    /// Adds another node's evidence from about the same time.
    pub fn merge(&mut self, other: &Self) {
        self.rated += other.rated;
        self.passed += other.passed;
        self.attempts += other.attempts;
        self.failed += other.failed;
        self.time_sum += other.time_sum;
        self.timed_attempts += other.timed_attempts;
        self.updated = self.updated.max(other.updated);
    }

    /// Decayed number of ratings.
    #[must_use]
    pub const fn ratings(&self) -> f64 {
        self.rated
    }

    fn decay(&mut self, now: Moment) {
        let decay = number::decay(now.since(self.updated), HALF_LIFE);
        self.updated = self.updated.max(now);
        let Self {
            rated,
            passed,
            attempts,
            failed,
            time_sum,
            timed_attempts,
            updated: _,
        } = self;
        for sum in [rated, passed, attempts, failed, time_sum, timed_attempts] {
            *sum *= decay;
        }
    }

    fn quality(&self) -> f64 {
        self.passed / self.rated.max(f64::MIN_POSITIVE)
    }

    /// The number of attempts.
    pub(crate) const fn attempts(&self) -> f64 {
        self.attempts
    }

    /// The number of attempts whose time is known, and their mean time; none if there are none.
    pub(crate) fn times(&self) -> Option<(f64, f64)> {
        let timed = self.timed_attempts > 0.0 && self.time_sum > 0.0;
        timed.then(|| (self.timed_attempts, self.time_sum / self.timed_attempts))
    }

    /// The share of attempts that failed.
    #[must_use]
    pub fn error_rate(&self) -> f64 {
        self.failed / self.attempts.max(f64::MIN_POSITIVE)
    }

    fn mean_time(&self) -> Option<f64> {
        (self.timed_attempts >= MIN_SAMPLES).then(|| self.time_sum / self.timed_attempts)
    }
}

/// Evaluates the new version by the evidence on it and on the version that it replaces.
#[must_use]
pub fn evaluate(new: &Evidence, old: &Evidence, gate: &Gate, in_stage: Duration) -> Verdict {
    if let Some(cause) = regression(new, old, gate) {
        return Verdict::Withdraw(cause);
    }
    let enough = new.rated >= f64::from(gate.samples) && in_stage >= gate.dwell.duration();
    let good =
        new.quality() >= required_quality(old, gate) && new.error_rate() <= gate.errors.value();
    if enough && good {
        Verdict::Advance
    } else {
        Verdict::Wait
    }
}

/// Why the evidence shows the new version to be worse than the gate allows; none if it does not.
#[must_use]
pub fn regression(new: &Evidence, old: &Evidence, gate: &Gate) -> Option<Cause> {
    let (_, best) = wilson(new.passed, new.rated);
    if new.rated >= MIN_SAMPLES && best < required_quality(old, gate) {
        return Some(Cause::Quality);
    }
    let (least, _) = wilson(new.failed, new.attempts);
    if new.attempts >= MIN_SAMPLES && least > gate.errors.value() {
        return Some(Cause::Errors);
    }
    let ratio = new.mean_time()? / old.mean_time()?;
    let slow =
        new.timed_attempts >= f64::from(gate.samples) && ratio * 100.0 > f64::from(gate.latency);
    slow.then_some(Cause::Latency)
}

/// The share of passing answers that the new version must reach. Without ratings of the old version
/// there is nothing to compare with, and quality cannot withdraw the new one.
fn required_quality(old: &Evidence, gate: &Gate) -> f64 {
    if old.rated < MIN_SAMPLES {
        return 0.0;
    }
    (old.quality() - gate.quality.value()).max(0.0)
}

/// Confidence bounds of the true share when `hits` of `total` were observed (Wilson, 1927).
fn wilson(hits: f64, total: f64) -> (f64, f64) {
    if total <= 0.0 {
        return (0.0, 1.0);
    }
    let share = hits / total;
    let square = DEVIATIONS * DEVIATIONS;
    let middle = share + square / (2.0 * total);
    let spread =
        DEVIATIONS * (share * (1.0 - share) / total + square / (4.0 * total * total)).sqrt();
    let scale = 1.0 + square / total;
    ((middle - spread) / scale, (middle + spread) / scale)
}

/// Whether `session` uses the new version `to` at this weight. If it does so at one weight, it does
/// at every higher one.
#[must_use]
pub fn uses_new_version(session: id::Session, to: &id::Version, weight: Share) -> bool {
    let (high, low) = session.0.as_u64_pair();
    let version = xxhash_rust::xxh3::xxh3_64(to.as_str().as_bytes());
    let position = number::mix(number::mix(high, low), version);
    let wide = u128::from(position) * u128::from(share::PARTS);
    u32::try_from(wide >> 64).unwrap_or(u32::MAX) < weight.parts()
}

/// The version that a session uses in place of `version`, following the roll-outs that replace it.
/// `allowed` tells whether a version may be used; a roll-out to one that may not is skipped. With
/// `only_done` set, only roll-outs that are done are followed.
#[must_use]
pub fn version_for<'a>(
    session: id::Session,
    version: &'a id::Version,
    rollouts: &[&'a Rollout],
    only_done: bool,
    allowed: impl Fn(&id::Version) -> bool,
) -> &'a id::Version {
    let mut current = version;
    // Each step follows one roll-out. The number of steps is bounded, in case roll-outs form a
    // cycle.
    for _ in 0..rollouts.len() {
        let next = rollouts.iter().find(|rollout| {
            let counts = !only_done || rollout.status == Status::Done;
            let applies = counts && rollout.from == *current && allowed(&rollout.to);
            applies && uses_new_version(session, &rollout.to, rollout.weight())
        });
        match next {
            Some(rollout) => current = &rollout.to,
            None => break,
        }
    }
    current
}

//! Roll-outs: which sessions use the new version, and when the next stage or the end is due.
//!
//! **Load:** a version that turns bad while it is brought in. **Without it:** a weight drawn for
//! each request moves sessions to and fro; a split by `hash mod n` moves most of them at each
//! change of weight; and a bad version is found by callers. **How:** each session has one fixed
//! place between 0 and 1 for each new version, and uses it if the place is below the weight, so
//! that a rising weight only ever moves sessions in. A gate compares the evidence on the new
//! version with that on the old one: enough good evidence allows the next stage, and evidence that
//! chance hardly explains withdraws the version at once, long before the samples are complete.
//!
//! **Grounds:** the fixed place is rendezvous hashing with weights; bounds are Wilson's (1927),
//! which hold for few samples and shares near 0 and 1. As the evidence is looked at again and
//! again, the bound is 99% and not the usual 95%.

use std::time::Duration;

use pimento_contract::Rollout;
use pimento_contract::rollout::Gate;
use pimento_contract::rollout::Status;
use pimento_units::Moment;
use pimento_units::Share;
use pimento_units::id;
use pimento_units::share;

use crate::number;

/// Half-life of evidence. A roll-out's stages last minutes to hours; older evidence than that
/// would hide a version that turned bad after a good start.
const MEMORY: Duration = Duration::from_mins(10);

/// Standard deviations of a one-sided 99% bound.
const CAUTION: f64 = 2.33;

/// The fewest samples that can withdraw a version: three failures in a row are no news.
const FEWEST: f64 = 5.0;

/// Evidence on one version in one stage.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Evidence {
    rated: f64,
    passed: f64,
    attempts: f64,
    failed: f64,
    seconds: f64,
    timed: f64,
    at: Moment,
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
    /// Time that an answered attempt took, in any measure that is the same for all versions; none
    /// if it is not known.
    pub mean_time: Option<f64>,
}

impl From<Counts> for Evidence {
    fn from(counts: Counts) -> Self {
        let answered = f64::from(counts.attempts.saturating_sub(counts.failed));
        // Attempts of unknown time must not count as instant ones: a version beside them would seem
        // endlessly slow.
        let timed = counts.mean_time.map_or(0.0, |_| answered);
        Self {
            rated: f64::from(counts.rated),
            passed: f64::from(counts.passed),
            attempts: f64::from(counts.attempts),
            failed: f64::from(counts.failed),
            seconds: counts.mean_time.unwrap_or(0.0) * timed,
            timed,
            at: Moment::ZERO,
        }
    }
}

/// What the gate says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Not enough evidence, or not long enough in this stage.
    Wait,
    /// The next stage may begin.
    Advance,
    /// The new version is worse than the gate allows.
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
    /// Counts a rating.
    pub fn record_rating(&mut self, pass: bool, now: Moment) {
        self.age(now);
        self.rated += 1.0;
        self.passed += if pass { 1.0 } else { 0.0 };
    }

    /// Counts an attempt that was answered, with the seconds for a token that it took.
    pub fn record_answer(&mut self, pace: f64, now: Moment) {
        self.age(now);
        self.attempts += 1.0;
        self.seconds += pace;
        self.timed += 1.0;
    }

    /// Counts an attempt that failed by the version's or its engine's fault.
    pub fn record_failure(&mut self, now: Moment) {
        self.age(now);
        self.attempts += 1.0;
        self.failed += 1.0;
    }

    /// Adds another node's evidence of about the same time.
    pub fn merge(&mut self, other: &Self) {
        self.rated += other.rated;
        self.passed += other.passed;
        self.attempts += other.attempts;
        self.failed += other.failed;
        self.seconds += other.seconds;
        self.timed += other.timed;
        self.at = self.at.max(other.at);
    }

    /// Ratings that it rests on.
    #[must_use]
    pub const fn ratings(&self) -> f64 {
        self.rated
    }

    fn age(&mut self, now: Moment) {
        let kept = number::decay(now.since(self.at), MEMORY);
        self.at = self.at.max(now);
        let Self {
            rated,
            passed,
            attempts,
            failed,
            seconds,
            timed,
            at: _,
        } = self;
        for sum in [rated, passed, attempts, failed, seconds, timed] {
            *sum *= kept;
        }
    }

    fn quality(&self) -> f64 {
        self.passed / self.rated.max(f64::MIN_POSITIVE)
    }

    /// The share of failed attempts.
    #[must_use]
    pub fn error_rate(&self) -> f64 {
        self.failed / self.attempts.max(f64::MIN_POSITIVE)
    }

    fn pace(&self) -> Option<f64> {
        (self.timed >= FEWEST).then(|| self.seconds / self.timed)
    }
}

/// Judges the new version by the evidence on it and on the one that it replaces.
#[must_use]
pub fn evaluate(new: &Evidence, old: &Evidence, gate: &Gate, in_stage: Duration) -> Verdict {
    if let Some(cause) = regression(new, old, gate) {
        return Verdict::Withdraw(cause);
    }
    let enough = new.rated >= f64::from(gate.samples) && in_stage >= gate.dwell.duration();
    let good = new.quality() >= wanted(old, gate) && new.error_rate() <= gate.errors.value();
    if enough && good {
        Verdict::Advance
    } else {
        Verdict::Wait
    }
}

/// Whether the evidence shows the new version to be worse than the gate allows.
#[must_use]
pub fn regression(new: &Evidence, old: &Evidence, gate: &Gate) -> Option<Cause> {
    let (_, best) = wilson(new.passed, new.rated);
    if new.rated >= FEWEST && best < wanted(old, gate) {
        return Some(Cause::Quality);
    }
    let (least, _) = wilson(new.failed, new.attempts);
    if new.attempts >= FEWEST && least > gate.errors.value() {
        return Some(Cause::Errors);
    }
    let ratio = new.pace()? / old.pace()?;
    let slow = new.timed >= f64::from(gate.samples) && ratio * 100.0 > f64::from(gate.latency);
    slow.then_some(Cause::Latency)
}

/// The share of passing answers that the new version must reach. Without evidence on the old one
/// there is nothing to compare with, and only errors can withdraw.
fn wanted(old: &Evidence, gate: &Gate) -> f64 {
    if old.rated < FEWEST {
        return 0.0;
    }
    (old.quality() - gate.quality.value()).max(0.0)
}

/// Bounds of the true share when `hits` of `total` were seen.
fn wilson(hits: f64, total: f64) -> (f64, f64) {
    if total <= 0.0 {
        return (0.0, 1.0);
    }
    let share = hits / total;
    let square = CAUTION * CAUTION;
    let middle = share + square / (2.0 * total);
    let spread = CAUTION * (share * (1.0 - share) / total + square / (4.0 * total * total)).sqrt();
    let scale = 1.0 + square / total;
    ((middle - spread) / scale, (middle + spread) / scale)
}

/// Whether `session` uses the version that comes in at this weight. Once true for a weight, it is
/// true for every higher one.
#[must_use]
pub fn uses_new_version(session: id::Session, to: &id::Version, weight: Share) -> bool {
    let (high, low) = session.0.as_u64_pair();
    let version = xxhash_rust::xxh3::xxh3_64(to.as_str().as_bytes());
    let place = number::mix(number::mix(high, low), version);
    let wide = u128::from(place) * u128::from(share::PARTS);
    u32::try_from(wide >> 64).unwrap_or(u32::MAX) < weight.parts()
}

/// The version that a session uses in place of `version`, following the roll-outs that replace it.
/// `allowed` says whether a version may be used; a roll-out to one that may not is passed over.
/// With `settled` set, only roll-outs that are done count.
#[must_use]
pub fn version_for<'a>(
    session: id::Session,
    version: &'a id::Version,
    rollouts: &[&'a Rollout],
    settled: bool,
    allowed: impl Fn(&id::Version) -> bool,
) -> &'a id::Version {
    let mut current = version;
    // Each step follows one roll-out; a cycle among them can't hold a request for ever.
    for _ in 0..rollouts.len() {
        let next = rollouts.iter().find(|rollout| {
            let counts = !settled || rollout.status == Status::Done;
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

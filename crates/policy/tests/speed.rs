//! Speeds of engines, learned from samples while the engines pause in rotation.

use std::time::Duration;

use pimento_policy::engine::Timing;
use pimento_policy::speed::Estimate;
use pimento_policy::speed::Pace;
use pimento_policy::speed::Speed;
use pimento_policy::speed::Sum;
use pimento_units::Moment;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const ENGINES: u32 = 90;

/// A pool in which chance makes more of a difference.
const FEW_ENGINES: u32 = 3;

const EXPECTED: Duration = Duration::from_millis(80);

/// Of every three engines, one is slow.
const UNEVEN: [f64; 3] = [0.7, 0.7, 1.7];
const EVEN: [f64; 3] = [1.0; 3];

fn at(millis: u32) -> Moment {
    Moment::ZERO + Duration::from_millis(u64::from(millis))
}

/// Whether an engine pauses: 600 ms of each 4 s, one after the other.
fn pauses(engine: u32, millis: u32) -> bool {
    (millis + engine * 1_733) % 4_000 < 600
}

fn sample(ratio: f64) -> Sum {
    let took = EXPECTED.mul_f64(ratio);
    let expected = EXPECTED;
    Sum::sample(Timing { expected, took }).unwrap()
}

/// Engines as one node knows them.
struct Pool {
    speeds: Vec<Speed>,
    pace: Pace,
    random: StdRng,
}

impl Pool {
    fn new(engines: u32, seed: u64) -> Self {
        Self {
            speeds: vec![Speed::default(); engines as usize],
            pace: Pace::default(),
            random: StdRng::seed_from_u64(seed),
        }
    }

    /// Measures engines that take `factors` of the expected time, from one moment on for some seconds.
    /// Each second as many prompts as there are engines find one idle. Every fifth of them waits for
    /// another one that was not reported. Returns whether the speeds seemed
    /// to differ at any time.
    fn run(&mut self, factors: [f64; 3], from: u32, seconds: u32) -> bool {
        let mut uneven = false;
        let engines = u32::try_from(self.speeds.len()).unwrap();
        for step in 0..seconds * engines {
            let millis = from + step * 1_000 / engines;
            let engine = self.random.random_range(0..engines);
            let mut ratio = factors[engine as usize % 3] * self.random.random_range(0.9..1.1);
            if pauses(engine, millis) {
                ratio *= 2.5;
            }
            if self.random.random_bool(0.2) {
                ratio *= self.random.random_range(1.0..2.0);
            }
            self.speeds[engine as usize].record(sample(ratio), at(millis));
            if step % engines.div_ceil(2) == 0 {
                self.update(millis);
                uneven |= self.pace.is_uneven();
            }
        }
        self.update(from + seconds * 1_000);
        uneven
    }

    fn update(&mut self, millis: u32) {
        let now = at(millis);
        let estimates = self.speeds.iter().filter_map(|speed| speed.estimate(now));
        self.pace.update(&estimates.collect::<Vec<Estimate>>());
    }

    /// The factors of the fast engines and those of the slow ones.
    fn factors(&self, millis: u32) -> (Vec<f64>, Vec<f64>) {
        let factor = |speed: &Speed| self.pace.factor(speed.estimate(at(millis)));
        let factors = self.speeds.iter().map(factor).enumerate();
        let (slow, fast): (Vec<_>, Vec<_>) = factors.partition(|(engine, _)| engine % 3 == 2);
        let plain = |factors: Vec<(usize, f64)>| factors.into_iter().map(|(_, factor)| factor);
        (plain(fast).collect(), plain(slow).collect())
    }
}

fn least(factors: &[f64]) -> f64 {
    factors.iter().copied().fold(f64::INFINITY, f64::min)
}

fn most(factors: &[f64]) -> f64 {
    factors.iter().copied().fold(0.0, f64::max)
}

/// Guards against engines that are taken for slow because they paused while they were measured, or for fast
/// because they did not.
#[test]
fn slow_engines_are_told_from_fast_ones_that_pause() {
    for seed in 0..8 {
        let mut pool = Pool::new(ENGINES, seed);
        pool.run(UNEVEN, 0, 15);
        let (fast, slow) = pool.factors(15_000);
        assert!(
            least(&slow) > most(&fast),
            "seed {seed}: {slow:?} over {fast:?}"
        );
        assert!(most(&fast) < 1.4 && least(&slow) > 1.5, "seed {seed}");
    }
}

/// Guards against noise that is taken for speed, so that engines of equal speed get unequal load.
#[test]
fn engines_of_equal_speed_keep_a_factor_of_one() {
    for seed in 0..200 {
        let engines = if seed < 8 { ENGINES } else { FEW_ENGINES };
        let mut pool = Pool::new(engines, seed);
        assert!(!pool.run(EVEN, 0, 180), "{engines} engines, seed {seed}");
        let (fast, slow) = pool.factors(180_000);
        assert!(
            fast.iter()
                .chain(&slow)
                .all(|factor| (factor - 1.0).abs() < f64::EPSILON)
        );
    }
}

/// Guards against a model that is estimated wrongly and makes all its engines look slow.
#[test]
fn a_wrong_estimate_of_the_model_cancels() {
    let mut pool = Pool::new(ENGINES, 1);
    pool.run(UNEVEN.map(|factor| factor * 1.6), 0, 30);
    let (fast, slow) = pool.factors(30_000);
    assert!(most(&fast) < 1.4 && least(&fast) > 0.75, "{fast:?}");
    assert!(least(&slow) > 1.4, "{slow:?}");
}

/// Guards against load that is moved for differences of a tenth, which change from minute to minute.
#[test]
fn small_differences_do_not_count() {
    let mut pool = Pool::new(ENGINES, 1);
    for round in 0..60 {
        for (engine, speed) in pool.speeds.iter_mut().enumerate() {
            let ratio = if engine % 3 == 2 { 1.1 } else { 1.0 };
            speed.record(sample(ratio), at(round * 500));
        }
        pool.update(round * 500);
        assert!(!pool.pace.is_uneven());
    }
}

/// Guards against two pauses during a burst of prompts that outweigh what was measured before.
#[test]
fn pauses_under_many_prompts_move_an_estimate_little() {
    let mut pool = Pool::new(ENGINES, 1);
    pool.run(UNEVEN, 0, 20);
    let (before, _) = pool.factors(20_000);
    for millis in (20_000..21_200).step_by(10) {
        pool.speeds[0].record(sample(0.7 * 2.5), at(millis));
    }
    pool.update(21_200);
    let (after, _) = pool.factors(21_200);
    assert!(after[0] < before[0] * 1.1, "{} to {}", before[0], after[0]);
}

/// Guards against a VM that was cut off and goes by what engines were minutes ago.
#[test]
fn speeds_that_are_no_longer_measured_are_forgotten() {
    let mut pool = Pool::new(ENGINES, 1);
    pool.run(UNEVEN, 0, 20);
    let (_, slow) = pool.factors(20_000);
    assert!(most(&slow) > 1.0);
    pool.update(200_000);
    let (_, later) = pool.factors(200_000);
    assert!(most(&later) <= 1.0, "{later:?} after {slow:?}");
    pool.update(320_000);
    assert!(!pool.pace.is_uneven());
    let (fast, slow) = pool.factors(320_000);
    assert!(
        fast.iter()
            .chain(&slow)
            .all(|factor| (factor - 1.0).abs() < f64::EPSILON)
    );
}

/// Guards against engines that look fast because they had cached a prompt without the VM knowing, and against
/// numbers in datagrams that no VM sends.
#[test]
fn senseless_samples_do_not_count() {
    let took = EXPECTED / 10;
    let expected = EXPECTED;
    assert_eq!(Sum::sample(Timing { expected, took }), None);
    let mut speed = Speed::default();
    for (count, steps) in [(0, 5), (255, i16::MAX), (1, i16::MIN)] {
        speed.record(Sum { count, steps }, at(1_000));
        assert!(speed.estimate(at(1_000)).is_none_or(|known| known == known));
    }
}

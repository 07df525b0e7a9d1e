//! What is learnt of estimates that are wrong.

use std::time::Duration;

use pimento_policy::confidence::Answer;
use pimento_policy::confidence::Config;
use pimento_policy::confidence::LargerModel;
use pimento_policy::confidence::PassRates;
use pimento_policy::forecast::Forecast;
use pimento_policy::value::RelativeValue;
use pimento_units::Moment;

const TARGET: Duration = Duration::from_secs(2);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Confidences of an answer that is almost certainly poor, and of one that may pass.
const POOR: u8 = 5;
const DOUBTFUL: u8 = 40;

/// Whether an answer to a typical request is dropped for a larger model that is expected after `estimate`.
fn dropped(forecast: &Forecast, estimate: Duration, confidence: u8) -> bool {
    let prefill = millis(200);
    let answer = Answer {
        model: 1,
        confidence,
        received: Moment::ZERO,
        target: TARGET,
        next_wait: Duration::ZERO,
        relative: RelativeValue {
            value: 1.0,
            price: 1.0,
            engine_time: prefill,
        },
    };
    let larger = LargerModel {
        model: 2,
        rank: 1.0,
        price: 1.0,
        wait: estimate.saturating_sub(prefill),
        prefill,
        engine_time: prefill,
    };
    let rates = PassRates::default();
    let chosen = Config::default().choose(&answer, &[larger], &rates, forecast, Moment::ZERO);
    chosen.is_some()
}

/// A forecast after estimates of which the actual times were these multiples, in turn.
fn recorded(estimate: Duration, ratios: &[f64]) -> Forecast {
    let mut forecast = Forecast::default();
    for ratio in ratios.iter().cycle().take(200) {
        forecast.record(estimate, estimate.mul_f64(*ratio));
    }
    forecast
}

/// Guards against callers who keep an answer known to be poor because an estimate is a little over
/// the target, while half of such estimates are too long.
#[test]
fn an_estimate_a_little_over_the_target_does_not_rule_out_a_larger_model() {
    let unknown = Forecast::default();
    assert!(dropped(&unknown, TARGET.mul_f64(1.2), POOR));
    let too_long = recorded(TARGET.mul_f64(1.2), &[0.4, 0.5, 0.6, 1.1]);
    assert!(too_long.probability(TARGET.mul_f64(1.2), TARGET) > 0.6);
}

/// Guards against callers who wait far beyond their target for a larger model where estimates have
/// been too short.
#[test]
fn a_larger_model_is_left_out_where_it_has_been_late() {
    let late = recorded(millis(1_800), &[2.0, 3.0, 4.5]);
    assert!(late.probability(millis(1_800), TARGET) < 0.1);
    assert!(!dropped(&late, millis(1_800), DOUBTFUL));
    // An answer that is of no use is given up for a late one.
    assert!(dropped(&late, millis(1_800), POOR));
    let early = recorded(millis(1_800), &[0.8, 1.0, 1.05]);
    assert!(dropped(&early, millis(1_800), DOUBTFUL));
}

/// Guards against short estimates, which a single long prompt of another node exceeds many times,
/// that spoil the forecast of long ones.
#[test]
fn bands_of_estimates_are_forecast_apart() {
    let mut forecast = recorded(millis(1_500), &[0.9]);
    for _ in 0..100 {
        forecast.record(millis(60), millis(900));
    }
    assert!(forecast.probability(millis(60), millis(300)) < 0.2);
    assert!(forecast.probability(millis(1_500), TARGET) > 0.85);
}

/// Guards against a forecast that keeps to what it saw before load changed.
#[test]
fn a_forecast_follows_a_change_within_some_dozens_of_estimates() {
    let mut forecast = recorded(millis(800), &[4.0]);
    let before = forecast.probability(millis(800), TARGET);
    for _ in 0..120 {
        forecast.record(millis(800), millis(800));
    }
    let after = forecast.probability(millis(800), TARGET);
    assert!(before < 0.2 && after > 0.8, "{before:.2} {after:.2}");
}

/// Guards against a probability that falls while more time is left, which would make the cascade
/// give up a request that has come earlier.
#[test]
fn more_time_never_lowers_the_probability() {
    let forecast = recorded(millis(400), &[0.3, 0.8, 1.9, 7.0]);
    let shares = (0..400).map(|step| forecast.probability(millis(400), millis(step * 10)));
    let shares: Vec<f64> = shares.collect();
    assert!(shares.windows(2).all(|pair| pair[0] <= pair[1]));
    assert!(shares.iter().all(|share| (0.0..=1.0).contains(share)));
}

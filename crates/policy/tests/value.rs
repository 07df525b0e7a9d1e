//! Which answers are dropped for a larger model's, by their value and the load of the engines.

use std::time::Duration;

use pimento_policy::confidence::Answer;
use pimento_policy::confidence::Config;
use pimento_policy::confidence::LargerModel;
use pimento_policy::confidence::PassRates;
use pimento_policy::forecast::Forecast;
use pimento_policy::value::Baseline;
use pimento_policy::value::Request;
use pimento_units::Moment;
use pimento_units::Tokens;

const SMALL: u64 = 1;
const LARGE: u64 = 2;

/// Seconds in which the large model prefills a token.
const SECONDS_PER_TOKEN: f64 = 0.000_04;

fn request(prompt: u64, answer: u64, priority: u8) -> Request {
    Request {
        prompt: Tokens(prompt),
        answer: Tokens(answer),
        priority,
    }
}

/// A long report, a summary (a short prompt with a long answer) of the highest priority, and a note
/// of the lowest priority.
fn kinds() -> [Request; 3] {
    [
        request(12_000, 400, 1),
        request(800, 300, 0),
        request(2_400, 25, 2),
    ]
}

fn prefill(request: &Request) -> Duration {
    Duration::from_millis(request.prompt.0).mul_f64(SECONDS_PER_TOKEN * 1_000.0)
}

/// The baseline of these kinds in equal numbers, with `scale` times their sizes.
fn baseline(kinds: &[Request], scale: u64) -> Baseline {
    let mut baseline = Baseline::default();
    for _ in 0..500 {
        for kind in kinds {
            let kind = request(kind.prompt.0 * scale, kind.answer.0 * scale, kind.priority);
            baseline.record(&kind, prefill(&kind));
        }
    }
    baseline
}

/// Whether an answer of the small model is dropped for the large one's.
fn dropped(baseline: &Baseline, request: &Request, confidence: u8, next_wait: Duration) -> bool {
    dropped_at_scale(1, baseline, request, confidence, next_wait)
}

/// The same with `scale` times the caller's target and the time that has passed.
fn dropped_at_scale(
    scale: u32,
    baseline: &Baseline,
    request: &Request,
    confidence: u8,
    next_wait: Duration,
) -> bool {
    let now = Moment::ZERO + Duration::from_millis(100) * scale;
    let answer = Answer {
        model: SMALL,
        confidence,
        received: Moment::ZERO,
        target: Duration::from_secs(2) * scale,
        next_wait,
        relative: baseline.compare(request),
    };
    let larger = LargerModel {
        model: LARGE,
        rank: 1.0,
        price: 1.0,
        wait: Duration::ZERO,
        prefill: prefill(request),
        engine_time: prefill(request),
    };
    let rates = PassRates::default();
    let forecast = Forecast::default();
    let chosen = Config::default().choose(&answer, &[larger], &rates, &forecast, now);
    chosen.is_some()
}

/// The largest confidence at which an answer is dropped.
fn threshold(baseline: &Baseline, request: &Request, wait: u64) -> Option<u8> {
    threshold_at_scale(1, baseline, request, wait)
}

/// The same with `scale` times all times.
fn threshold_at_scale(scale: u32, baseline: &Baseline, request: &Request, wait: u64) -> Option<u8> {
    let next_wait = Duration::from_millis(wait) * scale;
    (0..=100)
        .rev()
        .find(|confidence| dropped_at_scale(scale, baseline, request, *confidence, next_wait))
}

// Notes of the lowest priority have the highest price per value, summaries of the highest priority
// the lowest. With one price for all, notes would take a quarter of the large model's time, and
// callers with summaries would keep answers that are too poor.
#[test]
fn requests_with_a_low_price_per_value_get_the_large_model_first() {
    let baseline = baseline(&kinds(), 1);
    let [report, summary, note] = kinds().map(|kind| threshold(&baseline, &kind, 0));
    assert!(
        summary > report && report > note,
        "{summary:?} {report:?} {note:?}"
    );
    assert!(note > Some(15), "{note:?}");
}

// As engines fill, notes are the first to lose the large model, then reports. Summaries, whose
// prefill takes almost no time, hardly lose it.
#[test]
fn as_engines_fill_requests_with_most_prefill_per_value_lose_the_large_model() {
    let baseline = baseline(&kinds(), 1);
    let [report, summary, note] = kinds();
    let full = 700;
    assert_eq!(threshold(&baseline, &note, full), None);
    assert!(threshold(&baseline, &report, full) < threshold(&baseline, &report, 0));
    assert!(threshold(&baseline, &summary, full) >= Some(35));
}

// Decisions don't depend on the size of the baseline: they are the same for a service whose
// requests are all of one kind, and for one whose requests and times are all three times as long.
#[test]
fn only_the_ratio_to_the_baseline_counts() {
    let times = |kind: &Request| request(kind.prompt.0 * 3, kind.answer.0 * 3, kind.priority);
    for kind in kinds() {
        let long = times(&kind);
        let alone = baseline(&[kind], 1);
        assert_eq!(
            threshold(&alone, &kind, 100),
            threshold_at_scale(3, &baseline(&[long], 1), &long, 100)
        );
        let (one, other) = (baseline(&kinds(), 1), baseline(&kinds(), 3));
        assert_eq!(
            threshold(&one, &kind, 100),
            threshold_at_scale(3, &other, &long, 100)
        );
    }
}

// The first request of all has no size. It is treated like the baseline.
#[test]
fn a_first_request_without_a_size_is_treated_like_the_baseline() {
    let empty = request(0, 0, 0);
    let mut baseline = Baseline::default();
    baseline.record(&empty, Duration::ZERO);
    let relative = baseline.compare(&empty);
    assert!((0.99..1.01).contains(&relative.value), "{relative:?}");
    assert!(relative.price.is_finite(), "{relative:?}");
    assert!(dropped(&baseline, &empty, 0, Duration::ZERO));
}

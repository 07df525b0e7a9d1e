//! Whose answers are dropped for a larger model's, by what they are worth, as engines fill.

use std::time::Duration;

use pimento_policy::confidence::Answer;
use pimento_policy::confidence::Config;
use pimento_policy::confidence::LargerModel;
use pimento_policy::confidence::PassRates;
use pimento_policy::value::Baseline;
use pimento_policy::value::Request;
use pimento_units::Moment;
use pimento_units::Tokens;

const SMALL: u64 = 1;
const LARGE: u64 = 2;

/// Seconds that the large model reads a token in.
const PACE: f64 = 0.000_04;

fn request(prompt: u64, answer: u64, priority: u8) -> Request {
    Request {
        prompt: Tokens(prompt),
        answer: Tokens(answer),
        priority,
    }
}

/// A long report, a short prompt with a long answer of the first rank, and a note of the last rank.
fn kinds() -> [Request; 3] {
    [
        request(12_000, 400, 1),
        request(800, 300, 0),
        request(2_400, 25, 2),
    ]
}

fn reading(request: &Request) -> Duration {
    Duration::from_millis(request.prompt.0).mul_f64(PACE * 1_000.0)
}

/// What is usual where these come as often as each other, `scale` times as large.
fn usual(kinds: &[Request], scale: u64) -> Baseline {
    let mut usual = Baseline::default();
    for _ in 0..500 {
        for kind in kinds {
            let kind = request(kind.prompt.0 * scale, kind.answer.0 * scale, kind.priority);
            usual.record(&kind, reading(&kind));
        }
    }
    usual
}

/// Whether an answer of the small model is dropped for the large one's.
fn dropped(usual: &Baseline, request: &Request, confidence: u8, next: Duration) -> bool {
    let now = Moment::ZERO + Duration::from_millis(100);
    let answer = Answer {
        model: SMALL,
        confidence,
        received: Moment::ZERO,
        target: Duration::from_secs(2),
        next_wait: next,
        relative: usual.compare(request),
    };
    let larger = LargerModel {
        model: LARGE,
        rank: 1.0,
        cost: 1.0,
        wait: Duration::ZERO,
        prefill: reading(request),
    };
    let chosen = Config::default().choose(&answer, &[larger], &PassRates::default(), now);
    chosen.is_some()
}

/// The largest confidence at which an answer is dropped.
fn bar(usual: &Baseline, request: &Request, wait: u64) -> Option<u8> {
    let next = Duration::from_millis(wait);
    (0..=100)
        .rev()
        .find(|confidence| dropped(usual, request, *confidence, next))
}

// Notes of the last rank cost most for what they are worth and summaries of the first rank least. With
// one price for all, notes took a quarter of the large model's time and callers with summaries kept
// answers that were too poor.
#[test]
fn what_costs_little_for_its_worth_gets_the_large_model_first() {
    let usual = usual(&kinds(), 1);
    let [report, summary, note] = kinds().map(|kind| bar(&usual, &kind, 0));
    assert!(
        summary > report && report > note,
        "{summary:?} {report:?} {note:?}"
    );
    assert!(note > Some(15), "{note:?}");
}

// Engines fill. Notes give way first, then reports, and summaries, which the large model reads in no
// time, hardly at all.
#[test]
fn as_engines_fill_what_takes_most_time_for_its_worth_gives_way() {
    let usual = usual(&kinds(), 1);
    let [report, summary, note] = kinds();
    let full = 700;
    assert_eq!(bar(&usual, &note, full), None);
    assert!(bar(&usual, &report, full) < bar(&usual, &report, 0));
    assert!(bar(&usual, &summary, full) >= Some(35));
}

// Nothing hangs on the size of what is usual: a service whose requests are all of one kind, or whose
// requests are all three times as long, decides alike.
#[test]
fn only_the_comparison_counts() {
    let times = |kind: &Request| request(kind.prompt.0 * 3, kind.answer.0 * 3, kind.priority);
    for kind in kinds() {
        let long = times(&kind);
        let alone = usual(&[kind], 1);
        assert_eq!(bar(&alone, &kind, 100), bar(&usual(&[long], 1), &long, 100));
        let (one, other) = (usual(&kinds(), 1), usual(&kinds(), 3));
        assert_eq!(bar(&one, &kind, 100), bar(&other, &long, 100));
    }
}

// A request without a size, the first of all, is decided on as the usual one.
#[test]
fn a_request_without_a_size_is_decided_on() {
    let nothing = request(0, 0, 0);
    let mut usual = Baseline::default();
    usual.record(&nothing, Duration::ZERO);
    let relative = usual.compare(&nothing);
    assert!((0.99..1.01).contains(&relative.value), "{relative:?}");
    assert!(relative.price.is_finite(), "{relative:?}");
    assert!(dropped(&usual, &nothing, 0, Duration::ZERO));
}

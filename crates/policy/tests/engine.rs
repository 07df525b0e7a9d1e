//! What a node makes of its engines' answers: how fast models read, what engines keep, what waits
//! there, and where the next prompt goes.

use std::time::Duration;

use pimento_policy::engine::Engine;
use pimento_policy::engine::Part;
use pimento_policy::engine::PrefillEstimator;
use pimento_policy::engine::Prompt;
use pimento_units::Moment;
use pimento_units::Tokens;

/// A model, and the seconds that it takes to read a token.
const MODEL: u64 = 7;
const SECONDS_PER_TOKEN: f64 = 0.000_057;

/// Time to a first token of a prompt whose parts are all kept.
const START: Duration = Duration::from_millis(8);

fn prompt(parts: &[(u64, u64)]) -> Prompt {
    let part = |(hash, tokens): &(u64, u64)| Part {
        hash: *hash,
        tokens: Tokens(*tokens),
    };
    Prompt {
        model: MODEL,
        parts: parts.iter().map(part).collect(),
    }
}

fn engine() -> Engine {
    Engine::new(Tokens(100_000))
}

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

/// A prompt is sent and its first token comes after `took`.
fn ask(
    engine: &mut Engine,
    prefill: &mut PrefillEstimator,
    prompt: &Prompt,
    sent: Moment,
    took: Duration,
) {
    let uncached = engine.prefill_tokens(prompt);
    let work = prefill.prefill_time(MODEL, uncached, prompt.tokens());
    let call = sent.since(Moment::ZERO).as_micros().try_into();
    let call = call.expect("within the day");
    engine.record_sent(call, prompt, work, sent);
    engine.record_first_token(call, prefill, sent + took);
}

// A node that has just started does not know what engines keep. Prompts that it takes for unread
// have their first token at once, and it must not conclude that the model reads at no cost: it would
// send all to the largest model and call its engines idle for a minute.
#[test]
fn parts_kept_without_our_knowing_do_not_make_a_model_fast() {
    let mut prefill = PrefillEstimator::default();
    prefill.seed([(MODEL, SECONDS_PER_TOKEN)]);
    let mut engine = engine();
    for round in 0..10 {
        let prompt = prompt(&[(round, 4_000)]);
        ask(
            &mut engine,
            &mut prefill,
            &prompt,
            at(round * 5_000),
            START + Duration::from_millis(1),
        );
    }
    assert!(
        prefill.seconds_per_token(MODEL) > SECONDS_PER_TOKEN * 0.5,
        "{}",
        prefill.seconds_per_token(MODEL)
    );
}

// The same where nothing is known of the model: the first prompts found their parts kept.
#[test]
fn a_first_prompt_that_was_kept_does_not_decide_the_pace() {
    let mut prefill = PrefillEstimator::default();
    let mut engine = engine();
    let kept = START + Duration::from_millis(1);
    ask(
        &mut engine,
        &mut prefill,
        &prompt(&[(1, 4_000)]),
        at(0),
        kept,
    );
    let work = prefill.prefill_time(MODEL, Tokens(4_000), Tokens(4_000));
    assert!(work > Duration::from_millis(20), "{work:?}");
    for round in 1..12 {
        let took = START + Duration::from_secs_f64(4_000.0 * SECONDS_PER_TOKEN);
        let prompt = prompt(&[(round + 1, 4_000)]);
        ask(&mut engine, &mut prefill, &prompt, at(round * 5_000), took);
    }
    assert!(
        prefill.seconds_per_token(MODEL) > SECONDS_PER_TOKEN * 0.6,
        "{}",
        prefill.seconds_per_token(MODEL)
    );
}

// A first prompt that waited a little behind others tells next to nothing of its own reading.
#[test]
fn a_first_prompt_that_waited_does_not_decide_the_pace() {
    let mut prefill = PrefillEstimator::default();
    let mut engine = engine();
    engine.record_peer_wait(3, Duration::from_millis(40), at(0));
    let took = Duration::from_millis(50);
    ask(
        &mut engine,
        &mut prefill,
        &prompt(&[(1, 4_000)]),
        at(0),
        took,
    );
    let work = prefill.prefill_time(MODEL, Tokens(4_000), Tokens(4_000));
    assert!(work > Duration::from_millis(20), "{work:?}");
}

// The estimate follows prompts that found their engine idle, up and down, within a dozen.
#[test]
fn the_pace_follows_what_idle_engines_take() {
    for (start, truth) in [(0.000_008, 0.000_057), (0.000_057, 0.000_017)] {
        let mut prefill = PrefillEstimator::default();
        prefill.seed([(MODEL, start)]);
        let mut engine = engine();
        for round in 0..12 {
            let prompt = prompt(&[(round + 1, 1_000)]);
            let took = START + Duration::from_secs_f64(1_000.0 * truth);
            ask(&mut engine, &mut prefill, &prompt, at(round * 5_000), took);
        }
        let seconds = prefill.seconds_per_token(MODEL);
        assert!(
            (0.6..1.6).contains(&(seconds / truth)),
            "{seconds} for {truth}"
        );
    }
}

// Engines take 8 ms or 50 ms to a first token beside the reading. Most prompts are short, and taken for
// reading that time made a long prompt look up to twice as long as it was: callers with the longest
// prompts got the small model's answer though the large one would have been in time.
#[test]
fn the_time_beside_the_reading_does_not_count_as_reading() {
    for start in [8, 50].map(Duration::from_millis) {
        let mut prefill = PrefillEstimator::default();
        let mut engine = engine();
        for round in 0..60 {
            let tokens = [150, 600, 900, 300, 2_500][usize::try_from(round % 5).expect("small")];
            let prompt = prompt(&[(round + 1, tokens)]);
            let prefill_time = prefill_time(tokens);
            ask(
                &mut engine,
                &mut prefill,
                &prompt,
                at(round * 5_000),
                start + prefill_time,
            );
        }
        let long = Tokens(20_000);
        let known = prefill.prefill_time(MODEL, long, long).as_secs_f64();
        let truth = (start + prefill_time(long.0)).as_secs_f64();
        assert!(
            (0.85..1.15).contains(&(known / truth)),
            "{known} for {truth}"
        );
    }
}

/// Reading of a whole prompt, with a fifth more for a token at 10,000 than at the first.
fn prefill_time(tokens: u64) -> Duration {
    let count = Duration::from_millis(tokens).as_secs_f64() * 1_000.0;
    Duration::from_secs_f64(count * SECONDS_PER_TOKEN * (1.0 + 0.000_01 * count))
}

// Parts count as kept from their first token on. A call that was given up before leaves nothing.
#[test]
fn parts_are_kept_once_read() {
    let mut prefill = PrefillEstimator::default();
    let mut engine = engine();
    let both = prompt(&[(1, 4_000), (2, 500)]);
    let work = prefill.prefill_time(MODEL, Tokens(4_500), Tokens(4_500));
    engine.record_sent(1, &both, work, at(0));
    // About to be read: what comes behind it finds its parts.
    assert_eq!(
        engine.prefill_tokens(&prompt(&[(1, 4_000), (3, 500)])),
        Tokens(500)
    );
    engine.record_end(1, at(50));
    assert_eq!(engine.prefill_tokens(&both), Tokens(4_500));
    ask(&mut engine, &mut prefill, &both, at(100), work);
    assert_eq!(engine.prefill_tokens(&both), Tokens::ZERO);
    assert_eq!(
        engine.prefill_tokens(&prompt(&[(2, 500), (1, 4_000)])),
        Tokens(4_500)
    );
}

// What was not used for longest yields when the memory is full.
#[test]
fn the_memory_gives_up_the_least_recently_used() {
    let mut engine = Engine::new(Tokens(10_000));
    let (first, second) = (prompt(&[(1, 6_000)]), prompt(&[(2, 4_000)]));
    engine.record_cached(&first, at(0));
    engine.record_cached(&second, at(1));
    engine.record_cached(&first, at(2));
    engine.record_cached(&prompt(&[(3, 3_000)]), at(3));
    assert_eq!(engine.prefill_tokens(&first), Tokens::ZERO);
    assert_eq!(engine.prefill_tokens(&second), Tokens(4_000));
}

// Parts are kept for a model by itself.
#[test]
fn another_model_keeps_nothing_for_this_one() {
    let mut engine = engine();
    let mine = prompt(&[(1, 6_000)]);
    engine.record_cached(&mine, at(0));
    let other = Prompt { model: 8, ..mine };
    assert_eq!(engine.prefill_tokens(&other), Tokens(6_000));
}

// A prompt that is late is likely late for as long again, up to a bound; when it has gone, the wait
// goes with it.
#[test]
fn a_late_prompt_lengthens_the_wait() {
    let mut engine = engine();
    let work = Duration::from_millis(100);
    engine.record_sent(1, &prompt(&[(1, 4_000)]), work, at(0));
    assert_eq!(engine.own_wait(at(60)), Duration::from_millis(40));
    assert_eq!(engine.own_wait(at(400)), Duration::from_millis(300));
    assert_eq!(engine.own_wait(at(60_000)), Duration::from_secs(3));
    engine.record_end(1, at(60_000));
    assert_eq!(engine.own_wait(at(60_000)), Duration::ZERO);
}

// What peers said of their calls runs out as the engine reads on.
#[test]
fn peers_waits_add_up_and_run_out() {
    let mut engine = engine();
    engine.record_peer_wait(1, Duration::from_millis(300), at(0));
    engine.record_peer_wait(2, Duration::from_millis(100), at(0));
    assert_eq!(engine.wait(at(0)), Duration::from_millis(400));
    assert_eq!(engine.wait(at(200)), Duration::from_millis(100));
    engine.record_peer_wait(1, Duration::ZERO, at(200));
    assert_eq!(engine.wait(at(200)), Duration::ZERO);
}

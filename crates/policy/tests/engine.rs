//! State of engines as one node tracks it: prefill speeds, cached prefixes and waits.

use std::time::Duration;

use pimento_policy::engine::Engine;
use pimento_policy::engine::Part;
use pimento_policy::engine::PrefillEstimator;
use pimento_policy::engine::Prompt;
use pimento_units::Moment;
use pimento_units::Tokens;

/// A model, and its prefill time for one token in seconds.
const MODEL: u64 = 7;
const SECONDS_PER_TOKEN: f64 = 0.000_057;

/// Time to the first token of a prompt whose parts are all cached.
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

/// Sends a prompt whose first token arrives after `took`.
fn ask(
    engine: &mut Engine,
    prefill: &mut PrefillEstimator,
    prompt: &Prompt,
    sent: Moment,
    took: Duration,
) {
    let uncached = engine.prefill_tokens(prompt);
    let expected = prefill.prefill_time(MODEL, uncached, prompt.tokens());
    let call = sent.since(Moment::ZERO).as_micros().try_into();
    let call = call.expect("within the day");
    engine.record_sent(call, prompt, expected, sent);
    let _timing = engine.record_first_token(call, prefill, sent + took);
}

// A node that has just started does not know what engines have cached. Prompts that it expects to be
// prefilled get their first token at once. If it concluded that the model's prefill is free, it would send
// all prompts to the largest model, and rate its engines as idle for a minute.
#[test]
fn unknown_cached_parts_do_not_make_a_model_look_fast() {
    let mut prefill = PrefillEstimator::default();
    prefill.merge_estimates([(MODEL, SECONDS_PER_TOKEN)]);
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

// The same for an unknown model, whose first prompts were cached.
#[test]
fn a_cached_first_prompt_does_not_set_the_prefill_speed() {
    let mut prefill = PrefillEstimator::default();
    let mut engine = engine();
    let cached = START + Duration::from_millis(1);
    ask(
        &mut engine,
        &mut prefill,
        &prompt(&[(1, 4_000)]),
        at(0),
        cached,
    );
    let expected = prefill.prefill_time(MODEL, Tokens(4_000), Tokens(4_000));
    assert!(expected > Duration::from_millis(20), "{expected:?}");
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

// The time of a first prompt that waited a little behind others says next to nothing about its own prefill.
#[test]
fn a_first_prompt_that_waited_does_not_set_the_prefill_speed() {
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
    let expected = prefill.prefill_time(MODEL, Tokens(4_000), Tokens(4_000));
    assert!(expected > Duration::from_millis(20), "{expected:?}");
}

// The estimate follows prompts that found their engine idle, in both directions and within a dozen prompts.
#[test]
fn the_prefill_speed_follows_idle_engines() {
    for (start, truth) in [(0.000_008, 0.000_057), (0.000_057, 0.000_017)] {
        let mut prefill = PrefillEstimator::default();
        prefill.merge_estimates([(MODEL, start)]);
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

// Engines take 8 ms or 50 ms to a first token besides the prefill. Most prompts are short. If that time
// counted as prefill, a long prompt would look up to twice as slow as it is, and callers with the longest
// prompts would get the small model's answer although the large model would have been in time.
#[test]
fn the_start_time_does_not_count_as_prefill() {
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

/// Prefill time of a whole prompt. The token at position 10,000 takes a fifth longer than the first one.
fn prefill_time(tokens: u64) -> Duration {
    let count = Duration::from_millis(tokens).as_secs_f64() * 1_000.0;
    Duration::from_secs_f64(count * SECONDS_PER_TOKEN * (1.0 + 0.000_01 * count))
}

// Parts count as cached from their first token on. A call that was cancelled before leaves nothing cached.
#[test]
fn parts_are_cached_once_prefilled() {
    let mut prefill = PrefillEstimator::default();
    let mut engine = engine();
    let both = prompt(&[(1, 4_000), (2, 500)]);
    let expected = prefill.prefill_time(MODEL, Tokens(4_500), Tokens(4_500));
    engine.record_sent(1, &both, expected, at(0));
    // The prompt is pending: another one that follows it will find its parts cached.
    assert_eq!(
        engine.prefill_tokens(&prompt(&[(1, 4_000), (3, 500)])),
        Tokens(500)
    );
    engine.record_end(1, at(50));
    assert_eq!(engine.prefill_tokens(&both), Tokens(4_500));
    ask(&mut engine, &mut prefill, &both, at(100), expected);
    assert_eq!(engine.prefill_tokens(&both), Tokens::ZERO);
    assert_eq!(
        engine.prefill_tokens(&prompt(&[(2, 500), (1, 4_000)])),
        Tokens(4_500)
    );
}

// The least recently used part is evicted when the memory is full.
#[test]
fn the_least_recently_used_part_is_evicted() {
    let mut engine = Engine::new(Tokens(10_000));
    let (first, second) = (prompt(&[(1, 6_000)]), prompt(&[(2, 4_000)]));
    engine.record_cached(&first, at(0));
    engine.record_cached(&second, at(1));
    engine.record_cached(&first, at(2));
    engine.record_cached(&prompt(&[(3, 3_000)]), at(3));
    assert_eq!(engine.prefill_tokens(&first), Tokens::ZERO);
    assert_eq!(engine.prefill_tokens(&second), Tokens(4_000));
}

// Parts are cached per model.
#[test]
fn models_do_not_share_cached_parts() {
    let mut engine = engine();
    let mine = prompt(&[(1, 6_000)]);
    engine.record_cached(&mine, at(0));
    let other = Prompt { model: 8, ..mine };
    assert_eq!(engine.prefill_tokens(&other), Tokens(6_000));
}

// An overdue prompt is expected to take as long again, up to a bound. Its end removes it from the wait.
#[test]
fn an_overdue_prompt_lengthens_the_wait() {
    let mut engine = engine();
    let expected = Duration::from_millis(100);
    engine.record_sent(1, &prompt(&[(1, 4_000)]), expected, at(0));
    assert_eq!(engine.own_wait(at(60)), Duration::from_millis(40));
    assert_eq!(engine.own_wait(at(400)), Duration::from_millis(300));
    assert_eq!(engine.own_wait(at(60_000)), Duration::from_secs(3));
    engine.record_end(1, at(60_000));
    assert_eq!(engine.own_wait(at(60_000)), Duration::ZERO);
}

// Waits that peers reported decrease with time, as the engine works on their prompts.
#[test]
fn peers_waits_add_up_and_expire() {
    let mut engine = engine();
    engine.record_peer_wait(1, Duration::from_millis(300), at(0));
    engine.record_peer_wait(2, Duration::from_millis(100), at(0));
    assert_eq!(engine.wait(at(0)), Duration::from_millis(400));
    assert_eq!(engine.wait(at(200)), Duration::from_millis(100));
    engine.record_peer_wait(1, Duration::ZERO, at(200));
    assert_eq!(engine.wait(at(200)), Duration::ZERO);
}

// The samples of a slow engine, and later those of fast ones, don't change the model's speed, or the expected
// times at all engines would be wrong whenever the choice prefers some of them.
#[test]
fn the_prefill_speed_does_not_follow_an_engine_that_is_known_to_be_slow() {
    let mut prefill = PrefillEstimator::default();
    prefill.merge_estimates([(MODEL, SECONDS_PER_TOKEN)]);
    for factor in [1.9, 0.5] {
        let mut engine = engine();
        engine.set_factor(factor);
        for round in 0..40 {
            let prompt = prompt(&[(round + 1, 4_000)]);
            let took = (START + prefill_time(4_000)).mul_f64(factor);
            ask(&mut engine, &mut prefill, &prompt, at(round * 5_000), took);
        }
        let seconds = prefill.seconds_per_token(MODEL);
        assert!(
            (0.9..1.1).contains(&(seconds / SECONDS_PER_TOKEN)),
            "{seconds} after a factor of {factor}"
        );
    }
}

//! What a node makes of its engines' answers: how fast models read, what engines keep, what waits
//! there, and where the next prompt goes.

use std::time::Duration;

use pimento_policy::engine::Engine;
use pimento_policy::engine::Paces;
use pimento_policy::engine::Part;
use pimento_policy::engine::Prompt;
use pimento_units::Moment;
use pimento_units::Tokens;

/// A model, and the seconds that it takes to read a token.
const MODEL: u64 = 7;
const PACE: f64 = 0.000_057;

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
fn ask(engine: &mut Engine, paces: &mut Paces, prompt: &Prompt, sent: Moment, took: Duration) {
    let unread = engine.unread(prompt);
    let work = paces.work(MODEL, unread, prompt.tokens());
    let ticket = sent.since(Moment::ZERO).as_micros().try_into();
    let ticket = ticket.expect("within the day");
    engine.begin(ticket, prompt, work, sent);
    engine.read(ticket, paces, sent + took);
}

// A node that has just started does not know what engines keep. Prompts that it takes for unread
// have their first token at once, and it must not conclude that the model reads at no cost: it would
// send all to the largest model and call its engines idle for a minute.
#[test]
fn parts_kept_without_our_knowing_do_not_make_a_model_fast() {
    let mut paces = Paces::default();
    paces.seed([(MODEL, PACE)]);
    let mut engine = engine();
    for round in 0..10 {
        let prompt = prompt(&[(round, 4_000)]);
        ask(
            &mut engine,
            &mut paces,
            &prompt,
            at(round * 5_000),
            START + Duration::from_millis(1),
        );
    }
    assert!(paces.pace(MODEL) > PACE * 0.5, "{}", paces.pace(MODEL));
}

// The same where nothing is known of the model: the first prompts found their parts kept.
#[test]
fn a_first_prompt_that_was_kept_does_not_decide_the_pace() {
    let mut paces = Paces::default();
    let mut engine = engine();
    let kept = START + Duration::from_millis(1);
    ask(&mut engine, &mut paces, &prompt(&[(1, 4_000)]), at(0), kept);
    let work = paces.work(MODEL, Tokens(4_000), Tokens(4_000));
    assert!(work > Duration::from_millis(20), "{work:?}");
    for round in 1..12 {
        let took = START + Duration::from_secs_f64(4_000.0 * PACE);
        let prompt = prompt(&[(round + 1, 4_000)]);
        ask(&mut engine, &mut paces, &prompt, at(round * 5_000), took);
    }
    assert!(paces.pace(MODEL) > PACE * 0.6, "{}", paces.pace(MODEL));
}

// A first prompt that waited a little behind others tells next to nothing of its own reading.
#[test]
fn a_first_prompt_that_waited_does_not_decide_the_pace() {
    let mut paces = Paces::default();
    let mut engine = engine();
    engine.hear(3, Duration::from_millis(40), at(0));
    let took = Duration::from_millis(50);
    ask(&mut engine, &mut paces, &prompt(&[(1, 4_000)]), at(0), took);
    let work = paces.work(MODEL, Tokens(4_000), Tokens(4_000));
    assert!(work > Duration::from_millis(20), "{work:?}");
}

// The estimate follows prompts that found their engine idle, up and down, within a dozen.
#[test]
fn the_pace_follows_what_idle_engines_take() {
    for (start, truth) in [(0.000_008, 0.000_057), (0.000_057, 0.000_017)] {
        let mut paces = Paces::default();
        paces.seed([(MODEL, start)]);
        let mut engine = engine();
        for round in 0..12 {
            let prompt = prompt(&[(round + 1, 1_000)]);
            let took = START + Duration::from_secs_f64(1_000.0 * truth);
            ask(&mut engine, &mut paces, &prompt, at(round * 5_000), took);
        }
        let pace = paces.pace(MODEL);
        assert!((0.6..1.6).contains(&(pace / truth)), "{pace} for {truth}");
    }
}

// Engines take 8 ms or 50 ms to a first token beside the reading. Most prompts are short, and taken for
// reading that time made a long prompt look up to twice as long as it was: callers with the longest
// prompts got the small model's answer though the large one would have been in time.
#[test]
fn the_time_beside_the_reading_does_not_count_as_reading() {
    for start in [8, 50].map(Duration::from_millis) {
        let mut paces = Paces::default();
        let mut engine = engine();
        for round in 0..60 {
            let tokens = [150, 600, 900, 300, 2_500][usize::try_from(round % 5).expect("small")];
            let prompt = prompt(&[(round + 1, tokens)]);
            let reading = paces_of(tokens);
            ask(
                &mut engine,
                &mut paces,
                &prompt,
                at(round * 5_000),
                start + reading,
            );
        }
        let long = Tokens(20_000);
        let known = paces.work(MODEL, long, long).as_secs_f64();
        let truth = (start + paces_of(long.0)).as_secs_f64();
        assert!(
            (0.85..1.15).contains(&(known / truth)),
            "{known} for {truth}"
        );
    }
}

/// Reading of a whole prompt, with a fifth more for a token at 10,000 than at the first.
fn paces_of(tokens: u64) -> Duration {
    let count = Duration::from_millis(tokens).as_secs_f64() * 1_000.0;
    Duration::from_secs_f64(count * PACE * (1.0 + 0.000_01 * count))
}

// Parts count as kept from their first token on. A call that was given up before leaves nothing.
#[test]
fn parts_are_kept_once_read() {
    let mut paces = Paces::default();
    let mut engine = engine();
    let both = prompt(&[(1, 4_000), (2, 500)]);
    let work = paces.work(MODEL, Tokens(4_500), Tokens(4_500));
    engine.begin(1, &both, work, at(0));
    // About to be read: what comes behind it finds its parts.
    assert_eq!(engine.unread(&prompt(&[(1, 4_000), (3, 500)])), Tokens(500));
    engine.end(1, at(50));
    assert_eq!(engine.unread(&both), Tokens(4_500));
    ask(&mut engine, &mut paces, &both, at(100), work);
    assert_eq!(engine.unread(&both), Tokens::ZERO);
    assert_eq!(
        engine.unread(&prompt(&[(2, 500), (1, 4_000)])),
        Tokens(4_500)
    );
}

// What was not used for longest yields when the memory is full.
#[test]
fn the_memory_gives_up_the_least_recently_used() {
    let mut engine = Engine::new(Tokens(10_000));
    let (first, second) = (prompt(&[(1, 6_000)]), prompt(&[(2, 4_000)]));
    engine.keep(&first, at(0));
    engine.keep(&second, at(1));
    engine.keep(&first, at(2));
    engine.keep(&prompt(&[(3, 3_000)]), at(3));
    assert_eq!(engine.unread(&first), Tokens::ZERO);
    assert_eq!(engine.unread(&second), Tokens(4_000));
}

// Parts are kept for a model by itself.
#[test]
fn another_model_keeps_nothing_for_this_one() {
    let mut engine = engine();
    let mine = prompt(&[(1, 6_000)]);
    engine.keep(&mine, at(0));
    let other = Prompt { model: 8, ..mine };
    assert_eq!(engine.unread(&other), Tokens(6_000));
}

// A prompt that is late is likely late for as long again, up to a bound; when it has gone, the wait
// goes with it.
#[test]
fn a_late_prompt_lengthens_the_wait() {
    let mut engine = engine();
    let work = Duration::from_millis(100);
    engine.begin(1, &prompt(&[(1, 4_000)]), work, at(0));
    assert_eq!(engine.own(at(60)), Duration::from_millis(40));
    assert_eq!(engine.own(at(400)), Duration::from_millis(300));
    assert_eq!(engine.own(at(60_000)), Duration::from_secs(3));
    engine.end(1, at(60_000));
    assert_eq!(engine.own(at(60_000)), Duration::ZERO);
}

// What peers said of their calls runs out as the engine reads on.
#[test]
fn peers_waits_add_up_and_run_out() {
    let mut engine = engine();
    engine.hear(1, Duration::from_millis(300), at(0));
    engine.hear(2, Duration::from_millis(100), at(0));
    assert_eq!(engine.wait(at(0)), Duration::from_millis(400));
    assert_eq!(engine.wait(at(200)), Duration::from_millis(100));
    engine.hear(1, Duration::ZERO, at(200));
    assert_eq!(engine.wait(at(200)), Duration::ZERO);
}

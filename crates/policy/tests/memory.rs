//! A burst of the largest prompts from many VMs, onto engines of which some are nearly full.

use std::time::Duration;

use pimento_policy::engine;
use pimento_policy::engine::Candidate;
use pimento_policy::engine::Config;
use pimento_policy::engine::Engine;
use pimento_policy::engine::Part;
use pimento_policy::engine::Prompt;
use pimento_units::Moment;
use pimento_units::Tokens;

const VMS: u64 = 90;
const ENGINES: u64 = 90;

/// Engines that are nearly full of running answers, and have the burst's shared part cached.
const NEARLY_FULL: u64 = 30;

const CAPACITY: Tokens = Tokens(100_000);
const MODEL: u64 = 7;
const SHARED: u64 = 13_300;
const OWN: u64 = 3_720;
const OUTPUT: Tokens = Tokens(500);
const SECONDS_PER_TOKEN: f64 = 1.0 / 18_900.0;

/// Prompts of each VM in the burst.
const ROUNDS: u64 = 5;

fn prompt(own: u64, tokens: u64) -> Prompt {
    let part = |hash, tokens| Part {
        hash,
        tokens: Tokens(tokens),
    };
    Prompt {
        model: MODEL,
        parts: vec![part(1, SHARED), part(own, tokens)],
    }
}

fn at(millis: u64) -> Moment {
    Moment::ZERO + Duration::from_millis(millis)
}

fn prefill_time(tokens: Tokens) -> Duration {
    let tokens = u32::try_from(tokens.0).expect("small");
    Duration::from_secs_f64(f64::from(tokens) * SECONDS_PER_TOKEN)
}

fn index(number: u64) -> usize {
    usize::try_from(number).expect("small")
}

/// The tokens that the fullest engine holds after the burst, if VMs regard its memory or not.
fn most_held(regarded: bool) -> u64 {
    let mut views: Vec<Vec<Engine>> = (0..VMS)
        .map(|_| (0..ENGINES).map(|_| Engine::new(CAPACITY)).collect())
        .collect();
    let mut held = vec![0; index(ENGINES)];
    let mut estimator = engine::PrefillEstimator::default();
    for vm in 0..VMS {
        let place = index(vm % NEARLY_FULL);
        let running = prompt(1_000 + vm, 27_500);
        held[place] += 27_500 + OUTPUT.0;
        for (other, view) in views.iter_mut().enumerate() {
            let engine = &mut view[place];
            if other == index(vm) {
                engine.record_sent(0, &running, Duration::ZERO, at(0));
                engine.record_held(0, &running, OUTPUT, at(0));
                engine.record_first_token(0, &mut estimator, at(0));
            } else {
                engine.record_cached(&running, at(0));
            }
        }
    }
    let mut has_shared = vec![false; index(ENGINES)];
    for place in 0..index(NEARLY_FULL) {
        has_shared[place] = true;
        held[place] += SHARED;
    }
    for number in 0..VMS * ROUNDS {
        let (vm, now) = (index(number % VMS), at(1_000 + number / 10));
        let sent = prompt(10_000 + number, OWN);
        let candidate = |(place, engine): (usize, &Engine)| Candidate {
            name_hash: place as u64 + 1,
            usable: true,
            remote: false,
            full: regarded && engine.is_full_for(&sent, OUTPUT, now),
            wait: engine.wait(now),
            prefill_time: prefill_time(engine.prefill_tokens(&sent)),
        };
        let candidates: Vec<Candidate> = views[vm].iter().enumerate().map(candidate).collect();
        let place = engine::choose(&candidates, 1, &Config::default()).expect("an engine");
        let engine = &mut views[vm][place];
        let takes = prefill_time(engine.prefill_tokens(&sent));
        engine.record_sent(number + 1, &sent, takes, now);
        engine.record_held(number + 1, &sent, OUTPUT, now);
        let wait = engine.own_wait(now);
        for (other, view) in views.iter_mut().enumerate() {
            if other != vm {
                view[place].record_peer_wait(vm as u64, wait, now);
            }
        }
        held[place] += OWN + OUTPUT.0;
        if !has_shared[place] {
            has_shared[place] = true;
            held[place] += SHARED;
        }
    }
    held.into_iter().max().expect("engines")
}

/// Guards against engines that crash because VMs send prompts to those that have them cached, and are full.
#[test]
fn a_burst_of_large_prompts_does_not_exceed_an_engines_memory() {
    let (before, after) = (most_held(false), most_held(true));
    println!("{before} tokens without regard to memory, {after} with, of {CAPACITY}");
    assert!(before > CAPACITY.0, "{before}");
    assert!(after <= CAPACITY.0, "{after}");
}

/// Guards against another choice of engine where all have memory left, and against requests that are refused
/// because all seem to be full.
#[test]
fn memory_decides_only_between_engines_with_and_without_room() {
    let candidate = |wait, full| Candidate {
        name_hash: wait,
        usable: true,
        full,
        wait: Duration::from_millis(wait),
        ..Candidate::default()
    };
    let choose = |full: [bool; 2]| {
        let candidates = [candidate(100, full[0]), candidate(500, full[1])];
        engine::choose(&candidates, 1, &Config::default())
    };
    assert_eq!(choose([false, false]), Some(0));
    assert_eq!(choose([false, true]), Some(0));
    assert_eq!(choose([true, false]), Some(1));
    assert_eq!(choose([true, true]), Some(0));
}

/// Guards against memory that ended calls, peers' old reports or shared parts seem to take.
#[test]
fn memory_is_counted_once_and_given_back() {
    let mut engine = Engine::new(Tokens(SHARED + 3 * OWN));
    let full = |engine: &Engine, now| engine.is_full_for(&prompt(9, OWN), Tokens::ZERO, now);
    engine.record_held(1, &prompt(1_001, OWN), Tokens::ZERO, at(0));
    engine.record_cached(&prompt(1_002, OWN), at(0));
    assert!(!full(&engine, at(0)), "the shared part is counted twice");
    engine.record_held(2, &prompt(1_003, OWN), Tokens::ZERO, at(0));
    assert!(full(&engine, at(0)));
    assert!(!full(&engine, at(3_000)), "a peer's report does not expire");
    engine.record_held(3, &prompt(1_004, OWN), Tokens::ZERO, at(3_000));
    assert!(full(&engine, at(3_000)));
    engine.record_end(1, at(3_000));
    assert!(!full(&engine, at(3_000)), "an ended call takes memory");
    assert!(engine.is_too_small_for(&prompt(9, 4 * OWN), Tokens::ZERO));
    assert!(!engine.is_too_small_for(&prompt(9, 3 * OWN), Tokens::ZERO));
    assert!(engine.is_too_small_for(&prompt(9, 3 * OWN), Tokens::MAX_CALL));
    assert!(!Engine::new(Tokens::ZERO).is_too_small_for(&prompt(9, OWN), Tokens::ZERO));
}

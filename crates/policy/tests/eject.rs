//! Ejection in pools of two or three, where chance and an endpoint's own past weigh most.

use std::time::Duration;

use pimento_policy::eject::Config;
use pimento_policy::eject::Outcome;
use pimento_policy::eject::Pool;
use pimento_policy::eject::State;
use pimento_units::Moment;
use pimento_units::id;

fn endpoint(number: usize) -> id::Endpoint {
    format!("i-{number}").parse().unwrap()
}

fn pool(size: usize) -> Pool {
    let mut pool = Pool::new(Config::default());
    pool.retain((0..size).map(endpoint));
    pool
}

fn served(pool: &mut Pool, number: usize, millis: f64, times: usize, now: Moment) {
    for _ in 0..times {
        let seconds_per_token = millis / 1_000.0;
        pool.record(
            &endpoint(number),
            Outcome::Served { seconds_per_token },
            now,
        );
    }
}

// One of two endpoints refuses every call; the other one answers, for a moment more slowly than
// before. Held against its own past it went out, and callers were refused for six seconds while it
// was well.
#[test]
fn the_only_endpoint_that_answers_is_not_held_against_itself() {
    let mut pool = pool(2);
    let begin = Moment::ZERO;
    pool.record(&endpoint(0), Outcome::Unknown, begin);
    served(&mut pool, 1, 1.0, 5, begin);
    let later = begin + Duration::from_secs(1);
    served(&mut pool, 1, 6.0, 5, later);
    assert_eq!(pool.state(&endpoint(1), later), State::Active);
}

// One of three endpoints turns slow and stays so: it goes out, and the others stay.
#[test]
fn the_slow_one_of_three_goes_out() {
    let mut pool = pool(3);
    let begin = Moment::ZERO;
    for number in 0..3 {
        served(&mut pool, number, 60.0, 5, begin);
    }
    let later = begin + Duration::from_secs(1);
    for _ in 0..6 {
        served(&mut pool, 0, 300.0, 1, later);
        served(&mut pool, 1, 60.0, 1, later);
        served(&mut pool, 2, 70.0, 1, later);
    }
    let states = [0, 1, 2].map(|number| pool.state(&endpoint(number), later));
    assert_eq!(states, [State::Ejected, State::Active, State::Active]);
}

// Answers by models of unlike speed take one second or twenty. They end a row of errors and never
// make an endpoint look slow.
#[test]
fn answers_whose_time_says_nothing_eject_nobody() {
    let mut pool = pool(3);
    let now = Moment::ZERO;
    served(&mut pool, 1, 1.0, 5, now);
    served(&mut pool, 2, 1.0, 5, now);
    for _ in 0..20 {
        pool.record(&endpoint(0), Outcome::Failed, now);
        pool.record(&endpoint(0), Outcome::Failed, now);
        pool.record(&endpoint(0), Outcome::AnsweredUntimed, now);
    }
    assert_eq!(pool.state(&endpoint(0), now), State::Active);
}

fn failed(pool: &mut Pool, number: usize, now: Moment) {
    for _ in 0..3 {
        pool.record(&endpoint(number), Outcome::Failed, now);
    }
}

// One of three endpoints goes out, then the two others leave. The pool is the one that is out: held
// out to the end of its time, it left every call waiting for what could not come, while other nodes
// went on with it.
#[test]
fn the_last_one_that_stays_is_back_in_use() {
    let mut pool = pool(3);
    let now = Moment::ZERO;
    failed(&mut pool, 0, now);
    assert_eq!(pool.state(&endpoint(0), now), State::Ejected);
    pool.retain([endpoint(0)]);
    assert_eq!(pool.state(&endpoint(0), now), State::Active);
    assert_eq!(pool.ejected(), 0);
}

// Two of six are out, three of the well ones leave: of the three that stay one may be out, and the
// one whose time ends first is back.
#[test]
fn a_pool_that_shrinks_keeps_its_bound() {
    let mut pool = pool(6);
    let begin = Moment::ZERO;
    let later = begin + Duration::from_secs(2);
    failed(&mut pool, 4, begin);
    failed(&mut pool, 5, later);
    assert_eq!(pool.ejected(), 2);
    pool.retain([3, 4, 5].map(endpoint));
    let states = [3, 4, 5].map(|number| pool.state(&endpoint(number), later));
    assert_eq!(states, [State::Active, State::Active, State::Ejected]);
}

// An endpoint that is out comes back at a known time; one in use is there.
#[test]
fn an_endpoint_that_is_out_says_when_it_is_back() {
    let mut pool = pool(3);
    let now = Moment::ZERO + Duration::from_secs(1);
    failed(&mut pool, 0, now);
    let first = Config::default().first_ejection;
    assert_eq!(pool.ejected_until(&endpoint(0)), now + first);
    assert_eq!(pool.ejected_until(&endpoint(1)), Moment::ZERO);
}

// One of two endpoints is out; then the other one is cut off. The pool kept to the one that no call
// reached any more, since the last one never goes out, and callers were refused for seconds beside an
// endpoint that had come back. They change places.
#[test]
fn the_last_one_in_use_changes_places_once_it_fails() {
    let mut pool = pool(2);
    let now = Moment::ZERO;
    failed(&mut pool, 0, now);
    let later = now + Duration::from_secs(1);
    failed(&mut pool, 1, later);
    let states = [0, 1].map(|number| pool.state(&endpoint(number), later));
    assert_eq!(states, [State::Active, State::Ejected]);
    assert_eq!(pool.ejected(), 1);
}

// A slow one goes out only where the bound has room: what is out may be worse.
#[test]
fn a_slow_one_does_not_take_the_place_of_one_that_fails() {
    let mut pool = pool(3);
    let now = Moment::ZERO;
    failed(&mut pool, 0, now);
    served(&mut pool, 1, 60.0, 5, now);
    served(&mut pool, 2, 600.0, 8, now);
    let states = [0, 1, 2].map(|number| pool.state(&endpoint(number), now));
    assert_eq!(states, [State::Ejected, State::Active, State::Active]);
}

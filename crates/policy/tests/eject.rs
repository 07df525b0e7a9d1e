//! Ejection in pools of two or three endpoints, where chance and an endpoint's own earlier times
//! matter most.

use std::time::Duration;

use pimento_policy::eject::Config;
use pimento_policy::eject::Health;
use pimento_policy::eject::Outcome;
use pimento_policy::eject::State;
use pimento_units::Moment;
use pimento_units::id;

fn endpoint(number: usize) -> id::Endpoint {
    format!("i-{number}").parse().unwrap()
}

fn pool(size: usize) -> Health {
    let mut pool = Health::new(Config::default());
    pool.set_endpoints((0..size).map(endpoint));
    pool
}

fn served(pool: &mut Health, number: usize, millis: f64, times: usize, now: Moment) {
    for _ in 0..times {
        let seconds_per_token = millis / 1_000.0;
        pool.record(
            &endpoint(number),
            Outcome::Served { seconds_per_token },
            now,
        );
    }
}

// One of two endpoints refuses every call; the other answers, for a moment more slowly than before.
// If it is compared with its own earlier times, it is ejected, and callers are refused for six
// seconds although it is healthy.
#[test]
fn the_only_endpoint_that_answers_is_not_compared_with_itself() {
    let mut pool = pool(2);
    let begin = Moment::ZERO;
    pool.record(&endpoint(0), Outcome::Unknown, begin);
    served(&mut pool, 1, 1.0, 5, begin);
    let later = begin + Duration::from_secs(1);
    served(&mut pool, 1, 6.0, 5, later);
    assert_eq!(pool.state(&endpoint(1), later), State::Active);
}

// One of three endpoints becomes slow and stays so. It is ejected, and the others stay in use.
#[test]
fn a_slow_endpoint_of_three_is_ejected() {
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

// Answers of models that differ in speed take one second or twenty. They end a sequence of errors
// and never make an endpoint count as slow.
#[test]
fn untimed_answers_eject_no_endpoint() {
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

fn failed(pool: &mut Health, number: usize, now: Moment) {
    for _ in 0..3 {
        pool.record(&endpoint(number), Outcome::Failed, now);
    }
}

// One of three endpoints is ejected, then the two others leave, so that the pool consists of the
// ejected endpoint. If its ejection lasts to the end, every call waits in vain, while other nodes
// use the endpoint.
#[test]
fn the_last_remaining_endpoint_is_readmitted() {
    let mut pool = pool(3);
    let now = Moment::ZERO;
    failed(&mut pool, 0, now);
    assert_eq!(pool.state(&endpoint(0), now), State::Ejected);
    pool.set_endpoints([endpoint(0)]);
    assert_eq!(pool.state(&endpoint(0), now), State::Active);
    assert_eq!(pool.ejected(), 0);
}

// Two of six endpoints are ejected, and three healthy ones leave. Of the three that stay, one may
// be ejected, so the one whose ejection ends first is readmitted.
#[test]
fn a_pool_that_shrinks_keeps_its_bound() {
    let mut pool = pool(6);
    let begin = Moment::ZERO;
    let later = begin + Duration::from_secs(2);
    failed(&mut pool, 4, begin);
    failed(&mut pool, 5, later);
    assert_eq!(pool.ejected(), 2);
    pool.set_endpoints([3, 4, 5].map(endpoint));
    let states = [3, 4, 5].map(|number| pool.state(&endpoint(number), later));
    assert_eq!(states, [State::Active, State::Active, State::Ejected]);
}

// An ejected endpoint may be used again at a known time, an active one at once.
#[test]
fn an_ejected_endpoint_reports_when_its_ejection_ends() {
    let mut pool = pool(3);
    let now = Moment::ZERO + Duration::from_secs(1);
    failed(&mut pool, 0, now);
    let first = Config::default().first_ejection;
    assert_eq!(pool.ejected_until(&endpoint(0)), now + first);
    assert_eq!(pool.ejected_until(&endpoint(1)), Moment::ZERO);
}

// One of two endpoints is ejected, then the other is cut off. As the last endpoint is never
// ejected, the pool would keep the one that no call reaches, and callers would be refused for
// seconds beside an endpoint that has recovered. The two are swapped.
#[test]
fn the_last_active_endpoint_is_swapped_once_it_fails() {
    let mut pool = pool(2);
    let now = Moment::ZERO;
    failed(&mut pool, 0, now);
    let later = now + Duration::from_secs(1);
    failed(&mut pool, 1, later);
    let states = [0, 1].map(|number| pool.state(&endpoint(number), later));
    assert_eq!(states, [State::Active, State::Ejected]);
    assert_eq!(pool.ejected(), 1);
}

// A slow endpoint is ejected only within the bound, because an ejected one may be worse.
#[test]
fn a_slow_endpoint_is_not_swapped_with_a_failing_one() {
    let mut pool = pool(3);
    let now = Moment::ZERO;
    failed(&mut pool, 0, now);
    served(&mut pool, 1, 60.0, 5, now);
    served(&mut pool, 2, 600.0, 8, now);
    let states = [0, 1, 2].map(|number| pool.state(&endpoint(number), now));
    assert_eq!(states, [State::Ejected, State::Active, State::Active]);
}

/// Guards against a sound endpoint that is ejected because all of its calls miss the same second.
#[test]
fn a_second_of_silence_ejects_nothing() {
    let mut pool = pool(3);
    let begin = Moment::from_millis(1_000);
    for millis in [0, 10, 500, 900, 1_100] {
        let now = begin + Duration::from_millis(millis);
        pool.record(&endpoint(0), Outcome::Silent, now);
        assert_eq!(pool.state(&endpoint(0), now), State::Active);
    }
}

#[test]
fn an_endpoint_that_stays_silent_is_ejected() {
    let mut pool = pool(3);
    let begin = Moment::from_millis(1_000);
    for millis in [0, 1_300, 2_600] {
        let now = begin + Duration::from_millis(millis);
        pool.record(&endpoint(0), Outcome::Silent, now);
    }
    let now = begin + Duration::from_millis(2_600);
    assert_eq!(pool.state(&endpoint(0), now), State::Ejected);
}

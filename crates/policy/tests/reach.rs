//! Links of a VM to endpoints that fail, and endpoints that are down.

use std::time::Duration;

use pimento_policy::reach::Links;
use pimento_policy::reach::Reach;
use pimento_policy::reach::Route;
use pimento_units::Moment;
use pimento_units::id;

fn endpoint(number: u32) -> id::Endpoint {
    format!("i-{number}").parse().unwrap()
}

const fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// Links that went down at one second: three endpoints failed, and another VM reached the last of them.
fn down() -> Reach {
    let mut reach = Reach::default();
    reach.record_connected(&endpoint(0), at(0));
    reach.record_failed(&endpoint(1));
    reach.record_failed(&endpoint(2));
    reach.record_relayed(&endpoint(2), at(1_000));
    reach
}

/// Guards against a detour for every endpoint that crashes.
#[test]
fn a_single_endpoint_that_is_down_leaves_the_links_up() {
    let mut reach = Reach::default();
    for _ in 0..10 {
        reach.record_failed(&endpoint(1));
        reach.record_connected(&endpoint(2), at(0));
        assert_eq!(reach.links(), Links::Up);
    }
    assert_eq!(reach.route(&endpoint(1), at(1)), Route::Direct);
}

#[test]
fn links_are_down_only_once_another_vm_reaches_an_endpoint() {
    let mut reach = Reach::default();
    reach.record_failed(&endpoint(1));
    assert_eq!(reach.links(), Links::Up);
    reach.record_failed(&endpoint(2));
    assert_eq!(reach.links(), Links::Suspect);
    assert_eq!(reach.route(&endpoint(3), at(1)), Route::Direct);
    reach.record_relayed(&endpoint(2), at(2));
    assert_eq!(reach.links(), Links::Down);
    assert_eq!(
        reach.route(&endpoint(3), at(3)),
        Route::Relay { trial: false }
    );
}

#[test]
fn the_only_endpoint_of_a_service_shows_lost_links_as_well() {
    let mut reach = Reach::default();
    for _ in 0..3 {
        reach.record_failed(&endpoint(1));
    }
    assert_eq!(reach.links(), Links::Suspect);
}

/// Guards against trials of lost links by every request, each of which costs an endpoint a connection.
#[test]
fn lost_links_are_tried_twice_a_second() {
    let mut reach = down();
    let trials = (1_000..11_000).step_by(10).filter(|millis| {
        let trial = Route::Relay { trial: true };
        reach.route(&endpoint(3), at(*millis)) == trial
    });
    let trials = trials.count();
    assert!((18..=20).contains(&trials), "{trials} trials in 10 s");
}

/// Guards against calls that take the detour long after the links are back.
#[test]
fn links_that_are_back_are_used_at_once() {
    let mut reach = down();
    reach.record_connected(&endpoint(3), at(5_000));
    assert_eq!(reach.links(), Links::Up);
    assert_eq!(reach.route(&endpoint(3), at(5_001)), Route::Direct);
    // The endpoint that was reached through another VM is tried by the next request for it.
    let trial = Route::Relay { trial: true };
    assert_eq!(reach.route(&endpoint(2), at(5_001)), trial);
    reach.record_connected(&endpoint(2), at(5_002));
    assert_eq!(reach.route(&endpoint(2), at(5_003)), Route::Direct);
    assert_eq!(reach.detours(), 0);
}

/// Guards against flapping while only some of the endpoints are out of reach.
#[test]
fn an_endpoint_out_of_reach_keeps_its_detour_while_others_are_in_reach() {
    let mut reach = down();
    let mut trials = 0;
    for millis in (1_000..31_000).step_by(100) {
        reach.record_connected(&endpoint(3), at(millis));
        match reach.route(&endpoint(2), at(millis)) {
            Route::Relay { trial: true } => {
                trials += 1;
                reach.record_failed(&endpoint(2));
            }
            route => assert_eq!(route, Route::Relay { trial: false }),
        }
        assert_eq!(reach.links(), Links::Up);
    }
    assert!((4..=8).contains(&trials), "{trials} trials in 30 s");
}

#[test]
fn an_endpoint_that_no_vm_reaches_is_tried_directly_again() {
    let mut reach = down();
    reach.record_connected(&endpoint(3), at(2_000));
    reach.forget(&endpoint(2));
    assert_eq!(reach.route(&endpoint(2), at(2_001)), Route::Direct);
}

/// Times are those of an attempt: none of the decisions waits.
#[test]
fn the_first_trial_follows_after_a_pause() {
    let mut reach = down();
    let pause = Duration::from_millis(400);
    let early = at(1_000) + pause;
    assert_eq!(
        reach.route(&endpoint(1), early),
        Route::Relay { trial: false }
    );
}

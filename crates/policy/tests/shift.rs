//! Shifts by a deadline: when a version counts as bad by the evidence of all nodes.

use std::time::Duration;

use pimento_policy::exposure::Bound;
use pimento_policy::exposure::Forecast;
use pimento_policy::exposure::Room;
use pimento_policy::exposure::Sent;
use pimento_policy::exposure::Transfers;
use pimento_policy::rollout::Cause;
use pimento_policy::rollout::Counts;
use pimento_policy::rollout::Evidence;
use pimento_policy::shift;
use pimento_policy::shift::Known;
use pimento_policy::shift::Period;
use pimento_policy::shift::Progress;
use pimento_policy::shift::RouteEvidence;
use pimento_policy::shift::Side;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::proptest;

const SEVERAL: usize = 3;

/// Answers of one version on a route: attempts, failures and the mean time in milliseconds of the others.
fn answers(attempts: u32, failed: u32, milliseconds: f64) -> Evidence {
    Evidence::from(Counts {
        rated: 0,
        passed: 0,
        attempts,
        failed,
        mean_time: Some(milliseconds / 1_000.0),
    })
}

fn route(new: Evidence, old: Evidence) -> RouteEvidence {
    RouteEvidence { new, old }
}

fn cause(routes: &[RouteEvidence]) -> Option<Cause> {
    shift::regression(routes, SEVERAL, SEVERAL, Period::Shifting)
}

/// Guards against a version several times slower in half of its answers that no single route shows clearly.
#[test]
fn a_version_that_is_slower_on_all_routes_is_bad() {
    let plain = [
        route(answers(18, 0, 23.0), answers(264, 2, 10.0)),
        route(answers(3, 0, 43.0), answers(61, 0, 20.0)),
        route(answers(9, 1, 38.0), answers(153, 48, 15.0)),
    ];
    assert_eq!(cause(&plain), Some(Cause::Latency));
    let engines = [
        route(answers(16, 0, 267.0), answers(426, 0, 100.0)),
        route(answers(26, 0, 147.0), answers(574, 0, 100.0)),
        route(answers(36, 0, 105.0), answers(634, 0, 50.0)),
    ];
    assert_eq!(cause(&engines), Some(Cause::Latency));
}

/// A version whose short answers begin nearly as fast as before, and whose long ones don't.
fn slow_with_long_requests() -> [RouteEvidence; 2] {
    [
        route(answers(22, 0, 105.0), answers(392, 0, 77.0)),
        route(answers(10, 0, 990.0), answers(278, 0, 386.0)),
    ]
}

/// Guards against a version that delays long requests only, whose short ones hide it until the deadline has passed.
#[test]
fn a_version_that_is_slow_with_long_requests_only_is_bad() {
    assert_eq!(cause(&slow_with_long_requests()), Some(Cause::Latency));
}

/// Guards against an alarm because the load rose since the old version was replaced.
#[test]
fn a_version_in_place_is_not_bad_by_its_long_requests_alone() {
    let cause = shift::regression(
        &slow_with_long_requests(),
        SEVERAL,
        SEVERAL,
        Period::InPlace,
    );
    assert_eq!(cause, None);
}

/// Guards against a good version that is rolled back because one of its few long answers took long.
#[test]
fn a_single_slow_answer_makes_no_version_bad() {
    let routes = [
        route(answers(22, 0, 80.0), answers(392, 0, 77.0)),
        route(answers(2, 0, 1_200.0), answers(278, 0, 386.0)),
    ];
    assert_eq!(cause(&routes), None);
}

/// Guards against a version whose failures are few on each route, beside requests that fail on any version.
#[test]
fn failures_beyond_those_of_the_old_version_are_found_over_all_routes() {
    let routes = [
        route(answers(22, 8, 20.0), answers(227, 60, 20.0)),
        route(answers(35, 3, 20.0), answers(433, 0, 20.0)),
        route(answers(12, 3, 20.0), answers(99, 0, 20.0)),
    ];
    assert_eq!(cause(&routes), Some(Cause::Errors));
}

/// Guards against a good version that is rolled back because its few answers happen to be slow or to fail.
#[test]
fn a_version_that_is_as_good_as_the_old_one_is_not_bad() {
    let quiet = [
        route(answers(12, 2, 21.0), answers(127, 21, 20.0)),
        route(answers(24, 1, 17.0), answers(201, 0, 20.0)),
        route(answers(3, 2, 20.0), answers(32, 20, 20.0)),
    ];
    assert_eq!(cause(&quiet), None);
    let cold_caches = [
        route(answers(9, 0, 151.0), answers(44, 0, 100.0)),
        route(answers(13, 0, 120.0), answers(66, 0, 100.0)),
        route(answers(19, 0, 117.0), answers(86, 0, 100.0)),
        route(answers(2, 0, 219.0), answers(12, 0, 100.0)),
    ];
    assert_eq!(cause(&cold_caches), None);
}

/// All that may be known when a request needs a version.
fn all_known() -> Vec<Known> {
    let mut all = Vec::new();
    for progress in [
        Progress::Unknown,
        Progress::Running,
        Progress::Done,
        Progress::RolledBack,
    ] {
        for last in [None, Some(Side::Old), Some(Side::New)] {
            for bits in 0..64_u8 {
                all.push(Known {
                    progress,
                    last,
                    old_usable: bits & 1 > 0,
                    new_usable: bits & 2 > 0,
                    pinned: bits & 4 > 0,
                    joins: bits & 8 > 0,
                    within_bound: bits & 16 > 0,
                    may_have_moved: bits & 32 > 0,
                });
            }
        }
    }
    all
}

/// Guards against any way to a new version beyond its bound, or once it is known to be bad.
#[test]
fn only_a_version_in_place_gets_requests_beyond_its_bound() {
    for known in all_known() {
        let new = known.side() == Some(Side::New);
        let allowed = match known.progress {
            Progress::Done => true,
            Progress::Unknown | Progress::Running => known.within_bound,
            Progress::RolledBack => false,
        };
        assert!(!new || allowed, "{known:?}");
    }
}

/// Guards against requests that are refused although the old version could take them.
#[test]
fn only_a_session_that_may_be_on_the_new_version_is_refused_beside_a_usable_old_one() {
    for known in all_known().into_iter().filter(|known| known.old_usable) {
        let under_way = matches!(known.progress, Progress::Running | Progress::Unknown);
        let on_new = known.last == Some(Side::New) && under_way;
        let running = known.progress == Progress::Running;
        let may_be = running && known.may_have_moved && known.joins && !known.pinned;
        let full = !known.within_bound;
        assert!(
            known.side().is_some() || full && (on_new || may_be),
            "{known:?}"
        );
    }
}

/// Guards against a session that is sent back because this node doesn't know that another one has moved it.
#[test]
fn a_session_that_may_be_on_the_new_version_is_not_sent_back() {
    for known in all_known().into_iter().filter(|known| known.new_usable) {
        let may_be = known.may_have_moved && known.joins && !known.pinned;
        if known.progress == Progress::Running && (known.last == Some(Side::New) || may_be) {
            assert_ne!(known.side(), Some(Side::Old), "{known:?}");
        }
    }
}

/// Guards against a version that gets more requests from a VM that knows less.
#[test]
fn what_is_not_known_gives_a_version_no_more_requests() {
    let uses_new = |known: &Known| known.side() == Some(Side::New);
    for known in all_known() {
        if known.progress == Progress::Running {
            let progress = Progress::Unknown;
            let unknown = Known { progress, ..known };
            assert!(!uses_new(&unknown) || uses_new(&known), "{unknown:?}");
        }
        let last = None;
        let forgotten = Known { last, ..known };
        let moved = known.joins && !known.pinned;
        assert!(
            !uses_new(&forgotten) || uses_new(&known) || moved,
            "{forgotten:?}"
        );
    }
}

fn forecast(rate: f64, age: u64) -> Forecast {
    let (age, limit) = (Duration::from_secs(age), Duration::from_secs(24));
    Forecast {
        rate,
        left: limit.saturating_sub(age),
        new: shift::Config::default().time_on_new(age, limit, 0.15),
    }
}

/// Guards against nodes that have been up since the order and ask each other for room all the same.
#[test]
fn a_node_that_counted_all_its_requests_wants_no_room() {
    let bound = Bound::new(0.15, 30, 8);
    for age in 0..24 {
        let all = u32::try_from(age * 10).unwrap();
        let forecast = forecast(10.0, age);
        let used = 24.0 * 0.15 * 10.0 * 0.96 - forecast.new.as_secs_f64() * 10.0;
        let new = Room::from_requests(used).thousandths() / 1_000;
        let want = bound.want(Sent { new, all }, &forecast);
        assert!(want.requests() < 1.0, "{want} at {age} s");
    }
}

/// Guards against a node that starts in a shift, has no room of its own, and asks nobody.
#[test]
fn a_node_that_starts_in_a_shift_wants_what_it_did_not_count() {
    let bound = Bound::without_slack(0.15);
    let sent = Sent { new: 0, all: 0 };
    let want = bound.want(sent, &forecast(10.0, 18));
    assert!((8.0..16.0).contains(&want.requests()), "{want}");
    assert_eq!(bound.surplus(sent, &forecast(10.0, 18)), Room::ZERO);
}

proptest! {
    /// Guards against nodes that together send more than the bound because room was passed on, told twice or lost.
    #[test]
    fn passing_room_on_never_adds_to_it(
        steps in proptest::collection::vec((0_usize..4, 0_usize..4, 0_u32..5_000, any::<bool>()), 1..80),
    ) {
        let mut nodes = vec![Transfers::default(); 4];
        for (from, to, amount, arrives) in steps {
            if from == to {
                continue;
            }
            let (lender, borrower) = (from as u64, to as u64);
            nodes[from].lend(borrower, Room::from_thousandths(amount));
            let total = nodes[from].lent_to(borrower);
            if arrives {
                nodes[to].borrow(lender, total);
                nodes[to].borrow(lender, total);
            }
        }
        let sum: f64 = nodes.iter().map(Transfers::balance).sum();
        prop_assert!(sum <= 1e-6, "{sum}");
    }
}

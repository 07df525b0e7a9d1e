//! Shifts by a deadline: when a version counts as bad by the evidence of all nodes.

use pimento_policy::rollout::Cause;
use pimento_policy::rollout::Counts;
use pimento_policy::rollout::Evidence;
use pimento_policy::shift;
use pimento_policy::shift::Known;
use pimento_policy::shift::Period;
use pimento_policy::shift::Progress;
use pimento_policy::shift::RouteEvidence;
use pimento_policy::shift::Side;

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
            for bits in 0..32_u8 {
                all.push(Known {
                    progress,
                    last,
                    old_usable: bits & 1 > 0,
                    new_usable: bits & 2 > 0,
                    pinned: bits & 4 > 0,
                    joins: bits & 8 > 0,
                    within_bound: bits & 16 > 0,
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
fn only_a_session_on_the_new_version_is_refused_beside_a_usable_old_one() {
    for known in all_known().into_iter().filter(|known| known.old_usable) {
        let on_new = known.last == Some(Side::New) && known.progress == Progress::Running;
        assert!(known.side().is_some() || on_new, "{known:?}");
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

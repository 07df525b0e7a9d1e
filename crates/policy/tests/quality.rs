//! The cascade: its cost at the target quality, and how many callers a version that turns bad
//! affects.

mod model;

use std::time::Duration;

use model::quality;
use model::quality::Fault;
use model::quality::Picking;
use model::quality::TARGET;
use pimento_policy::cascade;
use pimento_policy::cascade::Candidate;
use pimento_policy::cascade::Config;
use pimento_policy::cascade::Estimate;
use pimento_policy::cascade::Release;
use pimento_policy::cascade::Terms;
use pimento_units::Moment;
use pimento_units::Money;
use pimento_units::Share;

const SEED: u64 = 7;

// Versions differ in cost and quality, requests in difficulty. Always using the cheapest version
// misses the target; always using the best and a fixed cascade cost more than needed.
#[test]
fn target_is_met_at_less_cost_than_any_baseline() {
    let ours = quality::run(Picking::Cascade, Fault::None, SEED);
    let cheapest = quality::run(Picking::Cheapest, Fault::None, SEED);
    let best = quality::run(Picking::Best, Fault::None, SEED);
    let fixed = quality::run(Picking::Fixed, Fault::None, SEED);
    assert!(ours.quality >= TARGET, "{ours:?}");
    assert!(cheapest.quality < TARGET, "{cheapest:?}");
    assert!(ours.cost < best.cost * 0.4, "{ours:?} against {best:?}");
    assert!(ours.cost < fixed.cost * 0.8, "{ours:?} against {fixed:?}");
}

// From half of the run on, a version passes a fifth of its former share. Bad answers that are rated
// before their release are replaced. Of those released unrated, one in five is rated afterwards,
// and the first failures end the use of the version. Without the cascade, every caller of the
// version gets bad answers.
#[test]
fn version_that_turns_bad_is_abandoned() {
    for version in [0, 1] {
        let ours = quality::run(Picking::Cascade, Fault::BadVersion(version), SEED);
        assert!(ours.quality_after >= TARGET, "{ours:?}");
        assert!(ours.bad_answers < 60, "of 3,000 requests: {ours:?}");
    }
    let cheapest = quality::run(Picking::Cheapest, Fault::BadVersion(0), SEED);
    assert!(cheapest.bad_answers > 1_000, "{cheapest:?}");
}

// The rating service takes five seconds, or is unavailable. A slow service costs time but no
// quality. Without ratings, an answer comes from a version whose lower bound meets the target, or
// else from the best.
#[test]
fn quality_holds_without_ratings() {
    for fault in [Fault::SlowRatings, Fault::NoRatings] {
        for picking in [Picking::Cascade, Picking::LatencyCascade] {
            let ours = quality::run(picking, fault, SEED);
            assert!(
                ours.quality_after >= TARGET,
                "{fault:?}, {picking:?}: {ours:?}"
            );
        }
    }
    let fixed = quality::run(Picking::Fixed, Fault::NoRatings, SEED);
    assert!(fixed.quality_after < TARGET, "{fixed:?}");
    let cost = quality::run(Picking::Cascade, Fault::SlowRatings, SEED);
    let time = quality::run(Picking::LatencyCascade, Fault::SlowRatings, SEED);
    assert!(
        time.p95 < cost.p95,
        "weighing time reduces latency: {time:?} against {cost:?}"
    );
}

fn candidate(cost: u64, seconds: u64, mean: f64, lower: f64) -> Candidate {
    Candidate {
        cost: Money::from_micros(cost),
        run_time: Duration::from_secs(seconds),
        mean,
        lower_bound: lower,
        usable: true,
    }
}

fn terms() -> Terms {
    Terms {
        target: Share::try_from(0.9).expect("a share"),
        budget: Money::from_micros(1_000),
        time_left: Duration::from_mins(1),
        rating_time: Some(Duration::from_secs(1)),
        cost_per_second: Money::ZERO,
    }
}

#[test]
fn plan_follows_budget_time_and_ratings() {
    let candidates = [candidate(10, 1, 0.8, 0.7), candidate(100, 5, 0.97, 0.95)];
    let step =
        |terms: Terms| cascade::plan(&candidates, &terms).map(|plan| (plan.step, plan.release));
    assert_eq!(
        step(terms()),
        Some((0, Release::Rated)),
        "the cheap one first, rated"
    );
    let out = Terms {
        rating_time: None,
        ..terms()
    };
    assert_eq!(
        step(out),
        Some((1, Release::Unrated)),
        "without ratings, the one whose lower bound meets the target"
    );
    let short = Terms {
        time_left: Duration::from_secs(6),
        ..terms()
    };
    assert_eq!(
        step(short),
        Some((1, Release::Unrated)),
        "no time for a second step"
    );
    let late = Terms {
        time_left: Duration::from_secs(2),
        ..terms()
    };
    assert_eq!(
        step(late).map(|(step, _)| step),
        Some(0),
        "only the fast one is in time"
    );
    let small_budget = Terms {
        budget: Money::from_micros(50),
        ..terms()
    };
    assert_eq!(
        step(small_budget).map(|(step, _)| step),
        Some(0),
        "the budget covers only the cheap one"
    );
    let no_budget = Terms {
        budget: Money::from_micros(5),
        ..terms()
    };
    assert_eq!(step(no_budget), None, "the budget covers neither");
}

// A version that was good for a thousand ratings turns bad. The number of remembered ratings is
// bounded, so that old good ratings do not outweigh recent bad ones.
#[test]
fn estimate_forgets_within_its_window() {
    let mut estimate = Estimate::new(Share::try_from(0.9).expect("a share"), Config::default());
    let mut at = 0;
    let mut rate = |estimate: &mut Estimate, pass| {
        at += 100;
        estimate.record(pass, Moment::from_millis(at));
        Moment::from_millis(at)
    };
    for _ in 0..1_000 {
        rate(&mut estimate, true);
    }
    let mut now = Moment::ZERO;
    for _ in 0..5 {
        now = rate(&mut estimate, false);
    }
    assert!(
        estimate.lower_bound(now) < 0.95,
        "five failures in a row show"
    );
    for _ in 0..100 {
        now = rate(&mut estimate, false);
    }
    assert!(
        estimate.mean(now) < 0.5,
        "a window of failures outweighs a thousand passes"
    );
}

//! The cascade: cost at the quality target, and who meets a version that turns bad.

mod model;

use std::time::Duration;

use model::quality;
use model::quality::Picking;
use model::quality::TARGET;
use model::quality::Trouble;
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

// Versions of unlike cost and quality, requests of unlike difficulty. Always the cheapest misses
// the target, always the best and a fixed cascade cost more than need be.
#[test]
fn target_is_met_at_less_than_any_baseline() {
    let ours = quality::run(Picking::Cascade, Trouble::None, SEED);
    let cheapest = quality::run(Picking::Cheapest, Trouble::None, SEED);
    let best = quality::run(Picking::Best, Trouble::None, SEED);
    let fixed = quality::run(Picking::Fixed, Trouble::None, SEED);
    assert!(ours.quality >= TARGET, "{ours:?}");
    assert!(cheapest.quality < TARGET, "{cheapest:?}");
    assert!(ours.cost < best.cost * 0.4, "{ours:?} against {best:?}");
    assert!(ours.cost < fixed.cost * 0.8, "{ours:?} against {fixed:?}");
}

// A version passes a fifth of what it passed from half way on. Each bad answer that is rated before
// release is replaced; of those released unrated one in five is rated after, and the first failures
// end it. Without the cascade every caller of that version gets them.
#[test]
fn version_that_turns_bad_is_left() {
    for version in [0, 1] {
        let ours = quality::run(Picking::Cascade, Trouble::Bad(version), SEED);
        assert!(ours.after >= TARGET, "{ours:?}");
        assert!(ours.exposed < 60, "of 3,000 requests: {ours:?}");
    }
    let cheapest = quality::run(Picking::Cheapest, Trouble::Bad(0), SEED);
    assert!(cheapest.exposed > 1_000, "{cheapest:?}");
}

// The rating service takes five seconds, or is out. Slow, it costs time but no quality; out, an
// answer goes out unrated only from a version whose estimate meets the target by itself, or else
// from the best.
#[test]
fn quality_holds_without_ratings() {
    for trouble in [Trouble::Slow, Trouble::Out] {
        for picking in [Picking::Cascade, Picking::Hurried] {
            let ours = quality::run(picking, trouble, SEED);
            assert!(ours.after >= TARGET, "{trouble:?}, {picking:?}: {ours:?}");
        }
    }
    let fixed = quality::run(Picking::Fixed, Trouble::Out, SEED);
    assert!(fixed.after < TARGET, "{fixed:?}");
    let cost = quality::run(Picking::Cascade, Trouble::Slow, SEED);
    let time = quality::run(Picking::Hurried, Trouble::Slow, SEED);
    assert!(
        time.p95 < cost.p95,
        "who weighs time waits less: {time:?} against {cost:?}"
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
        "without ratings the one that is sure"
    );
    let hurry = Terms {
        time_left: Duration::from_secs(6),
        ..terms()
    };
    assert_eq!(
        step(hurry),
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
        "only the quick one is in time"
    );
    let poor = Terms {
        budget: Money::from_micros(50),
        ..terms()
    };
    assert_eq!(
        step(poor).map(|(step, _)| step),
        Some(0),
        "only the cheap one can be paid"
    );
    let broke = Terms {
        budget: Money::from_micros(5),
        ..terms()
    };
    assert_eq!(step(broke), None, "nothing can be paid");
}

// A version that was good for a thousand ratings turns bad: the memory is bounded, so that its good
// past does not outweigh its present.
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

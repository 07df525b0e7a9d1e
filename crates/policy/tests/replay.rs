//! Replays each recorded trace and compares what callers received with the expected outcome of its
//! scenario.

mod model;

use model::node::Mechanisms;
use model::scenario::NAMES;
use model::scenario::Scenario;
use model::summary::Summary;
use model::world;

// A trace that differs from its recipe would let a change of behaviour go unnoticed.
#[test]
fn traces_match_their_recipes() {
    for name in NAMES {
        let recorded = Scenario::load(name);
        let generated = Scenario::text(&recorded.generate());
        assert!(
            recorded.recorded() == generated,
            "{name} differs from its recipe"
        );
        assert!(recorded.arrivals.len() > 1_000, "{name}");
    }
}

// An expected outcome that no run is compared with would let a change of behaviour go unnoticed.
#[test]
fn expected_outcomes_hold() {
    let mut findings = Vec::new();
    for name in NAMES {
        let scenario = Scenario::load(name);
        let world = world::run(&scenario, Mechanisms::ALL);
        let summary = Summary::of(&scenario, &world);
        let expected = &scenario.outcome;
        let least = [
            ("served", Some(summary.served), expected.served),
            ("worst", Some(summary.worst(&scenario)), expected.worst),
            ("goodput", Some(summary.goodput), expected.goodput),
            ("truth", summary.returning_served, expected.returning_served),
        ];
        let most = [
            ("short_p95", Some(summary.short[1]), expected.short_p95),
            (
                "refusal_p99",
                Some(summary.refusal_p99),
                expected.refusal_p99,
            ),
            ("attempts", Some(summary.attempts), expected.attempts),
            ("cost", Some(summary.cost), expected.cost),
        ];
        assert!(expected.served.is_some(), "{name} has no expected outcome");
        for (what, found, bound) in least {
            let Some(bound) = bound else { continue };
            if found.is_none_or(|found| found < bound) {
                findings.push(format!(
                    "{name}: {what} is {found:?}, expected at least {bound}"
                ));
            }
        }
        for (what, found, bound) in most {
            let Some(bound) = bound else { continue };
            if found.is_none_or(|found| found > bound) {
                findings.push(format!(
                    "{name}: {what} is {found:?}, expected at most {bound}"
                ));
            }
        }
    }
    assert!(findings.is_empty(), "{findings:#?}");
}

// The benchmark compares mechanisms on the same arrivals, which is meaningless if two equal runs
// differ.
#[test]
fn replay_is_deterministic() {
    let scenario = Scenario::load("rybnikar-slow-endpoint");
    let [one, other] = [0, 1].map(|_| {
        let world = world::run(&scenario, Mechanisms::ALL);
        Summary::of(&scenario, &world)
    });
    assert_eq!(one, other);
}

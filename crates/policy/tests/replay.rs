//! Replays each recorded trace and holds what callers received against the outcome stated beside it.

mod model;

use model::node::Mechanisms;
use model::scenario::NAMES;
use model::scenario::Scenario;
use model::summary::Summary;
use model::world;

// A stated outcome that no run is held against, or a trace that no longer is what its recipe says,
// would let a change of behaviour pass unseen.
#[test]
fn traces_are_what_their_recipes_make() {
    for name in NAMES {
        let recorded = Scenario::load(name);
        let made = Scenario::text(&recorded.generate());
        assert!(
            recorded.recorded() == made,
            "{name} is not what its recipe makes"
        );
        assert!(recorded.arrivals.len() > 1_000, "{name}");
    }
}

#[test]
fn stated_outcomes_hold() {
    let mut findings = Vec::new();
    for name in NAMES {
        let scenario = Scenario::load(name);
        let world = world::run(&scenario, Mechanisms::ALL);
        let summary = Summary::of(&scenario, &world);
        let stated = &scenario.outcome;
        let least = [
            ("served", Some(summary.served), stated.served),
            ("worst", Some(summary.worst(&scenario)), stated.worst),
            ("goodput", Some(summary.goodput), stated.goodput),
            ("truth", summary.truth, stated.truth),
        ];
        let most = [
            ("short_p95", Some(summary.short[1]), stated.short_p95),
            ("refusal_p99", Some(summary.refusal_p99), stated.refusal_p99),
            ("attempts", Some(summary.attempts), stated.attempts),
            ("cost", Some(summary.cost), stated.cost),
        ];
        assert!(stated.served.is_some(), "{name} states no outcome");
        for (what, found, stated) in least {
            let Some(stated) = stated else { continue };
            if found.is_none_or(|found| found < stated) {
                findings.push(format!(
                    "{name}: {what} is {found:?}, at least {stated} is stated"
                ));
            }
        }
        for (what, found, stated) in most {
            let Some(stated) = stated else { continue };
            if found.is_none_or(|found| found > stated) {
                findings.push(format!(
                    "{name}: {what} is {found:?}, at most {stated} is stated"
                ));
            }
        }
    }
    assert!(findings.is_empty(), "{findings:#?}");
}

// The table compares mechanisms on the same arrivals, which means nothing if two runs differ.
#[test]
fn replay_is_deterministic() {
    let scenario = Scenario::load("rybnikar-slow-endpoint");
    let [one, other] = [0, 1].map(|_| {
        let world = world::run(&scenario, Mechanisms::ALL);
        Summary::of(&scenario, &world)
    });
    assert_eq!(one, other);
}

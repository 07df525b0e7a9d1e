//! What callers receive under each load pattern, by the queue model and the recorded arrivals, with
//! and without the mechanisms that handle the pattern.

mod model;

use model::engine::BATCH;
use model::node::Choice;
use model::node::Mechanisms;
use model::scenario::Scenario;
use model::summary::Summary;
use model::summary::quantile;
use model::summary::waits;
use model::world;
use model::world::Answer;
use model::world::World;

const ALL: Mechanisms = Mechanisms::ALL;

fn replay(name: &str, mechanisms: Mechanisms) -> (Scenario, World, Summary) {
    let scenario = Scenario::load(name);
    let world = world::run(&scenario, mechanisms);
    let summary = Summary::of(&scenario, &world);
    (scenario, world, summary)
}

/// 95th percentile of the seconds to the first token, for short requests that arrived between two
/// times.
fn short_p95(world: &World, from: f64, to: f64) -> f64 {
    let mut waits = waits(world, |request| {
        let at = request.arrival.at;
        request.arrival.class == 0 && from <= at && at < to
    });
    assert!(waits.len() > 20, "too few requests to judge");
    quantile(&mut waits, 0.95)
}

// Ten times the load arrives for two seconds. All slots fill, and the queue, fair by customer,
// holds the rest; each request still starts before its deadline, because the burst is shorter. Ten
// seconds later latency must be as before, or the burst would have left a standing queue.
#[test]
fn burst_is_served_and_drains() {
    let (scenario, world, summary) = replay("nyabarongo-burst", ALL);
    assert!(summary.served > 0.99, "{summary:?}");
    assert!(summary.worst(&scenario) > 0.98, "{summary:?}");
    let before = short_p95(&world, 0.0, 20.0);
    let after = short_p95(&world, 40.0, 90.0);
    assert!(after < before * 2.0 + 0.2, "before {before}, after {after}");
}

// Load is 1.5 and 3 times the pool's capacity for a minute. Requests that can't start in time are
// refused on arrival, so that engines work on answers that are still wanted: the useful work stays
// within a tenth of their capacity and does not fall as the load doubles. FIFO without admission
// control serves callers that have already left.
#[test]
fn overload_keeps_goodput() {
    let mut useful = Vec::new();
    for name in ["rybnikar-overload", "nyabarongo-overload"] {
        let (_, _, summary) = replay(name, ALL);
        useful.push(summary.utilization - summary.wasted);
        assert!(useful[useful.len() - 1] > 0.9, "{name}: {summary:?}");
        for choice in [Choice::RandomTwo, Choice::LeastInFlight, Choice::RoundRobin] {
            let (_, _, naive) = replay(name, Mechanisms::naive(choice));
            assert!(
                summary.served > naive.served * 1.5,
                "{name}, {choice:?}: {naive:?}"
            );
        }
    }
    assert!(
        useful[1] >= useful[0] - 0.01,
        "useful work at 1.5x and 3x: {useful:?}"
    );
}

// A caller is refused at once rather than when its timeout expires, and it is served when it comes
// back after its `Retry-After`. With the same time for all, callers would come back together; with
// one that is too early, they would be refused again.
#[test]
fn refusals_are_immediate_and_returning_callers_are_served() {
    for name in ["rybnikar-overload", "nyabarongo-overload"] {
        let (_, world, summary) = replay(name, ALL);
        assert!(summary.refusal_p99 < 0.1, "{name}: {summary:?}");
        assert!(
            summary.returning_served.is_some_and(|share| share > 0.9),
            "{name}: {summary:?}"
        );
        let retry_after = world
            .requests
            .iter()
            .filter_map(|request| match request.answer {
                Answer::Refused { after } => Some(after),
                _ => None,
            });
        assert!(
            retry_after.fold(f64::MAX, f64::min) >= 1.0,
            "{name}: Retry-After counts whole seconds"
        );
    }
}

// One workspace sends ten times its share, the other nine as usual. In a common queue they would
// all wait behind it; with a queue for each customer, its surplus waits only in its own.
#[test]
fn hot_customer_leaves_the_others_their_latency() {
    let (scenario, hot, summary) = replay("nyabarongo-hot-customer", ALL);
    assert!(summary.worst(&scenario) > 0.98, "{summary:?}");
    let mut calm = scenario.clone();
    calm.recipe.hot_customer = None;
    calm.arrivals = calm.generate();
    let calm = world::run(&calm, ALL);
    let others = |world: &World| {
        let mut waits = waits(world, |r| r.arrival.customer != 3 && r.arrival.class == 0);
        quantile(&mut waits, 0.5)
    };
    let (with, without) = (others(&hot), others(&calm));
    assert!(
        with < without + 1.5,
        "median {with} s, without the hot customer {without} s"
    );
    let (scenario, _, plain) = replay("nyabarongo-hot-customer", Mechanisms { fair: false, ..ALL });
    assert!(
        plain.worst(&scenario) < 0.8,
        "the common queue starves them: {plain:?}"
    );
}

// Two fifths of all requests carry one prefix, which belongs to one endpoint. That endpoint takes
// them up to a multiple of the mean load, and the next ones in rendezvous order take the rest. No
// engine may hold more than its running batch and one waiting batch.
#[test]
fn hot_prefix_drives_no_endpoint_over_its_limit() {
    let (_, world, summary) = replay("rybnikar-hot-prefix", ALL);
    assert!(summary.served > 0.99, "{summary:?}");
    let most = u32::try_from(2 * BATCH).expect("a small number");
    assert!(
        world.peak_calls <= most,
        "an engine held {} calls",
        world.peak_calls
    );
    let work: Vec<f64> = world.engines.iter().map(|engine| engine.served).collect();
    let mean = work.iter().sum::<f64>() / 12.0;
    let top = work.iter().copied().fold(0.0, f64::max);
    assert!(
        top < mean * 2.0,
        "the busiest engine did {top}, the mean is {mean}"
    );
}

// From second 15 to 45, one endpoint is five times slower and one accepts calls and never answers.
// Calls without a first token are hedged or counted as failed, both endpoints are ejected, and
// callers are affected for a few seconds only. At most a third of the pool is ejected, and both
// endpoints return once healthy.
#[test]
fn slow_and_hanging_endpoints_are_ejected_and_readmitted() {
    let (_, world, summary) = replay("rybnikar-slow-endpoint", ALL);
    assert!(summary.served > 0.99, "{summary:?}");
    let before = short_p95(&world, 0.0, 15.0);
    let within = short_p95(&world, 20.0, 45.0);
    assert!(
        within < before * 2.0 + 0.2,
        "before {before} s, five seconds later {within} s"
    );
    assert!(
        world.peak_ejected <= 4,
        "{} of 12 endpoints were ejected",
        world.peak_ejected
    );
    for endpoint in [3, 7] {
        let early = world.sent(endpoint, 5.0, 15.0);
        let faulty = world.sent(endpoint, 30.0, 40.0);
        let late = world.sent(endpoint, 80.0, 90.0);
        assert!(
            faulty * 2 < early,
            "endpoint {endpoint} got {early} calls, then {faulty}"
        );
        assert!(
            late * 2 > early,
            "endpoint {endpoint} got {early} calls, at last {late}"
        );
    }
}

// One endpoint fails each call within milliseconds and so has the fewest in flight. Without
// ejection it would be chosen more and more often; with ejection it gets only a probe now and then.
#[test]
fn failing_endpoint_draws_no_load() {
    let (_, world, summary) = replay("nyabarongo-failing-fast", ALL);
    assert!(summary.served > 0.99, "{summary:?}");
    let faulty = world.sent(5, 20.0, 45.0);
    let (_, plain, _) = replay(
        "nyabarongo-failing-fast",
        Mechanisms {
            eject: false,
            ..ALL
        },
    );
    let drawn = plain.sent(5, 20.0, 45.0);
    assert!(
        faulty * 3 < drawn,
        "{faulty} calls, without ejection {drawn}"
    );
    assert!(world.sent(5, 80.0, 90.0) > 0, "it returns once healthy");
}

// Four times the usual number of reviews of 2,000 tokens arrive among stock questions of 60. If
// they held all slots, a stock answer would wait most of a minute for one to end. Limited to a
// share of the slots and of lower priority, they delay stock answers by seconds only.
#[test]
fn long_jobs_leave_short_ones_their_time() {
    let (mut scenario, with, summary) = replay("nyabarongo-long-jobs", ALL);
    assert!(summary.served > 0.98, "{summary:?}");
    let p95 = short_p95(&with, 0.0, 90.0);
    scenario.arrivals.retain(|arrival| arrival.class != 2);
    let without = short_p95(&world::run(&scenario, ALL), 0.0, 90.0);
    assert!(
        p95 < without + 4.0,
        "{p95} s, without long jobs {without} s"
    );
    let (_, _, plain) = replay("nyabarongo-long-jobs", Mechanisms { fair: false, ..ALL });
    assert!(plain.served < 0.8, "FIFO loses a fifth: {plain:?}");
}

// A zone's four endpoints are lost with the calls that they run. Refused connections are repeated
// at other endpoints without withdrawing from the retry budget, and the endpoints of other zones
// take the load.
#[test]
fn other_zones_take_the_load_of_a_lost_zone() {
    let (scenario, world, summary) = replay("rybnikar-zone-lost", ALL);
    assert!(summary.served > 0.98, "{summary:?}");
    assert!(summary.worst(&scenario) > 0.97, "{summary:?}");
    assert!(short_p95(&world, 30.0, 90.0) < 4.0);
}

// Twelve nodes choose at once by reports that are two seconds old. By reports alone, all would send
// to the endpoint that was idle then. Their own calls in flight, discounted reports and an order
// for each prefix spread the load.
#[test]
fn stale_reports_cause_no_herding() {
    let (_, world, summary) = replay("nyabarongo-stale-reports", ALL);
    assert!(summary.served > 0.99, "{summary:?}");
    assert!(
        world.peak_calls <= 2 * 16,
        "an engine held {} calls",
        world.peak_calls
    );
    let (_, _, naive) = replay(
        "nyabarongo-stale-reports",
        Mechanisms::naive(Choice::LeastInFlight),
    );
    assert!(
        summary.short[2] < naive.short[2],
        "{summary:?} against {naive:?}"
    );
}

// Every endpoint fails half of its calls for twenty seconds. Retries fail as often, so that
// unbounded retries would nearly double the load on a failing pool. The budget bounds them by a
// share of the successes and the balance before.
#[test]
fn half_failing_stays_under_the_retry_budget() {
    let (scenario, world, _) = replay("rybnikar-half-failing", ALL);
    let unbounded = Mechanisms {
        budget: false,
        ..ALL
    };
    let (_, unbounded, _) = replay("rybnikar-half-failing", unbounded);
    let calm = Mechanisms {
        hedge: false,
        ..ALL
    };
    let (_, calm, _) = replay("rybnikar-half-failing", calm);
    // A fifth of the successes, and for each node the balance that a customer and the pool had
    // before.
    let balance = 20 * u32::try_from(scenario.nodes).expect("few nodes");
    for world in [&world, &calm] {
        let (count, attempts) = count_attempts(world);
        let most = count + count / 5 + balance;
        assert!(attempts <= most, "{attempts} attempts at {count} requests");
    }
    let (_, attempts) = count_attempts(&world);
    let (_, more) = count_attempts(&unbounded);
    assert!(
        more > attempts * 5 / 4,
        "{more} attempts without the budget, {attempts} with it"
    );
}

/// Requests that arrived while endpoints failed, and the attempts at them.
fn count_attempts(world: &World) -> (u32, u32) {
    let during = |at: f64| (20.0..40.0).contains(&at);
    let requests = world
        .requests
        .iter()
        .filter(|r| during(r.arrival.at) && r.attempts > 0);
    requests.fold((0, 0), |(count, attempts), r| {
        (count + 1, attempts + r.attempts)
    })
}

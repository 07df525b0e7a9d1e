//! What callers receive under each load pattern, judged over the queue model and the recorded
//! arrivals, with the mechanisms that answer the pattern and without them.

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

fn play(name: &str, mechanisms: Mechanisms) -> (Scenario, World, Summary) {
    let scenario = Scenario::load(name);
    let world = world::run(&scenario, mechanisms);
    let summary = Summary::of(&scenario, &world);
    (scenario, world, summary)
}

/// Seconds to the first token for 95 in 100 of the short requests that came between two times.
fn short_p95(world: &World, from: f64, to: f64) -> f64 {
    let mut waits = waits(world, |request| {
        let at = request.arrival.at;
        request.arrival.class == 0 && from <= at && at < to
    });
    assert!(waits.len() > 20, "too few requests to judge");
    quantile(&mut waits, 0.95)
}

// Callers see ten times the load for two seconds. All slots fill, the queue takes the rest, fair by
// customer; each still starts before its deadline, since the burst is shorter than that. Ten
// seconds later the pool must feel as before, or the burst would have become a standing queue.
#[test]
fn burst_is_served_and_drains() {
    let (scenario, world, summary) = play("nyabarongo-burst", ALL);
    assert!(summary.served > 0.99, "{summary:?}");
    assert!(summary.worst(&scenario) > 0.98, "{summary:?}");
    let before = short_p95(&world, 0.0, 20.0);
    let after = short_p95(&world, 40.0, 90.0);
    assert!(after < before * 2.0 + 0.2, "before {before}, after {after}");
}

// Callers ask for 1.5 and 3 times what the pool can do, for a minute. What can't start in time is
// refused at the door, so that engines work on answers that are still wanted: the useful work stays
// within a tenth of their capacity and does not fall as the load doubles. FIFO without admission
// serves callers who have left already.
#[test]
fn overload_keeps_goodput() {
    let mut useful = Vec::new();
    for name in ["rybnikar-overload", "nyabarongo-overload"] {
        let (_, _, summary) = play(name, ALL);
        useful.push(summary.busy - summary.wasted);
        assert!(useful[useful.len() - 1] > 0.9, "{name}: {summary:?}");
        for choice in [Choice::RandomTwo, Choice::LeastInFlight, Choice::RoundRobin] {
            let (_, _, naive) = play(name, Mechanisms::naive(choice));
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

// A caller that is refused hears of it at once and not when its timeout runs out, and when it comes
// back at the time that it was told it is served. Were all told the same time, they would meet
// again; were the time too early, they would be refused again.
#[test]
fn refused_hear_at_once_and_are_served_when_they_come_back() {
    for name in ["rybnikar-overload", "nyabarongo-overload"] {
        let (_, world, summary) = play(name, ALL);
        assert!(summary.refusal_p99 < 0.1, "{name}: {summary:?}");
        assert!(
            summary.truth.is_some_and(|truth| truth > 0.9),
            "{name}: {summary:?}"
        );
        let told = world
            .requests
            .iter()
            .filter_map(|request| match request.answer {
                Answer::Refused { after } => Some(after),
                _ => None,
            });
        assert!(
            told.fold(f64::MAX, f64::min) >= 1.0,
            "{name}: Retry-After counts whole seconds"
        );
    }
}

// One workspace sends ten times its share, the other nine as always. In a common queue each of them
// would wait behind it; in turns by customer its surplus waits in its own queue only.
#[test]
fn hot_customer_leaves_the_others_their_latency() {
    let (scenario, hot, summary) = play("nyabarongo-hot-customer", ALL);
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
    let (scenario, _, plain) = play("nyabarongo-hot-customer", Mechanisms { fair: false, ..ALL });
    assert!(
        plain.worst(&scenario) < 0.8,
        "the common queue starves them: {plain:?}"
    );
}

// Two fifths of all requests carry one prefix, which belongs to one endpoint. It takes them up to
// the bound over the mean load and the next ones in order take the rest: no engine is driven to
// more than its batch and the batch that may wait.
#[test]
fn hot_prefix_drives_no_endpoint_over_its_limit() {
    let (_, world, summary) = play("rybnikar-hot-prefix", ALL);
    assert!(summary.served > 0.99, "{summary:?}");
    let most = u32::try_from(2 * BATCH).expect("a small number");
    assert!(world.peak <= most, "an engine held {} calls", world.peak);
    let work: Vec<f64> = world.engines.iter().map(|engine| engine.served).collect();
    let mean = work.iter().sum::<f64>() / 12.0;
    let top = work.iter().copied().fold(0.0, f64::max);
    assert!(
        top < mean * 2.0,
        "the busiest engine did {top}, the mean is {mean}"
    );
}

// From second 15 to 45 one endpoint is five times slower and one takes calls and never answers.
// Calls without a first token are hedged or counted as failed, both endpoints go out, and callers
// feel it for some seconds only. Out is at most a third of the pool, and both come back when well.
#[test]
fn slow_and_hanging_endpoints_are_left_and_taken_back() {
    let (_, world, summary) = play("rybnikar-slow-endpoint", ALL);
    assert!(summary.served > 0.99, "{summary:?}");
    let before = short_p95(&world, 0.0, 15.0);
    let within = short_p95(&world, 20.0, 45.0);
    assert!(
        within < before * 2.0 + 0.2,
        "before {before} s, five seconds later {within} s"
    );
    assert!(world.out <= 4, "{} of 12 endpoints were out", world.out);
    for endpoint in [3, 7] {
        let early = world.sent(endpoint, 5.0, 15.0);
        let ill = world.sent(endpoint, 30.0, 40.0);
        let late = world.sent(endpoint, 80.0, 90.0);
        assert!(
            ill * 2 < early,
            "endpoint {endpoint} got {early} calls, then {ill}"
        );
        assert!(
            late * 2 > early,
            "endpoint {endpoint} got {early} calls, at last {late}"
        );
    }
}

// One endpoint fails each call within milliseconds and so has the fewest in flight: without
// ejection the choice would send it more and more. With it, it gets a probe now and then.
#[test]
fn failing_endpoint_draws_no_load() {
    let (_, world, summary) = play("nyabarongo-failing-fast", ALL);
    assert!(summary.served > 0.99, "{summary:?}");
    let ill = world.sent(5, 20.0, 45.0);
    let (_, plain, _) = play(
        "nyabarongo-failing-fast",
        Mechanisms {
            eject: false,
            ..ALL
        },
    );
    let drawn = plain.sent(5, 20.0, 45.0);
    assert!(ill * 3 < drawn, "{ill} calls, without ejection {drawn}");
    assert!(world.sent(5, 80.0, 90.0) > 0, "it comes back when well");
}

// Four times as many reviews of 2,000 tokens come among stock questions of 60. Were they to hold
// all slots, a stock answer would wait for one to end, which is most of a minute. Held to a share
// of the slots and behind by class, they leave stock answers within seconds of their usual time.
#[test]
fn long_jobs_leave_short_ones_their_time() {
    let (mut scenario, with, summary) = play("nyabarongo-long-jobs", ALL);
    assert!(summary.served > 0.98, "{summary:?}");
    let p95 = short_p95(&with, 0.0, 90.0);
    scenario.arrivals.retain(|arrival| arrival.class != 2);
    let without = short_p95(&world::run(&scenario, ALL), 0.0, 90.0);
    assert!(
        p95 < without + 4.0,
        "{p95} s, without long jobs {without} s"
    );
    let (_, _, plain) = play("nyabarongo-long-jobs", Mechanisms { fair: false, ..ALL });
    assert!(
        plain.served < 0.8,
        "first in, first out loses a fifth: {plain:?}"
    );
}

// A zone's four endpoints vanish with the calls that they run. Refused connections are repeated
// elsewhere without drawing on the retry budget; other zones' endpoints take the load.
#[test]
fn lost_zone_is_borne_by_the_others() {
    let (scenario, world, summary) = play("rybnikar-zone-lost", ALL);
    assert!(summary.served > 0.98, "{summary:?}");
    assert!(summary.worst(&scenario) > 0.97, "{summary:?}");
    assert!(short_p95(&world, 30.0, 90.0) < 4.0);
}

// Twelve nodes choose at once by reports that are two seconds old. By reports alone all would send
// to the endpoint that was idle then; by what each knows of itself, discounted reports and an order
// for each prefix they spread.
#[test]
fn stale_reports_make_no_herd() {
    let (_, world, summary) = play("nyabarongo-stale-reports", ALL);
    assert!(summary.served > 0.99, "{summary:?}");
    assert!(world.peak <= 2 * 16, "an engine held {} calls", world.peak);
    let (_, _, naive) = play(
        "nyabarongo-stale-reports",
        Mechanisms::naive(Choice::LeastInFlight),
    );
    assert!(
        summary.short[2] < naive.short[2],
        "{summary:?} against {naive:?}"
    );
}

// Every endpoint fails half of its calls for twenty seconds. Each retry would fail as often, so that
// unbounded retries nearly double the load on a pool in trouble. The budget bounds them to a share
// of successes and what was saved up.
#[test]
fn half_failing_stays_under_the_retry_budget() {
    let (scenario, world, _) = play("rybnikar-half-failing", ALL);
    let unbounded = Mechanisms {
        budget: false,
        ..ALL
    };
    let (_, unbounded, _) = play("rybnikar-half-failing", unbounded);
    let calm = Mechanisms {
        hedge: false,
        ..ALL
    };
    let (_, calm, _) = play("rybnikar-half-failing", calm);
    // A fifth of the successes, and for each node what a customer and the pool had saved up.
    let saved = 20 * u32::try_from(scenario.nodes).expect("few nodes");
    for world in [&world, &calm] {
        let (count, attempts) = tries(world);
        let most = count + count / 5 + saved;
        assert!(attempts <= most, "{attempts} attempts at {count} requests");
    }
    let (_, attempts) = tries(&world);
    let (_, more) = tries(&unbounded);
    assert!(
        more > attempts * 5 / 4,
        "{more} attempts without the budget, {attempts} with it"
    );
}

/// Requests that came while endpoints failed, and attempts at them.
fn tries(world: &World) -> (u32, u32) {
    let during = |at: f64| (20.0..40.0).contains(&at);
    let requests = world
        .requests
        .iter()
        .filter(|r| during(r.arrival.at) && r.attempts > 0);
    requests.fold((0, 0), |(count, attempts), r| {
        (count + 1, attempts + r.attempts)
    })
}

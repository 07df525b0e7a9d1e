//! Invariants of the choice, limit, ejection, retry and hedge decisions.

use std::time::Duration;

use pimento_policy::choice;
use pimento_policy::choice::Candidate;
use pimento_policy::eject;
use pimento_policy::eject::Health;
use pimento_policy::hedge;
use pimento_policy::limit;
use pimento_policy::limit::Limiter;
use pimento_policy::retry;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::proptest;
use proptest::test_runner::Config as Runner;
use proptest::test_runner::RngSeed;

fn candidates() -> impl Strategy<Value = Vec<Candidate>> {
    let one = (
        any::<u64>(),
        any::<bool>(),
        0_u64..3,
        0_u32..8,
        0_u32..8,
        0_u32..40,
        0_u64..5_000,
    );
    vec(one, 0..40).prop_map(|drawn| {
        let candidate = |(key, usable, zones, own, limit, others, age)| Candidate {
            name_hash: key,
            usable,
            extra_delay: Duration::from_millis(zones * 5),
            own,
            limit,
            others,
            report_age: Duration::from_millis(age),
            run_time: Duration::from_millis(500),
        };
        drawn.into_iter().map(candidate).collect()
    })
}

fn endpoint(number: usize) -> id::Endpoint {
    format!("engine-{number:02}").parse().expect("a name")
}

proptest! {
    #![proptest_config(Runner { cases: 256, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Runner::default() })]

    /// A chosen endpoint is usable and has a free slot, and one is chosen whenever there is such an
    /// endpoint. So no withdrawn or leaving endpoint is used, and no request is refused while slots
    /// are free.
    #[test]
    fn choice_is_an_open_endpoint_if_there_is_one(all in candidates(), prefix in any::<Option<u64>>(), random in any::<u64>()) {
        let open = |c: &Candidate| c.usable && c.own < c.limit;
        let chosen = choice::choose(&all, prefix, random, &choice::Config::default());
        assert_eq!(chosen.is_some(), all.iter().any(open));
        assert!(chosen.is_none_or(|place| open(&all[place])));
    }

    /// Whatever the endpoint reports and however calls end, calls in flight are within the limit
    /// when they are sent, and the limit is within its bounds.
    #[test]
    fn limit_is_kept(steps in vec((0_u8..5, 0_u32..200, 0_u32..200), 1..300)) {
        let config = limit::Config::default();
        let mut limiter = Limiter::new(config);
        for (step, one, other) in steps {
            match step {
                0 | 1 => if limiter.acquire() {
                    assert!(limiter.in_flight() <= limiter.limit());
                },
                2 => limiter.apply_report(limit::Report { running: one, waiting: other, batch: 16 }),
                3 => limiter.release(limit::Outcome::Overload),
                _ => limiter.release(limit::Outcome::Served {
                    tokens: Tokens(u64::from(one)),
                    took: Duration::from_millis(u64::from(other)),
                }),
            }
            assert!(limiter.limit() >= 1 && limiter.limit() <= 257);
        }
    }

    /// At most a share of the pool is ejected and never all of it, and an ejected endpoint gets one
    /// probe at a time.
    #[test]
    fn ejection_is_bounded(size in 1_usize..20, events in vec((0_usize..20, any::<bool>(), 0_u64..3_000), 1..300)) {
        let config = eject::Config::default();
        let mut pool = Health::new(config);
        pool.set_endpoints((0..size).map(endpoint));
        let mut now = Moment::ZERO;
        for (place, good, after) in events {
            now = now + Duration::from_millis(after);
            let endpoint = endpoint(place % size);
            let state = pool.state(&endpoint, now);
            if state == eject::State::Ejected {
                continue;
            }
            pool.record_sent(&endpoint, now);
            if state == eject::State::Probe {
                assert_eq!(pool.state(&endpoint, now), eject::State::Ejected, "one probe at a time");
            }
            let outcome = if good { eject::Outcome::Served { seconds_per_token: 0.05 } } else { eject::Outcome::Failed };
            pool.record(&endpoint, outcome, now);
            assert!(pool.ejected() * 3 <= size.max(3) + 1, "{} of {size}", pool.ejected());
            assert!(pool.ejected() < size);
            let ejected = pool.states(now).filter(|state| *state != eject::State::Active).count();
            assert_eq!(pool.ejected(), ejected);
        }
    }

    /// Retries stay within the initial balance, a share of the successes, and the reserve.
    #[test]
    fn retries_stay_under_the_budget(events in vec((any::<bool>(), 0_u64..1_000), 1..500)) {
        let config = retry::Config::default();
        let mut budget = retry::Budget::new(config);
        let (mut successes, mut retries) = (0_u32, 0_u32);
        let mut now = Moment::ZERO;
        for (success, after) in events {
            now = now + Duration::from_millis(after);
            if success {
                budget.record_success(now);
                successes += 1;
            } else {
                retries += u32::from(budget.withdraw(now));
            }
            let reserve = config.reserve_per_second * now.since(Moment::ZERO).as_secs_f64();
            let most = 1.0 + config.retries_per_success * f64::from(successes) + reserve;
            assert!(f64::from(retries) <= most + 1e-6, "{retries} retries, {most} allowed");
        }
    }

    /// A quantile errs by at most one bucket.
    #[test]
    fn quantile_is_within_a_bucket(mut millis in vec(1_u64..100_000, 20..200)) {
        let mut latencies = hedge::LatencyHistogram::default();
        for one in &millis {
            latencies.record(Duration::from_millis(*one), Moment::ZERO);
        }
        millis.sort_unstable();
        let place = (millis.len() * 95).div_ceil(100) - 1;
        let found = latencies.quantile(0.95).expect("enough").as_secs_f64() * 1_000.0;
        let low = Duration::from_millis(millis[place.saturating_sub(1)]).as_secs_f64() * 1_000.0;
        let high = Duration::from_millis(millis[(place + 1).min(millis.len() - 1)]).as_secs_f64() * 1_000.0;
        assert!(found >= low / 1.26 && found <= high * 1.26, "{found} outside {low}..{high}");
    }
}

// A call that may not run twice is neither retried nor hedged, whatever the budget holds. A second
// drum order would be a duplicate.
#[test]
fn calls_that_may_not_repeat_are_made_once() {
    let now = Moment::ZERO;
    let mut customer = retry::Budget::new(retry::Config::default());
    let mut pool = customer.clone();
    let failure = retry::Failure {
        repeatable: false,
        attempts: 1,
        run_time: Duration::from_secs(1),
        deadline: Moment::from_millis(60_000),
    };
    assert!(!retry::try_retry(failure, &mut customer, &mut pool, now));
    assert!(
        customer.can_withdraw(now) && pool.can_withdraw(now),
        "nothing was withdrawn"
    );
    let mut latencies = hedge::LatencyHistogram::default();
    for _ in 0..100 {
        latencies.record(Duration::from_millis(100), now);
    }
    let attempt = |repeatable, long| hedge::Attempt {
        repeatable,
        long,
        time_left: Duration::from_secs(9),
    };
    assert_eq!(hedge::delay(&latencies, attempt(false, false)), None);
    assert_eq!(
        hedge::delay(&latencies, attempt(true, true)),
        None,
        "a second attempt at a long job costs too much"
    );
    assert!(hedge::delay(&latencies, attempt(true, false)).is_some());
}

// Both budgets must cover a retry. One that can't must not reduce the other.
#[test]
fn retry_needs_both_budgets() {
    let now = Moment::ZERO;
    let mut customer = retry::Budget::new(retry::Config::default());
    let mut pool = customer.clone();
    assert!(pool.withdraw(now));
    let failure = retry::Failure {
        repeatable: true,
        attempts: 1,
        run_time: Duration::from_secs(1),
        deadline: Moment::from_millis(60_000),
    };
    assert!(!retry::try_retry(failure, &mut customer, &mut pool, now));
    assert!(
        customer.can_withdraw(now),
        "the customer's budget is unchanged"
    );
    let late = retry::Failure {
        deadline: Moment::from_millis(500),
        ..failure
    };
    assert!(
        !retry::can_retry_unsent(late, now),
        "no attempt is made that can't end in time"
    );
}

// A prefix stays with its endpoint when others join and leave. Otherwise each restart of a VM would
// make the caches of all endpoints useless.
#[test]
fn prefix_stays_with_its_endpoint() {
    let make = |names: &[usize]| -> Vec<Candidate> {
        let candidate = |number: &usize| Candidate {
            name_hash: choice::hash(endpoint(*number).as_str()),
            usable: true,
            extra_delay: Duration::ZERO,
            own: 0,
            limit: 8,
            others: 0,
            report_age: Duration::ZERO,
            run_time: Duration::from_millis(500),
        };
        names.iter().map(candidate).collect()
    };
    let all: Vec<usize> = (0..12).collect();
    let fewer: Vec<usize> = (0..11).collect();
    let config = choice::Config::default();
    let mut moved = 0;
    for prefix in 0..1_000 {
        let before = choice::choose(&make(&all), Some(prefix), 1, &config);
        let after = choice::choose(&make(&fewer), Some(prefix), 2, &config);
        moved += u32::from(before != after);
    }
    assert!(
        (50..130).contains(&moved),
        "a twelfth moves, here {moved} of 1,000"
    );
}

// Without a prefix, a call stays in the local zone while that has free slots and is about as fast.
// It goes to another zone if the wait there is shorter by more than the delay and cost of the link,
// or if the local zone has no free slot.
#[test]
fn local_zone_first_until_the_wait_outweighs_the_link() {
    let candidate = |zone: u64, own: u32, run: u64| Candidate {
        name_hash: 0,
        usable: true,
        extra_delay: Duration::from_millis(zone * 10),
        own,
        limit: 8,
        others: 0,
        report_age: Duration::ZERO,
        run_time: Duration::from_millis(run),
    };
    let config = choice::Config::default();
    let chosen = |local: Candidate, remote: Candidate| {
        let all = [local, local, remote, remote];
        let places = (0..50).map(|random: u64| {
            choice::choose(
                &all,
                None,
                random.wrapping_mul(0x9e37_79b9_7f4a_7c15),
                &config,
            )
        });
        let remote = places.flatten().filter(|place| *place >= 2).count();
        (remote > 0, remote == 50)
    };
    let (any, _) = chosen(candidate(0, 2, 500), candidate(1, 1, 500));
    assert!(!any, "a little less load does not outweigh the link");
    let (_, all) = chosen(candidate(0, 7, 500), candidate(1, 0, 500));
    assert!(all, "an idle zone is preferred to a full one");
    let (_, all) = chosen(candidate(0, 8, 500), candidate(1, 7, 500));
    assert!(all, "the local zone has no free slot");
    let (any, _) = chosen(candidate(0, 7, 5), candidate(1, 0, 5));
    assert!(!any, "short calls save less than the delay of the link");
}

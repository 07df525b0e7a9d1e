//! Speeds of engines, as a pool learns them from its own calls and from other VMs.

mod common;

use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_policy::choice;
use pimento_policy::cold::Bound;
use pimento_policy::engine::Part;
use pimento_policy::engine::Prompt;
use pimento_policy::speed::Sum;
use pimento_policy::throttle::RateLimit;
use pimento_scheduler::Clock;
use pimento_scheduler::ColdStart;
use pimento_scheduler::Job;
use pimento_scheduler::Member;
use pimento_scheduler::Participants;
use pimento_scheduler::Pool;
use pimento_scheduler::Scheduler;
use pimento_scheduler::SpeedReport;
use pimento_units::Tokens;
use tokio_util::sync::CancellationToken;

use self::common::member;

const MODEL: u64 = 7;
const ENGINES: u32 = 6;

/// Logarithm, in tenths, of the time that a slow engine takes over that of the others: 2.5 times as long.
const SLOW_STEPS: i16 = 9;

fn engine(number: u32, incarnation: u64) -> Member {
    Member {
        endpoint: format!("i-{number}").parse().unwrap(),
        kv_capacity: Some(Tokens(600_000)),
        incarnation,
        ..member(64)
    }
}

fn engines(of_last: u64) -> Vec<Member> {
    let number = 1..=ENGINES;
    let incarnation = |number| if number == ENGINES { of_last } else { 1 };
    number.map(|n| engine(n, incarnation(n))).collect()
}

fn pool() -> Pool {
    let scheduler = Scheduler::new(Clock::default());
    let zone = "a".parse().unwrap();
    scheduler.set_participants(&Participants::new(1, vec![(zone, vec![1])]));
    scheduler.merge_prefill_speeds(&[(MODEL, 0.000_01)]);
    scheduler.pool(&"llm".parse().unwrap())
}

fn job(hash: u64) -> Job {
    let tokens = Tokens(20_000);
    let prompt = Prompt {
        model: MODEL,
        parts: vec![Part { hash, tokens }],
    };
    Job {
        tokens,
        prompt: Some(prompt),
        ..common::call(Clock::default(), Duration::from_mins(1))
    }
}

fn report(number: u32, incarnation: u16, steps: i16) -> SpeedReport {
    SpeedReport {
        engine: choice::hash(&format!("i-{number}")),
        incarnation,
        sum: Sum { count: 1, steps },
    }
}

/// Other VMs report every third engine as slow, with some noise, for ten seconds.
async fn hear(pool: &Pool, incarnation_of_last: u16) {
    for round in 0..25 {
        for number in 1..=ENGINES {
            let slow = if number % 3 == 0 { SLOW_STEPS } else { 0 };
            let last = number == ENGINES;
            let incarnation = if last { incarnation_of_last } else { 1 };
            pool.merge_speed(report(number, incarnation, slow + round % 2));
        }
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    let _unsent = pool.take_speeds(usize::MAX);
}

fn factor(pool: &Pool, number: u32) -> f64 {
    pool.speed_factor(&format!("i-{number}").parse().unwrap())
}

async fn fail(pool: &Pool, number: u32) {
    let others = (1..=ENGINES).filter(|other| *other != number);
    let others: Vec<_> = others
        .map(|other| format!("i-{other}").parse().unwrap())
        .collect();
    let job = Job {
        tried: others,
        repeatable: false,
        ..job(0)
    };
    let permit = pool.acquire(job, &CancellationToken::new()).await.unwrap();
    assert_eq!(permit.endpoint().as_str(), format!("i-{number}"));
    permit.failed(&Fault::Failed { status: 500 });
}

/// Guards against slow engines that look as quick as others to the choice and to estimates.
#[tokio::test(start_paused = true)]
async fn a_slow_engine_is_avoided_and_its_prefill_expected_to_take_longer() {
    let pool = pool();
    pool.update(engines(1));
    let usual = pool.estimate(&job(1)).unwrap().prefill;
    assert_eq!(pool.take_speed_change(), None);
    hear(&pool, 1).await;
    assert!(factor(&pool, 3) > 1.8 && factor(&pool, 1) < 1.2);
    let spread = pool.take_speed_change().unwrap();
    assert!(spread.uneven && spread.percent > 180, "{spread:?}");
    assert_eq!(pool.take_speed_change(), None);
    assert_eq!(pool.metrics().speeds.known, ENGINES as usize);
    for hash in 1..20 {
        let permit = pool.try_acquire(&job(hash)).unwrap();
        let slow = ["i-3", "i-6"].contains(&permit.endpoint().as_str());
        assert!(!slow, "{hash}: {}", permit.endpoint());
    }
    let only_slow = Job {
        tried: ["i-1", "i-2", "i-4", "i-5"]
            .map(|name| name.parse().unwrap())
            .into(),
        ..job(1)
    };
    let slow = pool.estimate(&only_slow).unwrap().prefill;
    assert!(slow > usual.mul_f64(1.8), "{slow:?} over {usual:?}");
}

/// Guards against a new engine that is treated as its slow predecessor was, also after a late report.
#[tokio::test(start_paused = true)]
async fn a_replaced_engine_starts_at_the_usual_speed() {
    let pool = pool();
    pool.update(engines(1));
    hear(&pool, 1).await;
    assert!(factor(&pool, ENGINES) > 1.8);
    pool.update(engines(2));
    assert!((factor(&pool, ENGINES) - 1.0).abs() < f64::EPSILON);
    hear(&pool, 1).await;
    assert!((factor(&pool, ENGINES) - 1.0).abs() < f64::EPSILON);
    hear(&pool, 2).await;
    assert!(factor(&pool, ENGINES) > 1.8);
}

/// Guards against an engine that is taken for slow because it was about to fail, by the VMs that saw it fail and
/// after it is replaced.
#[tokio::test(start_paused = true)]
async fn the_slowness_of_an_ejected_engine_is_not_learned() {
    let pool = pool();
    pool.update(engines(1));
    for _ in 0..3 {
        fail(&pool, ENGINES).await;
    }
    assert_eq!(pool.metrics().ejected, 1);
    hear(&pool, 1).await;
    assert!(factor(&pool, 3) > 1.8);
    assert!((factor(&pool, ENGINES) - 1.0).abs() < f64::EPSILON);
    pool.update(engines(2));
    let _unsent = pool.take_speeds(usize::MAX);
    assert!((factor(&pool, ENGINES) - 1.0).abs() < f64::EPSILON);
}

/// Sends a prompt to the only engine, which takes twice the usual time. Returns whether the VM learned its speed.
async fn learns(pool: &Pool, hash: u64, untimed: bool) -> bool {
    let permit = pool.acquire(job(hash), &CancellationToken::new()).await;
    let mut permit = permit.unwrap();
    if untimed {
        permit.set_untimed();
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    permit.record_first_token();
    permit.served(Tokens(20_000));
    !pool.take_speeds(usize::MAX).is_empty()
}

/// Guards against engines that look slow because they failed, were cold, or were reached by a detour.
#[tokio::test(start_paused = true)]
async fn failing_and_cold_engines_and_detours_give_no_samples() {
    let pool = pool();
    pool.update(vec![engine(1, 1)]);
    assert!(learns(&pool, 1, false).await);
    assert!(!learns(&pool, 2, true).await);
    fail(&pool, 1).await;
    assert!(!learns(&pool, 3, false).await, "after a failure");
    assert!(learns(&pool, 4, false).await, "after a good answer");
    let rate = RateLimit::try_from(8.0).unwrap();
    let cold = ColdStart {
        remaining: Duration::from_secs(30),
        bound: Bound::new(rate, 1.5, 5),
    };
    pool.update(vec![Member {
        cold: Some(cold),
        ..engine(1, 2)
    }]);
    assert!(!learns(&pool, 5, false).await, "while cold");
    pool.update(vec![engine(1, 2)]);
    assert!(learns(&pool, 6, false).await, "once warm");
}

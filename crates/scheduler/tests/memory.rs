//! Prompts for which engines have no memory left, or never had enough.

mod common;

use std::time::Duration;

use pimento_policy::engine::Part;
use pimento_policy::engine::Prompt;
use pimento_scheduler::Clock;
use pimento_scheduler::Job;
use pimento_scheduler::Member;
use pimento_scheduler::NoSlot;
use pimento_scheduler::Pool;
use pimento_scheduler::Scheduler;
use pimento_units::Tokens;
use tokio_util::sync::CancellationToken;

use self::common::member;

fn pool(capacities: &[u64]) -> Pool {
    let pool = Scheduler::new(Clock::default()).pool(&"llm".parse().unwrap());
    let engines = capacities.iter().enumerate();
    let engines = engines.map(|(number, capacity)| Member {
        endpoint: format!("i-{number}").parse().unwrap(),
        kv_capacity: Some(Tokens(*capacity)),
        ..member(64)
    });
    pool.update(engines.collect());
    pool
}

/// A job whose prompt has a shared part of 13,000 tokens and this number of its own.
fn job(own: u64) -> Job {
    let part = |hash, tokens| Part {
        hash,
        tokens: Tokens(tokens),
    };
    let parts = vec![part(1, 13_000), part(own, own)];
    Job {
        tokens: Tokens((13_000 + own) / 10),
        prefix: Some(1),
        prompt: Some(Prompt { model: 7, parts }),
        ..common::call(Clock::default(), Duration::from_mins(1))
    }
}

/// Guards against requests that crash each engine they are sent to, or wait for one that can't come.
#[tokio::test]
async fn a_prompt_larger_than_any_engine_is_refused_at_once() {
    let cancel = CancellationToken::new();
    let refused = pool(&[20_000, 30_000]).acquire(job(20_000), &cancel).await;
    assert!(matches!(refused, Err(NoSlot::TooLarge)), "{refused:?}");
    let fits = pool(&[20_000, 40_000]).acquire(job(20_000), &cancel).await;
    assert_eq!(fits.unwrap().endpoint().as_str(), "i-1");
}

/// Guards against prompts that follow their cached prefix to an engine that is full of running answers.
#[tokio::test]
async fn a_prompt_goes_where_memory_is_left() {
    let cancel = CancellationToken::new();
    let pool = pool(&[30_000, 30_000]);
    let mut running = pool.acquire(job(10_000), &cancel).await.unwrap();
    running.record_first_token();
    let full = running.endpoint().clone();
    let fits = pool.acquire(job(6_000), &cancel).await.unwrap();
    assert_eq!(*fits.endpoint(), full, "the cached prefix is not used");
    drop(fits);
    let other = pool.acquire(job(8_000), &cancel).await.unwrap();
    assert_ne!(*other.endpoint(), full);
    running.served(Tokens(1));
    let next = pool.acquire(job(8_001), &cancel).await.unwrap();
    assert_eq!(*next.endpoint(), full, "an ended answer takes memory");
}

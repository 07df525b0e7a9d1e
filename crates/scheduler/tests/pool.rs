//! What a pool knows of its endpoints as their list changes.

use std::time::Duration;

use pimento_policy::engine::Part;
use pimento_policy::engine::Prompt;
use pimento_policy::limit;
use pimento_scheduler::Clock;
use pimento_scheduler::Job;
use pimento_scheduler::Member;
use pimento_scheduler::Scheduler;
use pimento_units::Moment;
use pimento_units::Tokens;

const MEMORY: Tokens = Tokens(600_000);

fn engine(memory: Option<Tokens>) -> Member {
    let report = limit::Report {
        running: 0,
        waiting: 0,
        batch: 64,
    };
    Member {
        endpoint: "i-1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        usable: true,
        distance: Duration::ZERO,
        versions: Some(vec!["v1".parse().unwrap()]),
        report: Some((report, Moment::ZERO)),
        memory,
        life: 1,
    }
}

fn job() -> Job {
    let part = |hash, tokens| Part {
        hash,
        tokens: Tokens(tokens),
    };
    Job {
        customer: "garage".parse().unwrap(),
        weight: 1,
        priority: 1,
        tokens: Tokens(20_000),
        deadline: Moment::ZERO + Duration::from_mins(1),
        version: None,
        prefix: Some(1),
        prompt: Some(Prompt {
            model: 7,
            parts: vec![part(1, 13_000), part(2, 7_000)],
        }),
        tried: Vec::new(),
        returning: false,
        repeatable: true,
    }
}

// A VM is started anew while everything runs. It reads the list of endpoints first and the
// configuration, which says that they are engines and how much memory they have, a moment later. Its
// estimates were those of a plain service from then on: each prompt seemed read at once, the largest
// model free, and callers waited for seconds behind what the VM sent there.
#[tokio::test]
async fn endpoints_that_turn_out_to_be_engines_are_taken_for_engines() {
    let scheduler = Scheduler::new(Clock::default());
    let pool = scheduler.pool(&"llm".parse().unwrap());
    pool.update(vec![engine(Some(MEMORY))]);
    let known = pool.estimate(&job()).unwrap();
    assert!(known.work > Duration::from_millis(100), "{known:?}");
    let late = scheduler.pool(&"late".parse().unwrap());
    late.update(vec![engine(None)]);
    late.update(vec![engine(Some(MEMORY))]);
    assert_eq!(late.estimate(&job()), Some(known));
}

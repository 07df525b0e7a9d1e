//! Endpoints for the tests' lists, and calls to them.

use std::time::Duration;

use pimento_policy::limit;
use pimento_scheduler::Clock;
use pimento_scheduler::Job;
use pimento_scheduler::Member;
use pimento_scheduler::Requirement;
use pimento_units::Moment;
use pimento_units::Tokens;

/// A plain endpoint that runs `batch` calls at once.
pub fn member(batch: u32) -> Member {
    let report = limit::Report {
        running: 0,
        waiting: 0,
        batch,
    };
    Member {
        endpoint: "i-1".parse().unwrap(),
        zone: "a".parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
        usable: true,
        extra_delay: Duration::ZERO,
        versions: None,
        report: Some((report, Moment::ZERO)),
        kv_capacity: None,
        incarnation: 1,
        cold: None,
    }
}

/// A call to any endpoint, whose caller waits this long.
pub fn call(clock: Clock, wait: Duration) -> Job {
    Job {
        customer: "customer".parse().unwrap(),
        weight: 1,
        priority: 1,
        tokens: Tokens(1),
        deadline: clock.now() + wait,
        requirement: Requirement::default(),
        prefix: None,
        prompt: None,
        aim: None,
        tried: Vec::new(),
        excluded: None,
        previously_refused: false,
        repeatable: true,
    }
}

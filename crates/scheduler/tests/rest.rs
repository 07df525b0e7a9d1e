//! Endpoints that want no requests for some time.

mod common;

use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_policy::rest::Rest;
use pimento_scheduler::Clock;
use pimento_scheduler::Member;
use pimento_scheduler::Scheduler;
use pimento_units::id;

use self::common::call;
use self::common::member;

/// How long callers wait.
const PATIENCE: Duration = Duration::from_secs(2);

/// Guards against callers that are refused because the only endpoint that does not rest was ejected.
#[tokio::test]
async fn an_ejected_endpoint_gets_calls_while_all_others_rest() {
    let clock = Clock::default();
    let pool = Scheduler::new(clock).pool(&"service".parse().unwrap());
    let other = Member {
        endpoint: "i-2".parse().unwrap(),
        ..member(6)
    };
    pool.update(vec![member(6), other]);
    let resting: id::Endpoint = "i-1".parse().unwrap();
    // The other one fails often enough to be ejected.
    while pool.metrics().ejected == 0 {
        let permit = pool.try_acquire(&call(clock, PATIENCE)).unwrap();
        if *permit.endpoint() != resting {
            permit.failed(&Fault::Failed { status: 500 });
        }
    }
    pool.record_rest(&resting, Rest::from(Duration::from_mins(1)));
    let permit = pool.try_acquire(&call(clock, PATIENCE)).unwrap();
    assert_eq!(permit.endpoint().as_str(), "i-2");
}

//! Slots at endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_entry::refusal::Code;
use pimento_entry::refusal::Refusal;
use pimento_scheduler::Clock;
use pimento_scheduler::Job;
use pimento_scheduler::Member;
use pimento_scheduler::Pool;
use pimento_scheduler::Requirement;
use pimento_scheduler::Scheduler;
use pimento_units::Tokens;
use pimento_wire::api::Run;
use tokio_util::sync::CancellationToken;

use crate::support::SMALL;
use crate::support::TIMEOUT;
use crate::support::name;
use crate::support::wait_until;

fn member(label: &str) -> Member {
    Member {
        endpoint: name(label),
        zone: name("kig-remera"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        usable: true,
        extra_delay: Duration::ZERO,
        versions: Some(vec![name(SMALL)]),
        report: None,
        kv_capacity: None,
        incarnation: 0,
        cold: None,
    }
}

struct Fixture {
    clock: Clock,
    pool: Pool,
    token: CancellationToken,
}

impl Fixture {
    fn new(labels: &[&str]) -> Self {
        let clock = Clock::default();
        let pool = Scheduler::new(clock).pool(&name("pimento-llm"));
        pool.update(labels.iter().map(|label| member(label)).collect());
        Self {
            clock,
            pool,
            token: CancellationToken::new(),
        }
    }

    fn job(&self) -> Job {
        Job {
            customer: name("garage"),
            weight: 1,
            priority: 0,
            tokens: Tokens(50),
            deadline: self.clock.now() + TIMEOUT,
            requirement: Requirement::version(Some(name(SMALL))),
            prefix: None,
            prompt: None,
            aim: None,
            tried: Vec::new(),
            excluded: None,
            previously_refused: false,
            repeatable: true,
        }
    }

    /// The endpoint that a prefix selects while all are healthy and idle.
    async fn endpoint_for_prefix(&self, prefix: u64) -> String {
        let job = Job {
            prefix: Some(prefix),
            ..self.job()
        };
        let permit = self.pool.acquire(job, &self.token).await.unwrap();
        let endpoint = permit.endpoint().to_string();
        permit.served(Tokens(50));
        endpoint
    }

    async fn fill(&self) -> Vec<pimento_scheduler::Permit> {
        let mut permits = Vec::new();
        for _ in 0..self.pool.metrics().slots {
            permits.push(self.pool.acquire(self.job(), &self.token).await.unwrap());
        }
        permits
    }
}

#[tokio::test]
async fn a_released_slot_goes_to_the_waiting_job() {
    let fixture = Fixture::new(&["a"]);
    let mut permits = fixture.fill().await;
    let waiting = fixture.pool.acquire(fixture.job(), &fixture.token);
    tokio::pin!(waiting);
    assert!(futures::poll!(waiting.as_mut()).is_pending());
    assert_eq!(fixture.pool.metrics().waiting, 1);
    permits.pop().unwrap().served(Tokens(50));
    let permit = waiting.await.unwrap();
    assert_eq!(permit.endpoint().as_str(), "a");
}

/// One caller stops waiting before it is assigned a slot, another one after that. No slot is lost.
#[tokio::test]
async fn no_slot_is_lost_by_disconnected_callers() {
    let fixture = Fixture::new(&["a"]);
    let permits = fixture.fill().await;
    let in_flight = fixture.pool.metrics().in_flight;
    let waiting = fixture.pool.acquire(fixture.job(), &fixture.token);
    let mut first = Box::pin(waiting);
    let mut second = Box::pin(fixture.pool.acquire(fixture.job(), &fixture.token));
    assert!(futures::poll!(first.as_mut()).is_pending());
    assert!(futures::poll!(second.as_mut()).is_pending());
    drop(first);
    drop(permits);
    // The second caller was assigned a slot and does not poll for it.
    assert_eq!(fixture.pool.metrics().waiting, 0);
    drop(second);
    assert_eq!(fixture.pool.metrics().in_flight, 0, "of {in_flight}");
}

#[tokio::test]
async fn a_job_is_refused_at_once_if_no_endpoint_serves_its_version() {
    let fixture = Fixture::new(&["a"]);
    let mut job = fixture.job();
    job.requirement = Requirement::version(Some(name("unknown@1")));
    let refusal = fixture.pool.acquire(job, &fixture.token).await.unwrap_err();
    let refusal = Refusal::from(refusal);
    assert_eq!(refusal.code, Code::NoEndpoint);
    assert_eq!(refusal.run, Run::NotRun);
    assert!(refusal.retry_after.is_some());
}

#[tokio::test]
async fn an_endpoint_that_leaves_gets_no_slot_and_the_job_goes_elsewhere() {
    let fixture = Fixture::new(&["a", "b"]);
    let mut leaving = member("a");
    leaving.usable = false;
    fixture.pool.update(vec![leaving, member("b")]);
    for permit in fixture.fill().await {
        assert_eq!(permit.endpoint().as_str(), "b");
    }
}

/// One endpoint fails fast. Without ejection its empty queue would attract most of the calls.
#[tokio::test]
async fn an_endpoint_with_consecutive_failures_is_ejected() {
    let fixture = Fixture::new(&["a", "b", "c"]);
    let fault = Fault::Failed { status: 500 };
    let failed = async {
        let mut failures = 0;
        while failures < 3 {
            let permit = fixture
                .pool
                .acquire(fixture.job(), &fixture.token)
                .await
                .unwrap();
            if permit.endpoint().as_str() == "a" {
                permit.failed(&fault);
                failures += 1;
            }
        }
    };
    let ejected = tokio::time::timeout(TIMEOUT, failed).await;
    assert!(ejected.is_ok());
    assert_eq!(fixture.pool.metrics().ejected, 1);
    for _ in 0..20 {
        let permit = fixture
            .pool
            .acquire(fixture.job(), &fixture.token)
            .await
            .unwrap();
        assert_ne!(permit.endpoint().as_str(), "a");
    }
}

/// An ejected endpoint is due for a probe. The next repeatable call is sent to it, although the
/// call's prefix selects another endpoint that is idle. Otherwise the endpoint might never be tried
/// again.
#[tokio::test]
async fn an_ejected_endpoint_is_probed_first() {
    let fixture = Fixture::new(&["a", "b", "c"]);
    let mut prefix = 0;
    while fixture.endpoint_for_prefix(prefix).await == "a" {
        prefix += 1;
    }
    let fault = Fault::Failed { status: 500 };
    while fixture.pool.metrics().ejected == 0 {
        let permit = fixture
            .pool
            .acquire(fixture.job(), &fixture.token)
            .await
            .unwrap();
        if permit.endpoint().as_str() == "a" {
            permit.failed(&fault);
        }
    }
    let probed = async {
        loop {
            let job = Job {
                prefix: Some(prefix),
                ..fixture.job()
            };
            let permit = fixture.pool.acquire(job, &fixture.token).await.unwrap();
            let found = permit.endpoint().as_str() == "a";
            permit.served(Tokens(50));
            if found {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, probed).await.unwrap();
}

/// A job whose caller has disconnected leaves the queue immediately.
#[tokio::test]
async fn a_cancelled_job_leaves_the_queue() {
    let fixture = Fixture::new(&["a"]);
    let _permits = fixture.fill().await;
    let disconnected = CancellationToken::new();
    let (pool, job, token) = (fixture.pool.clone(), fixture.job(), disconnected.clone());
    let waiting = tokio::spawn(async move { pool.acquire(job, &token).await.map(drop) });
    wait_until("the job waits", || fixture.pool.metrics().waiting == 1).await;
    disconnected.cancel();
    let refusal = waiting.await.unwrap().unwrap_err();
    let refusal = Refusal::from(refusal);
    assert_eq!(refusal.code, Code::CallerGone);
    assert_eq!(fixture.pool.metrics().waiting, 0);
}

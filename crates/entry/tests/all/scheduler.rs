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
use pimento_scheduler::Scheduler;
use pimento_units::Tokens;
use pimento_wire::api::Run;
use tokio_util::sync::CancellationToken;

use crate::support::PATIENCE;
use crate::support::SMALL;
use crate::support::name;
use crate::support::until;

fn member(label: &str) -> Member {
    Member {
        endpoint: name(label),
        zone: name("kig-remera"),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        usable: true,
        distance: Duration::ZERO,
        versions: Some(vec![name(SMALL)]),
        report: None,
        memory: None,
        incarnation: 0,
    }
}

struct Bench {
    clock: Clock,
    pool: Pool,
    token: CancellationToken,
}

impl Bench {
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
            deadline: self.clock.now() + PATIENCE,
            version: Some(name(SMALL)),
            prefix: None,
            prompt: None,
            tried: Vec::new(),
            previously_refused: false,
            repeatable: true,
        }
    }

    /// The endpoint that a prefix belongs to while all are well and idle.
    async fn first_for(&self, prefix: u64) -> String {
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
        for _ in 0..self.pool.depth().slots {
            permits.push(self.pool.acquire(self.job(), &self.token).await.unwrap());
        }
        permits
    }
}

#[tokio::test]
async fn a_slot_given_back_goes_to_the_job_that_waits() {
    let bench = Bench::new(&["a"]);
    let mut permits = bench.fill().await;
    let waiting = bench.pool.acquire(bench.job(), &bench.token);
    tokio::pin!(waiting);
    assert!(futures::poll!(waiting.as_mut()).is_pending());
    assert_eq!(bench.pool.depth().waiting, 1);
    permits.pop().unwrap().served(Tokens(50));
    let permit = waiting.await.unwrap();
    assert_eq!(permit.endpoint().as_str(), "a");
}

/// Callers stop waiting at each point where they can: before, at and after the slot was given.
/// Whatever they do, no slot is lost.
#[tokio::test]
async fn no_slot_is_lost_by_callers_that_go_away() {
    let bench = Bench::new(&["a"]);
    let permits = bench.fill().await;
    let flying = bench.pool.depth().in_flight;
    let waiting = bench.pool.acquire(bench.job(), &bench.token);
    let mut first = Box::pin(waiting);
    let mut second = Box::pin(bench.pool.acquire(bench.job(), &bench.token));
    assert!(futures::poll!(first.as_mut()).is_pending());
    assert!(futures::poll!(second.as_mut()).is_pending());
    drop(first);
    drop(permits);
    // The second was given a slot and never looks at it.
    assert_eq!(bench.pool.depth().waiting, 0);
    drop(second);
    assert_eq!(bench.pool.depth().in_flight, 0, "of {flying}");
}

#[tokio::test]
async fn a_job_is_refused_at_once_if_no_endpoint_holds_its_version() {
    let bench = Bench::new(&["a"]);
    let mut job = bench.job();
    job.version = Some(name("unknown@1"));
    let refusal = bench.pool.acquire(job, &bench.token).await.unwrap_err();
    let refusal = Refusal::from(refusal);
    assert_eq!(refusal.code, Code::NoEndpoint);
    assert_eq!(refusal.run, Run::NotRun);
    assert!(refusal.after.is_some());
}

#[tokio::test]
async fn an_endpoint_that_leaves_gets_no_slot_and_the_job_goes_elsewhere() {
    let bench = Bench::new(&["a", "b"]);
    let mut leaving = member("a");
    leaving.usable = false;
    bench.pool.update(vec![leaving, member("b")]);
    for permit in bench.fill().await {
        assert_eq!(permit.endpoint().as_str(), "b");
    }
}

/// One endpoint fails fast. Without ejection its empty queue would draw most of the calls.
#[tokio::test]
async fn an_endpoint_that_fails_in_a_row_is_ejected() {
    let bench = Bench::new(&["a", "b", "c"]);
    let fault = Fault::Failed { status: 500 };
    let failed = async {
        let mut failures = 0;
        while failures < 3 {
            let permit = bench.pool.acquire(bench.job(), &bench.token).await.unwrap();
            if permit.endpoint().as_str() == "a" {
                permit.failed(&fault);
                failures += 1;
            }
        }
    };
    let ejected = tokio::time::timeout(PATIENCE, failed).await;
    assert!(ejected.is_ok());
    assert_eq!(bench.pool.depth().ejected, 1);
    for _ in 0..20 {
        let permit = bench.pool.acquire(bench.job(), &bench.token).await.unwrap();
        assert_ne!(permit.endpoint().as_str(), "a");
    }
}

/// An endpoint that was out is due for a probe. The next call that may be sent twice goes to it, though
/// its prefix belongs to another one that is idle: by choice alone it might never be tried again.
#[tokio::test]
async fn an_endpoint_that_was_out_is_probed_first() {
    let bench = Bench::new(&["a", "b", "c"]);
    let mut prefix = 0;
    while bench.first_for(prefix).await == "a" {
        prefix += 1;
    }
    let fault = Fault::Failed { status: 500 };
    while bench.pool.depth().ejected == 0 {
        let permit = bench.pool.acquire(bench.job(), &bench.token).await.unwrap();
        if permit.endpoint().as_str() == "a" {
            permit.failed(&fault);
        }
    }
    let probed = async {
        loop {
            let job = Job {
                prefix: Some(prefix),
                ..bench.job()
            };
            let permit = bench.pool.acquire(job, &bench.token).await.unwrap();
            let found = permit.endpoint().as_str() == "a";
            permit.served(Tokens(50));
            if found {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(PATIENCE, probed).await.unwrap();
}

/// A job whose caller gave up is out of the queue at once.
#[tokio::test]
async fn a_cancelled_job_leaves_the_queue() {
    let bench = Bench::new(&["a"]);
    let _permits = bench.fill().await;
    let gone = CancellationToken::new();
    let (pool, job, token) = (bench.pool.clone(), bench.job(), gone.clone());
    let waiting = tokio::spawn(async move { pool.acquire(job, &token).await.map(drop) });
    until("it waits", || bench.pool.depth().waiting == 1).await;
    gone.cancel();
    let refusal = waiting.await.unwrap().unwrap_err();
    let refusal = Refusal::from(refusal);
    assert_eq!(refusal.code, Code::Gone);
    assert_eq!(bench.pool.depth().waiting, 0);
}

//! Calls of a plain service, with and without repeatable methods.

use hyper::Method;
use hyper::StatusCode;
use pimento_standin::fault::Action;
use pimento_standin::fault::Rule;
use pimento_standin::service::Receipt;
use pimento_wire::api::Run;
use uuid::Uuid;

use crate::support::Answer;
use crate::support::Fixture;
use crate::support::wait_until;

fn receipt(answer: &Answer) -> Receipt {
    serde_json::from_slice(&answer.body)
        .unwrap_or_else(|error| panic!("no receipt ({error}): {answer:?}"))
}

#[tokio::test]
async fn a_call_is_passed_through_and_billed() {
    let fixture = Fixture::start(1).await;
    let entry = fixture.entry("entry-1").await;
    let request = entry.request(Method::GET, "/services/order-desk/stock/drums");
    let answer = request.send().await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(receipt(&answer).path, "/stock/drums");
    wait_until("the bill is on the log", || fixture.bills().len() == 1).await;
}

/// The caller sends the same order again, at the same and at another entry VM. Both return the
/// first answer; the other VM fetches it from the one that cached it. The order runs once and is
/// billed once.
#[tokio::test]
async fn an_order_sent_twice_runs_once_and_is_answered_twice() {
    let fixture = Fixture::start(1).await;
    let first = fixture.entry("entry-1").await;
    let seed = first.running.node.mesh.address().to_string();
    let second = fixture.entry_with("entry-2", &[("peers", &seed)]).await;
    wait_until("the entry VMs know each other", || {
        let peers = |e: &crate::support::Entry| e.running.node.mesh.peers().len();
        peers(&first) == 1 && peers(&second) == 1
    })
    .await;
    let key = Uuid::now_v7().to_string();
    let one = first.order(&key).send().await;
    let again = first.order(&key).send().await;
    let other = second.order(&key).send().await;
    assert_eq!(one.status, StatusCode::OK, "{one:?}");
    assert_eq!(again.body, one.body);
    assert_eq!(other.body, one.body);
    assert_eq!(other.status, StatusCode::OK);
    assert_eq!(fixture.runs(&key), 1);
    wait_until("the bill is on the log", || !fixture.bills().is_empty()).await;
    assert_eq!(fixture.bills().len(), 1);
}

/// Two entry VMs get the same order concurrently. The VM whose claim is second in the log does not
/// send it. It may answer `unknown`, and neither VM may answer `not_run`.
#[tokio::test]
async fn an_order_sent_to_two_entry_vms_at_once_runs_once() {
    let fixture = Fixture::start(1).await;
    let first = fixture.entry("entry-1").await;
    let second = fixture.entry("entry-2").await;
    for _ in 0..10 {
        let key = Uuid::now_v7().to_string();
        let (one, other) = tokio::join!(first.order(&key).send(), second.order(&key).send());
        assert_eq!(fixture.runs(&key), 1, "{one:?} {other:?}");
        let served = [&one, &other].iter().filter(|a| a.status == 200).count();
        assert!(served >= 1, "{one:?} {other:?}");
        for answer in [one, other] {
            if answer.status != StatusCode::OK {
                assert_eq!(answer.status, StatusCode::CONFLICT, "{answer:?}");
                assert_ne!(answer.error_body().error.run, Run::NotRun);
            }
        }
    }
}

/// The service runs the order, and the connection breaks before the answer. The order is not sent
/// again, neither by a retry of the router nor by one of the caller: it may have run.
#[tokio::test]
async fn an_order_whose_answer_was_lost_is_never_sent_again() {
    let fixture = Fixture::start(1).await;
    let entry = fixture.entry("entry-1").await;
    for desk in &fixture.desks {
        desk.faults
            .set_rules([Rule::new(Action::LoseAnswer).on("POST", "/")]);
    }
    let key = Uuid::now_v7().to_string();
    let lost = entry.order(&key).send().await;
    assert_eq!(lost.status, StatusCode::BAD_GATEWAY, "{lost:?}");
    assert_eq!(lost.error_body().error.run, Run::Unknown);
    for desk in &fixture.desks {
        desk.faults.clear();
    }
    let again = entry.order(&key).send().await;
    assert_eq!(again.status, StatusCode::CONFLICT, "{again:?}");
    assert_eq!(again.error_body().error.run, Run::Unknown);
    assert_eq!(fixture.runs(&key), 1);
}

/// Both replicas refuse the order as not run. The caller gets `not_run`, and a retry under the same
/// id runs it.
#[tokio::test]
async fn an_order_that_was_not_started_may_be_sent_again() {
    let fixture = Fixture::start(1).await;
    let entry = fixture.entry("entry-1").await;
    for desk in &fixture.desks {
        desk.faults.set_rules([Rule::new(Action::Refuse {
            status: 503,
            retry_after: Some(1),
            run: Some(Run::NotRun),
        })]);
    }
    let key = Uuid::now_v7().to_string();
    let refused = entry.order(&key).send().await;
    assert_eq!(refused.error_body().error.run, Run::NotRun, "{refused:?}");
    assert_eq!(fixture.runs(&key), 0);
    for desk in &fixture.desks {
        desk.faults.clear();
    }
    // The claim is released through the log, which takes a moment.
    let mut again = entry.order(&key).send().await;
    for _ in 0..100 {
        if again.status != StatusCode::CONFLICT {
            break;
        }
        again = entry.order(&key).send().await;
    }
    assert_eq!(again.status, StatusCode::OK, "{again:?}");
    assert_eq!(fixture.runs(&key), 1);
}

/// During a log outage an order can't be claimed and is refused as not run, with `retry-after`.
#[tokio::test]
async fn without_the_log_orders_are_refused_and_repeatable_calls_served() {
    let fixture = Fixture::start(1).await;
    let entry = fixture.entry("entry-1").await;
    // Gets the first grant while the log is available.
    let warm = entry.request(Method::GET, "/services/order-desk/stock");
    assert_eq!(warm.send().await.status, StatusCode::OK);
    fixture.log.faults.set_rules([Rule::new(Action::Refuse {
        status: 503,
        retry_after: Some(1),
        run: None,
    })]);
    let key = Uuid::now_v7().to_string();
    let refused = entry.order(&key).send().await;
    assert_eq!(
        refused.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "{refused:?}"
    );
    assert_eq!(refused.error_body().error.code, "claims_unavailable");
    assert_eq!(refused.error_body().error.run, Run::NotRun);
    assert_ne!(refused.header("retry-after"), "");
    assert_eq!(fixture.runs(&key), 0);
}

#[tokio::test]
async fn an_id_of_another_order_is_refused() {
    let fixture = Fixture::start(1).await;
    let entry = fixture.entry("entry-1").await;
    let key = Uuid::now_v7().to_string();
    assert_eq!(entry.order(&key).send().await.status, StatusCode::OK);
    let other = entry.order(&key).body("{\"drums\":400}").send().await;
    assert_eq!(other.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert_eq!(other.error_body().error.run, Run::NotRun);
    assert_eq!(fixture.runs(&key), 1);
}

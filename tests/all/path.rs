//! Requests of all kinds through the built programs.

use pimento_standin::Handler;

use crate::fleet::Fleet;
use crate::fleet::caller;
use crate::fleet::eventually;

/// Each entry VM must serve a model request, a streamed one up to its end mark, a repeatable
/// service request and an order, and each response must have a bill. Invalid requests are refused
/// and reach no endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn every_kind_of_request_is_served() {
    let fleet = Fleet::start().await;
    let before = fleet.counted_bills();
    for node in &fleet.nodes {
        let complete = fleet
            .caller
            .chat(node, "how many drums?")
            .await
            .expect("answered");
        assert_eq!(complete.status, 200, "{complete:?}");
        assert!(complete.text().is_some_and(|text| !text.is_empty()));
        assert!(complete.header("session-token").is_some());
        let streamed = fleet
            .caller
            .model(node, "tell me", true, 60)
            .await
            .expect("answered");
        assert!(streamed.is_complete_stream(), "{streamed:?}");
        let read = fleet.caller.read_service(node).await.expect("answered");
        assert_eq!(read.status, 200, "{read:?}");
        let key = caller::key();
        let order = fleet.caller.order(node, &key).await.expect("answered");
        assert_eq!(order.status, 200, "{order:?}");
        assert_eq!(fleet.runs(&key), 1);
    }
    let served = 4 * fleet.nodes.len() as u64;
    eventually("all bills are on the log", async || {
        fleet.counted_bills() >= before + served
    })
    .await;
    check_refusals(&fleet).await;
}

async fn check_refusals(fleet: &Fleet) {
    let started = |fleet: &Fleet| -> u64 {
        let engines = fleet
            .engines
            .iter()
            .map(|engine| engine.handler.stats().started);
        engines.sum::<u64>()
            + fleet
                .services
                .iter()
                .map(|service| service.handler.stats().started)
                .sum::<u64>()
    };
    let before = started(fleet);
    let node = &fleet.nodes[0];
    let without_uuid = fleet.caller.order(node, "no uuid").await.expect("answered");
    assert!(without_uuid.not_run(), "{without_uuid:?}");
    let old = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
    let expired = fleet.caller.order(node, old).await.expect("answered");
    assert!(expired.not_run(), "{expired:?}");
    assert_eq!(started(fleet), before);
}

//! The whole path through the built programs.

use pimento_standin::Handler;

use crate::fleet::Fleet;
use crate::fleet::caller;
use crate::fleet::eventually;

/// A caller gets a whole answer, a streamed one with its end mark, a plain service's answer and an
/// order, from any entry VM; bad requests are refused and reach no endpoint. Each answer has a bill.
#[tokio::test(flavor = "multi_thread")]
async fn every_kind_of_request_is_served() {
    let fleet = Fleet::start().await;
    let before = fleet.billed();
    for node in &fleet.nodes {
        let whole = fleet
            .caller
            .chat(node, "how many drums?")
            .await
            .expect("answered");
        assert_eq!(whole.status, 200, "{whole:?}");
        assert!(whole.text().is_some_and(|text| !text.is_empty()));
        assert!(whole.header("session-token").is_some());
        let streamed = fleet
            .caller
            .model(node, "tell me", true, 60)
            .await
            .expect("answered");
        assert!(streamed.whole_stream(), "{streamed:?}");
        let look = fleet.caller.look(node).await.expect("answered");
        assert_eq!(look.status, 200, "{look:?}");
        let key = caller::key();
        let order = fleet.caller.order(node, &key).await.expect("answered");
        assert_eq!(order.status, 200, "{order:?}");
        assert_eq!(fleet.runs(&key), 1);
    }
    let served = 4 * fleet.nodes.len() as u64;
    eventually("all bills are on the log", async || {
        fleet.billed() >= before + served
    })
    .await;
    refusals(&fleet).await;
}

async fn refusals(fleet: &Fleet) {
    let started = |fleet: &Fleet| -> u64 {
        let engines = fleet.engines.iter().map(|e| e.handler.stats().started);
        engines.sum::<u64>()
            + fleet
                .desks
                .iter()
                .map(|d| d.handler.stats().started)
                .sum::<u64>()
    };
    let before = started(fleet);
    let node = &fleet.nodes[0];
    let unclaimable = fleet.caller.order(node, "no uuid").await.expect("answered");
    assert!(unclaimable.not_run(), "{unclaimable:?}");
    let old = "017f22e2-79b0-7cc3-98c4-dc0c0c07398f";
    let old = fleet.caller.order(node, old).await.expect("answered");
    assert!(old.not_run(), "{old:?}");
    assert_eq!(started(fleet), before);
}

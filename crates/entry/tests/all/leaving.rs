//! Endpoints that leave, and a VM list that is suddenly empty.

use hyper::StatusCode;
use pimento_standin::Handler;

use crate::support::Entry;
use crate::support::Fixture;
use crate::support::name;
use crate::support::wait_until;

fn usable(entry: &Entry, endpoint: &str) -> bool {
    let table = entry.running.node.registry.table();
    let known = table.get(&name(endpoint));
    known.is_some_and(|known| table.is_usable(known))
}

/// An engine reports that it is leaving. One entry VM reads the report. The other polls engines and
/// the list once an hour; it receives the departure from its peer and sends the engine no more
/// requests.
#[tokio::test]
async fn a_leaving_engine_is_known_from_a_peer() {
    let fixture = Fixture::start(2).await;
    let first = fixture.entry("entry-1").await;
    let seed = first.running.node.mesh.address().to_string();
    // The second VM still reads the first load reports at its start.
    let settings = [("peers", seed.as_str()), ("poll-interval", "1h")];
    let second = fixture.entry_with("entry-2", &settings).await;
    fixture.engines[0]
        .handler
        .change(|settings| settings.leaving = true);
    wait_until("the first VM knows", || !usable(&first, "engine-0")).await;
    wait_until("the second VM knows", || !usable(&second, "engine-0")).await;
    assert!(usable(&second, "engine-1"));
    let before = fixture.engines[0].handler.stats().started;
    for number in 0..10 {
        let prompt = format!("question {number}: answer in 3 tokens");
        let answer = second.chat(&prompt, false).send().await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(fixture.engines[0].handler.stats().started, before);
}

/// The list is empty for a while, as a faulty store may return it. Requests are still served.
#[tokio::test]
async fn an_empty_list_does_not_stop_the_service() {
    let fixture = Fixture::start(1).await;
    let entry = fixture.entry("entry-1").await;
    fixture.vms.handler.change(Vec::clear);
    wait_until("the list is distrusted", || {
        entry.running.node.registry.table().distrusts_list()
    })
    .await;
    let answer = entry.chat("answer in 3 tokens", false).send().await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
}

//! Endpoints that leave.

use hyper::StatusCode;
use pimento_standin::Site;

use crate::support::Entry;
use crate::support::World;
use crate::support::name;
use crate::support::until;

fn usable(entry: &Entry, endpoint: &str) -> bool {
    let table = entry.running.node.registry.table();
    let known = table.get(&name(endpoint));
    known.is_some_and(|known| table.is_usable(known))
}

/// An engine says that it is about to go. One entry VM reads that, the other one asks engines and
/// the list once an hour; it hears of it from its peer, and sends the engine nothing more.
#[tokio::test]
async fn a_leaving_engine_is_known_from_a_peer() {
    let world = World::start(2).await;
    let first = world.entry("entry-1").await;
    let seed = first.running.node.mesh.address().to_string();
    // The engine's first load report is read at the start.
    let settings = [("peers", seed.as_str()), ("poll-interval", "1h")];
    let second = world.entry_with("entry-2", &settings).await;
    world.engines[0]
        .site
        .change(|settings| settings.leaving = true);
    until("the first reads it", || !usable(&first, "engine-0")).await;
    until("the second hears of it", || !usable(&second, "engine-0")).await;
    assert!(usable(&second, "engine-1"));
    let before = world.engines[0].site.stats().started;
    for number in 0..10 {
        let prompt = format!("question {number}: answer in 3 tokens");
        let answer = second.chat(&prompt, false).send().await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(world.engines[0].site.stats().started, before);
}

/// The list is empty for a while, as a store in trouble may show. Callers notice nothing.
#[tokio::test]
async fn an_empty_list_does_not_stop_the_service() {
    let world = World::start(1).await;
    let entry = world.entry("entry-1").await;
    world.vms.site.change(Vec::clear);
    until("the list is doubted", || {
        entry.running.node.registry.table().distrusts_list()
    })
    .await;
    let answer = entry.chat("answer in 3 tokens", false).send().await;
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
}

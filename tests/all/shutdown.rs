//! Graceful shutdown of an entry VM.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::eventually;

/// Output tokens of a long response, which takes the stand-in engine several seconds.
const LONG_OUTPUT_TOKENS: u64 = 300;

/// A VM gets SIGTERM twice while streamed and other long responses are in flight. Every caller must
/// get a complete response, the process must exit with 0, and each response must have a bill on the
/// log.
#[tokio::test(flavor = "multi_thread")]
async fn no_caller_sees_a_cut() {
    let mut fleet = Fleet::start().await;
    eventually("the bills of the start are on the log", async || {
        tokio::time::sleep(Duration::from_secs(2)).await;
        true
    })
    .await;
    let before = fleet.counted_bills();
    let id = fleet.nodes[0].id();
    let node = &fleet.nodes[0];
    let streams = futures::future::join_all((0..6).map(|number| {
        let caller = fleet.caller.clone();
        async move {
            let prompt = format!("a long review {number}");
            caller
                .model(node, &prompt, number % 2 == 0, LONG_OUTPUT_TOKENS)
                .await
        }
    }));
    let stop = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        crate::fleet::Node::signal_process(id, "TERM");
        tokio::time::sleep(Duration::from_millis(300)).await;
        crate::fleet::Node::signal_process(id, "TERM");
    };
    let (answers, ()) = tokio::join!(streams, stop);
    for (number, answer) in answers.into_iter().enumerate() {
        let answer = answer.unwrap_or_else(|| panic!("answer {number} was cut"));
        assert_eq!(answer.status, 200, "{answer:?}");
        let complete = answer.is_complete_stream() || answer.text().is_some();
        assert!(complete, "answer {number} is incomplete: {answer:?}");
    }
    assert_eq!(fleet.nodes[0].wait().await, Some(0));
    assert!(fleet.counted_bills() >= before + 6, "a bill is missing");
}

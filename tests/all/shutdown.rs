//! A graceful shutdown cuts no request short.

use std::time::Duration;

use crate::fleet::Fleet;
use crate::fleet::eventually;

/// Tokens of a long answer: several seconds at the stand-in engine's speed.
const LONG: u64 = 300;

/// A VM gets SIGTERM, and a second one, while long streams and whole answers are in flight. Every
/// caller gets its whole answer, the process ends with 0, and each answer's bill is on the log.
#[tokio::test(flavor = "multi_thread")]
async fn no_caller_sees_a_cut() {
    let mut fleet = Fleet::start().await;
    eventually("the bills of the start are on the log", async || {
        tokio::time::sleep(Duration::from_secs(2)).await;
        true
    })
    .await;
    let before = fleet.billed();
    let id = fleet.nodes[0].id();
    let node = &fleet.nodes[0];
    let streams = futures::future::join_all((0..6).map(|number| {
        let caller = fleet.caller.clone();
        async move {
            let prompt = format!("a long review {number}");
            caller.model(node, &prompt, number % 2 == 0, LONG).await
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
        let whole = answer.whole_stream() || answer.text().is_some();
        assert!(whole, "answer {number} is not whole: {answer:?}");
    }
    assert_eq!(fleet.nodes[0].end().await, Some(0));
    assert!(fleet.billed() >= before + 6, "a bill was left behind");
}

//! Graceful shutdown of an entry VM.

use std::time::Duration;

use pimento_standin::fault::Action;
use pimento_standin::fault::Rule;

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

/// A VM that must end soon gets SIGTERM while all engines are silent. Guards against a process that ends with
/// connections that it closes without an answer.
#[tokio::test(flavor = "multi_thread")]
async fn callers_at_silent_engines_are_answered_before_the_process_ends() {
    let mut fleet = Fleet::start().await;
    fleet.nodes[0].signal("TERM");
    assert_eq!(fleet.nodes[0].wait().await, Some(0));
    fleet.nodes[0].set("PIMENTO_LAST_BOUND", "1s");
    fleet.nodes[0].start();
    fleet.wait_until_ready(0).await;
    for engine in &fleet.engines {
        let silence = Rule::new(Action::Hang).on("POST", "/v1/chat/completions");
        engine.faults.set_rules([silence]);
    }
    let callers = 8;
    let answers = futures::future::join_all((0..callers).map(|number| {
        let prompt = format!("a review {number}");
        let (caller, node) = (fleet.caller.clone(), &fleet.nodes[0]);
        async move { caller.model(node, &prompt, number % 2 == 0, 40).await }
    }));
    let stop = async {
        eventually("all are sent", async || {
            let tables = fleet.engines.iter().map(|engine| engine.faults.table());
            tables.map(|table| table.rules[0].hits).sum::<u64>() >= callers
        })
        .await;
        fleet.nodes[0].signal("TERM");
    };
    let (answers, ()) = tokio::join!(answers, stop);
    for (number, answer) in answers.into_iter().enumerate() {
        let answer = answer.unwrap_or_else(|| panic!("no answer to {number}"));
        assert!(answer.status >= 500, "{answer:?}");
        assert!(!answer.not_run(), "{answer:?}");
    }
    assert_eq!(fleet.nodes[0].wait().await, Some(1));
}

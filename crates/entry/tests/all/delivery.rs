//! What a caller receives when an answer takes several attempts.

use http_body_util::BodyExt;
use pimento_endpoint::Fault;
use pimento_entry::filter::delivery::Delivery;
use pimento_entry::filter::reply::Head;
use pimento_scheduler::Clock;
use pimento_units::Moment;
use pimento_units::id;
use pimento_wire::api::Chunk;
use pimento_wire::api::ChunkChoice;
use pimento_wire::api::Delta;
use proptest::collection::vec;
use proptest::prop_assert_eq;
use proptest::proptest;
use tokio::sync::oneshot;
use uuid::Uuid;

use crate::support::Answer;
use crate::support::TIMEOUT;

const TEXT: &str = "Keep away from heat. Wear gloves. Příručka k čerpadlu.";

fn chunk(content: &str, last: bool) -> Chunk {
    Chunk {
        id: "chatcmpl-engine".into(),
        object: "chat.completion.chunk".into(),
        created: 1,
        model: "pimento-mini@1".into(),
        choices: vec![ChunkChoice {
            index: 0,
            delta: Delta {
                role: None,
                content: Some(content.into()),
            },
            finish_reason: last.then(|| "stop".into()),
        }],
        usage: None,
    }
}

/// The text as chunks that end at these places. The last chunk has the finish reason.
fn chunks(cuts: &[usize]) -> Vec<Chunk> {
    let starts: Vec<usize> = TEXT.char_indices().map(|(at, _)| at).collect();
    let mut ends: Vec<usize> = cuts.iter().map(|cut| starts[cut % starts.len()]).collect();
    ends.push(TEXT.len());
    ends.sort_unstable();
    let mut from = 0;
    let mut chunks = Vec::new();
    for (number, end) in ends.iter().enumerate() {
        chunks.push(chunk(&TEXT[from..*end], number + 1 == ends.len()));
        from = *end;
    }
    chunks
}

/// A streamed delivery, and a task that returns what its caller has received at the end.
fn stream() -> (Delivery, tokio::task::JoinHandle<Answer>) {
    let clock = Clock::default();
    let (head, response) = oneshot::channel();
    let deadline = Moment::ZERO + TIMEOUT;
    let mut delivery = Delivery::stream(clock, id::Request(Uuid::now_v7()), deadline, head);
    delivery.begin(Head::default(), true);
    let caller = tokio::spawn(async move {
        let (head, body) = response.await.unwrap().into_parts();
        Answer {
            status: head.status,
            headers: head.headers,
            body: body.collect().await.unwrap().to_bytes(),
        }
    });
    (delivery, caller)
}

/// Pushes `count` chunks of a first attempt, then all of a second one that is split differently.
async fn two_attempts(first: &[usize], count: usize, second: &[usize]) -> Answer {
    let (mut delivery, caller) = stream();
    for chunk in chunks(first).into_iter().take(count) {
        delivery.push(chunk).await.unwrap();
    }
    delivery.restart();
    for chunk in chunks(second) {
        delivery.push(chunk).await.unwrap();
    }
    delivery.finish().await.unwrap();
    caller.await.unwrap()
}

proptest! {
    /// The second attempt splits the same text differently, and the first may have stopped at any
    /// chunk, even at the last one. The caller gets each character once.
    #[test]
    fn a_restarted_answer_is_delivered_once(
        first in vec(0usize..100, 0..8),
        count in 0usize..10,
        second in vec(0usize..100, 0..8),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let answer = runtime.block_on(two_attempts(&first, count, &second));
        prop_assert_eq!(answer.streamed(), TEXT);
        prop_assert_eq!(answer.whole_stream(), true);
    }
}

/// The second attempt gives another text. Continuing with it would join two different answers.
#[tokio::test]
async fn a_restarted_answer_that_differs_is_refused() {
    let (mut delivery, caller) = stream();
    delivery.push(chunk("Keep away ", false)).await.unwrap();
    delivery.restart();
    let fault = delivery.push(chunk("Keep out ", false)).await.unwrap_err();
    assert!(matches!(fault, Fault::Invalid { .. }), "{fault}");
    drop(delivery);
    // The body ends without its last chunk, which the client reports as an error.
    assert!(caller.await.is_err());
}

/// An answer that is held back for its rating is not sent before it is released.
#[tokio::test]
async fn a_held_answer_is_sent_when_it_is_released() {
    let (mut delivery, caller) = stream();
    delivery.begin(Head::default(), false);
    for chunk in chunks(&[5, 9]) {
        delivery.push(chunk).await.unwrap();
    }
    assert!(!delivery.has_started());
    // A better version is called instead, and the first answer is discarded.
    delivery.begin(Head::default(), false);
    for chunk in chunks(&[12]) {
        delivery.push(chunk).await.unwrap();
    }
    delivery.release().await.unwrap();
    assert!(delivery.has_started());
    delivery.finish().await.unwrap();
    assert_eq!(caller.await.unwrap().streamed(), TEXT);
}

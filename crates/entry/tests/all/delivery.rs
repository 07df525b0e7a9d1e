//! What reaches a caller over several attempts at one answer.

use http_body_util::BodyExt;
use pimento_endpoint::Fault;
use pimento_entry::filter::assemble::Delivery;
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
use crate::support::PATIENCE;

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

/// The text in pieces that end at these places; the last one says that it is.
fn pieces(cuts: &[usize]) -> Vec<Chunk> {
    let starts: Vec<usize> = TEXT.char_indices().map(|(at, _)| at).collect();
    let mut ends: Vec<usize> = cuts.iter().map(|cut| starts[cut % starts.len()]).collect();
    ends.push(TEXT.len());
    ends.sort_unstable();
    let mut from = 0;
    let mut pieces = Vec::new();
    for (number, end) in ends.iter().enumerate() {
        pieces.push(chunk(&TEXT[from..*end], number + 1 == ends.len()));
        from = *end;
    }
    pieces
}

/// A streamed delivery, and what its caller has received once it is over.
fn stream() -> (Delivery, tokio::task::JoinHandle<Answer>) {
    let clock = Clock::default();
    let (head, response) = oneshot::channel();
    let deadline = Moment::ZERO + PATIENCE;
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

/// Gives some pieces of a first attempt, then a whole second one cut into other pieces.
async fn two_attempts(first: &[usize], given: usize, second: &[usize]) -> Answer {
    let (mut delivery, caller) = stream();
    for piece in pieces(first).into_iter().take(given) {
        delivery.push(piece).await.unwrap();
    }
    delivery.restart();
    for piece in pieces(second) {
        delivery.push(piece).await.unwrap();
    }
    delivery.finish().await.unwrap();
    caller.await.unwrap()
}

proptest! {
    /// The second attempt cuts the same text into other pieces, and the first may have ended
    /// anywhere, even with its last piece. The caller gets each character once.
    #[test]
    fn a_restarted_answer_is_delivered_once(
        first in vec(0usize..100, 0..8),
        given in 0usize..10,
        second in vec(0usize..100, 0..8),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let answer = runtime.block_on(two_attempts(&first, given, &second));
        prop_assert_eq!(answer.streamed(), TEXT);
        prop_assert_eq!(answer.whole_stream(), true);
    }
}

/// Another replica tells the answer differently. Going on with it would join two answers.
#[tokio::test]
async fn a_restarted_answer_that_differs_is_refused() {
    let (mut delivery, caller) = stream();
    delivery.push(chunk("Keep away ", false)).await.unwrap();
    delivery.restart();
    let fault = delivery.push(chunk("Keep out ", false)).await.unwrap_err();
    assert!(matches!(fault, Fault::Nonsense { .. }), "{fault}");
    drop(delivery);
    // The body breaks off without its end, which the client reports as an error.
    assert!(caller.await.is_err());
}

/// An answer that is held for its rating reaches nobody before it is released.
#[tokio::test]
async fn a_held_answer_is_sent_when_it_is_released() {
    let (mut delivery, caller) = stream();
    delivery.begin(Head::default(), false);
    for piece in pieces(&[5, 9]) {
        delivery.push(piece).await.unwrap();
    }
    assert!(!delivery.begun());
    // A better version is asked instead, and the first answer is gone.
    delivery.begin(Head::default(), false);
    for piece in pieces(&[12]) {
        delivery.push(piece).await.unwrap();
    }
    delivery.release().await.unwrap();
    assert!(delivery.begun());
    delivery.finish().await.unwrap();
    assert_eq!(caller.await.unwrap().streamed(), TEXT);
}

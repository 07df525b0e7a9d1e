//! Builds the answers of an engine, whole or as events.

use bytes::Bytes;
use pimento_wire::api::Choice;
use pimento_wire::api::Chunk;
use pimento_wire::api::ChunkChoice;
use pimento_wire::api::Completion;
use pimento_wire::api::DONE;
use pimento_wire::api::Delta;
use pimento_wire::api::Message;
use tokio::sync::mpsc;

use crate::engine::attempt::Attempt;
use crate::text;

/// The whole answer of an attempt.
#[must_use]
pub fn completion(attempt: &Attempt) -> Completion {
    let pieces = (0..attempt.total).map(|n| text::token_text(&attempt.mark, n, attempt.total));
    let message = Message {
        role: "assistant".into(),
        content: pieces.collect(),
    };
    Completion {
        id: format!("chatcmpl-{}", attempt.id).into(),
        object: "chat.completion".into(),
        created: attempt.created,
        model: attempt.version.as_str().into(),
        choices: vec![Choice {
            index: 0,
            message,
            finish_reason: attempt.finish_reason().into(),
        }],
        usage: attempt.usage(),
    }
}

/// Event `number` in the stream of an attempt.
///
/// # Errors
///
/// If the chunk can't be encoded as JSON.
pub fn event(attempt: &Attempt, number: u64) -> Result<Bytes, serde_json::Error> {
    let last = number + 1 == attempt.total;
    let chunk = Chunk {
        id: format!("chatcmpl-{}", attempt.id).into(),
        object: "chat.completion.chunk".into(),
        created: attempt.created,
        model: attempt.version.as_str().into(),
        choices: vec![ChunkChoice {
            index: 0,
            delta: Delta {
                role: (number == 0).then(|| "assistant".into()),
                content: Some(text::token_text(&attempt.mark, number, attempt.total)),
            },
            finish_reason: last.then(|| attempt.finish_reason().into()),
        }],
        usage: last.then(|| attempt.usage()),
    };
    let data = serde_json::to_string(&chunk)?;
    Ok(format!("id: {number}\ndata: {data}\n\n").into())
}

/// The end mark of a complete stream.
#[must_use]
pub fn end_mark() -> Bytes {
    format!("data: {DONE}\n\n").into()
}

/// Sends the events of an attempt, starting with number `from`. The stream of a cancelled attempt
/// ends without the end mark.
pub async fn send_events(attempt: &Attempt, from: u64, sender: &mpsc::Sender<Bytes>) {
    for number in from..attempt.total {
        if !attempt.wait_for(number).await {
            return;
        }
        let Ok(event) = event(attempt, number) else {
            return;
        };
        if sender.send(event).await.is_err() {
            return;
        }
    }
    // This fails only if the reader is gone, which then does not need the end mark.
    let _ = sender.send(end_mark()).await;
}

//! Streamed responses from faulty engines: the assembler with arbitrary events, and the client with
//! arbitrary bytes from a connection.
//!
//! The caller always gets a prefix of the engine's text, in order and each chunk once. The response
//! is complete only if all of it arrived.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use pimento_endpoint::Assembler;
use pimento_endpoint::Fault;
use pimento_endpoint::Pool;
use pimento_endpoint::engine::Call;
use pimento_endpoint::engine::Engine;
use pimento_endpoint::engine::Event;
use pimento_endpoint::engine::Remote;
use pimento_units::id;
use pimento_wire::api::Chat;
use pimento_wire::api::Chunk;
use pimento_wire::api::ChunkChoice;
use pimento_wire::api::DONE;
use pimento_wire::api::Delta;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::sample::Index;
use proptest::sample::select;
use proptest::test_runner::Config;
use proptest::test_runner::TestCaseError;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use uuid::Uuid;

const MODEL: &str = "pimento-mini@1";

fn chunk(text: &str, last: bool) -> Chunk {
    Chunk {
        id: "chatcmpl-1".into(),
        object: "chat.completion.chunk".into(),
        created: 1,
        model: MODEL.into(),
        choices: vec![ChunkChoice {
            index: 0,
            delta: Delta {
                role: None,
                content: Some(text.into()),
            },
            finish_reason: last.then(|| "stop".into()),
        }],
        usage: None,
    }
}

/// The texts of a response's chunks.
fn pieces() -> impl Strategy<Value = Vec<String>> {
    vec(any::<String>(), 1..12)
}

/// What a caller receives. Chunks are taken from the assembler after each event, as an entry VM
/// does.
#[derive(Default)]
struct Caller {
    text: String,
    count: u64,
    last: bool,
}

impl Caller {
    fn drain(&mut self, assembler: &mut Assembler) -> Result<(), TestCaseError> {
        loop {
            let complete = assembler.is_complete();
            let Some(chunk) = assembler.next() else { break };
            // A caller ends the response as soon as it is complete.
            prop_assert!(!complete, "a chunk arrived after the response was complete");
            prop_assert!(!self.last, "a chunk arrived after the last one");
            self.count += 1;
            for choice in chunk.choices {
                self.text += &choice.delta.content.unwrap_or_default();
                self.last |= choice.finish_reason.is_some();
            }
        }
        prop_assert!(
            !assembler.is_complete() || self.last,
            "complete without the last chunk"
        );
        Ok(())
    }
}

/// Sequence numbers as engines use them, and those at the end of the range.
fn sequences() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0_u64..12, 1 => select(&[u64::MAX - 1, u64::MAX][..]), 1 => any::<u64>()]
}

proptest! {
    /// Events of one response arrive in any order, some twice, some never.
    #[test]
    fn text_is_a_beginning_of_the_answer(pieces in pieces(), order in vec(any::<Index>(), 0..40)) {
        let mut assembler = Assembler::new(MODEL);
        let mut caller = Caller::default();
        let end = pieces.len();
        let mut arrived = vec![false; end + 1];
        for place in order {
            let place = place.index(end + 1);
            arrived[place] = true;
            let sequence = place as u64;
            let event = match pieces.get(place) {
                Some(text) => Event::Chunk { sequence, chunk: chunk(text, place + 1 == end) },
                None => Event::Done { sequence },
            };
            prop_assert!(assembler.accept(event).is_ok());
            caller.drain(&mut assembler)?;
        }
        let received = arrived.iter().take(end).take_while(|arrived| **arrived).count();
        prop_assert_eq!(&caller.text, &pieces[..received].concat());
        prop_assert_eq!(assembler.is_complete(), arrived.iter().all(|arrived| *arrived));
    }

    /// An engine numbers and ends its chunks at random.
    #[test]
    fn random_numbers_never_complete_an_answer_with_gaps(events in vec((sequences(), any::<bool>(), any::<bool>()), 0..40)) {
        let mut assembler = Assembler::new(MODEL);
        let mut caller = Caller::default();
        for (sequence, last, done) in events {
            let event = if done && last {
                Event::Done { sequence }
            } else {
                Event::Chunk { sequence, chunk: chunk("x", last) }
            };
            if assembler.accept(event).is_err() {
                break;
            }
            caller.drain(&mut assembler)?;
        }
        let next = assembler.last_delivered().map_or(0, |last| last + 1);
        prop_assert_eq!(caller.count, next);
    }
}

/// Sends these parts on one connection, one after the other, and closes it.
async fn serve(parts: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).await;
        for part in parts {
            // The client may have disconnected after bytes that it can't decode.
            let _ = stream.write_all(&part).await;
            let _ = stream.flush().await;
            tokio::task::yield_now().await;
        }
    });
    address
}

fn call() -> Call {
    Call {
        attempt: id::Attempt(Uuid::nil()),
        chat: Chat {
            model: MODEL.into(),
            messages: Vec::new(),
            stream: true,
            max_tokens: None,
            temperature: None,
        },
        priority: 1,
        timeout: Duration::from_secs(5),
    }
}

/// Reads a response from a connection, as an entry VM does, up to its end or first fault.
fn read(parts: Vec<Vec<u8>>) -> Result<(Caller, bool), TestCaseError> {
    let runtime = Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let remote = Remote::new(Pool::default(), serve(parts).await);
        let mut assembler = Assembler::new(MODEL);
        let mut caller = Caller::default();
        let Ok(mut events) = remote.stream(call()).await else {
            return Ok((caller, false));
        };
        while let Some(Ok(event)) = events.next().await {
            if let Err(fault) = assembler.accept(event) {
                let invalid = matches!(fault, Fault::Invalid { .. });
                prop_assert!(invalid);
                break;
            }
            caller.drain(&mut assembler)?;
        }
        Ok((caller, assembler.is_complete()))
    })
}

/// Valid and invalid event ids.
fn numbers() -> impl Strategy<Value = String> {
    let number = sequences().prop_map(|number| number.to_string());
    prop_oneof![4 => number, 1 => any::<String>()]
}

/// Valid and invalid event data.
fn data() -> impl Strategy<Value = String> {
    let piece = any::<(String, bool)>().prop_map(|(text, last)| chunk(&text, last));
    let piece = piece.prop_map(|chunk| serde_json::to_string(&chunk).unwrap());
    prop_oneof![6 => piece, 2 => Just(DONE.to_owned()), 1 => any::<String>()]
}

const HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";

/// Encodes the events of a response with the given line ending.
fn events(pieces: &[String], line: &str) -> Vec<u8> {
    let mut text = String::new();
    for (number, piece) in pieces.iter().enumerate() {
        let chunk = chunk(piece, number + 1 == pieces.len());
        let data = serde_json::to_string(&chunk).unwrap();
        write!(
            text,
            "id: {number}{line}data: {data}{line}: a comment{line}{line}"
        )
        .unwrap();
    }
    // A CR at the very end might be the first half of a CR LF, so the parser waits for the next
    // byte. The trailing comment provides it.
    write!(text, "data: [DONE]{line}{line}:{line}").unwrap();
    text.into_bytes()
}

/// Splits bytes at the given places.
fn split(bytes: &[u8], places: &[Index]) -> Vec<Vec<u8>> {
    let mut places: Vec<usize> = places.iter().map(|p| p.index(bytes.len() + 1)).collect();
    places.extend([0, bytes.len()]);
    places.sort_unstable();
    places
        .windows(2)
        .map(|ends| bytes[ends[0]..ends[1]].to_vec())
        .collect()
}

proptest! {
    // Each case opens a connection.
    #![proptest_config(Config::with_cases(64))]

    /// The response is the same however the network splits its bytes.
    #[test]
    fn an_answer_in_any_parts_is_whole(pieces in pieces(), line in select(&["\n", "\r\n", "\r"][..]), places in vec(any::<Index>(), 0..8)) {
        let mut parts = split(&events(&pieces, line), &places);
        parts.insert(0, HEAD.into());
        let (caller, complete) = read(parts)?;
        prop_assert_eq!(caller.text, pieces.concat());
        prop_assert!(complete);
    }

    /// The connection ends early: the caller gets a prefix, which is not complete.
    #[test]
    fn an_answer_that_ends_early_is_not_whole(pieces in pieces(), place in any::<Index>()) {
        let mut bytes = events(&pieces, "\n");
        bytes.truncate(bytes.len() - ":\n".len());
        let length = place.index(bytes.len());
        let (caller, complete) = read(vec![HEAD.into(), bytes[..length].to_vec()])?;
        prop_assert!(pieces.concat().starts_with(&caller.text));
        // Without the last byte, the empty line that ends the end mark is missing.
        prop_assert!(!complete);
    }

    /// Events with arbitrary ids and data, some of them valid chunks.
    #[test]
    fn any_events_are_read_or_refused(events in vec((numbers(), data()), 0..12), rest in vec(any::<u8>(), 0..20)) {
        let lines = events.iter().map(|(number, data)| format!("id: {number}\ndata: {data}\n\n"));
        let text: String = lines.collect();
        let (caller, complete) = read(vec![HEAD.into(), text.into(), rest])?;
        let has_end_mark = events.iter().any(|(_, data)| data == DONE);
        prop_assert!(!complete || has_end_mark && caller.last);
    }

    /// One byte is changed. No network does that undetected, but an engine may send invalid data.
    #[test]
    fn an_answer_with_a_changed_byte_does_no_harm(pieces in pieces(), place in any::<Index>(), byte in any::<u8>()) {
        let mut bytes = events(&pieces, "\n");
        let place = place.index(bytes.len());
        bytes[place] = byte;
        let (caller, complete) = read(vec![HEAD.into(), bytes])?;
        prop_assert!(caller.count <= pieces.len() as u64);
        prop_assert!(!complete || caller.count == pieces.len() as u64);
    }
}

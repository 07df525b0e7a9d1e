//! Streamed answers from engines that do anything: the assembler over arbitrary events, and the
//! reader over arbitrary bytes of a connection.
//!
//! What the caller sees is always a beginning of the engine's text, in order and each piece once. It
//! is called whole only if all of it was there.

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

/// The pieces of an answer.
fn pieces() -> impl Strategy<Value = Vec<String>> {
    vec(any::<String>(), 1..12)
}

/// What a caller gets: pieces are taken out after each event, as they would be sent on.
#[derive(Default)]
struct Caller {
    text: String,
    count: u64,
    last: bool,
}

impl Caller {
    fn take(&mut self, assembler: &mut Assembler) -> Result<(), TestCaseError> {
        loop {
            let whole = assembler.is_complete();
            let Some(chunk) = assembler.next() else { break };
            // Whoever was told that the answer is whole has ended it.
            prop_assert!(!whole, "more came after it was whole");
            prop_assert!(!self.last, "more came after the last piece");
            self.count += 1;
            for choice in chunk.choices {
                self.text += &choice.delta.content.unwrap_or_default();
                self.last |= choice.finish_reason.is_some();
            }
        }
        prop_assert!(
            !assembler.is_complete() || self.last,
            "whole without its last piece"
        );
        Ok(())
    }
}

/// Numbers as an engine would use them, and those where counting ends.
fn sequences() -> impl Strategy<Value = u64> {
    prop_oneof![4 => 0_u64..12, 1 => select(&[u64::MAX - 1, u64::MAX][..]), 1 => any::<u64>()]
}

proptest! {
    /// Events of one answer come in any order, some twice, some never.
    #[test]
    fn text_is_a_beginning_of_the_answer(pieces in pieces(), order in vec(any::<Index>(), 0..40)) {
        let mut assembler = Assembler::new(MODEL);
        let mut caller = Caller::default();
        let end = pieces.len();
        let mut came = vec![false; end + 1];
        for place in order {
            let place = place.index(end + 1);
            came[place] = true;
            let sequence = place as u64;
            let event = match pieces.get(place) {
                Some(text) => Event::Chunk { sequence, chunk: chunk(text, place + 1 == end) },
                None => Event::Done { sequence },
            };
            prop_assert!(assembler.accept(event).is_ok());
            caller.take(&mut assembler)?;
        }
        let there = came.iter().take(end).take_while(|came| **came).count();
        prop_assert_eq!(&caller.text, &pieces[..there].concat());
        prop_assert_eq!(assembler.is_complete(), came.iter().all(|came| *came));
    }

    /// An engine that numbers and ends its pieces at random.
    #[test]
    fn a_lying_engine_gives_no_whole_answer_with_holes(events in vec((sequences(), any::<bool>(), any::<bool>()), 0..40)) {
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
            caller.take(&mut assembler)?;
        }
        let next = assembler.last_delivered().map_or(0, |last| last + 1);
        prop_assert_eq!(caller.count, next);
    }
}

/// Answers one connection with these parts, one after the other, and closes it.
async fn serve(parts: Vec<Vec<u8>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 4_096];
        let _ = stream.read(&mut request).await;
        for part in parts {
            // The client may have gone after bytes that it can't read.
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

/// Reads an answer from a connection, as an entry VM does, up to its end or first fault.
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
                let nonsense = matches!(fault, Fault::Invalid { .. });
                prop_assert!(nonsense);
                break;
            }
            caller.take(&mut assembler)?;
        }
        Ok((caller, assembler.is_complete()))
    })
}

/// What may stand as an event's number.
fn numbers() -> impl Strategy<Value = String> {
    let number = sequences().prop_map(|number| number.to_string());
    prop_oneof![4 => number, 1 => any::<String>()]
}

/// What may stand as an event's data.
fn data() -> impl Strategy<Value = String> {
    let piece = any::<(String, bool)>().prop_map(|(text, last)| chunk(&text, last));
    let piece = piece.prop_map(|chunk| serde_json::to_string(&chunk).unwrap());
    prop_oneof![6 => piece, 2 => Just(DONE.to_owned()), 1 => any::<String>()]
}

const HEAD: &str =
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";

/// The events of an answer with line ends of the engine's choice.
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
    // A CR at the very end might be the first half of a CR LF, so that the reader waits for what
    // follows. The comment stands for that.
    write!(text, "data: [DONE]{line}{line}:{line}").unwrap();
    text.into_bytes()
}

/// Cuts bytes at places, sorted and within them.
fn cut(bytes: &[u8], places: &[Index]) -> Vec<Vec<u8>> {
    let mut places: Vec<usize> = places.iter().map(|p| p.index(bytes.len() + 1)).collect();
    places.extend([0, bytes.len()]);
    places.sort_unstable();
    places
        .windows(2)
        .map(|ends| bytes[ends[0]..ends[1]].to_vec())
        .collect()
}

proptest! {
    // Each case makes a connection.
    #![proptest_config(Config::with_cases(64))]

    /// However the network cuts the bytes up, the answer is the same.
    #[test]
    fn an_answer_in_any_parts_is_whole(pieces in pieces(), line in select(&["\n", "\r\n", "\r"][..]), places in vec(any::<Index>(), 0..8)) {
        let mut parts = cut(&events(&pieces, line), &places);
        parts.insert(0, HEAD.into());
        let (caller, whole) = read(parts)?;
        prop_assert_eq!(caller.text, pieces.concat());
        prop_assert!(whole);
    }

    /// The connection ends somewhere: what came is a beginning, and not whole unless all came.
    #[test]
    fn an_answer_that_ends_early_is_not_whole(pieces in pieces(), place in any::<Index>()) {
        let mut bytes = events(&pieces, "\n");
        bytes.truncate(bytes.len() - ":\n".len());
        let kept = place.index(bytes.len());
        let (caller, whole) = read(vec![HEAD.into(), bytes[..kept].to_vec()])?;
        prop_assert!(pieces.concat().starts_with(&caller.text));
        // The last byte is the empty line's end, without which the end mark is not there.
        prop_assert!(!whole);
    }

    /// Events with whatever number and data, among them pieces of the right kind.
    #[test]
    fn any_events_are_read_or_refused(events in vec((numbers(), data()), 0..12), rest in vec(any::<u8>(), 0..20)) {
        let lines = events.iter().map(|(number, data)| format!("id: {number}\ndata: {data}\n\n"));
        let text: String = lines.collect();
        let (caller, whole) = read(vec![HEAD.into(), text.into(), rest])?;
        let marked = events.iter().any(|(_, data)| data == DONE);
        prop_assert!(!whole || marked && caller.last);
    }

    /// A byte changed on its way: no network does that unseen, but an engine may write nonsense.
    #[test]
    fn an_answer_with_a_changed_byte_does_no_harm(pieces in pieces(), place in any::<Index>(), byte in any::<u8>()) {
        let mut bytes = events(&pieces, "\n");
        let place = place.index(bytes.len());
        bytes[place] = byte;
        let (caller, whole) = read(vec![HEAD.into(), bytes])?;
        prop_assert!(caller.count <= pieces.len() as u64);
        prop_assert!(!whole || caller.count == pieces.len() as u64);
    }
}

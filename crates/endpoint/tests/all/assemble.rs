//! The assembler: whatever the order of events, chunks are delivered once and in order, and a
//! response is complete only if all of it arrived.

use pimento_endpoint::Assembler;
use pimento_endpoint::Fault;
use pimento_endpoint::assemble::MAX_BUFFERED;
use pimento_endpoint::assemble::MAX_REPEATED;
use pimento_endpoint::engine::Event;
use pimento_wire::api::Chunk;
use pimento_wire::api::ChunkChoice;
use pimento_wire::api::Delta;
use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

const MODEL: &str = "pimento-mini@1";

fn chunk(sequence: u64, chunks: u64) -> Chunk {
    let last = sequence + 1 == chunks;
    Chunk {
        id: "chatcmpl-1".into(),
        object: "chat.completion.chunk".into(),
        created: 1,
        model: MODEL.into(),
        choices: vec![ChunkChoice {
            index: 0,
            delta: Delta {
                role: None,
                content: Some(sequence.to_string()),
            },
            finish_reason: last.then(|| "stop".into()),
        }],
        usage: None,
    }
}

fn event(sequence: u64, chunks: u64) -> Event {
    if sequence == chunks {
        return Event::Done { sequence };
    }
    Event::Chunk {
        sequence,
        chunk: chunk(sequence, chunks),
    }
}

fn drain(assembler: &mut Assembler) -> Vec<String> {
    let content = |chunk: Chunk| chunk.choices[0].delta.content.clone().unwrap();
    std::iter::from_fn(|| assembler.next())
        .map(content)
        .collect()
}

/// Expected results for a stream of five chunks and its end mark (number 5), received in this
/// order.
struct Case {
    name: &'static str,
    order: &'static [u64],
    delivered: &'static [&'static str],
    complete: bool,
    gap: Option<u64>,
    duplicates: u64,
}

const ALL: &[&str] = &["0", "1", "2", "3", "4"];

const CASES: &[Case] = &[
    Case {
        name: "in order",
        order: &[0, 1, 2, 3, 4, 5],
        delivered: ALL,
        complete: true,
        gap: None,
        duplicates: 0,
    },
    Case {
        name: "reordered and twice",
        order: &[1, 0, 1, 4, 3, 2, 2, 5],
        delivered: ALL,
        complete: true,
        gap: None,
        duplicates: 2,
    },
    Case {
        name: "the end mark first",
        order: &[5, 0, 1, 2, 3, 4],
        delivered: ALL,
        complete: true,
        gap: None,
        duplicates: 0,
    },
    Case {
        name: "interrupted",
        order: &[0, 1, 2],
        delivered: &["0", "1", "2"],
        complete: false,
        gap: None,
        duplicates: 0,
    },
    Case {
        name: "without the end mark",
        order: &[0, 1, 2, 3, 4],
        delivered: ALL,
        complete: false,
        gap: None,
        duplicates: 0,
    },
    Case {
        name: "with a gap",
        order: &[0, 1, 3, 4, 5],
        delivered: &["0", "1"],
        complete: false,
        gap: Some(2),
        duplicates: 0,
    },
    Case {
        name: "without its last chunk",
        order: &[0, 1, 2, 3, 5],
        delivered: &["0", "1", "2", "3"],
        complete: false,
        gap: Some(4),
        duplicates: 0,
    },
    Case {
        name: "just the end mark",
        order: &[5],
        delivered: &[],
        complete: false,
        gap: Some(0),
        duplicates: 0,
    },
];

#[test]
fn cases() {
    for case in CASES {
        let mut assembler = Assembler::new(MODEL);
        let mut delivered = Vec::new();
        for number in case.order {
            assembler.accept(event(*number, 5)).unwrap();
            delivered.extend(drain(&mut assembler));
        }
        assert_eq!(delivered, case.delivered, "{}", case.name);
        assert_eq!(assembler.is_complete(), case.complete, "{}", case.name);
        assert_eq!(assembler.missing(), case.gap, "{}", case.name);
        assert_eq!(assembler.duplicates(), case.duplicates, "{}", case.name);
    }
}

/// Chunks of another response, or of a version that was not requested, must be refused.
#[test]
fn pieces_of_another_answer_are_refused() {
    let mut other = chunk(1, 5);
    other.id = "chatcmpl-2".into();
    let mut wrong_version = chunk(1, 5);
    wrong_version.model = "pimento-large@1".into();
    for chunk in [other, wrong_version, chunk(9, 10)] {
        let mut assembler = Assembler::new(MODEL);
        for number in 0..5 {
            if number != 1 {
                assembler.accept(event(number, 5)).unwrap();
            }
        }
        let sequence = if chunk.choices[0].finish_reason.is_some() {
            9
        } else {
            1
        };
        let refused = assembler.accept(Event::Chunk { sequence, chunk });
        assert!(matches!(refused, Err(Fault::Invalid { .. })));
        assert_eq!(drain(&mut assembler), ["0"]);
    }
}

#[test]
fn the_buffer_is_bounded() {
    let mut assembler = Assembler::new(MODEL);
    let max_buffered = MAX_BUFFERED as u64;
    for number in 1..=max_buffered {
        assembler.accept(event(number, 1_000)).unwrap();
    }
    let refused = assembler.accept(event(max_buffered + 1, 1_000));
    assert!(matches!(refused, Err(Fault::Invalid { .. })));
}

/// Guards against an engine that sends old chunks or end marks for ever, which would never count as stalled.
#[test]
fn repeated_events_are_not_new_and_bounded() {
    for repeated in [0, 5] {
        let mut assembler = Assembler::new(MODEL);
        assembler.accept(event(0, 5)).unwrap();
        assert!(assembler.last_was_new());
        assembler.accept(event(repeated, 5)).unwrap();
        for _ in 0..MAX_REPEATED - 1 {
            assembler.accept(event(repeated, 5)).unwrap();
            assert!(!assembler.last_was_new());
        }
        let refused = (0..2).map(|_| assembler.accept(event(repeated, 5)));
        let refused = refused.last().unwrap();
        assert!(matches!(refused, Err(Fault::Invalid { .. })), "{repeated}");
    }
}

/// A number of chunks, and the event numbers in random order, some of them twice. Fewer
/// than 60 chunks, so that all can be buffered.
fn orders() -> impl Strategy<Value = (u64, Vec<u64>)> {
    (1u64..60).prop_flat_map(|chunks| {
        let numbers: Vec<u64> = (0..=chunks).collect();
        let twice = vec(0..=chunks, 0..10);
        let shuffled = twice.prop_flat_map(move |twice| {
            let mut all = numbers.clone();
            all.extend(twice);
            Just(all).prop_shuffle()
        });
        (Just(chunks), shuffled)
    })
}

proptest! {
    #[test]
    fn any_order_gives_the_whole_answer((chunks, order) in orders()) {
        let mut assembler = Assembler::new(MODEL);
        let mut delivered = Vec::new();
        for number in order {
            assembler.accept(event(number, chunks)).unwrap();
            delivered.extend(drain(&mut assembler));
        }
        let expected: Vec<String> = (0..chunks).map(|n| n.to_string()).collect();
        prop_assert_eq!(delivered, expected);
        prop_assert!(assembler.is_complete());
    }

    #[test]
    fn a_missing_event_is_never_whole((chunks, order) in orders(), missing in 0u64..60) {
        let missing = missing % (chunks + 1);
        let mut assembler = Assembler::new(MODEL);
        for number in order.into_iter().filter(|number| *number != missing) {
            assembler.accept(event(number, chunks)).unwrap();
            drain(&mut assembler);
        }
        prop_assert!(!assembler.is_complete());
    }

    /// A stream is interrupted anywhere and resumed after the last delivered chunk. The engine may
    /// send earlier chunks again.
    #[test]
    fn resuming_after_the_last_chunk_completes_it(chunks in 1u64..60, interruption in 0u64..60, resent in 0u64..5) {
        let mut assembler = Assembler::new(MODEL);
        let mut delivered = Vec::new();
        for number in 0..interruption.min(chunks) {
            assembler.accept(event(number, chunks)).unwrap();
            delivered.extend(drain(&mut assembler));
        }
        let next = assembler.last_delivered().map_or(0, |last| last + 1);
        for number in next.saturating_sub(resent)..=chunks {
            assembler.accept(event(number, chunks)).unwrap();
            delivered.extend(drain(&mut assembler));
        }
        prop_assert_eq!(delivered.len() as u64, chunks);
        prop_assert!(assembler.is_complete());
    }
}

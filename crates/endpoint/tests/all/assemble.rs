//! The assembler: whatever comes in whatever order, pieces go out once and in order, and an answer
//! is whole only if all of it was there.

use pimento_endpoint::Assembler;
use pimento_endpoint::Fault;
use pimento_endpoint::assemble::WINDOW;
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

fn chunk(sequence: u64, pieces: u64) -> Chunk {
    let last = sequence + 1 == pieces;
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

fn event(sequence: u64, pieces: u64) -> Event {
    if sequence == pieces {
        return Event::Done { sequence };
    }
    Event::Chunk {
        sequence,
        chunk: chunk(sequence, pieces),
    }
}

fn drain(assembler: &mut Assembler) -> Vec<String> {
    let content = |chunk: Chunk| chunk.choices[0].delta.content.clone().unwrap();
    std::iter::from_fn(|| assembler.next())
        .map(content)
        .collect()
}

/// What comes of a stream of five pieces and its end mark (number 5), given in this order.
struct Case {
    what: &'static str,
    order: &'static [u64],
    out: &'static [&'static str],
    whole: bool,
    gap: Option<u64>,
    duplicates: u64,
}

const ALL: &[&str] = &["0", "1", "2", "3", "4"];

const CASES: &[Case] = &[
    Case {
        what: "in order",
        order: &[0, 1, 2, 3, 4, 5],
        out: ALL,
        whole: true,
        gap: None,
        duplicates: 0,
    },
    Case {
        what: "reordered and twice",
        order: &[1, 0, 1, 4, 3, 2, 2, 5],
        out: ALL,
        whole: true,
        gap: None,
        duplicates: 2,
    },
    Case {
        what: "the end mark first",
        order: &[5, 0, 1, 2, 3, 4],
        out: ALL,
        whole: true,
        gap: None,
        duplicates: 0,
    },
    Case {
        what: "cut",
        order: &[0, 1, 2],
        out: &["0", "1", "2"],
        whole: false,
        gap: None,
        duplicates: 0,
    },
    Case {
        what: "without the end mark",
        order: &[0, 1, 2, 3, 4],
        out: ALL,
        whole: false,
        gap: None,
        duplicates: 0,
    },
    Case {
        what: "with a gap",
        order: &[0, 1, 3, 4, 5],
        out: &["0", "1"],
        whole: false,
        gap: Some(2),
        duplicates: 0,
    },
    Case {
        what: "without its last piece",
        order: &[0, 1, 2, 3, 5],
        out: &["0", "1", "2", "3"],
        whole: false,
        gap: Some(4),
        duplicates: 0,
    },
    Case {
        what: "just the end mark",
        order: &[5],
        out: &[],
        whole: false,
        gap: Some(0),
        duplicates: 0,
    },
];

#[test]
fn cases() {
    for case in CASES {
        let mut assembler = Assembler::new(MODEL);
        let mut out = Vec::new();
        for number in case.order {
            assembler.accept(event(*number, 5)).unwrap();
            out.extend(drain(&mut assembler));
        }
        assert_eq!(out, case.out, "{}", case.what);
        assert_eq!(assembler.is_complete(), case.whole, "{}", case.what);
        assert_eq!(assembler.missing(), case.gap, "{}", case.what);
        assert_eq!(assembler.duplicates(), case.duplicates, "{}", case.what);
    }
}

/// A late piece of another answer, or of a version that was not asked, must not get in.
#[test]
fn pieces_of_another_answer_are_refused() {
    let mut other = chunk(1, 5);
    other.id = "chatcmpl-2".into();
    let mut foreign = chunk(1, 5);
    foreign.model = "pimento-large@1".into();
    for chunk in [other, foreign, chunk(9, 10)] {
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
fn pieces_that_wait_are_bounded() {
    let mut assembler = Assembler::new(MODEL);
    let most = WINDOW as u64;
    for number in 1..=most {
        assembler.accept(event(number, 1_000)).unwrap();
    }
    let refused = assembler.accept(event(most + 1, 1_000));
    assert!(matches!(refused, Err(Fault::Invalid { .. })));
}

/// Numbers of pieces within a window's reach of their place, some of them twice.
fn orders() -> impl Strategy<Value = (u64, Vec<u64>)> {
    (1u64..60).prop_flat_map(|pieces| {
        let numbers: Vec<u64> = (0..=pieces).collect();
        let twice = vec(0..=pieces, 0..10);
        let shuffled = twice.prop_flat_map(move |twice| {
            let mut all = numbers.clone();
            all.extend(twice);
            Just(all).prop_shuffle()
        });
        (Just(pieces), shuffled)
    })
}

proptest! {
    #[test]
    fn any_order_gives_the_whole_answer((pieces, order) in orders()) {
        let mut assembler = Assembler::new(MODEL);
        let mut out = Vec::new();
        for number in order {
            assembler.accept(event(number, pieces)).unwrap();
            out.extend(drain(&mut assembler));
        }
        let wanted: Vec<String> = (0..pieces).map(|n| n.to_string()).collect();
        prop_assert_eq!(out, wanted);
        prop_assert!(assembler.is_complete());
    }

    #[test]
    fn a_missing_event_is_never_whole((pieces, order) in orders(), missing in 0u64..60) {
        let missing = missing % (pieces + 1);
        let mut assembler = Assembler::new(MODEL);
        for number in order.into_iter().filter(|number| *number != missing) {
            assembler.accept(event(number, pieces)).unwrap();
            drain(&mut assembler);
        }
        prop_assert!(!assembler.is_complete());
    }

    /// A stream is cut anywhere and resumed after the last piece given out; the engine may send
    /// earlier ones again.
    #[test]
    fn resuming_after_the_last_piece_completes_it(pieces in 1u64..60, cut in 0u64..60, back in 0u64..5) {
        let mut assembler = Assembler::new(MODEL);
        let mut out = Vec::new();
        for number in 0..cut.min(pieces) {
            assembler.accept(event(number, pieces)).unwrap();
            out.extend(drain(&mut assembler));
        }
        let next = assembler.last_delivered().map_or(0, |last| last + 1);
        for number in next.saturating_sub(back)..=pieces {
            assembler.accept(event(number, pieces)).unwrap();
            out.extend(drain(&mut assembler));
        }
        prop_assert_eq!(out.len() as u64, pieces);
        prop_assert!(assembler.is_complete());
    }
}

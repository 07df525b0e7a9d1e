//! Records that are handed on over a connection: packed, unpacked, and what is refused.

use bytes::Bytes;
use pimento_relay::passage::Error;
use pimento_relay::passage::Passage;
use pimento_relay::passage::Shared;
use pimento_units::Offset;

fn passage(value: impl Into<Bytes>) -> Passage {
    Passage {
        topic: Shared::Operators,
        from: Offset(3),
        to: Offset(9),
        records: vec![
            (Offset(3), "config".into(), Some(value.into())),
            (Offset(8), "rollout/desk".into(), None),
        ],
    }
}

#[test]
fn a_passage_comes_back_as_it_was_packed() {
    let long = passage("route ".repeat(100_000));
    let packed = long.pack().unwrap();
    assert!(packed.len() < 60_000, "{}", packed.len());
    assert_eq!(Passage::unpack(&packed).unwrap(), long);
}

// Bytes on the internal port that are cut off, or of something else. The view must not change by them.
#[test]
fn what_is_no_passage_is_refused() {
    let packed = passage("x".repeat(1_000)).pack().unwrap();
    let half = &packed[..packed.len() / 2];
    for bytes in [&b""[..], b"HTTP/1.1 200 OK", half] {
        assert!(Passage::unpack(bytes).is_err(), "{bytes:?}");
    }
}

// Some kilobytes unpack to more than any answer of the log may have. They are refused before they fill the
// memory of a small VM.
#[test]
fn a_passage_that_unpacks_without_end_is_refused() {
    let packed = passage(vec![0; 64 << 20]).pack().unwrap();
    assert!(packed.len() < 1 << 20, "{}", packed.len());
    let unpacked = Passage::unpack(&packed);
    assert!(matches!(unpacked, Err(Error::Unreadable { .. })));
}

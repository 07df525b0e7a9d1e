//! Records that are handed on over a connection: packed, unpacked, and what is refused.

use bytes::Bytes;
use pimento_relay::bundle::Bundle;
use pimento_relay::bundle::Error;
use pimento_relay::bundle::SharedTopic;
use pimento_units::Offset;

fn bundle(value: impl Into<Bytes>) -> Bundle {
    Bundle {
        topic: SharedTopic::Operators,
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
    let long = bundle("route ".repeat(100_000));
    let packed = long.pack().unwrap();
    assert!(packed.len() < 60_000, "{}", packed.len());
    assert_eq!(Bundle::unpack(&packed).unwrap(), long);
}

// Bytes on the internal port that are cut off, or of something else. The view must not change by them.
#[test]
fn what_is_no_passage_is_refused() {
    let packed = bundle("x".repeat(1_000)).pack().unwrap();
    let half = &packed[..packed.len() / 2];
    for bytes in [&b""[..], b"HTTP/1.1 200 OK", half] {
        assert!(Bundle::unpack(bytes).is_err(), "{bytes:?}");
    }
}

// Some kilobytes unpack to more than any answer of the log may have. They are refused before they fill the
// memory of a small VM.
#[test]
fn a_passage_that_unpacks_without_end_is_refused() {
    let packed = bundle(vec![0; 64 << 20]).pack().unwrap();
    assert!(packed.len() < 1 << 20, "{}", packed.len());
    let unpacked = Bundle::unpack(&packed);
    assert!(matches!(unpacked, Err(Error::Unreadable { .. })));
}

//! Sealing and opening of frames.

use pimento_units::Offset;
use pimento_wire::Frame;
use pimento_wire::frame::Error;
use pimento_wire::frame::Key;
use pimento_wire::frame::MAC_BYTES;
use pimento_wire::frame::MAX_BODY;
use pimento_wire::peer::Answer;
use pimento_wire::peer::Call;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;

fn push(records: Vec<(u64, String)>) -> Call {
    let records = records.into_iter();
    Call::Push {
        records: records.map(|(at, text)| (Offset(at), text)).collect(),
    }
}

proptest! {
    #[test]
    fn sealed_call_opens_unchanged(records in vec((any::<u64>(), ".{0,20}"), 0..8)) {
        let key = Key::derive("key");
        let call = push(records);
        let frame = Frame::seal(&call, &key, MAX_BODY).unwrap();
        let length = u32::from_le_bytes(frame.length());
        prop_assert_eq!(usize::try_from(length).unwrap(), frame.bytes().len());
        let received = Frame::receive(frame.bytes().clone(), MAX_BODY).unwrap();
        prop_assert_eq!(received.open::<Call>(&key).unwrap(), call);
    }

    /// One bit of the MAC_BYTES or the body flips in transit. The frame must not open, not even as another
    /// message.
    #[test]
    fn frame_with_a_flipped_bit_does_not_open(text in ".{0,40}", at in any::<usize>(), bit in 0..8) {
        let key = Key::derive("key");
        let frame = Frame::seal(&push(vec![(1, text)]), &key, MAX_BODY).unwrap();
        let mut bytes = frame.bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] ^= 1_u8 << bit;
        let received = Frame::receive(bytes, MAX_BODY).unwrap();
        prop_assert!(matches!(received.open::<Call>(&key), Err(Error::Mac)));
    }

    #[test]
    fn arbitrary_bytes_are_rejected(bytes in vec(any::<u8>(), 0..200)) {
        let key = Key::derive("key");
        match Frame::receive(bytes.clone(), 100) {
            Err(Error::Short) => prop_assert!(bytes.len() < MAC_BYTES),
            Err(Error::Size { .. }) => prop_assert!(bytes.len() > 100),
            Err(error) => prop_assert!(false, "{error}"),
            Ok(frame) => prop_assert!(frame.open::<Answer>(&key).is_err()),
        }
    }

    /// A frame with a valid MAC_BYTES contains arbitrary bytes, as from a program of another version.
    /// Decoding may fail but must not panic.
    #[test]
    fn sealed_arbitrary_bytes_do_not_panic(bytes in vec(any::<u8>(), 0..100)) {
        let key = Key::derive("key");
        let mac = key.mac(&bytes);
        let frame = Frame::receive([&mac[..], &bytes[..]].concat(), MAX_BODY).unwrap();
        let opened = frame.open::<Call>(&key);
        prop_assert!(!matches!(opened, Err(Error::Mac)));
    }
}

#[test]
fn other_keys_and_long_messages_are_refused() {
    let call = push(vec![(1, "x".repeat(200))]);
    let frame = Frame::seal(&call, &Key::derive("one"), MAX_BODY).unwrap();
    let opened = frame.open::<Call>(&Key::derive("other"));
    assert!(matches!(opened, Err(Error::Mac)));
    let long = Frame::seal(&call, &Key::derive("one"), 100);
    assert!(matches!(long, Err(Error::Size { limit: 100, .. })));
}

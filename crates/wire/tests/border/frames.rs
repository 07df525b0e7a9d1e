//! Further tests of frames: all messages between peers, truncated and extended frames, and names
//! within a sealed body.

use pimento_units::id;
use pimento_wire::Frame;
use pimento_wire::frame::Error;
use pimento_wire::frame::Key;
use pimento_wire::peer::Call;
use pimento_wire::peer::Heartbeat;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use proptest::sample::Index;

use crate::values;

/// Size limit that all generated messages fit in.
const LIMIT: usize = 64 << 10;

fn key() -> Key {
    Key::derive("the secret")
}

proptest! {
    #[test]
    fn messages_of_peers_survive_a_round_trip(heartbeat in values::heartbeat(), call in values::call()) {
        let frame = Frame::seal(&heartbeat, &key(), LIMIT).unwrap();
        prop_assert_eq!(frame.open::<Heartbeat>(&key()).unwrap(), heartbeat);
        let frame = Frame::seal(&call, &key(), LIMIT).unwrap();
        prop_assert_eq!(frame.open::<Call>(&key()).unwrap(), call);
    }

    /// The codec ignores bytes after a message, so only the MAC detects them.
    #[test]
    fn a_truncated_or_extended_frame_is_rejected(call in values::call(), cut in any::<Index>(), more in vec(any::<u8>(), 1..20)) {
        let frame = Frame::seal(&call, &key(), LIMIT).unwrap();
        let grown = [&frame.bytes()[..], &more].concat();
        let opened = Frame::receive(grown, LIMIT).unwrap().open::<Call>(&key());
        prop_assert!(matches!(opened, Err(Error::Mac)));
        let cut = frame.bytes().slice(..cut.index(frame.bytes().len()));
        let opened = Frame::receive(cut, LIMIT).and_then(|frame| frame.open::<Call>(&key()));
        prop_assert!(matches!(opened, Err(Error::Mac | Error::Short)));
    }

    /// Decoding must reject names that the parser rejects, since names appear in metric labels and
    /// headers.
    #[test]
    fn sealed_names_keep_their_rules(text in any::<String>()) {
        let frame = Frame::seal(&text, &key(), LIMIT).unwrap();
        let opened = frame.open::<id::Node>(&key()).ok();
        prop_assert_eq!(opened, text.parse().ok());
    }

    #[test]
    fn no_frame_is_sealed_over_its_limit(text in any::<String>(), limit in 0_usize..100) {
        match Frame::seal(&text, &key(), limit) {
            Ok(frame) => prop_assert!(frame.bytes().len() <= limit),
            Err(Error::Size { length, .. }) => prop_assert!(length > limit),
            Err(other) => prop_assert!(false, "{other}"),
        }
    }
}

//! Session tokens.

use pimento_entry::session::Error;
use pimento_entry::session::Key;
use pimento_entry::session::MAX_PINS;
use pimento_entry::session::Session;
use pimento_units::Offset;
use pimento_units::Wall;
use pimento_units::id;
use proptest::prelude::any;
use proptest::proptest;
use uuid::Uuid;

use crate::support::SMALL;
use crate::support::contract;
use crate::support::name;

fn session() -> Session {
    Session {
        id: id::Session(Uuid::now_v7()),
        customer: name("garage"),
        pins: vec![name(SMALL)],
        offset: Offset(7),
        at: Wall::from_millis(1_000),
    }
}

#[test]
fn a_token_is_read_back_by_its_customer_and_key_only() {
    let key = Key::derive("one");
    let session = session();
    let token = key.seal(&session);
    assert_eq!(key.open(&token, &name("garage")), Ok(session));
    let foreign = key.open(&token, &name("brewery"));
    assert_eq!(foreign, Err(Error::Foreign));
    let other = Key::derive("other").open(&token, &name("garage"));
    assert_eq!(other, Err(Error::Forged));
}

#[test]
fn pins_are_bounded() {
    let mut session = session();
    let mut class = contract(&[SMALL], 0.5).classes.remove(0);
    class.versions = (0..40).map(|n| name(&format!("v{n:02}"))).collect();
    let versions = class.versions.clone();
    session.pin(&class, &versions);
    assert_eq!(session.pins.len(), MAX_PINS);
}

proptest! {
    #[test]
    fn a_changed_token_is_not_taken(place in 0usize..100, digit in 0u8..16) {
        let key = Key::derive("one");
        let mut token = key.seal(&session()).to_string();
        let place = place % token.len();
        let digit = format!("{digit:x}");
        if token[place..=place] != digit {
            token.replace_range(place..=place, &digit);
            let opened = key.open(&token, &name("garage"));
            assert_eq!(opened, Err(Error::Forged));
        }
    }

    /// Another spelling of the same bytes is rejected too.
    #[test]
    fn a_token_in_upper_case_is_rejected(seed in any::<u64>()) {
        let key = Key::derive(&seed.to_string());
        let token = key.seal(&session()).to_string().to_uppercase();
        let opened = key.open(&token, &name("garage"));
        assert_eq!(opened, Err(Error::Forged));
    }

    #[test]
    fn any_text_is_refused_without_a_panic(text in any::<String>()) {
        let opened = Key::derive("one").open(&text, &name("garage"));
        assert_eq!(opened, Err(Error::Forged));
    }
}

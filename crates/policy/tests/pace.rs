//! How long models are expected to generate.

use std::time::Duration;

use pimento_policy::pace::Paces;
use pimento_units::Tokens;

const MODEL: u64 = 1;

#[test]
fn a_run_is_expected_to_take_as_long_as_those_before() {
    let mut paces = Paces::default();
    assert_eq!(paces.expect(MODEL, Tokens(100)), None);
    paces.record(MODEL, Tokens(200), Duration::from_secs(2));
    assert_eq!(
        paces.expect(MODEL, Tokens(100)),
        Some(Duration::from_secs(1))
    );
    assert_eq!(paces.expect(MODEL + 1, Tokens(100)), None);
}

#[test]
fn a_change_of_pace_is_followed() {
    let mut paces = Paces::default();
    paces.record(MODEL, Tokens(100), Duration::from_secs(1));
    for _ in 0..50 {
        paces.record(MODEL, Tokens(100), Duration::from_secs(3));
    }
    let expected = paces.expect(MODEL, Tokens(100)).unwrap();
    assert!(
        expected > Duration::from_millis(2_900),
        "expected {expected:?}"
    );
}

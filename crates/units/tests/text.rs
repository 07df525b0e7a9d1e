//! Text and JSON of the value types: printed values parse back to the same value, no input panics,
//! and accepted input satisfies the type's rules.

use std::fmt::Debug;
use std::fmt::Display;
use std::str::FromStr;

use pimento_units::Money;
use pimento_units::Offset;
use pimento_units::Revision;
use pimento_units::Share;
use pimento_units::Span;
use pimento_units::Tokens;
use pimento_units::Wall;
use pimento_units::id;
use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::sample::select;
use proptest::test_runner::TestCaseError;
use serde::Serialize;
use serde::de::DeserializeOwned;
use uuid::Uuid;

/// Fragments of valid texts of these types, and unexpected ones.
const PARTS: &[&str] = &[
    "0",
    "1",
    "9",
    "18446744073709551615",
    "18446744073709.551615",
    ".",
    "-",
    "+",
    "e",
    "_",
    "@",
    ":",
    " ",
    "\n",
    "ms",
    "s",
    "m",
    "h",
    "d",
    "NaN",
    "inf",
    "1e300",
    "1e-300",
    "0.0000005",
    "é",
    "\u{0661}",
    "kig-remera",
    "pimento-mini@1",
];

/// Units of spans in milliseconds.
const UNITS: &[(&str, u64)] = &[
    ("ms", 1),
    ("s", 1_000),
    ("m", 60_000),
    ("h", 3_600_000),
    ("d", 86_400_000),
];

/// Numbers next to and at the boundaries of units.
const EDGES: &[u64] = &[
    0, 1, 999, 1_000, 59_999, 60_000, 3_600_000, 86_400_000, 999_999, 1_000_000,
];

/// Numbers of all sizes, with many at the boundaries of units and close to overflow.
fn numbers() -> impl Strategy<Value = u64> {
    let last = (0_u64..10).prop_map(|n| u64::MAX - n);
    prop_oneof![any::<u64>(), select(EDGES), last]
}

fn texts() -> impl Strategy<Value = String> {
    let parts = vec(select(PARTS), 0..5).prop_map(|parts| parts.concat());
    prop_oneof![any::<String>(), parts]
}

fn names() -> impl Strategy<Value = String> {
    // Many are close to the maximum length; random texts would rarely be just one byte too long.
    prop_oneof![
        "[a-zA-Z0-9_.@:-]{1,64}",
        "[a-z]{63,66}",
        "[a-z é/]{0,70}",
        any::<String>()
    ]
}

/// Checks that a value survives a round trip through text and through JSON.
fn check_round_trip<T>(value: &T) -> Result<(), TestCaseError>
where
    T: Debug + PartialEq + Display + FromStr + Serialize + DeserializeOwned,
    T::Err: Debug,
{
    prop_assert_eq!(&value.to_string().parse::<T>().unwrap(), value);
    let json = serde_json::to_string(value).unwrap();
    prop_assert_eq!(&serde_json::from_str::<T>(&json).unwrap(), value);
    Ok(())
}

/// Checks that a value parsed from `text`, if it is accepted, survives a round trip.
fn check_parsed<T>(text: &str) -> Result<(), TestCaseError>
where
    T: Debug + PartialEq + Display + FromStr + Serialize + DeserializeOwned,
    T::Err: Debug,
{
    text.parse::<T>()
        .map_or(Ok(()), |value| check_round_trip(&value))
}

/// Checks that a name is accepted exactly if it has 1 to 64 allowed characters, both from text and
/// from JSON.
fn check_name<T>(text: &str) -> Result<(), TestCaseError>
where
    T: Debug + PartialEq + Display + FromStr + Serialize + DeserializeOwned,
    T::Err: Debug,
{
    let allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.@:";
    let good = (1..=64).contains(&text.len()) && text.chars().all(|c| allowed.contains(c));
    prop_assert_eq!(text.parse::<T>().is_ok(), good);
    let json = serde_json::to_string(text).unwrap();
    prop_assert_eq!(serde_json::from_str::<T>(&json).is_ok(), good);
    check_parsed::<T>(text)
}

proptest! {
    #[test]
    fn numbers_are_read_back(number in numbers()) {
        check_round_trip(&Money::from_micros(number))?;
        check_round_trip(&Span::from_millis(number))?;
        check_round_trip(&Tokens(number))?;
        check_round_trip(&Offset(number))?;
        check_round_trip(&Revision(number))?;
    }

    #[test]
    fn shares_are_read_back(parts in 0_u32..=1_000_000) {
        check_round_trip(&Share::from_parts(parts))?;
    }

    #[test]
    fn unique_ids_are_read_back(number in any::<u128>()) {
        let uuid = Uuid::from_u128(number);
        check_round_trip(&id::Request(uuid))?;
        check_round_trip(&id::Attempt(uuid))?;
        check_round_trip(&id::Record(uuid))?;
        check_round_trip(&id::Session(uuid))?;
        // The table of claims removes old ids from its front, so ids must sort by their age.
        let front = u64::try_from(number >> 80).ok().map(Wall::from_millis);
        let dated = uuid.get_version_num() == 7;
        prop_assert_eq!(id::Request(uuid).created(), front.filter(|_| dated));
    }

    #[test]
    fn names_keep_their_rules(text in names()) {
        check_name::<id::Customer>(&text)?;
        check_name::<id::Zone>(&text)?;
        check_name::<id::Node>(&text)?;
        check_name::<id::Endpoint>(&text)?;
        check_name::<id::Pool>(&text)?;
        check_name::<id::Service>(&text)?;
        check_name::<id::Class>(&text)?;
        check_name::<id::Version>(&text)?;
        check_name::<id::Resource>(&text)?;
    }

    #[test]
    fn any_text_is_accepted_or_rejected(text in texts()) {
        check_parsed::<Money>(&text)?;
        check_parsed::<Share>(&text)?;
        check_parsed::<Span>(&text)?;
        check_parsed::<Tokens>(&text)?;
        check_parsed::<Offset>(&text)?;
        check_parsed::<Revision>(&text)?;
        check_parsed::<id::Request>(&text)?;
    }

    /// Trailing zeros of the decimals may be omitted; a seventh decimal is rejected.
    #[test]
    fn amounts_may_leave_out_last_zeros(micros in numbers(), kept in 0_usize..=6) {
        let text = Money::from_micros(micros).to_string();
        let cut = &text[..text.len() - 6 + kept];
        let step = 10_u64.pow(6 - u32::try_from(kept).unwrap());
        prop_assert_eq!(cut.parse(), Ok(Money::from_micros(micros / step * step)));
        let seventh = format!("{text}0").parse::<Money>();
        prop_assert!(seventh.is_err());
    }

    /// A span that overflows is rejected and does not wrap around to a short one.
    #[test]
    fn spans_are_their_number_of_units(number in numbers(), unit in select(UNITS)) {
        let (suffix, millis) = unit;
        let span = format!("{number}{suffix}").parse().ok();
        prop_assert_eq!(span, number.checked_mul(millis).map(Span::from_millis));
    }

    #[test]
    fn any_number_is_a_share_or_rejected(number in any::<f64>()) {
        let share = Share::try_from(number);
        prop_assert_eq!(share.is_ok(), (0.0..=1.0).contains(&number));
        prop_assert!(share.unwrap_or_default() <= Share::ONE);
    }

    /// The successor of the largest offset must not wrap around: a reader that went back to 0
    /// would read the whole stream again.
    #[test]
    fn the_next_offset_is_never_an_earlier_one(number in numbers()) {
        prop_assert!(Offset(number).next() >= Offset(number));
        prop_assert!(Revision(number).next() >= Revision(number));
        prop_assert!(Revision::from(Offset(number)) >= Revision(number));
    }

    /// A customer is charged at least the exact product and less than a millionth more.
    #[test]
    fn scaled_money_is_rounded_up(micros in numbers(), numerator in numbers(), denominator in 1..u64::MAX) {
        let scaled = Money::from_micros(micros).scale(numerator, denominator);
        let exact = u128::from(micros) * u128::from(numerator);
        let whole = u128::from(scaled.micros()) * u128::from(denominator);
        let full = scaled == Money::MAX;
        prop_assert!(full || whole >= exact);
        prop_assert!(whole.saturating_sub(exact) < u128::from(denominator));
    }
}

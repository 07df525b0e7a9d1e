//! Values and their text: what was printed is read back as the same value, whatever text comes in
//! never panics, and what is taken keeps the type's rules.

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

/// Parts that texts of these types are made of, beside what nobody expects.
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

/// Numbers where a unit ends.
const EDGES: &[u64] = &[
    0, 1, 999, 1_000, 59_999, 60_000, 3_600_000, 86_400_000, 999_999, 1_000_000,
];

/// Numbers of all sizes, with those near the places where a unit ends or reckoning overflows.
fn numbers() -> impl Strategy<Value = u64> {
    let last = (0_u64..10).prop_map(|n| u64::MAX - n);
    prop_oneof![any::<u64>(), select(EDGES), last]
}

fn texts() -> impl Strategy<Value = String> {
    let parts = vec(select(PARTS), 0..5).prop_map(|parts| parts.concat());
    prop_oneof![any::<String>(), parts]
}

fn names() -> impl Strategy<Value = String> {
    // Many around the longest length, one over which would go by unseen among random ones.
    prop_oneof![
        "[a-zA-Z0-9_.@:-]{1,64}",
        "[a-z]{63,66}",
        "[a-z é/]{0,70}",
        any::<String>()
    ]
}

/// Text and JSON of a value give the value again.
fn returns<T>(value: &T) -> Result<(), TestCaseError>
where
    T: Debug + PartialEq + Display + FromStr + Serialize + DeserializeOwned,
    T::Err: Debug,
{
    prop_assert_eq!(&value.to_string().parse::<T>().unwrap(), value);
    let json = serde_json::to_string(value).unwrap();
    prop_assert_eq!(&serde_json::from_str::<T>(&json).unwrap(), value);
    Ok(())
}

/// Whatever is taken from a text is a value like any other.
fn taken<T>(text: &str) -> Result<(), TestCaseError>
where
    T: Debug + PartialEq + Display + FromStr + Serialize + DeserializeOwned,
    T::Err: Debug,
{
    text.parse::<T>().map_or(Ok(()), |value| returns(&value))
}

/// A name is taken exactly if it has 1 to 64 allowed characters, from text and from JSON alike.
fn named<T>(text: &str) -> Result<(), TestCaseError>
where
    T: Debug + PartialEq + Display + FromStr + Serialize + DeserializeOwned,
    T::Err: Debug,
{
    let allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.@:";
    let good = (1..=64).contains(&text.len()) && text.chars().all(|c| allowed.contains(c));
    prop_assert_eq!(text.parse::<T>().is_ok(), good);
    let json = serde_json::to_string(text).unwrap();
    prop_assert_eq!(serde_json::from_str::<T>(&json).is_ok(), good);
    taken::<T>(text)
}

proptest! {
    #[test]
    fn numbers_are_read_back(number in numbers()) {
        returns(&Money::from_micros(number))?;
        returns(&Span::from_millis(number))?;
        returns(&Tokens(number))?;
        returns(&Offset(number))?;
        returns(&Revision(number))?;
    }

    #[test]
    fn shares_are_read_back(parts in 0_u32..=1_000_000) {
        returns(&Share::from_parts(parts))?;
    }

    #[test]
    fn unique_ids_are_read_back(number in any::<u128>()) {
        let uuid = Uuid::from_u128(number);
        returns(&id::Request(uuid))?;
        returns(&id::Attempt(uuid))?;
        returns(&id::Record(uuid))?;
        returns(&id::Session(uuid))?;
        // The table of claims drops old ids from its front, which needs that ids sort by their age.
        let front = u64::try_from(number >> 80).ok().map(Wall::from_millis);
        let dated = uuid.get_version_num() == 7;
        prop_assert_eq!(id::Request(uuid).created(), front.filter(|_| dated));
    }

    #[test]
    fn names_keep_their_rules(text in names()) {
        named::<id::Customer>(&text)?;
        named::<id::Zone>(&text)?;
        named::<id::Node>(&text)?;
        named::<id::Endpoint>(&text)?;
        named::<id::Pool>(&text)?;
        named::<id::Service>(&text)?;
        named::<id::Class>(&text)?;
        named::<id::Version>(&text)?;
        named::<id::Resource>(&text)?;
    }

    #[test]
    fn any_text_is_taken_or_refused(text in texts()) {
        taken::<Money>(&text)?;
        taken::<Share>(&text)?;
        taken::<Span>(&text)?;
        taken::<Tokens>(&text)?;
        taken::<Offset>(&text)?;
        taken::<Revision>(&text)?;
        taken::<id::Request>(&text)?;
    }

    /// Decimals count from the point, however many are written.
    #[test]
    fn amounts_may_leave_out_last_zeros(micros in numbers(), kept in 0_usize..=6) {
        let text = Money::from_micros(micros).to_string();
        let cut = &text[..text.len() - 6 + kept];
        let step = 10_u64.pow(6 - u32::try_from(kept).unwrap());
        prop_assert_eq!(cut.parse(), Ok(Money::from_micros(micros / step * step)));
        let seventh = format!("{text}0").parse::<Money>();
        prop_assert!(seventh.is_err());
    }

    /// A length of time too long to be counted is refused and not taken for a short one.
    #[test]
    fn spans_are_their_number_of_units(number in numbers(), unit in select(UNITS)) {
        let (suffix, millis) = unit;
        let span = format!("{number}{suffix}").parse().ok();
        prop_assert_eq!(span, number.checked_mul(millis).map(Span::from_millis));
    }

    #[test]
    fn any_number_is_a_share_or_refused(number in any::<f64>()) {
        let share = Share::try_from(number);
        prop_assert_eq!(share.is_ok(), (0.0..=1.0).contains(&number));
        prop_assert!(share.unwrap_or_default() <= Share::ONE);
    }

    /// The offset after the last possible one is not an earlier one: a view that went back to 0
    /// would read a whole stream again.
    #[test]
    fn the_next_offset_is_never_an_earlier_one(number in numbers()) {
        prop_assert!(Offset(number).next() >= Offset(number));
        prop_assert!(Revision(number).next() >= Revision(number));
        prop_assert!(Revision::from(Offset(number)) >= Revision(number));
    }

    /// A customer is never charged less than the exact product, and at most a millionth more.
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

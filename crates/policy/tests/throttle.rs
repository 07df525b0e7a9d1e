//! Limits that endpoints name.

use pimento_policy::throttle::Limit;

/// Guards against a limit that is no number, or none that can be kept, taken for one.
#[test]
fn a_limit_is_a_finite_number_of_requests_a_second() {
    for (text, limit) in [("1", 1.0), (" 1.1 ", 1.1), ("0", 0.0), ("1e9", 1e9)] {
        let read: Limit = text.parse().unwrap();
        assert!((read.per_second() - limit).abs() < 1e-9, "{text:?}");
    }
    for text in ["", "few", "-1", "inf", "NaN", "1,5", "1/s"] {
        assert!(text.parse::<Limit>().is_err(), "{text:?}");
    }
}

//! Text of bandwidths.

use pimento_units::Bandwidth;
use proptest::prop_assert_eq;
use proptest::proptest;

proptest! {
    /// Guards against a bandwidth whose printed form is read as another one.
    #[test]
    fn printed_bandwidths_parse_back(mbps in 0.001_f64..1_000_000.0) {
        let bandwidth = Bandwidth::from_mbps(mbps).unwrap();
        prop_assert_eq!(bandwidth.to_string().parse(), Ok(bandwidth));
    }
}

/// Guards against a link that carries nothing, and against a unit that is taken for another one.
#[test]
fn what_is_no_bandwidth_is_refused() {
    for mbps in [0.0, -1.0, f64::NAN] {
        assert!(Bandwidth::from_mbps(mbps).is_err(), "{mbps}");
    }
    for text in ["", "10", "10 Gbit/s", "ten Mbit/s", "0 Mbit/s"] {
        assert!(text.parse::<Bandwidth>().is_err(), "{text:?}");
    }
}

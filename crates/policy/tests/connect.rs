//! Connect timeouts for local and remote zones and distant regions.

use std::time::Duration;

use pimento_policy::connect::ConnectTimeout;
use pimento_policy::connect::MAX_TIMEOUT;
use pimento_policy::connect::MIN_TIMEOUT;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

// A zone is cut off. A call with a target of 200 ms must be able to time out at an endpoint there
// and to be answered in 30 ms by another one.
#[test]
fn a_call_with_a_short_target_has_time_for_a_second_endpoint() {
    let mut timeout = ConnectTimeout::default();
    for _ in 0..50 {
        timeout.record(ms(2));
    }
    assert!(
        timeout.current() + ms(30) < ms(200),
        "{:?}",
        timeout.current()
    );
}

// Endpoints of the local zone connect in a millisecond for a long time. Then the first connection
// goes to another zone, ten milliseconds away, or to a VM that takes fifty.
#[test]
fn the_timeout_allows_a_first_connection_to_a_farther_zone() {
    let mut timeout = ConnectTimeout::default();
    for _ in 0..200 {
        timeout.record(ms(1));
    }
    assert!(timeout.current() > ms(60));
}

// All endpoints are in another region. The timeout follows, and no connection that would be made
// times out.
#[test]
fn the_timeout_grows_with_the_distance() {
    let mut timeout = ConnectTimeout::default();
    assert_eq!(timeout.current(), MAX_TIMEOUT);
    for round in 0..100 {
        let took = ms(25 + round % 5);
        assert!(took < timeout.current());
        timeout.record(took);
    }
    assert!(
        timeout.current() > MIN_TIMEOUT * 2,
        "{:?}",
        timeout.current()
    );
}

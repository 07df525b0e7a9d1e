//! When the rating service counts as unavailable.

use std::time::Duration;

use pimento_entry::filter::rate::Health;
use pimento_units::Moment;

const RESPONSE_TIME: Duration = Duration::from_millis(20);

fn is_backing_off(health: &Health, now: Moment) -> bool {
    health.expected_time(now).is_none()
}

/// Single ratings fail. Pausing the service after each of them would send all requests of the
/// meantime to versions that need no rating, at several times the cost.
#[test]
fn single_failures_do_not_pause_the_service() {
    let health = Health::default();
    for second in 0..100 {
        let now = Moment::from_millis(second * 1_000);
        health.record_failure(now);
        assert!(!is_backing_off(&health, now), "after {second} s");
        health.record_success(RESPONSE_TIME);
    }
}

/// The service fails each time. The pauses grow up to a bound, and one answer ends them.
#[test]
fn consecutive_failures_pause_the_service() {
    let health = Health::default();
    let mut now = Moment::ZERO;
    let mut pauses = Vec::new();
    for _ in 0..40 {
        health.record_failure(now);
        let paused_at = now;
        while is_backing_off(&health, now) {
            now = now + Duration::from_millis(100);
        }
        pauses.push(now.since(paused_at));
    }
    assert_eq!(pauses[0], Duration::ZERO);
    assert!(pauses[1] > Duration::ZERO);
    assert!(pauses.is_sorted(), "{pauses:?}");
    assert_eq!(pauses.last(), Some(&Duration::from_secs(8)));
    health.record_failure(now);
    assert!(is_backing_off(&health, now));
    health.record_success(RESPONSE_TIME);
    assert!(!is_backing_off(&health, now));
}

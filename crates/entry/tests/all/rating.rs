//! When the rating service is taken for out.

use std::time::Duration;

use pimento_entry::filter::rate::Health;
use pimento_units::Moment;

const TOOK: Duration = Duration::from_millis(20);

fn out(health: &Health, now: Moment) -> bool {
    health.expected_time(now).is_none()
}

/// One rating in a few fails. The service goes on to be used: resting it after each failure would send
/// every request meanwhile to versions that need no rating, at several times the cost.
#[test]
fn single_failures_do_not_rest_the_service() {
    let health = Health::default();
    for second in 0..100 {
        let now = Moment::from_millis(second * 1_000);
        health.record_failure(now);
        assert!(!out(&health, now), "after {second} s");
        health.record_success(TOOK);
    }
}

/// The service fails each time. It is left alone for longer and longer, up to a bound, and is used again
/// at once after an answer.
#[test]
fn failures_in_a_row_rest_the_service() {
    let health = Health::default();
    let mut now = Moment::ZERO;
    let mut rests = Vec::new();
    for _ in 0..40 {
        health.record_failure(now);
        let began = now;
        while out(&health, now) {
            now = now + Duration::from_millis(100);
        }
        rests.push(now.since(began));
    }
    assert_eq!(rests[0], Duration::ZERO);
    assert!(rests[1] > Duration::ZERO);
    assert!(rests.is_sorted(), "{rests:?}");
    assert_eq!(rests.last(), Some(&Duration::from_secs(8)));
    health.record_failure(now);
    assert!(out(&health, now));
    health.record_success(TOOK);
    assert!(!out(&health, now));
}

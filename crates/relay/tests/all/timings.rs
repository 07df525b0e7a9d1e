//! The intervals and timeouts of reads that follow from the bounds that must hold.

use std::time::Duration;

use pimento_relay::config::Bounds;
use pimento_relay::timings::Error;
use pimento_relay::timings::Timings;

use crate::fixture::bounds;

/// Pause before the retry of a read that got no answer.
const RETRY: Duration = Duration::from_millis(50);

/// Time that the network and the log take for an answer, besides the wait.
const ANSWER: Duration = Duration::from_millis(20);

/// The share of the bound on revoked keys at which a VM reports itself unready.
const READY: f64 = 0.6;

/// Bounds from the shortest that can be held to some long ones.
fn grid() -> Vec<Bounds> {
    let mut grid = Vec::new();
    for leaving in (600..=8_000).step_by(200) {
        for apply in (1_500..=8_000).step_by(500) {
            for revoke in [None, Some(3_750), Some(4_000), Some(5_000), Some(12_000)] {
                grid.push(bounds(leaving, apply, revoke));
            }
        }
    }
    grid
}

// Guards against requests to a leaving endpoint after the bound because one read got no answer.
#[test]
fn a_leaving_endpoint_is_known_in_time_despite_an_unanswered_read() {
    for bounds in grid() {
        let timing = Timings::try_from(&bounds).unwrap().endpoints;
        let lost = timing.timeout + RETRY + ANSWER;
        assert!(
            timing.max_proof_age + lost <= bounds.drain + ANSWER,
            "{bounds:?}"
        );
        assert!(timing.alone.pause + lost <= bounds.drain, "{bounds:?}");
        assert!(
            timing.reader.pause + lost <= timing.max_proof_age,
            "{bounds:?}"
        );
    }
}

// Guards against a change or a revoked key that becomes known too late because one read got no answer, and
// against VMs that report themselves unready for that reason.
#[test]
fn a_change_is_known_in_time_despite_an_unanswered_read() {
    for bounds in grid() {
        let timing = Timings::try_from(&bounds).unwrap().operators;
        let lost = timing.timeout * 2 + RETRY;
        assert!(
            timing.alone.wait + lost <= bounds.config_apply,
            "{bounds:?}"
        );
        if let Some(revoke) = bounds.revoke {
            let ready = revoke.mul_f64(READY);
            assert!(
                timing.max_proof_age + timing.timeout + RETRY <= ready,
                "{bounds:?}"
            );
            assert!(timing.alone.wait * 2 + lost <= ready, "{bounds:?}");
        }
    }
}

// Guards against paying for reads that a longer bound does not require.
#[test]
fn longer_bounds_need_fewer_reads() {
    let short = Timings::try_from(&bounds(2_000, 2_000, Some(5_000))).unwrap();
    let long = Timings::try_from(&bounds(4_000, 4_000, Some(5_000))).unwrap();
    assert_eq!(
        long.endpoints.reader.pause,
        short.endpoints.reader.pause * 2
    );
    let longest = Timings::try_from(&bounds(60_000, 60_000, None)).unwrap();
    assert_eq!(longest.endpoints, long.endpoints);
}

// Guards against a system that starts with bounds which it can't hold.
#[test]
fn bounds_that_cannot_be_held_are_refused() {
    let leaving = Timings::try_from(&bounds(500, 2_000, None));
    assert!(matches!(leaving, Err(Error::Leaving { .. })));
    let change = Timings::try_from(&bounds(2_000, 900, None));
    assert!(matches!(change, Err(Error::Change { .. })));
    let revoke = Timings::try_from(&bounds(2_000, 2_000, Some(2_000)));
    assert!(matches!(revoke, Err(Error::Change { .. })));
}

//! Silent runs that are left at their engine or taken over.

use std::time::Duration;

use pimento_policy::resume::SilentRun;

const fn run(silent: u64, expected: u64) -> SilentRun {
    SilentRun {
        silent: Duration::from_millis(silent),
        max_gap: Some(Duration::from_millis(1_200)),
        expected: Duration::from_millis(expected),
    }
}

/// Guards against an answer that becomes late although another engine could go on in time.
#[test]
fn a_run_is_taken_over_at_once_where_the_next_event_is_on_time_so() {
    assert_eq!(run(960, 240).patience(), Duration::ZERO);
    assert_ne!(run(960, 500).patience(), Duration::ZERO);
}

/// Guards against long prompts that engines prefill again because a run paused, which makes the runs
/// beside them pause in turn.
#[test]
fn a_run_with_a_long_prompt_is_left_at_an_engine_that_pauses() {
    let pausing = run(960, 900);
    assert_eq!(pausing.patience(), Duration::from_millis(840));
    assert_eq!(run(1_900, 900).patience(), Duration::ZERO);
}

/// Guards against runs that stay with an engine which is gone.
#[test]
fn a_run_that_stays_silent_is_taken_over_whatever_that_takes() {
    for expected in [100, 1_000, 3_000] {
        assert_eq!(run(2 * expected, expected).patience(), Duration::ZERO);
    }
    let unlimited = SilentRun {
        max_gap: None,
        ..run(4_000, 1_500)
    };
    assert_eq!(unlimited.patience(), Duration::ZERO);
}

//! How long an answer is waited for, by the clock of the runtime, which the tests move.

use std::time::Duration;

use pimento_progress::Progress;
use pimento_progress::TimedOut;
use tokio::time::Instant;

const FIRST: Duration = Duration::from_secs(3);
const PATIENCE: Duration = Duration::from_secs(1);
const MOMENT: Duration = Duration::from_millis(1);

/// An answer of as many pieces of ten bytes, the first after `first` and each other after `pause`.
async fn answer(progress: &Progress, pieces: u32, first: Duration, pause: Duration) -> u32 {
    for piece in 0..pieces {
        let pause = if piece == 0 { first } else { pause };
        tokio::time::sleep(pause).await;
        progress.add(10);
    }
    pieces
}

async fn wait(pieces: u32, first: Duration, pause: Duration) -> (Result<u32, TimedOut>, Progress) {
    let progress = Progress::default();
    let call = answer(&progress, pieces, first, pause);
    let waited = progress.wait(call, FIRST, PATIENCE).await;
    (waited, progress)
}

// An answer takes a hundred times the patience and never pauses for longer than it: it is had whole.
#[tokio::test(start_paused = true)]
async fn an_answer_that_keeps_coming_is_had_whole() {
    let begun = Instant::now();
    let (waited, progress) = wait(100, FIRST.mul_f64(0.9), PATIENCE.mul_f64(0.9)).await;
    assert_eq!(waited, Ok(100));
    assert!(begun.elapsed() > PATIENCE * 80);
    assert_eq!(progress.received().bytes, 1_000);
    assert_eq!(progress.received().last, Some(Instant::now()));
}

// Nothing comes at all. That is known once the first byte is due, and not before.
#[tokio::test(start_paused = true)]
async fn an_answer_that_does_not_begin_is_given_up() {
    let begun = Instant::now();
    let (waited, progress) = wait(1, FIRST + MOMENT, MOMENT).await;
    assert_eq!(waited, Err(TimedOut));
    assert_eq!(begun.elapsed(), FIRST);
    assert_eq!(progress.received().last, None);
}

// Some pieces come, then a pause that is too long: a connection that fell silent in the middle.
#[tokio::test(start_paused = true)]
async fn an_answer_that_stops_coming_is_given_up() {
    let begun = Instant::now();
    let (waited, progress) = wait(3, MOMENT, PATIENCE + MOMENT).await;
    assert_eq!(waited, Err(TimedOut));
    assert_eq!(begun.elapsed(), MOMENT + PATIENCE);
    assert_eq!(progress.received().bytes, 10);
}

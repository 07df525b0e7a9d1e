//! How long an answer is waited for, by the runtime's clock, which the tests advance.

use std::time::Duration;

use pimento_progress::MAX_TIME;
use pimento_progress::Progress;
use pimento_progress::TimedOut;
use tokio::time::Instant;

const FIRST: Duration = Duration::from_secs(3);
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
const SHORT: Duration = Duration::from_millis(1);

/// An answer of `pieces` pieces of ten bytes, the first after `first` and each further one after
/// `interval`.
async fn answer(progress: &Progress, pieces: u32, first: Duration, interval: Duration) -> u32 {
    for piece in 0..pieces {
        let interval = if piece == 0 { first } else { interval };
        tokio::time::sleep(interval).await;
        progress.add(10);
    }
    pieces
}

async fn wait(
    pieces: u32,
    first: Duration,
    interval: Duration,
) -> (Result<u32, TimedOut>, Progress) {
    let progress = Progress::default();
    let call = answer(&progress, pieces, first, interval);
    let waited = progress.wait(call, FIRST, IDLE_TIMEOUT).await;
    (waited, progress)
}

// An answer takes much longer than the idle timeout, but no interval exceeds it.
#[tokio::test(start_paused = true)]
async fn an_answer_that_keeps_arriving_is_received_completely() {
    let start = Instant::now();
    let (waited, progress) = wait(100, FIRST.mul_f64(0.9), IDLE_TIMEOUT.mul_f64(0.9)).await;
    assert_eq!(waited, Ok(100));
    assert!(start.elapsed() > IDLE_TIMEOUT * 80);
    assert_eq!(progress.received().bytes, 1_000);
    assert_eq!(progress.received().last, Some(Instant::now()));
}

// No data arrives. The call must fail when the first byte is due, and not before.
#[tokio::test(start_paused = true)]
async fn an_answer_that_does_not_start_times_out() {
    let start = Instant::now();
    let (waited, progress) = wait(1, FIRST + SHORT, SHORT).await;
    assert_eq!(waited, Err(TimedOut));
    assert_eq!(start.elapsed(), FIRST);
    assert_eq!(progress.received().last, None);
}

// A connection goes silent after some pieces have arrived.
#[tokio::test(start_paused = true)]
async fn an_answer_that_stops_arriving_times_out() {
    let start = Instant::now();
    let (waited, progress) = wait(3, SHORT, IDLE_TIMEOUT + SHORT).await;
    assert_eq!(waited, Err(TimedOut));
    assert_eq!(start.elapsed(), SHORT + IDLE_TIMEOUT);
    assert_eq!(progress.received().bytes, 10);
}

// An answer arrives piece by piece without end.
#[tokio::test(start_paused = true)]
async fn an_answer_without_end_times_out() {
    let start = Instant::now();
    let (waited, _) = wait(u32::MAX, SHORT, IDLE_TIMEOUT.mul_f64(0.9)).await;
    assert_eq!(waited, Err(TimedOut));
    assert_eq!(start.elapsed(), SHORT + MAX_TIME);
}

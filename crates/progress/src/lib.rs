//! Idle timeouts for answers: a call fails when no data arrives for too long.
//!
//! The client counts the bytes of an answer as they arrive, and the caller waits as long as the
//! count rises. With a timeout for the whole answer, an answer that needs longer would fail on
//! every retry, since each one starts again at the first byte. Nodes with slow links would never
//! receive data that has grown too large for the timeout, and would keep acting on old data. An
//! idle timeout detects a dead connection just as fast.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use snafu::Snafu;
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum time from the first byte of an answer to its end. A server that sends a byte now and then would otherwise
/// keep its client from asking again.
pub const MAX_TIME: Duration = Duration::from_mins(2);

/// How much of an answer has been received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Received {
    /// Number of bytes received.
    pub bytes: u64,
    /// When the last bytes arrived; `None` before the first.
    pub last: Option<Instant>,
}

/// No data arrived within the timeout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("no answer in time"))]
pub struct TimedOut;

/// Counts the bytes of one call's answer as they arrive. Clones share the count.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    received: Arc<watch::Sender<Received>>,
}

impl Progress {
    /// Counts received bytes.
    pub fn add(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.received.send_modify(|received| {
            received.bytes = received.bytes.saturating_add(bytes);
            received.last = Some(Instant::now());
        });
    }

    /// What has been received so far.
    #[must_use]
    pub fn received(&self) -> Received {
        *self.received.borrow()
    }

    /// Waits for `call`, whose answer is counted here, as long as data arrives. The first byte must
    /// arrive within `first`, each further one within `idle_timeout`, and the last one within
    /// [`MAX_TIME`] of the first.
    ///
    /// # Errors
    ///
    /// [`TimedOut`] if no data or not all of it arrived in time; the call is dropped.
    pub async fn wait<T>(
        &self,
        call: impl Future<Output = T>,
        first: Duration,
        idle_timeout: Duration,
    ) -> Result<T, TimedOut> {
        let mut call = pin!(call);
        let mut received = self.received.subscribe();
        let mut end: Option<Instant> = None;
        let mut due = Instant::now() + first;
        loop {
            tokio::select! {
                biased;
                done = &mut call => return Ok(done),
                _ = received.changed() => {
                    let now = Instant::now();
                    due = (now + idle_timeout).min(*end.get_or_insert(now + MAX_TIME));
                }
                () = tokio::time::sleep_until(due) => return Err(TimedOut),
            }
            // Data that always arrives in time would keep the timeout from being noticed.
            if end.is_some_and(|end| Instant::now() > end) {
                return Err(TimedOut);
            }
        }
    }
}

//! Waits for answers as long as they keep coming.
//!
//! A client counts the bytes of an answer as they come, and whoever asked gives it up by its silence.
//! A bound on the whole answer fails each time for one that takes longer than it. The call is then made
//! again from the first byte, for ever: nodes with slow links never get what has grown too large for the
//! bound, and act on what they had before. A connection that fell silent shows as soon by its silence.

use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use snafu::Snafu;
use tokio::sync::watch;
use tokio::time::Instant;

/// What has come of an answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Received {
    /// Bytes.
    pub bytes: u64,
    /// When the last of them came; none before the first.
    pub last: Option<Instant>,
}

/// Nothing came of an answer for too long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("no answer in time"))]
pub struct TimedOut;

/// Counts the bytes of one call's answer as they come. Clones share the count.
#[derive(Debug, Clone, Default)]
pub struct Progress {
    received: Arc<watch::Sender<Received>>,
}

impl Progress {
    /// Counts bytes that came.
    pub fn add(&self, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.received.send_modify(|received| {
            received.bytes = received.bytes.saturating_add(bytes);
            received.last = Some(Instant::now());
        });
    }

    /// What has come so far.
    #[must_use]
    pub fn received(&self) -> Received {
        *self.received.borrow()
    }

    /// Waits for `call`, whose answer is counted here, while that keeps coming: its first byte may
    /// take `first`, and each pause after it `patience`. The whole may take any time.
    ///
    /// # Errors
    ///
    /// [`TimedOut`] if nothing came for that long; the call is dropped.
    pub async fn wait<T>(
        &self,
        call: impl Future<Output = T>,
        first: Duration,
        patience: Duration,
    ) -> Result<T, TimedOut> {
        let mut call = pin!(call);
        let mut received = self.received.subscribe();
        let mut bound = first;
        loop {
            tokio::select! {
                biased;
                done = &mut call => return Ok(done),
                _ = received.changed() => bound = patience,
                () = tokio::time::sleep(bound) => return Err(TimedOut),
            }
        }
    }
}

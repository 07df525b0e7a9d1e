//! A reconciliation loop: compares the desired state with the observed one and acts on the
//! difference.

use std::fmt::Display;
use std::future::Future;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::metrics::Metrics;

/// One controller. If a pass fails or is cancelled halfway, the next pass of this or another
/// instance detects what is missing and completes it.
pub trait Controller: Send + 'static {
    /// Why a pass failed.
    type Error: Display + Send;

    /// Prefix of its log lines and label of its metrics.
    const NAME: &'static str;

    /// Runs one reconciliation pass.
    fn pass(&mut self) -> impl Future<Output = Result<Pass, Self::Error>> + Send;
}

/// How a pass ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pass {
    /// There is nothing left to do for now.
    Idle,
    /// The pass did something; the next one may find more to do immediately.
    Acted,
}

/// Runs passes until `token` is cancelled: one per `period`, one immediately when `changed` signals
/// a new configuration, and one shortly after a pass that acted.
pub async fn run<C: Controller, T>(
    mut controller: C,
    period: Duration,
    mut changed: watch::Receiver<T>,
    metrics: Metrics,
    token: CancellationToken,
) {
    loop {
        let started = Instant::now();
        let Some(result) = token.run_until_cancelled(controller.pass()).await else {
            return;
        };
        metrics.record_pass(C::NAME, started.elapsed(), result.is_ok());
        let delay = match result {
            Ok(Pass::Acted) => period.min(RECHECK_DELAY),
            Ok(Pass::Idle) => period,
            Err(error) => {
                log::warn!("{}: The pass failed: {error}.", C::NAME);
                period
            }
        };
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(delay) => {}
            // The channel closes when the configuration's source has ended; periodic passes go on.
            Ok(()) = changed.changed() => {}
        }
    }
}

/// Delay after a pass that acted. Engines report with a lag, so an earlier pass would see no
/// change.
const RECHECK_DELAY: Duration = Duration::from_millis(200);

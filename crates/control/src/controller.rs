//! A controller: compares what is wanted with what is, and acts on the difference, again and again.

use std::fmt::Display;
use std::future::Future;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::metrics::Metrics;

/// One controller. A pass that fails or is cut off leaves nothing half done that the next pass, of
/// this or another instance, does not find and mend.
pub trait Controller: Send + 'static {
    /// Why a pass failed.
    type Error: Display + Send;

    /// The prefix of its log lines and the label of its metrics.
    const NAME: &'static str;

    /// One pass.
    fn pass(&mut self) -> impl Future<Output = Result<Pass, Self::Error>> + Send;
}

/// How a pass ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pass {
    /// Nothing more to do for now.
    Idle,
    /// Something was done, and the next pass may find more at once.
    Acted,
}

/// Runs passes until `token`: one each `period`, at once when `changed` tells of a new
/// configuration, and soon after a pass that acted.
pub async fn run<C: Controller, T>(
    mut controller: C,
    period: Duration,
    mut changed: watch::Receiver<T>,
    metrics: Metrics,
    token: CancellationToken,
) {
    loop {
        let begun = Instant::now();
        let Some(result) = token.run_until_cancelled(controller.pass()).await else {
            return;
        };
        metrics.pass(C::NAME, begun.elapsed(), result.is_ok());
        let wait = match result {
            Ok(Pass::Acted) => period.min(SOON),
            Ok(Pass::Idle) => period,
            Err(error) => {
                log::warn!("{}: pass failed: {error}", C::NAME);
                period
            }
        };
        tokio::select! {
            () = token.cancelled() => return,
            () = tokio::time::sleep(wait) => {}
            // A closed channel means that the configuration's source has ended; the period goes on.
            Ok(()) = changed.changed() => {}
        }
    }
}

/// Pause after a pass that acted. Engines report with a lag, so a tighter loop would see nothing.
const SOON: Duration = Duration::from_millis(200);

//! This VM's own link: what it carries, and whether it is full.
//!
//! A full link looks like endpoints and a log that don't answer, because all packets wait for it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_policy::link;
use pimento_policy::link::Link;
use pimento_policy::link::Load;
use pimento_scheduler::Clock;
use pimento_serve::traffic::Traffic;
use pimento_units::Bandwidth;
use tokio_util::sync::CancellationToken;

use crate::node::millis;

/// Time between two measurements in the background.
const INTERVAL: Duration = Duration::from_millis(250);

/// Time between two log lines while the link is full.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The VM's own link. Clones share it.
#[derive(Debug, Clone)]
pub struct OwnLink {
    clock: Clock,
    traffic: Traffic,
    link: Option<Arc<Mutex<Link>>>,
}

impl OwnLink {
    /// A link of this bandwidth; one of unknown bandwidth never counts as full.
    #[must_use]
    pub fn new(bandwidth: Option<Bandwidth>, clock: Clock) -> Self {
        let link = bandwidth.map(|known| Arc::new(Mutex::new(Link::new(known, clock.now()))));
        Self {
            clock,
            traffic: Traffic::default(),
            link,
        }
    }

    /// Counts what connections carry.
    #[must_use]
    pub const fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// The load now; none if the bandwidth is unknown.
    #[must_use]
    pub fn load(&self) -> Option<Load> {
        self.measured().map(|(load, _)| load)
    }

    /// How many requests may be received at a time; any number while the link has room for more.
    #[must_use]
    pub fn max_receiving(&self) -> Option<usize> {
        self.measured().and_then(|(_, link)| link.max_receiving())
    }

    /// The link, measured now, and its load.
    fn measured(&self) -> Option<(Load, MutexGuard<'_, Link>)> {
        let link = self.link.as_ref()?;
        let mut link = link.lock().unwrap_or_else(PoisonError::into_inner);
        let totals = link::Totals {
            received: self.traffic.received(),
            sent: self.traffic.sent(),
        };
        Some((link.measure(totals, self.clock.now()), link))
    }

    /// Logs while the link is full, until `token` is cancelled.
    pub async fn watch(self, token: CancellationToken) {
        let mut logged = None;
        let mut was_full = false;
        let watching = async {
            loop {
                tokio::time::sleep(INTERVAL).await;
                let Some(load) = self.load() else { return };
                let now = self.clock.now();
                let due = logged.is_none_or(|at| now.since(at) >= LOG_INTERVAL);
                if load.is_full() && due {
                    logged = Some(now);
                    log::warn!(
                        received_percent = percent(load.received),
                        sent_percent = percent(load.sent),
                        send_delay_ms = millis(load.send_delay);
                        "own_link: The link of this VM is full."
                    );
                } else if was_full && !load.is_full() {
                    log::info!("own_link: The link of this VM has room again.");
                }
                was_full = load.is_full();
            }
        };
        token.run_until_cancelled(watching).await;
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and a share is not negative"
)]
fn percent(share: f64) -> u64 {
    (share * 100.0) as u64
}

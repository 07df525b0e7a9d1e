//! Starting with the view of another VM instead of reading the whole topic.

use std::net::SocketAddr;
use std::time::Duration;

use pimento_units::Moment;
use rand::seq::IndexedRandom;
use tokio::sync::watch;
use tokio::time::Instant;

use super::Fold;
use super::Follower;
use super::exchange::Exchange;
use super::timing::ReadRole;
use super::timing::TURN;
use crate::boot;
use crate::bundle::SharedTopic;
use crate::node::millis;
use crate::snapshot;
use crate::snapshot::Snapshot;
use crate::topic::Log;
use crate::zone;

/// How long a VM that starts waits for others to serve it a view before it reads the log itself.
const PATIENCE: Duration = Duration::from_secs(4);

/// The longest pause between two attempts to get a view from another VM.
const RETRY: Duration = Duration::from_millis(400);

/// The longest gap in an answer with a view. A VM that serves several others at once has a small part of its
/// link and its processor for each.
const STALL: Duration = Duration::from_millis(900);

/// The waits of a VM that has no view yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct FirstView {
    /// Until when a VM that must read the log lets others get in touch first.
    pub settled: Instant,
    /// When a VM that nobody serves reads the log itself; none before it waits.
    pub give_up: Option<Instant>,
    /// How many VMs of other zones were asked.
    pub remote_tries: usize,
}

impl<F: Fold, L: Log> Follower<F, L> {
    /// Lets other VMs provide the first view. Returns true if the caller is to look at its role and view
    /// again, and false if this VM must read the log.
    ///
    /// A whole topic is large, and VMs that start together outnumber what the log answers. So a VM reads it
    /// only if it is the reader, or if nobody serves it. Even then the VMs of a zone take turns, so that
    /// together they ask no more often than a few VMs would.
    pub(super) async fn wait_for_first_view(
        &self,
        role: ReadRole,
        role_changes: &mut watch::Receiver<ReadRole>,
        first: &mut FirstView,
    ) -> bool {
        // Whatever its role: the best VM that starts is the reader while the log refuses all VMs that have a view.
        let mut sources = self.zone.sources.subscribe();
        let source = sources
            .borrow_and_update()
            .choose(&mut rand::rng())
            .copied();
        if source.is_none() && self.fetch_remote_snapshot(first).await {
            return true;
        }
        if let Some(source) = source {
            if self.fetch_snapshot(source).await {
                return true;
            }
            tokio::time::sleep(RETRY.mul_f64(rand::random_range(0.25..=1.0))).await;
        }
        if role != ReadRole::Served {
            let wait = Instant::now() < first.settled;
            if wait {
                tokio::select! {
                    () = tokio::time::sleep_until(first.settled) => {}
                    _ = role_changes.changed() => role_changes.mark_changed(),
                }
            }
            return wait;
        }
        let give_up = *first.give_up.get_or_insert_with(|| {
            let vms = u32::try_from(self.zone.vms()).unwrap_or(u32::MAX);
            let turns = TURN.saturating_mul(vms);
            Instant::now() + PATIENCE + turns.mul_f64(rand::random_range(0.0..=1.0))
        });
        if Instant::now() >= give_up {
            first.give_up = None;
            return false;
        }
        if source.is_none() {
            tokio::select! {
                () = tokio::time::sleep_until(give_up) => {}
                _ = sources.changed() => {}
                _ = role_changes.changed() => role_changes.mark_changed(),
            }
        }
        true
    }

    /// Fetches and adopts the view of a VM of another zone, if this one is alone in its zone and the log was
    /// restored. The log may lack what those VMs know, such as that a key was revoked.
    async fn fetch_remote_snapshot(&self, first: &mut FirstView) -> bool {
        let sources = self.zone.remote_sources().get(first.remote_tries..);
        for source in sources.unwrap_or_default() {
            first.remote_tries += 1;
            if self.fetch_snapshot(*source).await {
                return true;
            }
        }
        false
    }

    /// Fetches and adopts the view of the VM at `source`. Returns whether that succeeded.
    pub(super) async fn fetch_snapshot(&self, source: SocketAddr) -> bool {
        let Ok(topic) = SharedTopic::try_from(self.topic) else {
            return false;
        };
        let exchange = Exchange::new(self.topic);
        let progress = &exchange.progress;
        let answer = snapshot::fetch(source, self.zone.deployment(), topic, progress);
        let answer = self.wait(&exchange, answer, STALL, STALL).await;
        let problem = match answer {
            Ok(Ok(snapshot)) => {
                exchange.answered();
                if self.adopt(&snapshot, exchange.sent) {
                    return true;
                }
                "the view is from before the log was restored".into()
            }
            Ok(Err(error)) => error.to_string(),
            Err(silent) => silent.to_string(),
        };
        let failure = exchange.failed(zone::Failure::Unanswered, problem);
        failure.log("Could not fetch a neighbour's view");
        false
    }

    /// Adopts a neighbour's view that was requested at `sent`. Returns whether it is of the log's present era.
    fn adopt(&self, snapshot: &Snapshot, sent: Moment) -> bool {
        let proven = snapshot::proven_at(sent, snapshot.age);
        let mut inner = self.lock();
        if !inner.adopt(snapshot, proven, boot::now()) {
            return false;
        }
        self.mark_connected(&mut inner, boot::now());
        drop(inner);
        let records = snapshot.records.len();
        let age_ms = millis(snapshot.age);
        log::info!(topic = self.topic.as_str(), records, age_ms; "follower: Adopted a neighbour's view.");
        self.change_count.send_modify(|count| *count += 1);
        true
    }

    /// The view for another VM, and when it was proven; none if nothing was read yet.
    #[must_use]
    pub fn snapshot(&self) -> Option<(Snapshot, Moment)> {
        let inner = self.lock();
        let proven = inner.proven_at?;
        let mut records = inner.newest.clone();
        let to = inner.next?;
        drop(inner);
        records.sort_by_key(|record| record.offset);
        let age = boot::now().since(proven);
        Some((Snapshot { records, to, age }, proven))
    }
}

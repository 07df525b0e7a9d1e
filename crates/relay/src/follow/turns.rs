//! Waits of a follower before and after reads that the log refuses or does not answer.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::Fold;
use super::Follower;
use super::timing::AT_ONCE;
use super::timing::ReadRole;
use super::timing::TURN;
use super::timing::max_backoff;
use crate::topic::Log;

impl<F: Fold, L: Log> Follower<F, L> {
    /// Waits before a read that the log would most likely refuse. Returns true if a proof arrived or the
    /// role changed meanwhile, so that the read may no longer be needed.
    ///
    /// The log may refuse one VM of a zone or all of them, and a VM learns this only for itself. If all VMs
    /// retried at once, most calls would be in vain. They try one after the other instead, and the first
    /// that is answered proves the views of the others. While no VM of the zone is known to get answers, a
    /// VM that is served takes its turn after a random time.
    pub(super) async fn wait_for_turn(
        &self,
        role: ReadRole,
        role_changes: &mut watch::Receiver<ReadRole>,
    ) -> bool {
        let pause = if role == ReadRole::Served {
            self.check_disconnected(role, AT_ONCE);
            let others = self.zone.stamped().max(self.zone.vms().saturating_sub(1));
            let others = u32::try_from(others).unwrap_or(u32::MAX);
            let all = TURN.saturating_mul(others.saturating_add(1));
            all.mul_f64(rand::random_range(0.0..=1.0))
        } else {
            TURN
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => false,
            () = self.wake.notified() => true,
            _ = role_changes.changed() => {
                role_changes.mark_changed();
                true
            }
        }
    }

    /// Waits after a failed read. A proof does not end the wait: proofs arrive several times a second, also
    /// while the log refuses this VM and serves its reader. It only shortens the wait to the limit for a
    /// view that lacks changes.
    pub(super) async fn back_off(&self, role: ReadRole, backoff: Duration) {
        let end = Instant::now() + backoff;
        tokio::select! {
            () = tokio::time::sleep_until(end) => return,
            () = self.wake.notified() => {}
        }
        let sooner = Instant::now() + self.max_backoff(role);
        tokio::time::sleep_until(end.min(sooner)).await;
    }

    /// The longest wait after failed reads.
    pub(super) fn max_backoff(&self, role: ReadRole) -> Duration {
        max_backoff(role, self.zone.stamped(), self.lock().lacks_changes())
    }
}

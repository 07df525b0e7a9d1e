//! What this VM records of the sessions in roll-outs, and of why requests use their versions.

use pimento_policy::shift::Reason;
use pimento_policy::shift::Side;
use pimento_units::Moment;
use pimento_units::id;

use super::Rollouts;
use super::announcement::PinnedSession;
use super::known_sessions::Sighting;
use super::known_sessions::Source;
use super::state::RolloutState;
use super::state::SessionChanges;

impl Rollouts {
    /// Records that a request of a session is sent to a version of a service, or was answered by it.
    pub fn record_session(
        &mut self,
        pool: &id::Pool,
        session: u64,
        version: &id::Version,
        now: Moment,
    ) {
        let changed = self.sessions.record(session, version, now);
        if changed && let Some(rollout) = self.get_mut(pool) {
            rollout.count_session_change(session, version);
        }
        let Some(rollout) = self.get(pool).filter(|r| r.ended().is_none()) else {
            return;
        };
        let keeps = self.phase(rollout, now).pins_known_sessions();
        if !keeps || !self.is_in_trial(session, rollout.target()) {
            return;
        }
        let side = rollout.side(version);
        if let Some(rollout) = self.get_mut(pool) {
            rollout.add_session(Sighting { session, side }, Source::Own);
        }
    }

    /// Records why a request uses its version.
    pub fn record_reason(&mut self, pool: &id::Pool, reason: Reason) {
        if let Some(rollout) = self.get_mut(pool) {
            rollout.count_reason(reason);
        }
    }

    /// The requests that this VM sent since each service's last order, by the reason for their version.
    #[must_use]
    pub fn reason_counts(&self) -> Vec<(id::Pool, Reason, u32)> {
        let newest = self.newest.iter();
        let counts = newest.flat_map(|rollout| {
            let pool = &rollout.order.rollout.pool;
            let reasons = rollout.reasons().iter();
            reasons.map(|(reason, count)| (pool.clone(), *reason, *count))
        });
        counts.collect()
    }

    /// The sessions that changed their version at this VM since each service's last order, to the new one and
    /// back to the old one.
    #[must_use]
    pub fn session_changes(&self) -> Vec<(id::Pool, SessionChanges)> {
        let newest = self.newest.iter();
        let changes = newest.map(|rollout| {
            (
                rollout.order.rollout.pool.clone(),
                rollout.session_changes(),
            )
        });
        changes.collect()
    }

    /// Sessions that used the old version at this VM and were not announced to other VMs yet.
    pub fn take_pending_sessions(&mut self) -> Vec<PinnedSession> {
        let mut pending = Vec::new();
        for rollout in &mut self.newest {
            let order = rollout.offset();
            let sessions = rollout.take_pending_sessions().into_iter();
            pending.extend(sessions.map(|session| PinnedSession { order, session }));
        }
        pending
    }

    /// Pins a session that used the old version at another VM.
    pub fn pin_session(&mut self, pinned: PinnedSession) {
        let order = self.newest.iter_mut().find(|r| r.offset() == pinned.order);
        if let Some(rollout) = order {
            let session = pinned.session;
            let side = Side::Old;
            rollout.add_session(Sighting { session, side }, Source::Group);
        }
    }

    /// The version that a session uses in a service's roll-out, as far as it was seen here or told.
    pub(super) fn session_side(
        &self,
        rollout: &RolloutState,
        session: u64,
        now: Moment,
    ) -> Option<Side> {
        let seen = self.sessions.version(session, now);
        let seen = seen.map(|version| rollout.side(version));
        seen.or_else(|| rollout.sessions.side(session).filter(|s| *s == Side::New))
    }
}

//! Which version a request uses.

use pimento_policy::exposure::Part;
use pimento_policy::rollout;
use pimento_policy::shift::Known;
use pimento_policy::shift::Phase;
use pimento_policy::shift::Progress;
use pimento_policy::shift::Reason;
use pimento_policy::shift::Side;
use pimento_units::Moment;
use pimento_units::id;
use uuid::Uuid;

use super::Rollouts;
use super::state::RolloutState;
use super::versions::PoolVersions;

/// What keeps its version in a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// All requests of this session.
    Session(u64),
    /// One request that belongs to no session, with a random number of its own.
    Request(u64),
}

impl Scope {
    /// The position among all sessions and requests.
    const fn id(self) -> id::Session {
        let (Self::Session(number) | Self::Request(number)) = self;
        session_id(number)
    }

    /// The session; none if the request belongs to none.
    const fn session(self) -> Option<u64> {
        match self {
            Self::Session(session) => Some(session),
            Self::Request(_) => None,
        }
    }
}

impl From<u64> for Scope {
    fn from(session: u64) -> Self {
        Self::Session(session)
    }
}

/// Which version a request uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Choice {
    /// Whichever there is: no usable endpoint of the service is known.
    Any,
    /// This one.
    Version(id::Version),
    /// None for now: the bound on requests to the new version is reached, and the old one can't take it.
    Neither,
}

/// The id by which a session is placed among all sessions.
const fn session_id(session: u64) -> id::Session {
    id::Session(Uuid::from_u64_pair(session, session))
}

impl Rollouts {
    /// The version that a request uses.
    ///
    /// Endpoints of a version without an order get no requests as long as there are others: the order
    /// may not have been read yet.
    #[must_use]
    pub fn version(&self, pool: &id::Pool, scope: impl Into<Scope>, now: Moment) -> Choice {
        let Some(versions) = self.pool_versions(pool) else {
            return Choice::Any;
        };
        let Some(rollout) = self.get(pool) else {
            let stable = versions.stable().cloned();
            return stable.map_or(Choice::Any, Choice::Version);
        };
        let target = rollout.target();
        match self.known(rollout, versions, scope.into(), now).side() {
            Some(Side::Old) => {
                let old = versions.other(target).cloned();
                old.map_or(Choice::Any, Choice::Version)
            }
            Some(Side::New) => Choice::Version(target.clone()),
            None => Choice::Neither,
        }
    }

    /// Why a request uses its version; none if its service has no order or no known endpoint.
    #[must_use]
    pub fn reason(&self, pool: &id::Pool, scope: Scope, now: Moment) -> Option<Reason> {
        let versions = self.pool_versions(pool)?;
        let rollout = self.get(pool)?;
        Some(self.known(rollout, versions, scope, now).reason())
    }

    /// What is known of a roll-out for a request of this scope.
    fn known(
        &self,
        rollout: &RolloutState,
        versions: &PoolVersions,
        scope: Scope,
        now: Moment,
    ) -> Known {
        let target = rollout.target();
        let phase = self.phase(rollout, now);
        let session = scope.session();
        let last = session.and_then(|session| self.session_side(rollout, session, now));
        let known = |session| rollout.sessions.side(session).is_some();
        let known = last.is_some() || session.is_some_and(known);
        let keeps = phase.pins_known_sessions();
        Known {
            progress: Self::progress(rollout, versions),
            old_usable: versions.other(target).is_some(),
            new_usable: versions.count(target) > 0,
            last,
            pinned: keeps && known,
            joins: self.is_in_share(rollout, scope, phase),
            may_have_moved: session.is_some() && !keeps,
            within_bound: self.is_within_bound(rollout, self.part(scope, phase), now),
        }
    }

    /// How a roll-out has gone on. If that is not known and can't be read, it has most likely ended with the new
    /// version in place where no endpoint of another one was seen: the old ones stop at once then. Refusing most
    /// requests as long as the log is away would be worse.
    fn progress(rollout: &RolloutState, versions: &PoolVersions) -> Progress {
        match rollout.progress() {
            Progress::Unknown
                if rollout.status_out_of_reach && !versions.has_seen_other(rollout.target()) =>
            {
                Progress::Done
            }
            progress => progress,
        }
    }

    /// Whether a request of this scope is in the share that uses the new version. Sessions are chosen alike by
    /// all VMs; by its own count, one VM would send a session back that another one has let join.
    fn is_in_share(&self, rollout: &RolloutState, scope: Scope, phase: Phase) -> bool {
        let share = match (scope, phase) {
            (Scope::Request(_), Phase::Trial(_)) => {
                self.config.request_share(phase, self.exposure.share)
            }
            _ => phase.weight(),
        };
        rollout::uses_new_version(scope.id(), rollout.target(), share)
    }

    /// The part of the bound that a request of this scope may use.
    const fn part(&self, scope: Scope, phase: Phase) -> Part {
        match (scope, phase) {
            (Scope::Request(_), Phase::Trial(_)) => self.config.trial_part,
            _ => Part::WHOLE,
        }
    }

    fn is_within_bound(&self, rollout: &RolloutState, part: Part, now: Moment) -> bool {
        let bound = rollout.bound(self.exposure);
        rollout.is_over(now) || bound.allows(rollout.sent(), part)
    }

    /// Whether a request may be sent to a version now. What it may use may have changed since it was chosen.
    #[must_use]
    pub fn may_send(
        &self,
        pool: &id::Pool,
        scope: Scope,
        version: &id::Version,
        now: Moment,
    ) -> bool {
        let Some(rollout) = self.get(pool) else {
            return true;
        };
        let used = scope.session();
        let used = used.and_then(|session| self.session_side(rollout, session, now));
        if rollout.side(version) == Side::Old && used != Some(Side::New) {
            return true;
        }
        match self.version(pool, scope, now) {
            Choice::Any => true,
            Choice::Version(chosen) => chosen == *version,
            Choice::Neither => false,
        }
    }

    /// Whether a session is in the share that the trial would move.
    pub(super) fn is_in_trial(&self, session: u64, target: &id::Version) -> bool {
        let share = self.config.trial_share(self.exposure.share);
        rollout::uses_new_version(session_id(session), target, share)
    }
}

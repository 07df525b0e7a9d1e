//! Endpoints that name a limit for all VMs together.

use std::sync::Arc;
use std::time::Duration;

use pimento_policy::throttle::Limit;
use pimento_units::Moment;
use pimento_units::id;

use super::Inner;
use crate::endpoint_limit::EndpointLimit;
use crate::endpoint_limit::Observation;
use crate::endpoint_limit::Report;
use crate::endpoint_limit::Source;
use crate::endpoint_state::EndpointState;
use crate::endpoint_state::NO_SHARE_RETRY_AFTER;
use crate::participants::Participants;
use crate::pool::Job;
use crate::pool::Shared;

/// Share of a job's time that waiting for its turn and running may take, as at the gate.
const HEADROOM: f64 = 0.5;

/// The shortest time after which a job comes back that this VM can't send.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Inner {
    /// An endpoint named a limit, or none, in its answer to a call that was sent at `asked`. Whether that
    /// is news.
    ///
    /// An answer that names none ends a limit only if its call was sent after the limit had been named:
    /// answers of one endpoint may overtake each other.
    pub fn record_limit(
        &mut self,
        endpoint: &id::Endpoint,
        limit: Option<Limit>,
        asked: Moment,
        now: Moment,
    ) -> bool {
        let Some(place) = self.index_of(endpoint) else {
            return false;
        };
        let state = &mut self.endpoints[place];
        let known = state.limit.and_then(|limited| limited.limit());
        let ends = state
            .limit
            .is_some_and(|limited| limited.observed() < asked);
        if limit.is_none() && (known.is_none() || !ends) {
            return false;
        }
        let observation = Observation {
            limit,
            source: Source::Local,
            observed: now,
        };
        set_limit(state, &self.participants, observation, now);
        known != limit
    }

    /// Another VM says what an endpoint named.
    pub fn merge_limit(&mut self, report: Report, now: Moment) {
        let Some(state) = self.endpoints.iter_mut().find(|s| s.key == report.endpoint) else {
            return;
        };
        let observed = now.before(report.age);
        if state
            .limit
            .is_some_and(|limited| limited.observed() >= observed)
        {
            return;
        }
        let observation = Observation {
            limit: report.limit,
            source: Source::Peer,
            observed,
        };
        set_limit(state, &self.participants, observation, now);
    }

    /// What other VMs are to be told.
    pub fn limit_reports(&self, now: Moment) -> Vec<Report> {
        let states = self.endpoints.iter();
        let reports = states.filter_map(|state| state.limit?.report(state.key, now));
        reports.collect()
    }

    /// These VMs share what endpoints take from now on.
    pub fn set_participants(&mut self, participants: Participants, now: Moment) {
        self.participants = participants;
        for state in &mut self.endpoints {
            let (zone, key) = (&state.member.zone, state.key);
            if let Some(limited) = &mut state.limit {
                limited.set_share(|limit| self.participants.share(limit, zone, key), now);
            }
        }
    }

    /// When a job may come back whose turn at endpoints that all named limits would come too late, or
    /// never here. It hears so at once.
    pub fn throttled_for(&self, job: &Job, now: Moment) -> Option<Duration> {
        let version = job.version.as_ref();
        let usable = |s: &&EndpointState| s.member.usable && s.member.holds(version);
        let (mut share, mut ready, mut all) = (0.0, 0, 0.0);
        for state in self.endpoints.iter().filter(usable) {
            let throttle = state.throttle()?;
            share += throttle.rate();
            ready += u32::from(throttle.is_open(now));
            all += state.limit?.limit()?.per_second();
        }
        if share <= 0.0 {
            return Some(seconds(1.0 / all).clamp(MIN_RETRY_AFTER, NO_SHARE_RETRY_AFTER));
        }
        let ahead = self.waiting_jobs(version) + 1;
        let missing = f64::from(ahead.saturating_sub(ready));
        let wait = seconds(missing / share);
        let whole = job.deadline.since(now).mul_f64(HEADROOM);
        let slack = whole.saturating_sub(self.expected_run_time(version, job.tokens));
        (wait > slack).then(|| wait.clamp(MIN_RETRY_AFTER, NO_SHARE_RETRY_AFTER))
    }

    /// Jobs that wait for a version.
    fn waiting_jobs(&self, version: Option<&id::Version>) -> u32 {
        let entry = self.versions.iter().find(|s| s.version.as_ref() == version);
        let waiting = entry.map_or(0, |entry| entry.queue.len());
        u32::try_from(waiting).unwrap_or(u32::MAX - 1)
    }

    /// Looks at waiting jobs again once an endpoint with a limit may get one more: nothing else would, as
    /// no call may be under way that could end before.
    pub(super) fn schedule_wake(&mut self, shared: &Arc<Shared>, now: Moment) {
        if self.versions.iter().all(|entry| entry.queue.is_empty()) {
            return;
        }
        let closed = self.endpoints.iter().filter_map(|state| {
            let throttle = state.throttle().filter(|throttle| !throttle.is_open(now))?;
            throttle.wait(now)
        });
        let Some(wait) = closed.min() else { return };
        let at = now + wait.max(MIN_WAKE_INTERVAL);
        if self.wake_at.is_some_and(|known| known > now && known <= at) {
            return;
        }
        self.wake_at = Some(at);
        let shared = Arc::clone(shared);
        tokio::spawn(async move {
            tokio::time::sleep(at.since(now)).await;
            let now = shared.clock.now();
            shared.lock().dispatch_waiting(&shared, now);
        });
    }
}

/// The shortest time between two looks.
const MIN_WAKE_INTERVAL: Duration = Duration::from_millis(10);

fn set_limit(
    state: &mut EndpointState,
    participants: &Participants,
    observation: Observation,
    now: Moment,
) {
    let (zone, key, before) = (&state.member.zone, state.key, state.throttle());
    let share = |limit| participants.share(limit, zone, key);
    state.limit = Some(EndpointLimit::new(observation, before, share, now));
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(NO_SHARE_RETRY_AFTER)
}

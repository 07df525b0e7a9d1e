//! Endpoints that name a limit for all VMs together.

use std::sync::Arc;
use std::time::Duration;

use pimento_policy::throttle::RateLimit;
use pimento_units::Moment;
use pimento_units::id;

use super::PoolState;
use crate::endpoint_limit::EndpointLimit;
use crate::endpoint_limit::Observation;
use crate::endpoint_limit::Report;
use crate::endpoint_limit::Source;
use crate::endpoint_state::EndpointState;
use crate::endpoint_state::NO_SHARE_RETRY_AFTER;
use crate::participants::Participants;
use crate::pool::Job;
use crate::pool::Shared;

/// Share of a job's remaining time that its wait and its run may take, as at the admission gate.
const USABLE_SHARE: f64 = 0.5;

/// Minimum time after which a job that this VM can't send may be retried.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

impl PoolState {
    /// Records the limit, or its absence, in an endpoint's answer to a call that was sent at `sent`.
    /// Returns whether the limit changed.
    ///
    /// An answer without a limit removes a known one only if its call was sent after that limit had been
    /// observed, since answers of one endpoint may overtake each other.
    pub fn record_limit(
        &mut self,
        endpoint: &id::Endpoint,
        limit: Option<RateLimit>,
        sent: Moment,
        now: Moment,
    ) -> bool {
        let Some(index) = self.index_of(endpoint) else {
            return false;
        };
        let state = &mut self.endpoints[index];
        let known = state.rate_limit.and_then(|limited| limited.limit());
        let predates_call = state
            .rate_limit
            .is_some_and(|limited| limited.observed() < sent);
        if limit.is_none() && (known.is_none() || !predates_call) {
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

    /// Merges another VM's report of an endpoint's limit.
    pub fn merge_limit(&mut self, report: Report, now: Moment) {
        let Some(state) = self
            .endpoints
            .iter_mut()
            .find(|s| s.name_hash == report.endpoint)
        else {
            return;
        };
        let observed = now.before(report.age);
        if state
            .rate_limit
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

    /// Returns the reports for other VMs.
    pub fn limit_reports(&self, now: Moment) -> Vec<Report> {
        let states = self.endpoints.iter();
        let reports = states.filter_map(|state| state.rate_limit?.report(state.name_hash, now));
        reports.collect()
    }

    /// Sets the VMs that share the limits of endpoints from now on.
    pub fn set_participants(&mut self, participants: Participants, now: Moment) {
        self.participants = participants;
        for state in &mut self.endpoints {
            let (zone, key) = (&state.member.zone, state.name_hash);
            if let Some(limited) = &mut state.rate_limit {
                limited.set_share(|limit| self.participants.share(limit, zone, key), now);
            }
        }
    }

    /// Returns `None` if the job may wait for the rate limits of the endpoints, else the time after which to
    /// retry. It must be refused at once if all usable endpoints have limits, and its turn would come too late
    /// or this VM has no share of the limits.
    pub fn throttled_for(&self, job: &Job, now: Moment) -> Option<Duration> {
        let version = job.version.as_ref();
        let usable = |s: &&EndpointState| s.member.usable && s.member.holds(version);
        let (mut share, mut ready, mut total) = (0.0, 0, 0.0);
        for state in self.endpoints.iter().filter(usable) {
            let throttle = state.throttle()?;
            share += throttle.rate();
            ready += u32::from(throttle.can_send(now));
            total += state.rate_limit?.limit()?.per_second();
        }
        if share <= 0.0 {
            return Some(seconds(1.0 / total).clamp(MIN_RETRY_AFTER, NO_SHARE_RETRY_AFTER));
        }
        let ahead = self.waiting_jobs(version) + 1;
        let missing = f64::from(ahead.saturating_sub(ready));
        let wait = seconds(missing / share);
        let budget = job.deadline.since(now).mul_f64(USABLE_SHARE);
        let slack = budget.saturating_sub(self.expected_run_time(version, job.tokens));
        (wait > slack).then(|| wait.clamp(MIN_RETRY_AFTER, NO_SHARE_RETRY_AFTER))
    }

    /// Returns the number of jobs that wait for a version.
    fn waiting_jobs(&self, version: Option<&id::Version>) -> u32 {
        let entry = self.queues.iter().find(|s| s.version.as_ref() == version);
        let waiting = entry.map_or(0, |entry| entry.queue.len());
        u32::try_from(waiting).unwrap_or(u32::MAX - 1)
    }

    /// Schedules the next dispatch for when an endpoint with a limit accepts another call. Without it
    /// nothing might trigger one, since there may be no call in flight that could end before.
    pub(super) fn schedule_wake(&mut self, shared: &Arc<Shared>, now: Moment) {
        if self.queues.iter().all(|entry| entry.queue.is_empty()) {
            return;
        }
        let closed = self.endpoints.iter().filter_map(|state| {
            let throttle = state
                .throttle()
                .filter(|throttle| !throttle.can_send(now))?;
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

/// Minimum time until a scheduled dispatch.
const MIN_WAKE_INTERVAL: Duration = Duration::from_millis(10);

fn set_limit(
    state: &mut EndpointState,
    participants: &Participants,
    observation: Observation,
    now: Moment,
) {
    let (zone, key, before) = (&state.member.zone, state.name_hash, state.throttle());
    let share = |limit| participants.share(limit, zone, key);
    state.rate_limit = Some(EndpointLimit::new(observation, before, share, now));
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(NO_SHARE_RETRY_AFTER)
}

//! Endpoints that name a limit for all VMs together, and endpoints that are cold.

use std::sync::Arc;
use std::time::Duration;

use pimento_policy::brittle::Share;
use pimento_policy::loan;
use pimento_policy::throttle::RateLimit;
use pimento_units::Moment;
use pimento_units::id;

use super::PoolState;
use crate::brittle::BrittleState;
use crate::brittle::REJECTION_REPORT_PERIOD;
use crate::endpoint_limit::EndpointLimit;
use crate::endpoint_limit::Kind;
use crate::endpoint_limit::Observation;
use crate::endpoint_limit::Report;
use crate::endpoint_limit::Source;
use crate::endpoint_state::EndpointState;
use crate::endpoint_state::NO_SHARE_RETRY_AFTER;
use crate::no_slot::NoSlot;
use crate::pool::Job;
use crate::pool::Shared;
use crate::requirement::Requirement;

/// Share of a job's remaining time that its wait and its run may take, as at the admission gate.
const USABLE_SHARE: f64 = 0.5;

/// Minimum time after which a job that this VM can't send may be retried.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

impl PoolState {
    /// Records the limit, or its absence, in an endpoint's answer to a call that was sent at `sent`.
    /// Returns whether the limit changed.
    pub fn record_limit(
        &mut self,
        endpoint: &id::Endpoint,
        kind: Kind,
        limit: Option<RateLimit>,
        sent: Moment,
        now: Moment,
    ) -> bool {
        let Some(index) = self.index_of(endpoint) else {
            return false;
        };
        let known = self.endpoints[index].limit_of(kind);
        if !known.map_or(limit.is_some(), |known| known.is_replaced_by(limit, sent)) {
            return false;
        }
        let observation = Observation {
            limit,
            source: Source::Local,
            observed: now,
        };
        self.set_limit(index, kind, observation, now);
        known.and_then(|known| known.limit()) != limit
    }

    /// Merges another VM's report of an endpoint's limit.
    pub fn merge_limit(&mut self, report: Report, now: Moment) {
        let observed = now.before(report.age);
        let Some(index) = self.place_of(report.endpoint) else {
            return;
        };
        let state = &mut self.endpoints[index];
        let recent = report.rejected.filter(|age| *age < REJECTION_REPORT_PERIOD);
        if let Some((age, brittle)) = recent.zip(state.brittle.as_mut()) {
            brittle.record_peer_rejection(now.before(age), now);
        }
        let known = state.limit_of(report.kind);
        if known.is_some_and(|known| known.observed() >= observed) {
            return;
        }
        let observation = Observation {
            limit: report.limit,
            source: Source::Peer,
            observed,
        };
        self.set_limit(index, report.kind, observation, now);
    }

    /// Returns the reports for other VMs.
    pub fn limit_reports(&self, now: Moment) -> Vec<Report> {
        let reports = |state: &EndpointState| {
            let key = state.name_hash;
            let limited = state.rate_limit.as_ref();
            let requests = limited.and_then(|limit| limit.report(key, Kind::Requests, now));
            let brittle = state.brittle.as_ref();
            let rejections = brittle.and_then(|brittle| brittle.report(key, now));
            [requests, rejections].into_iter().flatten()
        };
        self.endpoints.iter().flat_map(reports).collect()
    }

    /// Sets what is known of a limit of the endpoint at `index`.
    fn set_limit(&mut self, index: usize, kind: Kind, observation: Observation, now: Moment) {
        let state = &self.endpoints[index];
        match kind {
            Kind::Requests => {
                let (zone, key) = (&state.member.zone, state.name_hash);
                let share = |limit| self.sharing.rate(limit, zone, key, now);
                let limited = EndpointLimit::new(observation, state.throttle(), share, now);
                self.endpoints[index].rate_limit = Some(limited);
            }
            Kind::Rejections => {
                let share = |limit| self.brittle_share(state, limit);
                let brittle = BrittleState::new(observation, state.brittle, share, now);
                self.endpoints[index].brittle = Some(brittle);
            }
        }
    }

    /// Returns this VM's share of an endpoint that may turn away so many requests.
    pub(super) fn brittle_share(&self, state: &EndpointState, limit: RateLimit) -> Share {
        let capacity = self.hold_time.capacity(state.batch(), limit);
        let (zone, key) = (&state.member.zone, state.name_hash);
        self.sharing
            .participants
            .brittle_share(capacity, zone, key, &self.zones)
    }

    /// Returns `None` if the job may wait for the rate limits and cold starts of the endpoints, else why it
    /// gets no slot. It must be refused at once if all usable endpoints have a limit or are cold, and its turn
    /// would come too late or this VM has no share. `place` is the job's place in its queue, from 1.
    pub fn throttled_for(&self, job: &Job, place: u32, now: Moment) -> Option<NoSlot> {
        let (mut share, mut ready, mut total) = (0.0, 0, 0.0);
        let mut next = Duration::MAX;
        let mut warm_after: Option<Duration> = None;
        for state in self.usable(&job.requirement) {
            let throttle = state.tightest_throttle(now)?;
            share += throttle.rate();
            ready += u32::from(state.accepts_calls(now));
            next = next.min(state.next_allowed(now).since(now));
            if let Some(cold) = state.cold(now) {
                let remaining = cold.remaining(now);
                warm_after = Some(warm_after.map_or(remaining, |known| known.min(remaining)));
                total += f64::from(cold.bound().calls());
            } else {
                let kinds = [Kind::Requests, Kind::Rejections];
                let limits = kinds
                    .into_iter()
                    .filter_map(|kind| state.limit_of(kind)?.limit());
                total += limits.map(RateLimit::per_second).reduce(f64::min)?;
            }
        }
        if share <= 0.0 && warm_after.is_none() {
            let after = seconds(1.0 / total).clamp(MIN_RETRY_AFTER, NO_SHARE_RETRY_AFTER);
            return Some(NoSlot::Overloaded { after });
        }
        let missing = f64::from(place.saturating_sub(ready));
        let by_rate = seconds(missing / share);
        let wait = warm_after.map_or(by_rate, |warm| by_rate.min(warm));
        let budget = job.deadline.since(now).mul_f64(USABLE_SHARE);
        let run_time = self.expected_run_time(&job.requirement, job.tokens);
        let budget = budget.saturating_sub(run_time);
        let reliable = || self.is_in_time_without_loans(by_rate, share, budget, now);
        if wait <= budget && (wait.max(next) <= loan::MAX_WAIT || reliable()) {
            return None;
        }
        let after = wait.clamp(MIN_RETRY_AFTER, NO_SHARE_RETRY_AFTER);
        Some(match warm_after {
            Some(_) => NoSlot::Cold { after },
            None => NoSlot::Overloaded { after },
        })
    }

    /// Returns the number of jobs that wait with a requirement.
    pub fn waiting_jobs(&self, requirement: &Requirement) -> u32 {
        let entry = self.queues.iter().find(|s| s.requirement == *requirement);
        let waiting = entry.map_or(0, |entry| entry.queue.len());
        u32::try_from(waiting).unwrap_or(u32::MAX - 1)
    }

    /// Schedules the next dispatch for when an endpoint with a limit, or a cold one, accepts another call. Without it
    /// nothing might trigger one, since there may be no call in flight that could end before.
    pub(super) fn schedule_wake(&mut self, shared: &Arc<Shared>, now: Moment) {
        if self.queues.iter().all(|entry| entry.queue.is_empty()) {
            return;
        }
        let closed = self.endpoints.iter().filter_map(|state| {
            let wait = state.next_allowed(now).since(now);
            (!wait.is_zero()).then_some(wait)
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

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(NO_SHARE_RETRY_AFTER)
}

//! Jobs that wait for a slot, and jobs that are refused instead.

use std::time::Duration;

use pimento_policy::admission;
use pimento_policy::queue;
use pimento_policy::shed;
use pimento_units::Moment;

use super::PoolState;
use crate::endpoint_state::EndpointState;
use crate::endpoint_state::INITIAL_RUN_TIME;
use crate::pool::Job;
use crate::pool::PendingJob;
use crate::requirement::Requirement;

/// Jobs with one requirement, with their own drain rate. Versions differ in speed, and a job for one version
/// or region must not wait behind jobs for another one whose endpoints are full.
#[derive(Debug)]
pub(super) struct RequirementQueue {
    pub requirement: Requirement,
    pub gate: admission::Gate,
    pub queue: queue::Queue,
    /// Sorted by ticket.
    pub pending: Vec<(queue::Ticket, PendingJob)>,
}

impl PoolState {
    /// Returns the input of the admission gate, or `None` if no usable endpoint holds the version.
    pub fn demand(&mut self, job: &Job, now: Moment) -> Option<admission::Demand> {
        let (mut slots, mut free, mut any) = (0, 0, false);
        for state in self.usable(&job.requirement) {
            any = true;
            slots += state.slots(now);
            free += state.free(now);
        }
        if !any {
            return None;
        }
        let entry = self.queue_of(&job.requirement);
        let ahead = entry
            .queue
            .work_ahead(&job.customer, job.weight, job.priority, job.tokens);
        Some(admission::Demand {
            ahead,
            slots,
            free,
            run_time: entry.gate.run_time(job.tokens),
            deadline: job.deadline,
        })
    }

    pub fn decide(
        &mut self,
        job: &Job,
        demand: admission::Demand,
        now: Moment,
        random: u64,
    ) -> admission::Verdict {
        let entry = self.queue_of(&job.requirement);
        if job.previously_refused {
            return entry.gate.decide_returning(demand, now, random);
        }
        entry.gate.decide(demand, now, random)
    }

    pub fn enqueue(&mut self, pending: PendingJob, start_by: Moment) -> queue::Ticket {
        let entry = self.queue_of(&pending.job.requirement);
        let ticket = entry.queue.enqueue(queue::Job {
            customer: pending.job.customer.clone(),
            weight: pending.job.weight,
            priority: pending.job.priority,
            tokens: pending.job.tokens,
            start_by,
        });
        let index = entry.pending.partition_point(|(t, _)| *t < ticket);
        entry.pending.insert(index, (ticket, pending));
        ticket
    }

    pub fn cancel(&mut self, requirement: &Requirement, ticket: queue::Ticket) {
        let entry = self.queue_of(requirement);
        entry.queue.cancel(ticket);
        if let Ok(index) = entry.pending.binary_search_by_key(&ticket, |(t, _)| *t) {
            entry.pending.remove(index);
        }
    }

    /// Returns when the caller of a job that expired may retry: once the work ahead of it has drained, and
    /// spaced out from other callers.
    pub fn retry_after(&mut self, job: &Job, now: Moment, random: u64) -> Duration {
        let Some(demand) = self.demand(job, now) else {
            return INITIAL_RUN_TIME;
        };
        let entry = self.queue_of(&job.requirement);
        entry.gate.retry_after(demand, now, random)
    }

    pub(super) fn queue_of(&mut self, requirement: &Requirement) -> &mut RequirementQueue {
        let index = self
            .queues
            .binary_search_by(|s| s.requirement.cmp(requirement));
        let index = index.unwrap_or_else(|index| {
            let entry = RequirementQueue {
                requirement: requirement.clone(),
                gate: admission::Gate::new(admission::Config::default()),
                queue: queue::Queue::new(queue::Config::default()),
                pending: Vec::new(),
            };
            self.queues.insert(index, entry);
            index
        });
        &mut self.queues[index]
    }

    /// Returns the time after which to retry if a call to a plain endpoint is refused at once because the
    /// endpoints are overloaded.
    pub fn shed(&mut self, job: &Job, now: Moment, random: u64) -> Option<Duration> {
        let aim = job.aim.filter(|_| job.prompt.is_none())?;
        let expected = |s: &EndpointState| s.delay.expected(now) + s.member.extra_delay;
        let expected = self.usable(&job.requirement).map(expected).min()?;
        let usual = self.usual_target.record(aim.target);
        (!shed::accepts(expected, aim.left, usual, random)).then_some(expected)
    }

    /// Returns the time after which to retry if every usable endpoint is unavailable beyond the job's latest
    /// start: it is ejected, its last refusal names a later time, or its rate limit allows this VM no call
    /// before. Returns `None` if an endpoint may accept the job. Refusing such a job at once is better than
    /// trying the endpoints until its time is up.
    pub fn unavailable_for(&self, job: &Job, now: Moment) -> Option<Duration> {
        if let Some(after) = self.all_rest_for(job, now) {
            return Some(after);
        }
        let run_time = self.expected_run_time(&job.requirement, job.tokens);
        let slack = job.deadline.since(now).saturating_sub(run_time);
        let states = self.usable(&job.requirement);
        let last_resort = self.is_last_resort(&job.requirement, now);
        let retry_at = |state: &EndpointState| {
            let ejected_until = if last_resort {
                Moment::ZERO
            } else {
                self.health.ejected_until(&state.member.endpoint)
            };
            state
                .retry_at
                .max(ejected_until)
                .max(state.next_allowed(now))
        };
        let earliest = states.map(retry_at).min()?;
        let after = earliest.since(now);
        (after > slack).then_some(after)
    }
}

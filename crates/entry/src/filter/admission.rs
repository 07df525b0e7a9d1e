//! Admission and queueing: a request gets a slot at an endpoint, or a refusal if it can't start by its
//! deadline.

use std::time::Duration;

use pimento_scheduler::Job;
use pimento_scheduler::NoSlot;
use pimento_scheduler::Permit;
use pimento_units::id;

use super::Filter;
use super::identify::Identity;
use crate::node::Node;
use crate::refusal::Refusal;

/// Waits for a slot.
#[derive(Debug, Clone)]
pub struct Admission<'a>(pub &'a Node);

/// Request for a slot in a pool.
#[derive(Debug)]
pub struct SlotRequest<'a> {
    /// The pool.
    pub pool: &'a id::Pool,
    /// The work.
    pub job: Job,
    /// The request that it is for.
    pub identity: &'a Identity,
}

/// A slot and the time spent waiting for it.
#[derive(Debug)]
pub struct Admitted {
    /// The slot.
    pub permit: Permit,
    /// Time spent in the queue.
    pub waited: Duration,
}

impl<'a> Filter<SlotRequest<'a>> for Admission<'_> {
    type Output = Admitted;

    async fn apply(&self, slot_request: SlotRequest<'a>) -> Result<Admitted, Refusal> {
        let started = self.0.clock.now();
        let pool = self.0.scheduler.pool(slot_request.pool);
        let identity = slot_request.identity;
        let job = slot_request.job;
        let version = job.requirement.version.clone();
        let tokens = job.tokens;
        let slot = pool.acquire(job, &identity.caller_gone);
        let permit = match identity.end.run(slot).await {
            Some(Ok(permit)) => permit,
            // Another VM may have the time that this one lacks.
            Some(Err(NoSlot::Overloaded { .. } | NoSlot::Expired { .. }))
                if identity.is_cut_short() =>
            {
                return Err(Refusal::shutting_down());
            }
            Some(Err(no_slot)) => return Err(no_slot.into()),
            None => return Err(Refusal::shutting_down()),
        };
        let now = self.0.clock.now();
        // The VM may have been told to stop while the request waited.
        let run_time = pool.expected_run_time(version.as_ref(), tokens);
        if identity.is_cut_short() && now + run_time > identity.work_deadline() {
            return Err(Refusal::shutting_down());
        }
        let waited = now.since(started);
        Ok(Admitted { permit, waited })
    }
}

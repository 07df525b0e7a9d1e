//! Admission and queueing: a request gets a slot at an endpoint, or a refusal if it can't start by its
//! deadline.

use std::time::Duration;

use pimento_scheduler::Job;
use pimento_scheduler::Permit;
use pimento_units::id;
use tokio_util::sync::CancellationToken;

use super::Filter;
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
    /// Cancelled when the caller disconnects.
    pub caller_gone: &'a CancellationToken,
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
        let permit = pool
            .acquire(slot_request.job, slot_request.caller_gone)
            .await?;
        let waited = self.0.clock.now().since(started);
        Ok(Admitted { permit, waited })
    }
}

//! Admission and queue: a slot at an endpoint, or a refusal in good time.

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

/// Work that wants a slot in a pool.
#[derive(Debug)]
pub struct Want<'a> {
    /// The pool.
    pub pool: &'a id::Pool,
    /// The work.
    pub job: Job,
    /// Cancelled when nobody waits any more.
    pub gone: &'a CancellationToken,
}

/// A slot, and how long it was waited for.
#[derive(Debug)]
pub struct Admitted {
    /// The slot.
    pub permit: Permit,
    /// Time in the queue.
    pub waited: Duration,
}

impl<'a> Filter<Want<'a>> for Admission<'_> {
    type Output = Admitted;

    async fn apply(&self, want: Want<'a>) -> Result<Admitted, Refusal> {
        let begun = self.0.clock.now();
        let pool = self.0.scheduler.pool(want.pool);
        let permit = pool.acquire(want.job, want.gone).await?;
        let waited = self.0.clock.now().since(begun);
        Ok(Admitted { permit, waited })
    }
}

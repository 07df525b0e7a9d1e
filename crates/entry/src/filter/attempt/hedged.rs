//! Hedging: starts a slow answer at a second engine too.

use futures::future::Either;
use pimento_endpoint::Fault;
use pimento_policy::hedge;
use pimento_scheduler::Permit;
use pimento_units::Tokens;
use pimento_units::id;

use super::Attempt;
use super::Context;
use super::opened::Opened;

/// Expected tokens from which an attempt counts as long for hedging. The queue has a threshold of its own.
const LONG_JOB: Tokens = Tokens(6_000);

impl Attempt<'_> {
    /// Starts an answer. If a short request waits unusually long for its first chunk, starts it at a second
    /// engine too and uses the answer that starts first.
    pub(super) async fn open_hedged(
        &self,
        permit: Permit,
        context: &mut Context<'_>,
    ) -> Result<Opened, Fault> {
        let node = self.0;
        let time_left = context.request.identity.deadline.since(node.clock.now());
        let long = self.expected_tokens(context) >= LONG_JOB;
        let attempt = hedge::Attempt {
            repeatable: true,
            long,
            time_left,
        };
        let delay = node.retries.hedge_delay(context.version, attempt);
        context.trace.attempts += 1;
        let endpoint = permit.endpoint().clone();
        let first = self.open(permit, context);
        tokio::pin!(first);
        let Some(delay) = delay else {
            return first.await;
        };
        tokio::select! {
            biased;
            opened = &mut first => return opened,
            () = tokio::time::sleep(delay) => {}
        }
        let Some(permit) = self.acquire_hedge(context, &endpoint) else {
            return first.await;
        };
        node.metrics.record_attempt(context.pool, "hedged");
        let second = self.open(permit, context);
        tokio::pin!(second);
        match futures::future::select(first, second).await {
            Either::Left((Ok(opened), _)) | Either::Right((Ok(opened), _)) => Ok(opened),
            Either::Left((Err(fault), remaining)) => remaining
                .await
                .map_err(|other| prefer_maybe_run(fault, other)),
            Either::Right((Err(fault), remaining)) => remaining
                .await
                .map_err(|other| prefer_maybe_run(fault, other)),
        }
    }

    /// Acquires a free slot at another engine, if the retry budgets allow a hedge.
    fn acquire_hedge(&self, context: &Context<'_>, first: &id::Endpoint) -> Option<Permit> {
        let node = self.0;
        self.usable_version(context)?;
        node.ensure_not_blocked(context.request.digest).ok()?;
        let mut job = self.job(context);
        job.tried.push(first.clone());
        let permit = node.scheduler.pool(context.pool).try_acquire(&job)?;
        let customer = &context.request.customer;
        let allowed = permit.endpoint() != first
            && node
                .retries
                .try_withdraw(customer, context.pool, node.clock.now());
        allowed.then_some(permit)
    }
}

/// Of two faults, the one after which the request may have run, if any.
fn prefer_maybe_run(one: Fault, other: Fault) -> Fault {
    if one.not_run() { other } else { one }
}

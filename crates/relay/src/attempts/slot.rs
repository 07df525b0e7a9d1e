//! Waits for a slot at an endpoint, and the reasons why none can be had.

use pimento_scheduler::NoSlot;
use pimento_scheduler::Permit;
use pimento_scheduler::Requirement;
use pimento_units::id;
use tokio_util::sync::CancellationToken;

use super::Attempts;
use super::Overrides;
use super::reserve::NO_ENDPOINT_RETRY_AFTER;
use crate::admit::Grant;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::pools;
use crate::refusal::Cause;
use crate::refusal::Refusal;
use crate::stage::Step;
use crate::topic::Log;

impl<P: HeaderCodec + Codec, L: Log> Attempts<'_, P, L> {
    /// Waits for a slot at an endpoint that is still usable.
    pub(super) async fn acquire_slot(
        &mut self,
        overrides: &Overrides,
        excluded: Option<&id::Endpoint>,
    ) -> Result<Permit, Refusal> {
        let mut refreshed = false;
        loop {
            let pool = self.node.scheduler.pool(&self.request.pool);
            // Dropping this future removes the job from the queue, so the token is never cancelled.
            let never = CancellationToken::new();
            let started = self.node.now();
            self.request.tracker.enter(Step::Queued, started);
            let Some(job) = self.job(overrides, excluded) else {
                let refusal = Refusal::new(Cause::Exposure);
                return Err(self.qualify(refusal.with_retry_after(NO_ENDPOINT_RETRY_AFTER)));
            };
            let permit = tokio::select! {
                biased;
                permit = pool.acquire(job, &never) => permit,
                refusal = self.no_longer_allowed() => return Err(refusal),
            };
            let waited = self.node.now().since(started);
            let route = &self.request.grant.route.name;
            self.node.metrics.observe_queue_wait(route, waited);
            let permit = match permit {
                Ok(permit) => permit,
                // A suitable endpoint may have registered since the pool was last updated. One refresh is
                // enough, since no other task runs between the refresh and the next try.
                Err(NoSlot::NoEndpoint { .. }) if !refreshed => {
                    refreshed = true;
                    pools::refresh(self.node);
                    continue;
                }
                Err(NoSlot::NoEndpoint { after }) => {
                    let cause = self.no_endpoint_cause();
                    return Err(self.qualify(Refusal::new(cause).with_retry_after(after)));
                }
                Err(refused) => return Err(self.qualify(refused.into())),
            };
            if self.node.usable(permit.endpoint()) && self.may_use_version(&permit) {
                return Ok(permit);
            }
            self.skip_unusable(permit.endpoint())?;
        }
    }

    /// Waits until a change of the configuration no longer allows the request. While the configuration is just
    /// too old, it waits on: a newer one may come before the slot.
    async fn no_longer_allowed(&self) -> Refusal {
        let mut changes = self.node.operators.changes();
        while changes.changed().await.is_ok() {
            match self.check_allowed() {
                Err(refusal) if refusal.cause != Cause::Stale => return refusal,
                _ => {}
            }
        }
        std::future::pending().await
    }

    /// The zones in which the request may run by its grant, as a requirement of any version.
    pub(super) fn home_requirement(&self, grant: &Grant) -> Requirement {
        Requirement {
            version: None,
            zones: grant.allowed_zones(&self.node.config.zones),
        }
    }

    /// Why no endpoint can take the request, although the view of the endpoints is up to date.
    fn no_endpoint_cause(&self) -> Cause {
        let request = self.request;
        let homes = self.home_requirement(&request.grant);
        let allowed = |zone: &id::Zone| homes.allows_zone(zone);
        let registered = self.node.usable_zones(&request.pool);
        if !registered.is_empty() && !registered.iter().any(allowed) {
            return Cause::NotHome;
        }
        let evacuated = self.node.operators.view(|view| {
            let evacuations = view.evacuations();
            let mut zones = registered.iter().filter(|zone| allowed(zone));
            zones.any(|zone| evacuations.contains(zone))
        });
        if evacuated {
            Cause::Evacuated
        } else {
            Cause::NoEndpoint
        }
    }
}

//! Reserves an endpoint for an attempt: a slot, a connection, and all checks that come before the send.

use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_scheduler::Permit;
use pimento_units::id;

use super::Attempts;
use super::Overrides;
use crate::admit;
use crate::admit::Grant;
use crate::codec::Codec;
use crate::connection::Connection;
use crate::headers::HeaderCodec;
use crate::node::millis;
use crate::poison;
use crate::pools;
use crate::refusal::Cause;
use crate::refusal::Refusal;
use crate::topic::Log;

/// Maximum number of endpoints that are tried for one request without running it. Each costs a round
/// trip, and if so many decline, the pool is full or the list of endpoints is out of date.
const MAX_DECLINED: usize = 5;

/// Maximum number of endpoints that one search can't connect to. A refused connect costs a round trip only,
/// and all endpoints of a version stop at the same moment, before they leave the list.
const MAX_UNREACHABLE: usize = 25;

/// Maximum number of addresses that answer for other endpoints in one search. Each such endpoint is avoided from
/// then on, so that the next search starts without it. Each attempt also consumes a retry.
const MAX_MISDIRECTED: usize = 10;

/// Retry delay for callers whose request no endpoint accepted. Within this time the endpoints' queues have
/// advanced.
pub(super) const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A slot and a connection at an endpoint to which the request may be sent now.
#[derive(Debug)]
pub struct Reservation {
    pub(super) permit: Permit,
    pub(super) connection: Connection,
}

impl<P: HeaderCodec + Codec, L: Log> Attempts<'_, P, L> {
    /// Reserves an endpoint for the next attempt, with all checks and a retry from the budget. It is not the
    /// excluded one, which still runs the request. What is reserved must be sent at once.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if no endpoint can be had now. Nothing was sent.
    pub async fn reserve(
        &mut self,
        overrides: &Overrides,
        excluded: Option<&id::Endpoint>,
    ) -> Result<Reservation, Refusal> {
        loop {
            self.check_not_blocked()?;
            self.check_can_end(overrides)?;
            let mut permit = self.acquire_slot(overrides, excluded).await?;
            let connection = match self.connect(&mut permit).await {
                Ok(connection) => connection,
                Err(failure) => {
                    self.not_connected(permit, &failure)?;
                    continue;
                }
            };
            if !self.may_send_to(&permit)? {
                self.skip_unusable(permit.endpoint())?;
                continue;
            }
            if self.state.sent > 0 && !self.consume_retry() {
                return Err(self.no_retry_left());
            }
            return Ok(Reservation { permit, connection });
        }
    }

    /// The refusal if the retry budget is exhausted. Callers of requests that may run only once come back
    /// only if they are told that it did not run.
    const fn no_retry_left(&self) -> Refusal {
        if self.may_have_run() {
            Refusal::new(Cause::NoRetry).with_unknown_outcome()
        } else {
            Refusal::new(Cause::Overloaded).with_retry_after(NO_ENDPOINT_RETRY_AFTER)
        }
    }

    /// The refusal if no endpoint can take the request.
    const fn no_endpoint(&self) -> Refusal {
        let refusal = Refusal::new(Cause::NoEndpoint).with_retry_after(NO_ENDPOINT_RETRY_AFTER);
        self.qualify(refusal)
    }

    /// Consumes a retry from the budget. Returns false if it is exhausted.
    fn consume_retry(&self) -> bool {
        let now = self.node.now();
        self.node.retry_budgets.try_acquire(&self.request.pool, now)
    }

    /// Avoids an endpoint that the pool offered although it accepts no new work, and updates the pool.
    /// The task that updates the pool runs only once this one waits. Without the update, the request would
    /// get the same leaving endpoint again until it is refused, although others are free.
    pub(super) fn skip_unusable(&mut self, endpoint: &id::Endpoint) -> Result<(), Refusal> {
        self.state.tried.push(endpoint.clone());
        pools::refresh(self.node);
        self.count_declined()
    }

    /// Counts an endpoint that did not run the request.
    pub(super) fn count_declined(&mut self) -> Result<(), Refusal> {
        self.state.declined += 1;
        if self.state.declined >= MAX_DECLINED {
            return Err(self.no_endpoint());
        }
        Ok(())
    }

    /// Starts to count endpoints that don't run the request anew.
    pub fn begin_search(&mut self) {
        self.state.declined = 0;
        self.state.misdirected = 0;
        self.state.unreachable = 0;
    }

    /// Counts an endpoint that could not be connected to, without a wait for it.
    pub(super) fn count_unreachable(&mut self) -> Result<(), Refusal> {
        self.state.unreachable += 1;
        if self.state.unreachable >= MAX_UNREACHABLE {
            return Err(self.no_endpoint());
        }
        Ok(())
    }

    /// Records that an endpoint's address answered for another one, and counts it. If the request was sent there
    /// before, no other endpoint could take it; that counts like a refusal.
    pub(super) fn misdirected(&mut self, permit: Permit, fault: &Fault) -> Result<(), Refusal> {
        let again = self.state.tried.contains(permit.endpoint());
        self.apply_absence(&permit);
        self.record_declined(permit, fault, "misdirected");
        if again {
            return self.count_declined();
        }
        self.state.misdirected += 1;
        if self.state.misdirected >= MAX_MISDIRECTED {
            return Err(self.no_endpoint());
        }
        Ok(())
    }

    /// Records that an endpoint did not run the request, and counts it.
    pub(super) fn endpoint_declined(
        &mut self,
        permit: Permit,
        fault: &Fault,
    ) -> Result<(), Refusal> {
        self.record_declined(permit, fault, "not_run");
        self.count_declined()
    }

    /// Records that an endpoint did not run the request. `result` is counted in the metrics.
    pub(super) fn record_declined(&mut self, permit: Permit, fault: &Fault, result: &str) {
        self.log_failure(
            &permit,
            fault,
            "attempt: The endpoint did not run the request.",
        );
        self.node.metrics.count_attempt(&self.request.pool, result);
        let endpoint = permit.endpoint().clone();
        permit.failed(fault);
        if self.is_brittle(&endpoint) {
            // All VMs stop sending there for a moment.
            self.node.announced.notify_one();
        }
        self.state.tried.push(endpoint);
    }

    fn is_brittle(&self, endpoint: &id::Endpoint) -> bool {
        let pool = self.node.scheduler.pool(&self.request.pool);
        pool.is_brittle(endpoint)
    }

    /// Refuses the request if it is blocked because endpoints crashed while they ran it.
    fn check_not_blocked(&self) -> Result<(), Refusal> {
        let request = self.request;
        let Some(left) = poison::block_remaining(self.node, request) else {
            return Ok(());
        };
        log::info!(
            request = request.info.id.as_str(),
            digest:% = request.digest,
            left_ms = millis(left);
            "attempt: Not sent, the request is blocked because endpoints crashed on it."
        );
        Err(self.qualify(Refusal::new(Cause::Poison).with_retry_after(left)))
    }

    /// Checks that the request may still be sent.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if its key, its route or its service no longer allow it, if it is blocked because
    /// endpoints crashed while they ran it, or if this VM ends.
    pub fn check_allowed(&self) -> Result<Grant, Refusal> {
        self.check_not_blocked()?;
        self.check_not_ending()?;
        let request = self.request;
        let grant = if self.may_have_run() {
            admit::recheck_sent(self.node, &request.info, request.path())
        } else {
            admit::recheck(self.node, &request.info, request.path())
        };
        let grant = grant.map_err(|refusal| self.qualify(refusal))?;
        let same_customer = grant.customer == request.grant.customer;
        if !same_customer || !grant.route.allows(&request.pool) {
            return Err(self.no_endpoint());
        }
        Ok(grant)
    }

    /// Whether the request may still be sent to the permit's endpoint. An endpoint that became cold after
    /// the permit was given may not get it, or calls beyond its bound would reach it, one from each VM.
    ///
    /// # Errors
    ///
    /// As [`check_allowed`](Self::check_allowed).
    fn may_send_to(&self, permit: &Permit) -> Result<bool, Refusal> {
        let grant = self.check_allowed()?;
        let at_home = self.home_requirement(&grant).allows_zone(permit.zone());
        let paced = permit.is_cold() || !self.node.is_cold(permit.endpoint());
        let pool = self.node.scheduler.pool(&self.request.pool);
        let rests = pool.is_resting(permit.endpoint());
        let usable = self.node.usable(permit.endpoint()) && self.may_use_version(permit);
        Ok(at_home && paced && !rests && usable)
    }
}

//! A slot at an endpoint, released with the outcome of its call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_policy::eject;
use pimento_policy::engine;
use pimento_policy::limit;
use pimento_policy::queue;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;

use crate::pool::Shared;
use crate::requirement::Requirement;

/// A slot that a pool has given to a job.
#[derive(Debug, Clone)]
pub(crate) struct Slot {
    pub endpoint: id::Endpoint,
    pub zone: id::Zone,
    pub address: SocketAddr,
    pub incarnation: u64,
    pub requirement: Requirement,
    /// Whether the endpoint was cold, so that the call counted against its bound.
    pub cold: bool,
    pub dispatch: Option<queue::Dispatch>,
    pub since: Moment,
    /// Whether the time of the call shows the endpoint's speed.
    pub timed: bool,
    /// Identifies the call at its engine, if it has a prompt.
    pub call: Option<engine::CallId>,
    /// The prompt, if the call is at an engine.
    pub prompt: Option<engine::Prompt>,
    /// Expected prefill time of the prompt; zero without one.
    pub prefill_time: Duration,
}

/// The right to make one call at one endpoint. If it is dropped without an outcome, the call does not count
/// for or against the endpoint's health.
#[derive(Debug)]
pub struct Permit {
    shared: Arc<Shared>,
    slot: Slot,
    released: bool,
    /// Whether the call is silent and this was counted.
    silent: bool,
}

impl Permit {
    pub(crate) const fn new(shared: Arc<Shared>, slot: Slot) -> Self {
        Self {
            shared,
            slot,
            released: false,
            silent: false,
        }
    }

    /// Returns the slot without releasing it, for a caller that holds the pool's lock.
    pub(crate) fn into_slot(mut self) -> Slot {
        self.released = true;
        self.slot.clone()
    }

    pub(crate) const fn set_dispatch(&mut self, dispatch: queue::Dispatch) {
        self.slot.dispatch = Some(dispatch);
    }

    /// Returns the endpoint.
    #[must_use]
    pub const fn endpoint(&self) -> &id::Endpoint {
        &self.slot.endpoint
    }

    /// Returns the endpoint's zone.
    #[must_use]
    pub const fn zone(&self) -> &id::Zone {
        &self.slot.zone
    }

    /// Returns the version that the job required.
    #[must_use]
    pub const fn version(&self) -> Option<&id::Version> {
        self.slot.requirement.version.as_ref()
    }

    /// Returns whether the endpoint was known to be cold when the permit was given.
    #[must_use]
    pub const fn is_cold(&self) -> bool {
        self.slot.cold
    }

    /// Returns the endpoint's incarnation, as in its [`Member`](crate::Member).
    #[must_use]
    pub const fn incarnation(&self) -> u64 {
        self.slot.incarnation
    }

    /// Returns the endpoint's address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.slot.address
    }

    /// Returns the expected prefill time of the call's prompt; zero if it has none.
    #[must_use]
    pub const fn prefill_time(&self) -> Duration {
        self.slot.prefill_time
    }

    /// Records that the call takes a detour or waited for lost links, so that its time says nothing of the
    /// endpoint.
    pub const fn set_untimed(&mut self) {
        self.slot.timed = false;
    }

    /// Records that the first token has arrived: the prompt is prefilled.
    pub fn record_first_token(&mut self) {
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        state.record_first_token(&self.slot, now);
        state.dispatch_waiting(&self.shared, now);
    }

    /// Counts the call as silent and keeps its slot. Once the call has failed, the scheduler would learn of the
    /// silence too late, and would send further calls meanwhile.
    pub fn record_silence(&mut self) {
        if self.silent {
            return;
        }
        self.silent = true;
        let now = self.shared.clock.now();
        let mut state = self.shared.lock();
        state.record_silence(&self.slot, now);
        // An endpoint that was ejected before may be in use again in place of this one.
        state.dispatch_waiting(&self.shared, now);
    }

    /// Records that the call is no longer silent.
    pub const fn end_silence(&mut self) {
        self.silent = false;
    }

    /// Releases the slot after a complete answer. `tokens` includes the prompt.
    pub fn served(mut self, tokens: Tokens) {
        let now = self.shared.clock.now();
        let took = now.since(self.slot.since);
        #[expect(clippy::cast_precision_loss, reason = "token counts are small")]
        let seconds_per_token = took.as_secs_f64() / tokens.0.max(1) as f64;
        let outcome = if self.slot.timed {
            limit::Outcome::Served { tokens, took }
        } else {
            limit::Outcome::Unknown
        };
        // The duration of an engine's answer depends on its model and length, and says nothing about its
        // health.
        let health = if self.slot.call.is_some() || !self.slot.timed {
            eject::Outcome::AnsweredUntimed
        } else {
            eject::Outcome::Served { seconds_per_token }
        };
        self.release(outcome, health, now);
    }

    /// Releases the slot after a fault.
    pub fn failed(mut self, fault: &Fault) {
        let now = self.shared.clock.now();
        let (limit, health) = match fault {
            Fault::Refused { .. } => (limit::Outcome::Overload, eject::Outcome::Unknown),
            Fault::Timeout if self.silent => (limit::Outcome::Overload, eject::Outcome::Unknown),
            Fault::Timeout => (limit::Outcome::Overload, eject::Outcome::Silent),
            Fault::Cancelled => (limit::Outcome::Unknown, eject::Outcome::Unknown),
            Fault::Unreachable { .. }
            | Fault::Failed { .. }
            | Fault::Interrupted { .. }
            | Fault::Invalid { .. } => (limit::Outcome::Unknown, eject::Outcome::Failed),
        };
        // This comes before the slot's release, or the next job would be sent to the endpoint at once.
        if let Fault::Refused { retry_after, .. } = fault {
            self.back_off(retry_after.unwrap_or_default(), now);
        }
        self.release(limit, health, now);
    }

    /// Releases the slot after a connect to which the endpoint did not respond.
    pub fn unanswered(mut self) {
        let now = self.shared.clock.now();
        self.release(limit::Outcome::Unknown, eject::Outcome::Silent, now);
    }

    /// Releases the slot after a fault that says nothing of the endpoint, such as a lost link to it.
    pub fn lost(mut self) {
        let now = self.shared.clock.now();
        self.release(limit::Outcome::Unknown, eject::Outcome::Unknown, now);
    }

    /// Sends no calls for a while to an endpoint that refused one, and then dispatches waiting jobs again.
    fn back_off(&self, after: Duration, now: Moment) {
        let endpoint = &self.slot.endpoint;
        let span = self.shared.lock().back_off(endpoint, after, now);
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            tokio::time::sleep(span).await;
            let now = shared.clock.now();
            shared.lock().dispatch_waiting(&shared, now);
        });
    }

    fn release(&mut self, limit: limit::Outcome, health: eject::Outcome, now: Moment) {
        self.released = true;
        let mut state = self.shared.lock();
        state.release(&self.slot, limit, health, now);
        state.dispatch_waiting(&self.shared, now);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if !self.released {
            let now = self.shared.clock.now();
            self.release(limit::Outcome::Unknown, eject::Outcome::Unknown, now);
        }
    }
}

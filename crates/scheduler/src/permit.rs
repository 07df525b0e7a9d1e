//! A slot at an endpoint, given back with what was learnt from the call.

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

/// A slot as the pool gave it.
#[derive(Debug, Clone)]
pub(crate) struct Slot {
    pub endpoint: id::Endpoint,
    pub zone: id::Zone,
    pub address: SocketAddr,
    pub version: Option<id::Version>,
    pub dispatch: Option<queue::Dispatch>,
    pub since: Moment,
    /// Its prompt at an engine.
    pub call: Option<engine::CallId>,
    /// The prompt itself.
    pub prompt: Option<engine::Prompt>,
}

/// The right to make one call at one endpoint. Dropped without a report, it says nothing about the
/// endpoint's health.
#[derive(Debug)]
pub struct Permit {
    shared: Arc<Shared>,
    slot: Slot,
    released: bool,
}

impl Permit {
    pub(crate) const fn new(shared: Arc<Shared>, slot: Slot) -> Self {
        Self {
            shared,
            slot,
            released: false,
        }
    }

    /// Takes the slot out without giving it back, for a holder of the pool's lock.
    pub(crate) fn into_slot(mut self) -> Slot {
        self.released = true;
        self.slot.clone()
    }

    pub(crate) const fn set_dispatch(&mut self, dispatch: queue::Dispatch) {
        self.slot.dispatch = Some(dispatch);
    }

    /// The endpoint.
    #[must_use]
    pub const fn endpoint(&self) -> &id::Endpoint {
        &self.slot.endpoint
    }

    /// Its zone.
    #[must_use]
    pub const fn zone(&self) -> &id::Zone {
        &self.slot.zone
    }

    /// The version that the job was for.
    #[must_use]
    pub const fn version(&self) -> Option<&id::Version> {
        self.slot.version.as_ref()
    }

    /// Where it is.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.slot.address
    }

    /// The first token has come: the prompt is read.
    pub fn first_token(&mut self) {
        let now = self.shared.clock.now();
        let mut inner = self.shared.lock();
        inner.first_token(&self.slot, now);
        inner.dispatch_waiting(&self.shared, now);
    }

    /// Gives the slot back after a whole answer of `tokens`, prompt included.
    pub fn served(mut self, tokens: Tokens) {
        let now = self.shared.clock.now();
        let took = now.since(self.slot.since);
        #[expect(clippy::cast_precision_loss, reason = "token counts are small")]
        let pace = took.as_secs_f64() / tokens.0.max(1) as f64;
        let outcome = limit::Outcome::Served { tokens, took };
        // Answers of engines take as long as their model and their length make them.
        let health = if self.slot.call.is_some() {
            eject::Outcome::AnsweredUntimed
        } else {
            eject::Outcome::Served {
                seconds_per_token: pace,
            }
        };
        self.release(outcome, health, now);
    }

    /// Gives the slot back after a fault.
    pub fn failed(mut self, fault: &Fault) {
        let now = self.shared.clock.now();
        let (limit, health) = match fault {
            Fault::Refused { .. } => (limit::Outcome::Overload, eject::Outcome::Unknown),
            Fault::Timeout => (limit::Outcome::Overload, eject::Outcome::Failed),
            Fault::Cancelled => (limit::Outcome::Unknown, eject::Outcome::Unknown),
            Fault::Unreachable { .. }
            | Fault::Failed { .. }
            | Fault::Cut { .. }
            | Fault::Nonsense { .. } => (limit::Outcome::Unknown, eject::Outcome::Failed),
        };
        // Closed before its slot is given back, or the next job would be sent there at once.
        if let Fault::Refused { after, .. } = fault {
            self.back_off(after.unwrap_or_default(), now);
        }
        self.release(limit, health, now);
    }

    /// Leaves an endpoint that is full alone for a while, and then looks for waiting work again.
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
        let mut inner = self.shared.lock();
        inner.release(&self.slot, limit, health, now);
        inner.dispatch_waiting(&self.shared, now);
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

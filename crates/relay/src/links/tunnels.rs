//! Connections through other VMs, and what those tell of an endpoint.

use std::time::Duration;

use pimento_endpoint::probe;
use pimento_tunnel::Tunnel;
use pimento_tunnel::client;
use pimento_tunnel::message::Reply;
use pimento_tunnel::message::Request;

use super::Links;
use super::Target;

/// VMs that are asked for one request. Most that can't help are known before.
const MAX_HELPERS: usize = 3;

/// Time that another VM has for its own connect, beside the time for the connection to it.
const HELPER_SLACK: Duration = Duration::from_millis(100);

/// Why no other VM connected to an endpoint.
pub(super) enum Declined {
    /// One that reaches endpoints did not reach this one.
    ByEndpoint(Reply),
    /// None was able to.
    NoHelper,
}

impl Links {
    /// Whether nobody listens at an endpoint's address. A VM that loses its links is refused by endpoints
    /// that other VMs reach, so that one of them has to confirm it.
    pub async fn is_refused(&self, target: Target<'_>) -> bool {
        if !probe::is_refused(target.address, self.connect_timeout()).await {
            return false;
        }
        match self.open_tunnel(target).await {
            Ok(_) | Err(Declined::ByEndpoint(Reply::TimedOut)) => false,
            Err(Declined::ByEndpoint(_)) => true,
            Err(Declined::NoHelper) => self.is_alone() || !self.are_suspect(),
        }
    }

    /// Opens a tunnel to an endpoint at another VM.
    pub(super) async fn open_tunnel(&self, target: Target<'_>) -> Result<Tunnel, Declined> {
        let request = Request {
            endpoint: target.endpoint.clone(),
            lifetime: target.lifetime,
        };
        let timeout = self.connect_timeout() * 2 + HELPER_SLACK;
        for _ in 0..MAX_HELPERS {
            let (zone, now) = (target.zone, self.clock.now());
            let random = rand::random();
            let helper = self
                .lock()
                .helpers
                .choose(&self.zone, zone, random, now)
                .ok_or(Declined::NoHelper)?;
            let error = match client::open(helper, &request, timeout).await {
                Ok(tunnel) => {
                    let mut state = self.lock();
                    state.counts.relayed += 1;
                    state.helpers.record_used(helper, self.clock.now());
                    return Ok(tunnel);
                }
                Err(error) => error,
            };
            let endpoint = target.endpoint.as_str();
            log::info!(endpoint, helper:%, error:%; "links: No connection through another VM.");
            let mut state = self.lock();
            state.counts.not_relayed += 1;
            if let client::Error::Declined {
                reply: reply @ (Reply::Refused | Reply::TimedOut),
            } = error
            {
                state.reach.forget(target.endpoint);
                return Err(Declined::ByEndpoint(reply));
            }
            state.helpers.record_failed(helper, self.clock.now());
        }
        Err(Declined::NoHelper)
    }
}

//! What endpoints announce in their responses, whatever a response's status is.

use pimento_policy::throttle::RateLimit;
use pimento_scheduler::Permit;
use pimento_scheduler::endpoint_limit::Kind;
use pimento_units::id;

use super::Attempts;
use crate::absences;
use crate::boot;
use crate::codec::Codec;
use crate::headers::AnnouncedLimit;
use crate::headers::AnnouncedRest;
use crate::headers::HeaderCodec;
use crate::headers::ResponseInfo;
use crate::incarnation::Incarnation;
use crate::pools;
use crate::topic::Log;

impl<P: HeaderCodec + Codec, L: Log> Attempts<'_, P, L> {
    /// Applies what the endpoint of a permit announces in a response.
    pub(super) fn apply_announcements(&self, permit: &Permit, info: &ResponseInfo) {
        let endpoint = permit.endpoint();
        self.apply_limit(endpoint, Kind::Requests, &info.limit);
        self.apply_limit(endpoint, Kind::Rejections, &info.max_rejections);
        self.apply_rest(endpoint, &info.rest);
        if info.leaving {
            self.apply_departure(permit);
        }
    }

    fn apply_limit(&self, endpoint: &id::Endpoint, kind: Kind, limit: &AnnouncedLimit) {
        let request = self.request.info.id.as_str();
        let of = kind.as_str();
        let limit = match limit {
            AnnouncedLimit::Absent => None,
            AnnouncedLimit::Limit(limit) => Some(*limit),
            // The previous limit stays in force.
            AnnouncedLimit::Invalid(error) => {
                let endpoint = endpoint.as_str();
                log::warn!(request, endpoint, of, error:%; "attempt: The endpoint announced an invalid limit.");
                return;
            }
        };
        let pool = self.node.scheduler.pool(&self.request.pool);
        if pool.record_limit(endpoint, kind, limit, self.state.last_sent) {
            let limit = limit.map(RateLimit::per_second);
            let endpoint = endpoint.as_str();
            log::info!(request, endpoint, of, limit; "attempt: The endpoint announced a new limit.");
            self.node.announced.notify_one();
        }
    }

    /// Sends nothing for some time to an endpoint that asks for rest.
    fn apply_rest(&self, endpoint: &id::Endpoint, rest: &AnnouncedRest) {
        let request = self.request.info.id.as_str();
        match rest {
            AnnouncedRest::Absent => {}
            AnnouncedRest::Rest(rest) => {
                let pool = self.node.scheduler.pool(&self.request.pool);
                pool.record_rest(endpoint, *rest);
                let endpoint = endpoint.as_str();
                log::info!(request, endpoint, rest_s:% = rest; "attempt: The endpoint asked for rest.");
                if self.node.links.are_suspect() {
                    // It was another VM that the endpoint turned away.
                    self.node.announced.notify_one();
                }
            }
            AnnouncedRest::Invalid(error) => {
                let endpoint = endpoint.as_str();
                log::warn!(request, endpoint, error:%; "attempt: The endpoint asked for an invalid time of rest.");
            }
        }
    }

    /// Sends nothing more to an endpoint that leaves, whatever the log lists.
    fn apply_departure(&self, permit: &Permit) {
        let departure = Incarnation::new(permit.endpoint(), permit.incarnation());
        if !self.node.departures.record(departure, boot::now()) {
            return;
        }
        let request = self.request.info.id.as_str();
        let endpoint = permit.endpoint().as_str();
        log::info!(request, endpoint; "attempt: The endpoint announced that it leaves.");
        pools::refresh(self.node);
        self.node.announced.notify_one();
    }

    /// Sends nothing for some time to an endpoint whose address answers for another one, and tells the other VMs
    /// at once: each of them would find it out by a request of its own.
    pub(super) fn apply_absence(&self, permit: &Permit) {
        let absence = Incarnation::new(permit.endpoint(), permit.incarnation());
        if absences::record(self.node, absence, boot::now()) {
            pools::refresh(self.node);
            self.node.announced.notify_one();
        }
    }
}

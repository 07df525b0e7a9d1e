//! What one attempt asks for and sends, and what it tells of itself: to the log, to metrics and to
//! roll-outs.

use pimento_endpoint::Fault;
use pimento_policy::admission;
use pimento_policy::throttle::Limit;
use pimento_scheduler::Job;
use pimento_scheduler::Permit;
use pimento_units::Tokens;
use pimento_units::id;

use super::Attempts;
use super::Overrides;
use crate::boot;
use crate::cascade;
use crate::codec::Codec;
use crate::connection::OutgoingRequest;
use crate::headers::AnnouncedLimit;
use crate::headers::AttemptInfo;
use crate::headers::HeaderCodec;
use crate::node::millis;
use crate::rollouts::FinishedRequest;
use crate::rollouts::announcement::Outcome;
use crate::topic::Log;

/// Work of a plain call. Plain services say nothing of the size of a call before it has run.
const PLAIN: Tokens = Tokens(1);

/// Whose requests on public routes are, for fairness among customers.
const PUBLIC: &str = "public";

impl<P: HeaderCodec + Codec, L: Log> Attempts<'_, P, L> {
    /// Tells what became of an attempt.
    pub(super) fn tell(&self, permit: &Permit, fault: &Fault, what: &str) {
        let now = self.node.now();
        log::info!(
            request = self.request.info.id.as_str(),
            endpoint = permit.endpoint().as_str(),
            fault:%,
            attempt = self.state.sent,
            runs = self.state.runs,
            since_ms = millis(now.since(self.request.began)),
            left_ms = millis(self.request.left(now));
            "{what}"
        );
    }

    /// Takes the limit that an endpoint names.
    pub(super) fn named(&self, endpoint: &id::Endpoint, limit: &AnnouncedLimit) {
        let request = self.request.info.id.as_str();
        let limit = match limit {
            AnnouncedLimit::Absent => None,
            AnnouncedLimit::Limit(limit) => Some(*limit),
            // What was known holds on.
            AnnouncedLimit::Invalid(error) => {
                let endpoint = endpoint.as_str();
                log::warn!(request, endpoint, error:%; "attempt: The endpoint names what is no limit.");
                return;
            }
        };
        let pool = self.node.scheduler.pool(&self.request.pool);
        if pool.record_limit(endpoint, limit, self.state.began) {
            let limit = limit.map(Limit::per_second);
            let endpoint = endpoint.as_str();
            log::info!(request, endpoint, limit; "attempt: The endpoint names another limit.");
            self.node.limit_changed.notify_one();
        }
    }

    /// Tells where the request goes, and by what.
    pub(super) fn sent(&self, permit: &Permit, overrides: &Overrides) {
        let request = self.request;
        let belief = self.node.belief();
        let now = self.node.now();
        log::info!(
            request = request.info.id.as_str(),
            digest:% = request.digest,
            route = request.grant.route.name.as_str(),
            endpoint = permit.endpoint().as_str(),
            zone = permit.zone().as_str(),
            version = permit.version().map(id::Version::as_str),
            model = overrides.model.as_ref().map(id::Version::as_str),
            resume = overrides.resume,
            attempt = self.state.sent,
            since_ms = millis(now.since(request.began)),
            left_ms = millis(request.left(now)),
            configuration = belief.configuration,
            configuration_age_ms = belief.configuration_age.map(millis),
            endpoints_age_ms = belief.endpoints_age.map(millis);
            "attempt: Sent."
        );
    }

    /// How long the last attempt has taken.
    pub(super) fn waited(&self) -> Outcome {
        let took = self.node.now().since(self.state.began);
        Outcome::Served(took)
    }

    /// Notes the version of the request's session.
    pub fn note(&self, permit: &Permit) {
        let session = self.request.info.session;
        if let Some((session, version)) = session.zip(permit.version()) {
            let now = boot::now();
            let pool = &self.request.pool;
            self.node
                .rollouts(|r| r.record_session(pool, session, version, now));
        }
    }

    /// The answer has begun, or its endpoint failed it: evidence in a roll-out.
    pub fn judged(&self, permit: &Permit, failed: bool) {
        let outcome = if failed {
            Outcome::Failed
        } else {
            self.waited()
        };
        let result = if failed { "failed" } else { "answered" };
        self.node.metrics.attempt(&self.request.pool, result);
        self.seen(permit, outcome);
    }

    pub(super) fn seen(&self, permit: &Permit, outcome: Outcome) {
        let Some(version) = permit.version() else {
            return;
        };
        let seen = FinishedRequest {
            pool: &self.request.pool,
            route: &self.request.grant.route.name,
            version,
            endpoint: permit.endpoint(),
            outcome,
        };
        self.node.rollouts(|r| r.record(&seen));
    }

    pub(super) fn message(&self, permit: &Permit, overrides: &Overrides) -> OutgoingRequest {
        let request = self.request;
        let customer = request.grant.customer.as_ref();
        let attempt = AttemptInfo {
            endpoint: permit.endpoint(),
            customer: customer.map(|customer| &customer.name),
            time_left: Some(request.left(self.node.now())),
            model: overrides.model.as_ref(),
            last_event_id: overrides.resume.or(request.info.last_event_id),
            urgency: Some(cascade::urgency(request, overrides)),
        };
        OutgoingRequest {
            method: request.head.method.clone(),
            uri: request.head.uri.clone(),
            headers: self.node.platform.attempt_headers(&request.head, &attempt),
            body: request.body.clone(),
        }
    }

    /// The version that the request uses now.
    pub(super) fn version(&self) -> Option<id::Version> {
        let session = self.request.info.session.unwrap_or(self.request.random);
        let now = boot::now();
        let pool = &self.request.pool;
        self.node.rollouts(|r| r.version(pool, session, now))
    }

    pub(super) fn job(&self, overrides: &Overrides) -> Job {
        let request = self.request;
        let customer = request.grant.customer.as_ref();
        let name = customer.map_or_else(|| PUBLIC.parse(), |customer| Ok(customer.name.clone()));
        let tokens = request
            .usage()
            .map_or(PLAIN, |(input, output)| admission::work(input, output));
        Job {
            customer: name.expect("the name of public requests is valid"),
            weight: 1,
            priority: request.grant.route.priority,
            tokens,
            deadline: request.deadline,
            version: self.version(),
            prefix: request.prefix(),
            prompt: overrides.model.as_ref().and_then(|m| request.prompt(m)),
            tried: self.state.tried.clone(),
            previously_refused: false,
            repeatable: request.grant.route.repeatable(),
        }
    }
}

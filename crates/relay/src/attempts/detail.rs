//! The scheduler job and the request of one attempt, and its reporting to the log, metrics and roll-outs.

use pimento_endpoint::Fault;
use pimento_policy::admission;
use pimento_policy::shed::Aim;
use pimento_policy::shift::Reason;
use pimento_scheduler::Job;
use pimento_scheduler::Permit;
use pimento_scheduler::Requirement;
use pimento_units::Tokens;
use pimento_units::id;

use super::Attempts;
use super::Overrides;
use crate::boot;
use crate::cascade;
use crate::codec::Codec;
use crate::connection::OutgoingRequest;
use crate::headers::AttemptInfo;
use crate::headers::HeaderCodec;
use crate::node::millis;
use crate::rollouts::Choice;
use crate::rollouts::FinishedRequest;
use crate::rollouts::Scope;
use crate::rollouts::announcement::Outcome;
use crate::topic::Log;

/// Work of a call to a plain service. Its size is unknown before it has run.
const PLAIN_CALL_WORK: Tokens = Tokens(1);

/// The customer to which requests on public routes are attributed for fair scheduling.
const PUBLIC_CUSTOMER: &str = "public";

impl<P: HeaderCodec + Codec, L: Log> Attempts<'_, P, L> {
    /// Logs a failed attempt.
    pub(super) fn log_failure(&self, permit: &Permit, fault: &Fault, message: &str) {
        let now = self.node.now();
        let parts = self.request.info.prompt_parts.iter();
        let parts: Vec<String> = parts.map(|part| format!("{:x}", part.hash)).collect();
        let parts = parts.join(",");
        log::info!(
            request = self.request.info.id.as_str(),
            endpoint = permit.endpoint().as_str(),
            fault:%,
            parts = parts.as_str(),
            attempt = self.state.sent,
            runs = self.state.runs,
            since_ms = millis(now.since(self.request.began)),
            left_ms = millis(self.request.left(now));
            "{message}"
        );
    }

    /// Logs to which endpoint the request is sent, and the data that this is based on.
    pub(super) fn log_sent(&self, permit: &Permit, overrides: &Overrides, reason: Option<Reason>) {
        let request = self.request;
        let view = self.node.view_info();
        let now = self.node.now();
        log::info!(
            request = request.info.id.as_str(),
            digest:% = request.digest,
            route = request.grant.route.name.as_str(),
            endpoint = permit.endpoint().as_str(),
            zone = permit.zone().as_str(),
            version = permit.version().map(id::Version::as_str),
            session = request.info.session.map(|session| format!("{session:x}")).as_deref(),
            reason = reason.map(Reason::name),
            model = overrides.model.as_ref().map(id::Version::as_str),
            resume = overrides.last_event_id,
            attempt = self.state.sent,
            since_ms = millis(now.since(request.began)),
            left_ms = millis(request.left(now)),
            configuration = view.configuration,
            configuration_age_ms = view.configuration_age.map(millis),
            endpoints_age_ms = view.endpoints_age.map(millis);
            "attempt: Sent."
        );
    }

    /// The outcome of an answer that begins now, or of one that has not begun by now.
    pub(super) fn outcome_now(&self) -> Outcome {
        let took = self.node.now().since(self.state.last_sent);
        Outcome::Served(took)
    }

    /// Records the version that the request's session uses.
    pub fn record_session_version(&self, permit: &Permit) {
        let session = self.request.info.session;
        if let Some((session, version)) = session.zip(permit.version()) {
            let now = boot::now();
            let pool = &self.request.pool;
            self.node
                .rollouts(|r| r.record_session(pool, session, version, now));
        }
    }

    /// Counts a request that is about to be sent, for the roll-out of its service.
    pub(super) fn record_sent(&self, permit: &Permit, reason: Option<Reason>) {
        let pool = &self.request.pool;
        self.node.rollouts(|r| {
            if let Some(version) = permit.version() {
                r.record_sent(pool, version);
            }
            if let Some(reason) = reason {
                r.record_reason(pool, reason);
            }
        });
    }

    /// Why the request uses its version; none without an order.
    pub(super) fn version_reason(&self) -> Option<Reason> {
        let (pool, scope) = (&self.request.pool, self.scope());
        self.node.rollouts(|r| r.reason(pool, scope, boot::now()))
    }

    /// Records whether the response has begun or the endpoint failed, in metrics and as evidence in a
    /// roll-out.
    pub fn record_result(&mut self, permit: &Permit, failed: bool) {
        let outcome = if failed {
            Outcome::Failed
        } else {
            self.outcome_now()
        };
        let result = if failed { "failed" } else { "answered" };
        self.node.metrics.count_attempt(&self.request.pool, result);
        self.record_evidence(permit, outcome);
    }

    /// Records an outcome as evidence in a roll-out. Some requests fail on any version, and do so at each endpoint
    /// to which they are sent; counted each time, a few of them would make a good version look bad.
    pub(super) fn record_evidence(&mut self, permit: &Permit, outcome: Outcome) {
        let Some(version) = permit.version() else {
            return;
        };
        if self.state.failure_counted {
            return;
        }
        self.state.failure_counted = outcome == Outcome::Failed;
        let finished = FinishedRequest {
            pool: &self.request.pool,
            route: &self.request.grant.route.name,
            version,
            endpoint: permit.endpoint(),
            outcome,
        };
        self.node.rollouts(|r| r.record(&finished));
    }

    pub(super) fn outgoing_request(
        &self,
        permit: &Permit,
        overrides: &Overrides,
    ) -> OutgoingRequest {
        let request = self.request;
        let customer = request.grant.customer.as_ref();
        let attempt = AttemptInfo {
            endpoint: permit.endpoint(),
            customer: customer.map(|customer| &customer.name),
            time_left: Some(request.left_by_deadline(self.node.now())),
            model: overrides.model.as_ref(),
            last_event_id: overrides.last_event_id.or(request.info.last_event_id),
            urgency: Some(cascade::urgency(request, overrides)),
        };
        OutgoingRequest {
            method: request.head.method.clone(),
            uri: request.head.uri.clone(),
            headers: self.node.platform.attempt_headers(&request.head, &attempt),
            body: request.body.clone(),
        }
    }

    /// What keeps its version with the request.
    fn scope(&self) -> Scope {
        let session = self.request.info.session.map(Scope::Session);
        session.unwrap_or(Scope::Request(self.request.random))
    }

    /// The version that the request is to run on now.
    fn choose_version(&self) -> Choice {
        let (pool, scope) = (&self.request.pool, self.scope());
        self.node.rollouts(|r| r.version(pool, scope, boot::now()))
    }

    /// Whether the request may still be sent to the permit's version.
    pub(super) fn may_use_version(&self, permit: &Permit) -> bool {
        let Some(version) = permit.version() else {
            return true;
        };
        let (pool, scope) = (&self.request.pool, self.scope());
        self.node
            .rollouts(|r| r.may_send(pool, scope, version, boot::now()))
    }

    /// When the caller wants the response.
    fn aim(&self) -> Aim {
        let target = self.request.grant.route.latency_target;
        let elapsed = self.node.now().since(self.request.began);
        Aim {
            target,
            left: target.saturating_sub(elapsed),
        }
    }

    /// The job of an attempt at any endpoint but the excluded one; none if the request may use no version now.
    pub(super) fn job(
        &self,
        overrides: &Overrides,
        excluded: Option<&id::Endpoint>,
    ) -> Option<Job> {
        let version = match self.choose_version() {
            Choice::Any => None,
            Choice::Version(version) => Some(version),
            Choice::Neither => return None,
        };
        let request = self.request;
        let customer = request.grant.customer.as_ref();
        let name = customer.map_or_else(
            || PUBLIC_CUSTOMER.parse(),
            |customer| Ok(customer.name.clone()),
        );
        let tokens = request.usage().map_or(PLAIN_CALL_WORK, |(input, output)| {
            admission::work(input, output)
        });
        Some(Job {
            customer: name.expect("the name of public requests is valid"),
            weight: 1,
            priority: request.grant.route.priority,
            tokens,
            deadline: request.bound(),
            requirement: Requirement {
                version,
                ..self.home_requirement(&request.grant)
            },
            prefix: request.prefix(),
            prompt: overrides.model.as_ref().and_then(|m| request.prompt(m)),
            aim: Some(self.aim()),
            tried: self.state.tried.clone(),
            excluded: excluded.cloned(),
            previously_refused: false,
            repeatable: request.grant.route.repeatable(),
        })
    }
}

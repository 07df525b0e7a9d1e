//! Attempts to run a request on an endpoint. Each attempt takes a slot from the scheduler and a connection
//! of its own; attempts continue until an endpoint answers.
//!
//! Only this module tracks whether the request may have run. It alone decides whether a refusal may
//! promise that the request did not run, and whether the request may be sent again.

mod announced;
mod connect;
mod detail;
mod ending;
mod reserve;
mod run;
mod slot;

use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_scheduler::Estimate;
use pimento_scheduler::Permit;
use pimento_units::Moment;
use pimento_units::id;

pub use self::reserve::Reservation;
use crate::admitted::AdmittedRequest;
use crate::boot;
use crate::codec::Codec;
use crate::connection::EndpointResponse;
use crate::deadline;
use crate::headers::Declined;
use crate::headers::HeaderCodec;
use crate::headers::ResponseInfo;
use crate::node::Node;
use crate::poison;
use crate::refusal::Cause;
use crate::refusal::Refusal;
use crate::stage::Step;
use crate::topic::Log;

/// An endpoint's response whose head was received and belongs to the request.
#[derive(Debug)]
pub struct Opened {
    /// The endpoint's slot. It is released with the outcome of the response.
    pub permit: Permit,
    /// The response.
    pub response: EndpointResponse,
    /// What was read from its head.
    pub info: ResponseInfo,
}

/// Values of one attempt that replace those of the caller's request.
#[derive(Debug, Clone, Default)]
pub struct Overrides {
    /// The model to run. An [`id::Version`] names a model here, elsewhere a version of a service's software.
    pub model: Option<id::Version>,
    /// Id of the last event that the caller received.
    pub last_event_id: Option<u64>,
}

/// The attempts made so far.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// Number of attempts in which an endpoint may have run the request.
    runs: u32,
    /// Number of times that the request was sent to an endpoint.
    sent: u32,
    /// Endpoints that the scheduler uses again only if no other can take the request.
    tried: Vec<id::Endpoint>,
    /// Number of endpoints that did not run the request since [`Attempts::begin_search`].
    declined: usize,
    /// Number of addresses that answered for other endpoints in the present search.
    misdirected: usize,
    /// Number of endpoints that could not be connected to in the present search.
    unreachable: usize,
    /// When the request was last sent.
    last_sent: Moment,
    /// When it was last sent or, once the answer has begun, when that began, on the clock of [`boot::now`].
    run_since: Moment,
    /// Whether the answer to the last send has begun.
    answer_begun: bool,
    /// Whether a failure of the request was counted as evidence in a roll-out.
    failure_counted: bool,
}

/// The attempts of one request.
#[derive(Debug)]
pub struct Attempts<'a, P, L> {
    node: &'a Node<P, L>,
    request: &'a AdmittedRequest,
    state: State,
}

impl<'a, P: HeaderCodec + Codec, L: Log> Attempts<'a, P, L> {
    /// Starts without any attempt made.
    #[must_use]
    pub fn new(node: &'a Node<P, L>, request: &'a AdmittedRequest) -> Self {
        Self::with_state(node, request, State::default())
    }

    /// Continues after the attempts made so far.
    #[must_use]
    pub const fn with_state(
        node: &'a Node<P, L>,
        request: &'a AdmittedRequest,
        state: State,
    ) -> Self {
        Self {
            node,
            request,
            state,
        }
    }

    /// The attempts made so far.
    #[must_use]
    pub fn into_state(self) -> State {
        self.state
    }

    /// Whether the request may have run.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.state.runs > 0
    }

    /// Whether the route and the deadline allow another attempt after one that may have run the request.
    /// The retry budget is checked when the attempt is made.
    #[must_use]
    pub fn may_retry(&self) -> bool {
        let route = &self.request.grant.route;
        let left = !self.request.left(self.node.now()).is_zero();
        route.repeatable() && self.state.runs < route.attempts && left
    }

    /// The refusal, without a promise that the request did not run if it may have run.
    #[must_use]
    pub const fn qualify(&self, refusal: Refusal) -> Refusal {
        if self.may_have_run() {
            refusal.with_unknown_outcome()
        } else {
            refusal
        }
    }

    /// Makes attempts until an endpoint has answered.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if no further attempt may be made.
    pub async fn open(&mut self, overrides: &Overrides) -> Result<Opened, Refusal> {
        self.begin_search();
        loop {
            let reservation = self.reserve(overrides, None).await?;
            if let Some(opened) = self.send(reservation, overrides).await? {
                return Ok(opened);
            }
        }
    }

    /// Sends the request. Returns none if the attempt failed and another one may be made.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if no further attempt may be made.
    pub async fn send(
        &mut self,
        reservation: Reservation,
        overrides: &Overrides,
    ) -> Result<Option<Opened>, Refusal> {
        let Reservation { permit, connection } = reservation;
        let outgoing = self.outgoing_request(&permit, overrides);
        self.state.sent += 1;
        self.state.runs += 1;
        self.state.last_sent = self.node.now();
        self.state.run_since = boot::now();
        self.state.answer_begun = false;
        let tracker = &self.request.tracker;
        tracker.enter_sent(permit.endpoint(), self.state.last_sent);
        let reason = self.version_reason();
        self.record_session_version(&permit);
        self.record_sent(&permit, reason);
        self.log_sent(&permit, overrides, reason);
        if self.node.config.reports.is_urgent(permit.prefill_time()) {
            self.node.long_prompt_sent.notify_one();
        }
        // The end of this VM says nothing of the endpoint.
        let left = self.request.left_by_deadline(self.node.now());
        let sent = tokio::time::timeout(left, connection.send(outgoing)).await;
        let fault = match sent {
            Ok(Ok(response)) => match self.check_response(&permit, response) {
                Err(Unusable::Misdirected(fault)) => {
                    self.state.runs -= 1;
                    tracker.set_may_have_run(self.may_have_run());
                    self.misdirected(permit, &fault)?;
                    return Ok(None);
                }
                Ok((response, info)) => {
                    self.state.run_since = boot::now();
                    self.state.answer_begun = true;
                    tracker.enter(Step::Answered, self.node.now());
                    return Ok(Some(Opened {
                        permit,
                        response,
                        info,
                    }));
                }
                Err(Unusable::Fault(fault)) => fault,
            },
            Ok(Err(fault)) => fault,
            Err(_) => Fault::Timeout,
        };
        if matches!(fault, Fault::Timeout) && !self.node.links.are_suspect() {
            // Counts as an answer that begins only now, so that the evidence includes the time waited.
            self.record_evidence(&permit, self.outcome_now());
        }
        if fault.not_run() {
            self.state.runs -= 1;
            tracker.set_may_have_run(self.may_have_run());
            self.endpoint_declined(permit, &fault)?;
            return Ok(None);
        }
        self.attempt_failed(permit, &fault)?;
        Ok(None)
    }

    /// Makes further attempts avoid an endpoint if there is another.
    pub fn avoid(&mut self, endpoint: &id::Endpoint) {
        if !self.state.tried.contains(endpoint) {
            self.state.tried.push(endpoint.clone());
        }
    }

    /// Records that an endpoint received the request and gave no usable response.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if no further attempt may be made.
    pub fn attempt_failed(&mut self, permit: Permit, fault: &Fault) -> Result<(), Refusal> {
        self.log_failure(&permit, fault, "attempt: No usable response.");
        // An endpoint that keeps the deadline breaks off there, which is no crash.
        let fault = match fault {
            Fault::Interrupted { .. } if self.left_by_deadline().is_zero() => &Fault::Timeout,
            fault => fault,
        };
        self.node
            .metrics
            .count_attempt(&self.request.pool, "broken");
        self.state.tried.push(permit.endpoint().clone());
        poison::record_failure(self.node, self.run(), permit.endpoint(), fault);
        if self.node.links.are_suspect() {
            permit.lost();
        } else {
            permit.failed(fault);
        }
        // A prompt that just crashed an endpoint would crash the next one as well.
        let crashes = self.state.answer_begun
            && fault.is_interrupted()
            && poison::is_prime_suspect(self.node, self.request);
        if self.may_retry() && !crashes {
            return Ok(());
        }
        let cause = match fault {
            Fault::Timeout => Cause::Timeout,
            _ => Cause::Failed,
        };
        Err(self.qualify(Refusal::new(cause)))
    }

    /// Parses the head of a response and checks that it is an endpoint's response to this request.
    fn check_response(
        &self,
        permit: &Permit,
        response: EndpointResponse,
    ) -> Result<(EndpointResponse, ResponseInfo), Unusable> {
        let info = self.node.platform.parse_response(&response.head);
        let status = response.head.status;
        if info.declined != Some(Declined::Misdirected) {
            self.apply_announcements(permit, &info);
        }
        if let Some(declined) = info.declined {
            let fault = Fault::Refused {
                status: status.as_u16(),
                retry_after: None,
            };
            return Err(match declined {
                Declined::Misdirected => Unusable::Misdirected(fault),
                Declined::Refused => Unusable::Fault(fault),
            });
        }
        let other = info
            .id
            .as_ref()
            .is_some_and(|id| *id != self.request.info.id);
        if other {
            return Err(Unusable::Fault(nonsense(
                "the response belongs to another request",
            )));
        }
        if !info.signed {
            return Err(Unusable::Fault(nonsense(
                "the response carries no signature",
            )));
        }
        Ok((response, info))
    }

    /// Whether another endpoint may take over a run that still goes on, as far as can be told before one is
    /// reserved.
    #[must_use]
    pub fn may_take_over(&self) -> bool {
        self.may_retry() && self.has_retry_budget() && self.check_allowed().is_ok()
    }

    /// Time left until the deadline, for a run that is under way.
    #[must_use]
    pub fn left_by_deadline(&self) -> Duration {
        self.request.left_by_deadline(self.node.now())
    }

    /// Puts off the deadline if the configuration in force allows more time. Returns whether there is time left.
    #[must_use]
    pub fn extend_deadline(&self) -> bool {
        deadline::extend(self.node, self.request)
    }

    /// The request.
    #[must_use]
    pub const fn request(&self) -> &AdmittedRequest {
        self.request
    }

    /// The state of this VM.
    #[must_use]
    pub const fn node(&self) -> &Node<P, L> {
        self.node
    }

    /// Whether the retry budget has a retry left.
    #[must_use]
    pub fn has_retry_budget(&self) -> bool {
        let now = self.node.now();
        self.node.retry_budgets.can_acquire(&self.request.pool, now)
    }

    /// Estimates the queueing and prefill times at the endpoint that an attempt would get now.
    #[must_use]
    pub fn estimate(&self, overrides: &Overrides) -> Option<Estimate> {
        self.estimate_without(overrides, None)
    }

    /// The same for an attempt at any endpoint but the excluded one.
    #[must_use]
    pub fn estimate_without(
        &self,
        overrides: &Overrides,
        excluded: Option<&id::Endpoint>,
    ) -> Option<Estimate> {
        let pool = self.node.scheduler.pool(&self.request.pool);
        pool.estimate(&self.job(overrides, excluded)?)
    }
}

/// Why a response can't be passed on.
enum Unusable {
    /// Another endpoint has the address, and did not run the request.
    Misdirected(Fault),
    /// The attempt failed, or the endpoint refused the request.
    Fault(Fault),
}

fn nonsense(reason: &'static str) -> Fault {
    Fault::Invalid {
        reason: reason.into(),
    }
}

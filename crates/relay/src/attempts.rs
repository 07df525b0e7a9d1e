//! The attempts of one request: each at a slot of the scheduler, over a connection of its own, until
//! an endpoint answers.
//!
//! What may have run is known here, and only here: nothing else decides whether a refusal may
//! promise that the request did not run, or whether it may be sent again.

mod detail;

use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_scheduler::Estimate;
use pimento_scheduler::Permit;
use pimento_scheduler::Refused;
use pimento_units::Moment;
use pimento_units::id;
use tokio_util::sync::CancellationToken;

use crate::admit;
use crate::admitted::AdmittedRequest;
use crate::codec::Codec;
use crate::connection::Connection;
use crate::connection::EndpointResponse;
use crate::headers::HeaderCodec;
use crate::headers::ResponseInfo;
use crate::node::Node;
use crate::node::millis;
use crate::poison;
use crate::pools;
use crate::refusal::Cause;
use crate::refusal::Refusal;
use crate::topic::Log;

/// Endpoints that are asked for one request and did not run it, at most. Each costs a round trip,
/// and where so many refuse the pool is full or its list out of date.
const ASKED: usize = 5;

/// An answer of an endpoint whose head has come and belongs to the request.
#[derive(Debug)]
pub struct Opened {
    /// The slot, to be given back with what became of the answer.
    pub permit: Permit,
    /// The answer.
    pub call: EndpointResponse,
    /// What its head says.
    pub reply: ResponseInfo,
}

/// What to send in this attempt beside the request itself.
#[derive(Debug, Clone, Default)]
pub struct Overrides {
    /// The model to run.
    pub model: Option<id::Version>,
    /// The last event that the caller has.
    pub resume: Option<u64>,
}

/// What was done so far.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// Times that the request was sent to an endpoint that may have run it.
    runs: u32,
    /// Times that it was sent to an endpoint at all.
    sent: u32,
    tried: Vec<id::Endpoint>,
    /// Endpoints that did not run it.
    asked: usize,
    /// When the last attempt was sent.
    began: Moment,
}

/// The attempts of one request.
#[derive(Debug)]
pub struct Attempts<'a, P, L> {
    node: &'a Node<P, L>,
    request: &'a AdmittedRequest,
    state: State,
}

impl<'a, P: HeaderCodec + Codec, L: Log> Attempts<'a, P, L> {
    /// No attempt yet.
    #[must_use]
    pub fn new(node: &'a Node<P, L>, request: &'a AdmittedRequest) -> Self {
        Self::resume(node, request, State::default())
    }

    /// Goes on after what was done so far.
    #[must_use]
    pub const fn resume(node: &'a Node<P, L>, request: &'a AdmittedRequest, state: State) -> Self {
        Self {
            node,
            request,
            state,
        }
    }

    /// What was done so far.
    #[must_use]
    pub fn state(self) -> State {
        self.state
    }

    /// Whether the request may have run.
    #[must_use]
    pub const fn ran(&self) -> bool {
        self.state.runs > 0
    }

    /// Whether one more attempt may be made after one that may have run. Takes it out of the budget.
    #[must_use]
    pub fn again(&self) -> bool {
        let route = &self.request.grant.route;
        let left = !self.request.left(self.node.now()).is_zero();
        route.repeatable() && self.state.runs < route.attempts && left
    }

    /// A refusal that promises no more than is known.
    #[must_use]
    pub const fn refuse(&self, refusal: Refusal) -> Refusal {
        if self.ran() {
            refusal.unsure()
        } else {
            refusal
        }
    }

    /// Makes attempts until an endpoint has answered.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] once no further attempt may be made.
    pub async fn open(&mut self, overrides: &Overrides) -> Result<Opened, Refusal> {
        loop {
            self.unbarred()?;
            let permit = self.slot(overrides).await?;
            let asked = self.node.now();
            let bound = self.node.connect_times(|reach| reach.current());
            let connection = match Connection::open(permit.address(), bound).await {
                Ok(connection) => {
                    let took = self.node.now().since(asked);
                    self.node.connect_times(|reach| reach.record(took));
                    connection
                }
                Err(fault) => {
                    self.not_run(permit, &fault)?;
                    continue;
                }
            };
            if !self.check(&permit)? {
                self.moved_on(permit.endpoint())?;
                continue;
            }
            if self.state.sent > 0 && !self.repeat() {
                return Err(self.refuse(Refusal::new(Cause::Failed)));
            }
            if let Some(opened) = self.send(permit, connection, overrides).await? {
                return Ok(opened);
            }
        }
    }

    /// Takes a repeat out of the budget.
    fn repeat(&self) -> bool {
        let now = self.node.now();
        self.node.retry_budgets.take(&self.request.pool, now)
    }

    /// Waits for a slot at an endpoint that may still be used.
    async fn slot(&mut self, overrides: &Overrides) -> Result<Permit, Refusal> {
        let mut followed = false;
        loop {
            let pool = self.node.scheduler.pool(&self.request.pool);
            // Dropping this future takes the job out of the queue, so that nothing is cancelled by
            // token.
            let gone = CancellationToken::new();
            let asked = self.node.now();
            let permit = pool.acquire(self.job(overrides), &gone).await;
            let waited = self.node.now().since(asked);
            let route = &self.request.grant.route.name;
            self.node.metrics.queued(route, waited);
            let permit = match permit {
                Ok(permit) => permit,
                // Whoever could take it may have registered since the pool was last brought up to
                // the list. Once is enough: nothing else runs between the two looks.
                Err(Refused::NoEndpoint { .. }) if !followed => {
                    followed = true;
                    pools::refresh(self.node);
                    continue;
                }
                Err(refused) => return Err(self.refuse(refused.into())),
            };
            if self.node.usable(permit.endpoint()) && !self.withdrawn(&permit) {
                return Ok(permit);
            }
            self.moved_on(permit.endpoint())?;
        }
    }

    /// The list says that an endpoint takes no new work while the pool still offers it: the task that
    /// brings the pool up to the list runs only once this one waits. Without this a request went
    /// round the same leaving endpoint until it was refused, while others were free.
    fn moved_on(&mut self, endpoint: &id::Endpoint) -> Result<(), Refusal> {
        self.state.tried.push(endpoint.clone());
        pools::refresh(self.node);
        self.count()
    }

    /// Whether the version was found to be bad while the job waited.
    fn withdrawn(&self, permit: &Permit) -> bool {
        let Some(version) = permit.version() else {
            return false;
        };
        self.node
            .rollouts(|r| r.is_bad(&self.request.pool, version))
    }

    /// Counts an endpoint that did not run the request.
    fn count(&mut self) -> Result<(), Refusal> {
        self.state.asked += 1;
        if self.state.asked >= ASKED {
            let refusal = Refusal::new(Cause::NoEndpoint).after(AGAIN);
            return Err(self.refuse(refusal));
        }
        Ok(())
    }

    fn not_run(&mut self, permit: Permit, fault: &Fault) -> Result<(), Refusal> {
        self.tell(&permit, fault, "attempt: Not run by the endpoint.");
        self.node.metrics.attempt(&self.request.pool, "not_run");
        self.state.tried.push(permit.endpoint().clone());
        permit.failed(fault);
        self.count()
    }

    /// Whether endpoints may be asked to run the request at all.
    fn unbarred(&self) -> Result<(), Refusal> {
        let request = self.request;
        let Some(left) = poison::block_remaining(self.node, request.digest) else {
            return Ok(());
        };
        log::info!(
            request = request.info.id.as_str(),
            digest:% = request.digest,
            left_ms = millis(left);
            "attempt: Not sent, endpoints ended under it."
        );
        Err(self.refuse(Refusal::new(Cause::Poison).after(left)))
    }

    /// Whether the request may still be sent.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if its key, its route or its service no longer allow it, or endpoints end under it.
    pub fn allowed(&self) -> Result<(), Refusal> {
        self.unbarred()?;
        let request = self.request;
        let grant = admit::recheck(self.node, &request.info, request.path());
        let grant = grant.map_err(|refusal| self.refuse(refusal))?;
        let same = grant.customer == request.grant.customer;
        if !same || !grant.route.allows(&request.pool) {
            let refusal = Refusal::new(Cause::NoEndpoint).after(AGAIN);
            return Err(self.refuse(refusal));
        }
        Ok(())
    }

    /// Whether the endpoint may still be sent the request.
    ///
    /// # Errors
    ///
    /// As [`allowed`](Self::allowed).
    fn check(&self, permit: &Permit) -> Result<bool, Refusal> {
        self.allowed()?;
        Ok(self.node.usable(permit.endpoint()))
    }

    /// Sends the request; none if the endpoint did not run it and another one is to be asked.
    async fn send(
        &mut self,
        permit: Permit,
        connection: Connection,
        overrides: &Overrides,
    ) -> Result<Option<Opened>, Refusal> {
        let message = self.message(&permit, overrides);
        self.state.sent += 1;
        self.state.runs += 1;
        self.state.began = self.node.now();
        self.note(&permit);
        self.sent(&permit, overrides);
        let left = self.request.left(self.node.now());
        let sent = tokio::time::timeout(left, connection.send(message)).await;
        let fault = match sent {
            Ok(Ok(call)) => match self.read(permit.endpoint(), call) {
                Ok((call, reply)) => {
                    return Ok(Some(Opened {
                        permit,
                        call,
                        reply,
                    }));
                }
                Err(fault) => fault,
            },
            Ok(Err(fault)) => fault,
            Err(_) => Fault::Timeout,
        };
        if matches!(fault, Fault::Timeout) {
            self.seen(&permit, self.waited());
        }
        if fault.not_run() {
            self.state.runs -= 1;
            self.not_run(permit, &fault)?;
            return Ok(None);
        }
        self.broken(permit, &fault)?;
        Ok(None)
    }

    /// Another attempt is to be made elsewhere.
    pub fn leave(&mut self, endpoint: &id::Endpoint) {
        self.state.tried.push(endpoint.clone());
    }

    /// An endpoint had the request and gave no answer that can be used. Whether to go on.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] if no further attempt may be made.
    pub fn broken(&mut self, permit: Permit, fault: &Fault) -> Result<(), Refusal> {
        self.tell(&permit, fault, "attempt: No answer that can be used.");
        self.node.metrics.attempt(&self.request.pool, "broken");
        self.state.tried.push(permit.endpoint().clone());
        poison::record_failure(self.node, self.request.digest, permit.endpoint(), fault);
        permit.failed(fault);
        if self.again() {
            return Ok(());
        }
        let cause = match fault {
            Fault::Timeout => Cause::Timeout,
            _ => Cause::Failed,
        };
        Err(self.refuse(Refusal::new(cause)))
    }

    /// The answer was whole, whatever it says: its endpoint was still there at its end.
    pub fn whole(&self) {
        poison::record_answer(self.node, self.request.digest);
    }

    /// Reads the head of an answer, and whether it is one to this request.
    fn read(
        &self,
        endpoint: &id::Endpoint,
        call: EndpointResponse,
    ) -> Result<(EndpointResponse, ResponseInfo), Fault> {
        let reply = self.node.platform.parse_response(&call.head);
        let status = call.head.status;
        if !reply.misdirected {
            self.named(endpoint, &reply.limit);
        }
        if reply.refused || reply.misdirected {
            return Err(Fault::Refused {
                status: status.as_u16(),
                after: None,
            });
        }
        let other = reply
            .id
            .as_ref()
            .is_some_and(|id| *id != self.request.info.id);
        if other {
            return Err(nonsense("the answer is to another request"));
        }
        if !reply.signed {
            return Err(nonsense("the answer bears no signature"));
        }
        Ok((call, reply))
    }

    /// What is sent.
    #[must_use]
    pub const fn work(&self) -> &AdmittedRequest {
        self.request
    }

    /// The VM.
    #[must_use]
    pub const fn node(&self) -> &Node<P, L> {
        self.node
    }

    /// Whether the budget would pay for one more attempt.
    #[must_use]
    pub fn affords(&self) -> bool {
        let now = self.node.now();
        self.node.retry_budgets.affords(&self.request.pool, now)
    }

    /// What the attempt would meet at the endpoint that it would get now.
    #[must_use]
    pub fn estimate(&self, overrides: &Overrides) -> Option<Estimate> {
        let pool = self.node.scheduler.pool(&self.request.pool);
        pool.estimate(&self.job(overrides))
    }
}

/// When to come back after all endpoints asked refused: their queues move on within this time.
const AGAIN: Duration = Duration::from_millis(500);

fn nonsense(reason: &'static str) -> Fault {
    Fault::Nonsense {
        reason: reason.into(),
    }
}

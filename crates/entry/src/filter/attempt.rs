//! Attempts of a model request at engines of one version, with hedging, resuming and retries.

mod hedged;
mod opened;

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use pimento_contract::Version;
use pimento_endpoint::Fault;
use pimento_endpoint::engine::Call;
use pimento_endpoint::engine::Remote;
use pimento_policy::retry;
use pimento_scheduler::Job;
use pimento_scheduler::Permit;
use pimento_scheduler::Requirement;
use pimento_units::Tokens;
use pimento_units::id;
use uuid::Uuid;

use self::opened::Abort;
use self::opened::Opened;
use self::opened::open_stream;
use crate::estimate;
use crate::filter::Filter;
use crate::filter::admission::Admission;
use crate::filter::admission::SlotRequest;
use crate::filter::contract::Contract;
use crate::filter::delivery::Answer;
use crate::filter::delivery::Delivery;
use crate::filter::identify::Request;
use crate::metrics;
use crate::metrics::ABORTED;
use crate::metrics::ENDED;
use crate::node::Node;
use crate::refusal::Refusal;
use crate::trace::Trace;

/// Sends a request to engines of one version.
#[derive(Debug, Clone)]
pub struct Attempt<'a>(pub &'a Node);

/// A request, the version to send it to, and where its answer goes.
#[derive(Debug)]
pub struct Context<'a> {
    /// The request.
    pub request: &'a Request,
    /// The version to send it to.
    pub version: &'a id::Version,
    /// The version's pool.
    pub pool: &'a id::Pool,
    /// Maximum number of tokens in an answer.
    pub max_output: Tokens,
    /// Where the answer goes.
    pub delivery: &'a mut Delivery,
    /// The attempts made so far.
    pub trace: &'a mut Trace,
    /// Whether the next attempt is already charged to the retry budgets. This is done before an attempt without
    /// a first token is abandoned, so that the retry is then allowed.
    pub retry_charged: Arc<AtomicBool>,
}

/// Why there is no answer from a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// The version may no longer be used.
    Withdrawn,
    /// No slot was available, or the request is blocked.
    Refused(Refusal),
    /// The attempts failed.
    Failed(Fault),
    /// This VM ends, and the caller has no part of the answer yet.
    Ended,
}

impl<'a> Attempt<'a> {
    /// Makes attempts until there is a complete answer or no further attempt is allowed.
    ///
    /// # Errors
    ///
    /// An [`Error`].
    pub async fn answer(&self, context: &mut Context<'_>) -> Result<Answer, Error> {
        let digest = context.request.digest;
        loop {
            self.0.ensure_not_blocked(digest).map_err(Error::Refused)?;
            let slot_request = SlotRequest {
                pool: context.pool,
                job: self.job(context),
                identity: &context.request.identity,
            };
            let admitted = Admission(self.0)
                .apply(slot_request)
                .await
                .map_err(Error::Refused)?;
            context.trace.waited += admitted.waited;
            let version = self.usable_version(context).ok_or(Error::Withdrawn)?;
            self.0.ensure_not_blocked(digest).map_err(Error::Refused)?;
            let endpoint = admitted.permit.endpoint().clone();
            let result = self.attempt_once(admitted.permit, &version, context).await;
            match result.ok_or_else(|| self.record_end(context, &endpoint))? {
                Ok(answer) => {
                    self.0.record_complete_answer(digest);
                    let now = self.0.clock.now();
                    let customer = &context.request.customer;
                    self.0.retries.record_success(customer, context.pool, now);
                    return Ok(answer);
                }
                Err(fault) => {
                    self.record_failure(context, &endpoint, &fault);
                    if !self.should_retry(context, &fault) {
                        return Err(Error::Failed(fault));
                    }
                    context.delivery.restart();
                }
            }
        }
    }

    fn usable_version(&self, context: &Context<'_>) -> Option<Version> {
        let request = context.request;
        Contract(self.0).usable_version(&request.customer, &request.class.name, context.version)
    }

    fn expected_tokens(&self, context: &Context<'_>) -> Tokens {
        let request = context.request;
        let class = &request.class.name;
        let answer = self
            .0
            .estimates
            .answer_tokens(&request.customer, class, context.max_output);
        estimate::prompt_tokens(&request.chat) + answer
    }

    fn job(&self, context: &Context<'_>) -> Job {
        let request = context.request;
        let first_message = request.chat.messages.first();
        Job {
            customer: request.customer.clone(),
            weight: request.weight,
            priority: request.class.priority,
            tokens: self.expected_tokens(context),
            deadline: request.identity.work_deadline(),
            requirement: Requirement::version(Some(context.version.clone())),
            prefix: first_message.map(|m| xxhash_rust::xxh3::xxh3_64(m.content.as_bytes())),
            prompt: None,
            aim: None,
            tried: context.trace.tried.clone(),
            excluded: None,
            previously_refused: request.identity.is_retry,
            repeatable: true,
        }
    }

    fn record_failure(&self, context: &mut Context<'_>, endpoint: &id::Endpoint, fault: &Fault) {
        let node = self.0;
        let id = context.request.identity.id;
        // Under overload, refusals are too frequent for the info level.
        let level = match fault {
            Fault::Refused { .. } => log::Level::Debug,
            _ => log::Level::Info,
        };
        log::log!(level, "attempt: {endpoint} failed for {id}: {fault}.");
        let result = metrics::result(fault, &context.request.identity.end);
        node.metrics.record_attempt(context.pool, result);
        context.trace.record_failure(endpoint, fault);
        let is_neutral = fault.not_run() || *fault == Fault::Cancelled;
        if !is_neutral {
            node.evidence
                .record_failure(context.version, node.clock.now());
        }
    }

    /// Records that an attempt is given up because this VM ends, which tells nothing of the endpoint.
    fn record_end(&self, context: &mut Context<'_>, endpoint: &id::Endpoint) -> Error {
        let id = context.request.identity.id;
        let (end, label) = if context.delivery.has_started() {
            ("its stream is cut", ABORTED)
        } else {
            ("it is given up", ENDED)
        };
        log::warn!("attempt: This VM ends, {id} at {endpoint}: {end}.");
        self.0.metrics.record_attempt(context.pool, label);
        context.trace.record_start();
        Error::Ended
    }

    /// Whether to make another attempt. Once a part of the answer has been sent to the caller, only a
    /// deterministic answer can be generated again from its start.
    fn should_retry(&self, context: &mut Context<'_>, fault: &Fault) -> bool {
        let node = self.0;
        let now = node.clock.now();
        let request = context.request;
        // A refusal by a full engine costs a round trip but no work, so the request returns to the queue.
        // It does so only in the first half of its time. The rest is left for the answer, or for the caller
        // to try elsewhere.
        if matches!(fault, Fault::Refused { .. }) {
            let identity = &request.identity;
            let time = identity.work_deadline().since(identity.arrived);
            let half_time = identity.arrived + time / 2;
            context.trace.record_refusal();
            return now < half_time;
        }
        let is_repeatable =
            !context.delivery.has_started() || request.chat.temperature == Some(0.0);
        let deadline = request.identity.work_deadline();
        if *fault == Fault::Cancelled || !is_repeatable || now >= deadline {
            return false;
        }
        let pool = node.scheduler.pool(context.pool);
        let failure = retry::Failure {
            repeatable: true,
            attempts: context.trace.attempts,
            run_time: pool.expected_run_time(Some(context.version), self.expected_tokens(context)),
            deadline,
        };
        if context.retry_charged.swap(false, Ordering::Relaxed) {
            return context.trace.attempts < retry::MAX_ATTEMPTS;
        }
        if matches!(fault, Fault::Unreachable { .. }) {
            return retry::can_retry_unsent(failure, now);
        }
        node.retries
            .try_retry(&request.customer, context.pool, failure, now)
    }

    /// `None` if this VM ends first.
    async fn attempt_once(
        &self,
        permit: Permit,
        version: &Version,
        context: &mut Context<'_>,
    ) -> Option<Result<Answer, Fault>> {
        let identity = &context.request.identity;
        let passed = identity.end.passed(context.delivery.started());
        tokio::select! {
            answer = self.run(permit, version, context) => Some(answer),
            () = identity.caller_gone.cancelled() => Some(Err(Fault::Cancelled)),
            () = passed => None,
        }
    }

    async fn run(
        &self,
        permit: Permit,
        version: &Version,
        context: &mut Context<'_>,
    ) -> Result<Answer, Fault> {
        let node = self.0;
        let prompt = estimate::prompt_tokens(&context.request.chat);
        let mut opened = self.open_hedged(permit, context).await?;
        // From here on the request counts as started, even if the answer fails.
        context.trace.record_start();
        let first_token = node.clock.now().since(opened.started);
        node.retries
            .record_first_token(context.version, first_token, node.clock.now());
        let deadline = node.clock.instant(context.request.identity.deadline);
        let drained = opened.deliver(context.delivery, deadline, node.config.stall_timeout);
        match drained.await {
            Ok(()) => {
                let answer = context.delivery.answer(prompt);
                context.trace.cost += version.price.of(answer.input(), answer.output());
                self.record_answer(opened, context, &answer);
                Ok(answer)
            }
            Err(fault) => {
                let output = Tokens(context.delivery.chunks());
                context.trace.cost += version.price.of(prompt, output);
                node.record_broken_run(context.request.digest, opened.permit.endpoint(), &fault);
                opened.permit.failed(&fault);
                Err(fault)
            }
        }
    }

    fn record_answer(&self, opened: Opened, context: &Context<'_>, answer: &Answer) {
        let node = self.0;
        let now = node.clock.now();
        let elapsed = now.since(opened.started);
        let tokens = answer.input() + answer.output();
        let request = context.request;
        #[expect(clippy::cast_precision_loss, reason = "token counts are small")]
        let seconds_per_token = elapsed.as_secs_f64() / answer.output().0.max(1) as f64;
        node.evidence
            .record_answer(context.version, elapsed, seconds_per_token, now);
        let class = &request.class.name;
        node.estimates
            .record_answer(&request.customer, class, answer.output());
        node.metrics.record_attempt(context.pool, "served");
        opened.permit.served(tokens);
        opened.abort.disarm();
    }

    /// Waits until an attempt without a first chunk is to be abandoned. The first chunk has the first token.
    ///
    /// An engine that hangs would otherwise hold a request for half of its time. But first chunks are also
    /// late while a pool is full in a burst, and abandoning such an attempt would turn an answer into an error.
    /// Before the final timeout, an attempt is therefore abandoned only if the retry budgets allow another
    /// one.
    fn first_chunk_timeout(&self, context: &Context<'_>) -> impl Future<Output = ()> + use<'a> {
        let node = self.0;
        let now = node.clock.now();
        let time_left = context.request.identity.deadline.since(now);
        // Half of the remaining time is left for another engine in case this one sends no first chunk, unless
        // the stall timeout is longer.
        let max_timeout = (time_left / 2)
            .max(node.config.stall_timeout)
            .min(time_left);
        let early_timeout = node.retries.first_token_timeout(context.version);
        let early_timeout =
            early_timeout.filter(|timeout| *timeout < max_timeout && context.trace.attempts <= 1);
        let last = node.clock.instant(now + max_timeout);
        let early = early_timeout.map(|timeout| node.clock.instant(now + timeout));
        let customer = context.request.customer.clone();
        let pool = context.pool.clone();
        let retry_charged = Arc::clone(&context.retry_charged);
        async move {
            if let Some(early) = early {
                tokio::time::sleep_until(early).await;
                if node
                    .retries
                    .try_withdraw(&customer, &pool, node.clock.now())
                {
                    retry_charged.store(true, Ordering::Relaxed);
                    return;
                }
            }
            tokio::time::sleep_until(last).await;
        }
    }

    /// Sends the call and waits for the first chunk. Does not borrow the delivery, so that two of these
    /// futures can run concurrently.
    fn open(
        &self,
        permit: Permit,
        context: &Context<'_>,
    ) -> impl Future<Output = Result<Opened, Fault>> + use<'a> {
        let node = self.0;
        let now = node.clock.now();
        let deadline = context.request.identity.deadline;
        let digest = context.request.digest;
        let time_left = deadline.since(now);
        let timed_out = self.first_chunk_timeout(context);
        let mut chat = context.request.chat.clone();
        chat.model = context.version.as_str().into();
        chat.stream = true;
        chat.max_tokens = Some(context.max_output.0);
        let call = Call {
            attempt: id::Attempt(Uuid::now_v7()),
            chat,
            priority: context.request.class.priority,
            timeout: time_left,
        };
        let engine = Remote::new(node.connections.clone(), permit.address());
        let abort = Abort::new(engine.clone(), call.attempt, node.tasks.clone());
        async move {
            let attempt = call.attempt;
            let result = tokio::select! {
                result = open_stream(&engine, call) => result,
                () = timed_out => Err(Fault::Timeout),
            };
            match result {
                Ok((events, assembler, first)) => Ok(Opened {
                    permit,
                    engine,
                    attempt,
                    events,
                    assembler,
                    first,
                    started: now,
                    abort,
                }),
                Err(fault) => {
                    node.record_broken_run(digest, permit.endpoint(), &fault);
                    permit.failed(&fault);
                    if fault.not_run() {
                        abort.disarm();
                    }
                    Err(fault)
                }
            }
        }
    }
}

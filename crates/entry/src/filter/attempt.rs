//! Attempts of a model request at engines of one version, with hedging, resuming and retries.

mod opened;

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use futures::future::Either;
use pimento_contract::Version;
use pimento_endpoint::Fault;
use pimento_endpoint::engine::Call;
use pimento_endpoint::engine::Remote;
use pimento_policy::hedge;
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
use crate::node::Node;
use crate::refusal::Refusal;
use crate::trace::Trace;

/// Expected tokens from which an attempt counts as long for hedging. The queue has a threshold of its own.
const LONG_JOB: Tokens = Tokens(6_000);

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
                caller_gone: &context.request.identity.caller_gone,
            };
            let admitted = Admission(self.0)
                .apply(slot_request)
                .await
                .map_err(Error::Refused)?;
            context.trace.waited += admitted.waited;
            let version = self.usable_version(context).ok_or(Error::Withdrawn)?;
            self.0.ensure_not_blocked(digest).map_err(Error::Refused)?;
            let endpoint = admitted.permit.endpoint().clone();
            match self.attempt_once(admitted.permit, &version, context).await {
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
            deadline: request.identity.deadline,
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
        node.metrics.record_attempt(context.pool, label(fault));
        context.trace.record_failure(endpoint, fault);
        let is_neutral = fault.not_run() || *fault == Fault::Cancelled;
        if !is_neutral {
            node.evidence
                .record_failure(context.version, node.clock.now());
        }
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
            let half_time = identity.arrived + identity.deadline.since(identity.arrived) / 2;
            context.trace.record_refusal();
            return now < half_time;
        }
        let is_repeatable =
            !context.delivery.has_started() || request.chat.temperature == Some(0.0);
        if *fault == Fault::Cancelled || !is_repeatable || now >= request.identity.deadline {
            return false;
        }
        let pool = node.scheduler.pool(context.pool);
        let failure = retry::Failure {
            repeatable: true,
            attempts: context.trace.attempts,
            run_time: pool.expected_run_time(Some(context.version), self.expected_tokens(context)),
            deadline: request.identity.deadline,
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

    async fn attempt_once(
        &self,
        permit: Permit,
        version: &Version,
        context: &mut Context<'_>,
    ) -> Result<Answer, Fault> {
        let caller_gone = context.request.identity.caller_gone.clone();
        tokio::select! {
            answer = self.run(permit, version, context) => answer,
            () = caller_gone.cancelled() => Err(Fault::Cancelled),
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

    /// Starts an answer. If a short request waits unusually long for its first chunk, starts it at a second
    /// engine too and uses the answer that starts first.
    async fn open_hedged(
        &self,
        permit: Permit,
        context: &mut Context<'_>,
    ) -> Result<Opened, Fault> {
        let node = self.0;
        let time_left = context.request.identity.deadline.since(node.clock.now());
        let long = self.expected_tokens(context) >= LONG_JOB;
        let attempt = hedge::Attempt {
            repeatable: true,
            long,
            time_left,
        };
        let delay = node.retries.hedge_delay(context.version, attempt);
        context.trace.attempts += 1;
        let endpoint = permit.endpoint().clone();
        let first = self.open(permit, context);
        tokio::pin!(first);
        let Some(delay) = delay else {
            return first.await;
        };
        tokio::select! {
            biased;
            opened = &mut first => return opened,
            () = tokio::time::sleep(delay) => {}
        }
        let Some(permit) = self.acquire_hedge(context, &endpoint) else {
            return first.await;
        };
        node.metrics.record_attempt(context.pool, "hedged");
        let second = self.open(permit, context);
        tokio::pin!(second);
        match futures::future::select(first, second).await {
            Either::Left((Ok(opened), _)) | Either::Right((Ok(opened), _)) => Ok(opened),
            Either::Left((Err(fault), remaining)) => remaining
                .await
                .map_err(|other| prefer_maybe_run(fault, other)),
            Either::Right((Err(fault), remaining)) => remaining
                .await
                .map_err(|other| prefer_maybe_run(fault, other)),
        }
    }

    /// Acquires a free slot at another engine, if the retry budgets allow a hedge.
    fn acquire_hedge(&self, context: &Context<'_>, first: &id::Endpoint) -> Option<Permit> {
        let node = self.0;
        self.usable_version(context)?;
        node.ensure_not_blocked(context.request.digest).ok()?;
        let mut job = self.job(context);
        job.tried.push(first.clone());
        let permit = node.scheduler.pool(context.pool).try_acquire(&job)?;
        let customer = &context.request.customer;
        let allowed = permit.endpoint() != first
            && node
                .retries
                .try_withdraw(customer, context.pool, node.clock.now());
        allowed.then_some(permit)
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

/// Of two faults, the one after which the request may have run, if any.
fn prefer_maybe_run(one: Fault, other: Fault) -> Fault {
    if one.not_run() { other } else { one }
}

/// The label for a fault in metrics.
#[must_use]
pub const fn label(fault: &Fault) -> &'static str {
    match fault {
        Fault::Unreachable { .. } => "unreachable",
        Fault::Refused { .. } => "refused",
        Fault::Failed { .. } => "failed",
        Fault::Interrupted { .. } => "cut",
        Fault::Invalid { .. } => "nonsense",
        Fault::Timeout => "timeout",
        Fault::Cancelled => "cancelled",
    }
}

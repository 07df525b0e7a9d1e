//! Attempts of a model request at engines of one version: choice, hedge, resume, retry.

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
use pimento_units::Tokens;
use pimento_units::id;
use uuid::Uuid;

use self::opened::Abort;
use self::opened::Opened;
use self::opened::begin;
use crate::estimate;
use crate::filter::Filter;
use crate::filter::admission::Admission;
use crate::filter::admission::Want;
use crate::filter::assemble::Answer;
use crate::filter::assemble::Delivery;
use crate::filter::contract::Contract;
use crate::filter::identify::Request;
use crate::node::Node;
use crate::refusal::Refusal;
use crate::trace::Trace;

/// Tokens from which a job is long, as in the queue.
const LONG: Tokens = Tokens(6_000);

/// Asks engines of one version.
#[derive(Debug, Clone)]
pub struct Attempt<'a>(pub &'a Node);

/// What to ask, and where the answer goes.
#[derive(Debug)]
pub struct Ask<'a> {
    /// The request.
    pub request: &'a Request,
    /// The version to ask.
    pub version: &'a id::Version,
    /// Its pool.
    pub pool: &'a id::Pool,
    /// The most tokens of an answer.
    pub output: Tokens,
    /// Where the answer goes.
    pub delivery: &'a mut Delivery,
    /// What was done so far.
    pub trace: &'a mut Trace,
    /// Whether the next attempt is paid for already, by one that was given up for its silence.
    pub paid: Arc<AtomicBool>,
}

/// Why a version gave no answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Stop {
    /// It may no longer be used.
    Withdrawn,
    /// No slot could be had.
    Refused(Refusal),
    /// The attempts failed.
    Failed(Fault),
}

impl<'a> Attempt<'a> {
    /// Asks until there is a whole answer, or no further attempt is allowed.
    ///
    /// # Errors
    ///
    /// A [`Stop`].
    pub async fn answer(&self, ask: &mut Ask<'_>) -> Result<Answer, Stop> {
        let digest = ask.request.digest;
        loop {
            self.0.unbarred(digest).map_err(Stop::Refused)?;
            let want = Want {
                pool: ask.pool,
                job: self.job(ask),
                gone: &ask.request.identity.gone,
            };
            let admitted = Admission(self.0).apply(want).await.map_err(Stop::Refused)?;
            ask.trace.waited += admitted.waited;
            let version = self.dispatch(ask).ok_or(Stop::Withdrawn)?;
            self.0.unbarred(digest).map_err(Stop::Refused)?;
            let endpoint = admitted.permit.endpoint().clone();
            match self.once(admitted.permit, &version, ask).await {
                Ok(answer) => {
                    self.0.answered(digest);
                    let now = self.0.clock.now();
                    let customer = &ask.request.customer;
                    self.0.retries.success(customer, ask.pool, now);
                    return Ok(answer);
                }
                Err(fault) => {
                    self.note(ask, &endpoint, &fault);
                    if !self.again(ask, &fault) {
                        return Err(Stop::Failed(fault));
                    }
                    ask.delivery.restart();
                }
            }
        }
    }

    fn dispatch(&self, ask: &Ask<'_>) -> Option<Version> {
        let request = ask.request;
        Contract(self.0).dispatch(&request.customer, &request.class.name, ask.version)
    }

    fn tokens(&self, ask: &Ask<'_>) -> Tokens {
        let request = ask.request;
        let class = &request.class.name;
        let answer = self
            .0
            .estimates
            .answer(&request.customer, class, ask.output);
        estimate::prompt(&request.chat) + answer
    }

    fn job(&self, ask: &Ask<'_>) -> Job {
        let request = ask.request;
        let beginning = request.chat.messages.first();
        Job {
            customer: request.customer.clone(),
            weight: request.weight,
            priority: request.class.priority,
            tokens: self.tokens(ask),
            deadline: request.identity.deadline,
            version: Some(ask.version.clone()),
            prefix: beginning.map(|m| xxhash_rust::xxh3::xxh3_64(m.content.as_bytes())),
            prompt: None,
            tried: ask.trace.tried.clone(),
            previously_refused: request.identity.returning,
            repeatable: true,
        }
    }

    fn note(&self, ask: &mut Ask<'_>, endpoint: &id::Endpoint, fault: &Fault) {
        let node = self.0;
        let id = ask.request.identity.id;
        // Under overload there is a refusal for each slot that is looked for.
        let level = match fault {
            Fault::Refused { .. } => log::Level::Debug,
            _ => log::Level::Info,
        };
        log::log!(level, "attempt: {endpoint} failed for {id}: {fault}.");
        node.metrics.record_attempt(ask.pool, name(fault));
        ask.trace.failed(endpoint, fault);
        let harmless = fault.not_run() || *fault == Fault::Cancelled;
        if !harmless {
            node.evidence.failed(ask.version, node.clock.now());
        }
    }

    /// Whether another attempt is made. Once the caller has a part of the answer, only a
    /// deterministic answer can be told again from its start.
    fn again(&self, ask: &mut Ask<'_>, fault: &Fault) -> bool {
        let node = self.0;
        let now = node.clock.now();
        let request = ask.request;
        // An engine that is full and says so has cost a round trip and no work: the request goes
        // back to the queue. Half of its time is left for the answer then, and for the caller to
        // ask elsewhere if even that was in vain.
        if matches!(fault, Fault::Refused { .. }) {
            let identity = &request.identity;
            let half = identity.arrived + identity.deadline.since(identity.arrived) / 2;
            ask.trace.refused();
            return now < half;
        }
        let repeats = !ask.delivery.begun() || request.chat.temperature == Some(0.0);
        if *fault == Fault::Cancelled || !repeats || now >= request.identity.deadline {
            return false;
        }
        let pool = node.scheduler.pool(ask.pool);
        let failure = retry::Failure {
            repeatable: true,
            attempts: ask.trace.attempts,
            run_time: pool.expected_run_time(Some(ask.version), self.tokens(ask)),
            deadline: request.identity.deadline,
        };
        if ask.paid.swap(false, Ordering::Relaxed) {
            return ask.trace.attempts < retry::MAX_ATTEMPTS;
        }
        if matches!(fault, Fault::Unreachable { .. }) {
            return retry::can_retry_unsent(failure, now);
        }
        node.retries
            .again(&request.customer, ask.pool, failure, now)
    }

    async fn once(
        &self,
        permit: Permit,
        version: &Version,
        ask: &mut Ask<'_>,
    ) -> Result<Answer, Fault> {
        let gone = ask.request.identity.gone.clone();
        tokio::select! {
            answer = self.run(permit, version, ask) => answer,
            () = gone.cancelled() => Err(Fault::Cancelled),
        }
    }

    async fn run(
        &self,
        permit: Permit,
        version: &Version,
        ask: &mut Ask<'_>,
    ) -> Result<Answer, Fault> {
        let node = self.0;
        let prompt = estimate::prompt(&ask.request.chat);
        let mut opened = self.race(permit, ask).await?;
        // From here on an engine has begun, whatever becomes of the answer.
        ask.trace.begun();
        let first = node.clock.now().since(opened.begun);
        node.retries.first(ask.version, first, node.clock.now());
        let deadline = node.clock.instant(ask.request.identity.deadline);
        let drained = opened.drain(ask.delivery, deadline, node.config.stall_timeout);
        match drained.await {
            Ok(()) => {
                let answer = ask.delivery.answer(prompt);
                ask.trace.cost += version.price.of(answer.input(), answer.output());
                self.learn(opened, ask, &answer);
                Ok(answer)
            }
            Err(fault) => {
                let output = Tokens(ask.delivery.pieces());
                ask.trace.cost += version.price.of(prompt, output);
                node.failed(ask.request.digest, opened.permit.endpoint(), &fault);
                opened.permit.failed(&fault);
                Err(fault)
            }
        }
    }

    fn learn(&self, opened: Opened, ask: &Ask<'_>, answer: &Answer) {
        let node = self.0;
        let now = node.clock.now();
        let took = now.since(opened.begun);
        let tokens = answer.input() + answer.output();
        let request = ask.request;
        #[expect(clippy::cast_precision_loss, reason = "token counts are small")]
        let pace = took.as_secs_f64() / answer.output().0.max(1) as f64;
        node.evidence.served(ask.version, took, pace, now);
        let class = &request.class.name;
        node.estimates
            .answered(&request.customer, class, answer.output());
        node.metrics.record_attempt(ask.pool, "served");
        opened.permit.served(tokens);
        opened.abort.disarm();
    }

    /// Begins an answer; for a short one that takes unusually long, at a second engine too.
    async fn race(&self, permit: Permit, ask: &mut Ask<'_>) -> Result<Opened, Fault> {
        let node = self.0;
        let left = ask.request.identity.deadline.since(node.clock.now());
        let long = self.tokens(ask) >= LONG;
        let attempt = hedge::Attempt {
            repeatable: true,
            long,
            time_left: left,
        };
        let delay = node.retries.delay(ask.version, attempt);
        ask.trace.attempts += 1;
        let endpoint = permit.endpoint().clone();
        let first = self.open(permit, ask);
        tokio::pin!(first);
        let Some(delay) = delay else {
            return first.await;
        };
        tokio::select! {
            biased;
            opened = &mut first => return opened,
            () = tokio::time::sleep(delay) => {}
        }
        let Some(permit) = self.second(ask, &endpoint) else {
            return first.await;
        };
        node.metrics.record_attempt(ask.pool, "hedged");
        let second = self.open(permit, ask);
        tokio::pin!(second);
        match futures::future::select(first, second).await {
            Either::Left((Ok(opened), _)) | Either::Right((Ok(opened), _)) => Ok(opened),
            Either::Left((Err(fault), rest)) => rest.await.map_err(|other| worse(fault, other)),
            Either::Right((Err(fault), rest)) => rest.await.map_err(|other| worse(fault, other)),
        }
    }

    /// A free slot at another engine, if the retry budgets pay for it.
    fn second(&self, ask: &Ask<'_>, first: &id::Endpoint) -> Option<Permit> {
        let node = self.0;
        self.dispatch(ask)?;
        node.unbarred(ask.request.digest).ok()?;
        let mut job = self.job(ask);
        job.tried.push(first.clone());
        let permit = node.scheduler.pool(ask.pool).try_acquire(&job)?;
        let customer = &ask.request.customer;
        let paid =
            permit.endpoint() != first && node.retries.hedge(customer, ask.pool, node.clock.now());
        paid.then_some(permit)
    }

    /// Waits until an attempt without a first piece is to be given up. An engine that hangs would
    /// hold a request for half of its caller's time. But a full pool in a burst is silent, too, and
    /// giving up for nothing is an error to a caller who would have been served: so before the last
    /// moment only if the retry budgets pay for another attempt.
    fn patience(&self, ask: &Ask<'_>) -> impl Future<Output = ()> + use<'a> {
        let node = self.0;
        let now = node.clock.now();
        let left = ask.request.identity.deadline.since(now);
        // Half of the time is left for another engine if this one never begins.
        let longest = (left / 2).max(node.config.stall_timeout).min(left);
        let silence = node.retries.silence(ask.version);
        let silence = silence.filter(|silence| *silence < longest && ask.trace.attempts <= 1);
        let last = node.clock.instant(now + longest);
        let early = silence.map(|silence| node.clock.instant(now + silence));
        let customer = ask.request.customer.clone();
        let pool = ask.pool.clone();
        let paid = Arc::clone(&ask.paid);
        async move {
            if let Some(early) = early {
                tokio::time::sleep_until(early).await;
                if node.retries.hedge(&customer, &pool, node.clock.now()) {
                    paid.store(true, Ordering::Relaxed);
                    return;
                }
            }
            tokio::time::sleep_until(last).await;
        }
    }

    /// Sends the call and waits for the first piece. Borrows nothing of the delivery, so that two
    /// of these can run side by side.
    fn open(
        &self,
        permit: Permit,
        ask: &Ask<'_>,
    ) -> impl Future<Output = Result<Opened, Fault>> + use<'a> {
        let node = self.0;
        let now = node.clock.now();
        let deadline = ask.request.identity.deadline;
        let digest = ask.request.digest;
        let left = deadline.since(now);
        let patience = self.patience(ask);
        let mut chat = ask.request.chat.clone();
        chat.model = ask.version.as_str().into();
        chat.stream = true;
        chat.max_tokens = Some(ask.output.0);
        let call = Call {
            attempt: id::Attempt(Uuid::now_v7()),
            chat,
            priority: ask.request.class.priority,
            timeout: left,
        };
        let engine = Remote::new(node.connections.clone(), permit.address());
        let abort = Abort::new(engine.clone(), call.attempt, node.tasks.clone());
        async move {
            let attempt = call.attempt;
            let result = tokio::select! {
                result = begin(&engine, call) => result,
                () = patience => Err(Fault::Timeout),
            };
            match result {
                Ok((events, assembler, first)) => Ok(Opened {
                    permit,
                    engine,
                    attempt,
                    events,
                    assembler,
                    first,
                    begun: now,
                    abort,
                }),
                Err(fault) => {
                    node.failed(digest, permit.endpoint(), &fault);
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

/// Of two faults the one after which less can be said.
fn worse(one: Fault, other: Fault) -> Fault {
    if one.not_run() { other } else { one }
}

/// The label of a fault in metrics.
#[must_use]
pub const fn name(fault: &Fault) -> &'static str {
    match fault {
        Fault::Unreachable { .. } => "unreachable",
        Fault::Refused { .. } => "refused",
        Fault::Failed { .. } => "failed",
        Fault::Cut { .. } => "cut",
        Fault::Nonsense { .. } => "nonsense",
        Fault::Timeout => "timeout",
        Fault::Cancelled => "cancelled",
    }
}

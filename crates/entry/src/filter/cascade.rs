//! The cascade: chooses the version to send a request to, and decides whether its answer is good enough.

use std::sync::Arc;
use std::time::Duration;

use pimento_contract::Version;
use pimento_policy::cascade;
use pimento_policy::cascade::Candidate;
use pimento_policy::cascade::Plan;
use pimento_policy::cascade::Release;
use pimento_policy::cascade::Terms;
use pimento_policy::session::Pin;
use pimento_units::Money;
use pimento_units::id;

use crate::estimate;
use crate::filter::Filter;
use crate::filter::attempt;
use crate::filter::attempt::Attempt;
use crate::filter::budget::Funded;
use crate::filter::contract;
use crate::filter::contract::Contract;
use crate::filter::delivery::Answer;
use crate::filter::delivery::Delivery;
use crate::filter::rate;
use crate::filter::rate::RatedAnswer;
use crate::filter::reply::Head;
use crate::node::Node;
use crate::refusal::Refusal;
use crate::trace::Trace;

/// Maximum number of steps for one request, so that the cascade ends even if versions are withdrawn one after
/// the other while the request waits.
const MAX_STEPS: usize = 8;

/// Timeout of the rating of an answer that was already released.
const SAMPLE_RATING_TIMEOUT: Duration = Duration::from_secs(10);

/// Finds an answer of the contracted quality at the lowest cost.
#[derive(Debug, Clone)]
pub struct Cascade<'a>(pub &'a Node);

/// A request and where its answer goes.
#[derive(Debug)]
pub struct Work<'a> {
    /// The request.
    pub funded: &'a Funded,
    /// Where the answer goes.
    pub delivery: &'a mut Delivery,
    /// The attempts made so far.
    pub trace: &'a mut Trace,
}

/// The answer that the caller gets.
#[derive(Debug)]
pub struct Served {
    /// The version that gave it.
    pub version: Version,
    /// The answer.
    pub answer: Answer,
    /// Headers for the caller.
    pub head: Head,
}

/// Progress of the cascade.
#[derive(Default)]
struct Progress {
    /// Versions tried, sorted.
    tried: Vec<id::Version>,
    /// Highest expected quality of a version whose answer was not accepted.
    best_rejected: f64,
    /// The best answer that was not accepted, with the expected quality of its version.
    fallback: Option<(f64, Served)>,
    /// Why the last version gave no answer.
    refusal: Option<Refusal>,
}

/// Result of a step.
enum Outcome {
    Served(Box<Served>),
    Next,
}

impl<'a> Filter<Work<'a>> for Cascade<'_> {
    type Output = Served;

    async fn apply(&self, mut work: Work<'a>) -> Result<Served, Refusal> {
        let mut progress = Progress::default();
        for _ in 0..MAX_STEPS {
            if work.funded.resolved.request.identity.end.is_reached() {
                progress.refusal.get_or_insert(work.trace.ended());
                break;
            }
            let pins = Contract(self.0).pins(&work.funded.resolved.request);
            let versions = self.versions(&pins);
            let candidates = self.candidates(&work, &versions, &progress);
            let terms = self.terms(&work);
            let Some(plan) = cascade::plan(&candidates, &terms) else {
                if versions.is_empty() {
                    progress.refusal.get_or_insert(contract::no_version());
                }
                break;
            };
            let version = &versions[plan.step];
            let mean = candidates[plan.step].mean;
            let head = self.head(&work, &pins, version);
            let chosen = Chosen {
                version,
                plan,
                mean,
                head,
                candidates: &candidates,
                terms,
            };
            match self.step(&mut work, chosen, &mut progress).await? {
                Outcome::Served(served) => return Ok(*served),
                Outcome::Next => {}
            }
        }
        self.finish_with_fallback(work, progress).await
    }
}

/// The version chosen for a step.
struct Chosen<'a> {
    version: &'a Version,
    plan: Plan,
    mean: f64,
    head: Head,
    candidates: &'a [Candidate],
    terms: Terms,
}

impl Cascade<'_> {
    fn versions(&self, pins: &[Pin]) -> Vec<Version> {
        let state = self.0.state.current();
        let versions = pins.iter().filter_map(|pin| state.version(&pin.version));
        versions.cloned().collect()
    }

    fn candidates(
        &self,
        work: &Work<'_>,
        versions: &[Version],
        progress: &Progress,
    ) -> Vec<Candidate> {
        let node = self.0;
        let now = node.clock.now();
        let request = &work.funded.resolved.request;
        let class = &request.class.name;
        let input = estimate::prompt_tokens(&request.chat);
        let output = node
            .estimates
            .answer_tokens(&request.customer, class, work.funded.max_output);
        let candidate = |version: &Version| {
            let (mean, lower_bound) =
                node.estimates
                    .quality(&request.customer, class, version, now);
            let pool = node.scheduler.pool(&version.pool);
            let untried = progress.tried.binary_search(&version.id).is_err();
            Candidate {
                cost: version.price.of(input, output),
                run_time: pool.expected_run_time(Some(&version.id), input + output),
                mean,
                lower_bound,
                usable: untried && mean > progress.best_rejected && pool.holds(Some(&version.id)),
            }
        };
        versions.iter().map(candidate).collect()
    }

    fn terms(&self, work: &Work<'_>) -> Terms {
        let node = self.0;
        let now = node.clock.now();
        let request = &work.funded.resolved.request;
        let rating = node
            .rater
            .as_ref()
            .and_then(|_| node.rater_health.expected_time(now));
        Terms {
            target: request.class.quality,
            budget: work.funded.reservation.max_charge,
            time_left: request.identity.work_deadline().since(now),
            rating_time: rating,
            cost_per_second: node.config.second_worth,
        }
    }

    fn head(&self, work: &Work<'_>, pins: &[Pin], version: &Version) -> Head {
        let request = &work.funded.resolved.request;
        let unchanged = pins.iter().all(|pin| pin.was_pinned);
        let token = match &request.token {
            Some(token) if unchanged => token.clone(),
            _ => {
                let mut session = request.session.clone();
                session.pin(&request.class, pins.iter().map(|pin| &pin.version));
                session.offset = self.0.state.current().offset;
                session.at = self.0.clock.wall();
                self.0.session_key.seal(&session).into()
            }
        };
        Head {
            version: version.id.as_str().into(),
            token,
        }
    }

    async fn step(
        &self,
        work: &mut Work<'_>,
        chosen: Chosen<'_>,
        progress: &mut Progress,
    ) -> Result<Outcome, Refusal> {
        let live = chosen.plan.release == Release::Unrated;
        work.delivery.begin(chosen.head.clone(), live);
        let mut context = attempt::Context {
            retry_charged: Arc::default(),
            request: &work.funded.resolved.request,
            version: &chosen.version.id,
            pool: &chosen.version.pool,
            max_output: work.funded.max_output,
            delivery: work.delivery,
            trace: work.trace,
        };
        match Attempt(self.0).answer(&mut context).await {
            Ok(answer) => self.evaluate(work, chosen, answer, progress).await,
            Err(error) => self.handle_error(work, &chosen, error, progress),
        }
    }

    /// Continues with another version, unless a part of this one's answer was sent to the caller or the caller
    /// disconnected.
    fn handle_error(
        &self,
        work: &Work<'_>,
        chosen: &Chosen<'_>,
        error: attempt::Error,
        progress: &mut Progress,
    ) -> Result<Outcome, Refusal> {
        let version = &chosen.version.id;
        let (refusal, is_final) = match error {
            attempt::Error::Withdrawn => {
                log::info!("cascade: {version} may no longer be used, trying another version.");
                (work.trace.correct_run(contract::no_version()), false)
            }
            attempt::Error::Refused(refusal) => (work.trace.correct_run(refusal), false),
            attempt::Error::Failed(fault) => {
                let caller_gone = fault == pimento_endpoint::Fault::Cancelled;
                (work.trace.refusal(&fault), caller_gone)
            }
            attempt::Error::Ended => (work.trace.ended(), false),
        };
        self.0.metrics.record_step(version, "none");
        if is_final || work.delivery.has_started() {
            return Err(refusal);
        }
        progress.refusal = Some(refusal);
        progress.exclude(version);
        Ok(Outcome::Next)
    }

    async fn evaluate(
        &self,
        work: &mut Work<'_>,
        chosen: Chosen<'_>,
        answer: Answer,
        progress: &mut Progress,
    ) -> Result<Outcome, Refusal> {
        let node = self.0;
        let request = &work.funded.resolved.request;
        let class = &request.class.name;
        let rated_answer = RatedAnswer::new(
            &request.customer,
            class,
            chosen.version,
            &request.chat,
            &answer.text,
        );
        let pass = match chosen.plan.release {
            Release::Unrated => {
                self.sample_rating(rated_answer);
                Some(true)
            }
            Release::Rated => {
                let identity = &request.identity;
                let rating = rate::rate(node, rated_answer, identity.deadline);
                identity.end.run(rating).await.flatten()
            }
        };
        let accepted = pass.unwrap_or_else(|| chosen.acceptable_unrated());
        let result = match pass {
            Some(true) => "accepted",
            Some(false) => "short",
            None => "unrated",
        };
        node.metrics.record_step(&chosen.version.id, result);
        let served = Served {
            version: chosen.version.clone(),
            answer,
            head: chosen.head,
        };
        if accepted {
            self.release(work).await?;
            return Ok(Outcome::Served(Box::new(served)));
        }
        progress.exclude(&served.version.id);
        progress.offer_fallback(chosen.mean, served);
        Ok(Outcome::Next)
    }

    async fn release(&self, work: &mut Work<'_>) -> Result<(), Refusal> {
        let released = work.delivery.release().await;
        released.map_err(|fault| work.trace.refusal(&fault))
    }

    /// Rates a sample of the answers that were released unrated, so that the estimates stay accurate.
    fn sample_rating(&self, rated_answer: RatedAnswer) {
        if self.0.rater.is_none() || !cascade::should_sample(rand::random()) {
            return;
        }
        let Some(node) = self.0.to_arc() else {
            return;
        };
        let deadline = node.clock.now() + SAMPLE_RATING_TIMEOUT;
        self.0
            .tasks
            .spawn(async move { rate::rate(&node, rated_answer, deadline).await });
    }

    /// Returns the best answer available. The contracted quality applies to a share of the answers, and an
    /// answer that was not accepted is more useful than none.
    async fn finish_with_fallback(
        &self,
        mut work: Work<'_>,
        progress: Progress,
    ) -> Result<Served, Refusal> {
        if let Some((_, served)) = progress.fallback {
            work.delivery.restore(served.head.clone(), &served.answer);
            self.release(&mut work).await?;
            return Ok(served);
        }
        Err(progress.refusal.unwrap_or_else(|| {
            let fault = pimento_endpoint::Fault::Unreachable {
                reason: "no endpoint serves a version that may answer".into(),
            };
            work.trace.refusal(&fault)
        }))
    }
}

impl Chosen<'_> {
    /// Whether the answer would be released without a rating, given that none is available.
    fn acceptable_unrated(&self) -> bool {
        let terms = Terms {
            rating_time: None,
            budget: Money::MAX,
            ..self.terms
        };
        let plan = cascade::plan(self.candidates, &terms);
        plan.is_none_or(|plan| plan.step == self.plan.step)
    }
}

impl Progress {
    fn exclude(&mut self, version: &id::Version) {
        if let Err(index) = self.tried.binary_search(version) {
            self.tried.insert(index, version.clone());
        }
    }

    fn offer_fallback(&mut self, mean: f64, served: Served) {
        self.best_rejected = self.best_rejected.max(mean);
        let is_better = self.fallback.as_ref().is_none_or(|(best, _)| mean > *best);
        if is_better {
            self.fallback = Some((mean, served));
        }
    }
}

//! The cascade: which version is asked, and whether its answer is good enough.

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
use crate::filter::assemble::Answer;
use crate::filter::assemble::Delivery;
use crate::filter::attempt::Ask;
use crate::filter::attempt::Attempt;
use crate::filter::attempt::Stop;
use crate::filter::budget::Funded;
use crate::filter::contract;
use crate::filter::contract::Contract;
use crate::filter::rate;
use crate::filter::rate::Subject;
use crate::filter::reply::Head;
use crate::node::Node;
use crate::refusal::Refusal;
use crate::trace::Trace;

/// The most steps of one request. Versions that are withdrawn one after the other while it waits
/// must not keep it going round.
const STEPS: usize = 8;

/// Time after which a rating of an answer that was released already is given up.
const AFTERWARDS: Duration = Duration::from_secs(10);

/// Finds an answer of the contracted quality for the least cost.
#[derive(Debug, Clone)]
pub struct Cascade<'a>(pub &'a Node);

/// A request and where its answer goes.
#[derive(Debug)]
pub struct Work<'a> {
    /// The request.
    pub funded: &'a Funded,
    /// Where the answer goes.
    pub delivery: &'a mut Delivery,
    /// What was done so far.
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

/// What came of the steps so far.
#[derive(Default)]
struct Course {
    /// Versions asked, sorted.
    tried: Vec<id::Version>,
    /// Expected quality of the best version whose answer fell short.
    short: f64,
    /// The best answer that fell short.
    fallback: Option<(f64, Served)>,
    refusal: Option<Refusal>,
}

/// What a step led to.
enum Step {
    Served(Box<Served>),
    Next,
}

impl<'a> Filter<Work<'a>> for Cascade<'_> {
    type Output = Served;

    async fn apply(&self, mut work: Work<'a>) -> Result<Served, Refusal> {
        let mut course = Course::default();
        for _ in 0..STEPS {
            let pins = Contract(self.0).pins(&work.funded.bound.request);
            let versions = self.versions(&pins);
            let candidates = self.candidates(&work, &versions, &course);
            let terms = self.terms(&work);
            let Some(plan) = cascade::plan(&candidates, &terms) else {
                if versions.is_empty() {
                    course.refusal.get_or_insert(contract::none());
                }
                break;
            };
            let version = &versions[plan.step];
            let mean = candidates[plan.step].mean;
            let head = self.head(&work, &pins, version);
            let step = Chosen {
                version,
                plan,
                mean,
                head,
                candidates: &candidates,
                terms,
            };
            match self.step(&mut work, step, &mut course).await? {
                Step::Served(served) => return Ok(*served),
                Step::Next => {}
            }
        }
        self.settle(work, course).await
    }
}

/// The step chosen.
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

    fn candidates(&self, work: &Work<'_>, versions: &[Version], course: &Course) -> Vec<Candidate> {
        let node = self.0;
        let now = node.clock.now();
        let request = &work.funded.bound.request;
        let class = &request.class.name;
        let input = estimate::prompt(&request.chat);
        let output = node
            .estimates
            .answer(&request.customer, class, work.funded.output);
        let candidate = |version: &Version| {
            let (mean, lower) = node
                .estimates
                .quality(&request.customer, class, version, now);
            let pool = node.scheduler.pool(&version.pool);
            let untried = course.tried.binary_search(&version.id).is_err();
            Candidate {
                cost: version.price.of(input, output),
                run_time: pool.expected_run_time(Some(&version.id), input + output),
                mean,
                lower_bound: lower,
                usable: untried && mean > course.short && pool.holds(Some(&version.id)),
            }
        };
        versions.iter().map(candidate).collect()
    }

    fn terms(&self, work: &Work<'_>) -> Terms {
        let node = self.0;
        let now = node.clock.now();
        let request = &work.funded.bound.request;
        let rating = node
            .rater
            .as_ref()
            .and_then(|_| node.rater_health.time(now));
        Terms {
            target: request.class.quality,
            budget: work.funded.fund.most,
            time_left: request.identity.deadline.since(now),
            rating_time: rating,
            cost_per_second: node.config.second_worth,
        }
    }

    fn head(&self, work: &Work<'_>, pins: &[Pin], version: &Version) -> Head {
        let request = &work.funded.bound.request;
        let kept = pins.iter().all(|pin| pin.was_pinned);
        let token = match &request.token {
            Some(token) if kept => token.clone(),
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
        course: &mut Course,
    ) -> Result<Step, Refusal> {
        let live = chosen.plan.release == Release::Unrated;
        work.delivery.begin(chosen.head.clone(), live);
        let mut ask = Ask {
            paid: Arc::default(),
            request: &work.funded.bound.request,
            version: &chosen.version.id,
            pool: &chosen.version.pool,
            output: work.funded.output,
            delivery: work.delivery,
            trace: work.trace,
        };
        match Attempt(self.0).answer(&mut ask).await {
            Ok(answer) => self.judge(work, chosen, answer, course).await,
            Err(stop) => self.stopped(work, &chosen, stop, course),
        }
    }

    /// Goes on with another version, unless the caller has a part of this one's answer.
    fn stopped(
        &self,
        work: &Work<'_>,
        chosen: &Chosen<'_>,
        stop: Stop,
        course: &mut Course,
    ) -> Result<Step, Refusal> {
        let version = &chosen.version.id;
        let (refusal, last) = match stop {
            Stop::Withdrawn => {
                log::info!("cascade: {version} may no longer be used, asking another.");
                (work.trace.amend(contract::none()), false)
            }
            Stop::Refused(refusal) => (work.trace.amend(refusal), false),
            Stop::Failed(fault) => {
                let gone = fault == pimento_endpoint::Fault::Cancelled;
                (work.trace.refusal(&fault), gone)
            }
        };
        self.0.metrics.record_step(version, "none");
        if last || work.delivery.begun() {
            return Err(refusal);
        }
        course.refusal = Some(refusal);
        course.exclude(version);
        Ok(Step::Next)
    }

    async fn judge(
        &self,
        work: &mut Work<'_>,
        chosen: Chosen<'_>,
        answer: Answer,
        course: &mut Course,
    ) -> Result<Step, Refusal> {
        let node = self.0;
        let request = &work.funded.bound.request;
        let class = &request.class.name;
        let subject = Subject::new(
            &request.customer,
            class,
            chosen.version,
            &request.chat,
            &answer.text,
        );
        let pass = match chosen.plan.release {
            Release::Unrated => {
                self.sample(subject);
                Some(true)
            }
            Release::Rated => rate::rate(node, subject, request.identity.deadline).await,
        };
        let accepted = pass.unwrap_or_else(|| chosen.enough());
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
            return Ok(Step::Served(Box::new(served)));
        }
        course.exclude(&served.version.id);
        course.keep(chosen.mean, served);
        Ok(Step::Next)
    }

    async fn release(&self, work: &mut Work<'_>) -> Result<(), Refusal> {
        let released = work.delivery.release().await;
        released.map_err(|fault| work.trace.refusal(&fault))
    }

    /// Rates some of the answers that were released unrated, so that the estimate stays true.
    fn sample(&self, subject: Subject) {
        if self.0.rater.is_none() || !cascade::should_sample(rand::random()) {
            return;
        }
        let Some(node) = self.0.to_arc() else {
            return;
        };
        let deadline = node.clock.now() + AFTERWARDS;
        self.0
            .tasks
            .spawn(async move { rate::rate(&node, subject, deadline).await });
    }

    /// Gives the best answer there is: the contracted quality is a share of answers, and one that
    /// fell short is more use than none.
    async fn settle(&self, mut work: Work<'_>, course: Course) -> Result<Served, Refusal> {
        if let Some((_, served)) = course.fallback {
            work.delivery.restore(served.head.clone(), &served.answer);
            self.release(&mut work).await?;
            return Ok(served);
        }
        Err(course.refusal.unwrap_or_else(|| {
            let fault = pimento_endpoint::Fault::Unreachable {
                reason: "no endpoint holds a version that may answer".into(),
            };
            work.trace.refusal(&fault)
        }))
    }
}

impl Chosen<'_> {
    /// Whether the answer would be released without a rating, now that none can be had.
    fn enough(&self) -> bool {
        let terms = Terms {
            rating_time: None,
            budget: Money::MAX,
            ..self.terms
        };
        let plan = cascade::plan(self.candidates, &terms);
        plan.is_none_or(|plan| plan.step == self.plan.step)
    }
}

impl Course {
    fn exclude(&mut self, version: &id::Version) {
        if let Err(place) = self.tried.binary_search(version) {
            self.tried.insert(place, version.clone());
        }
    }

    fn keep(&mut self, mean: f64, served: Served) {
        self.short = self.short.max(mean);
        let better = self.fallback.as_ref().is_none_or(|(best, _)| mean > *best);
        if better {
            self.fallback = Some((mean, served));
        }
    }
}

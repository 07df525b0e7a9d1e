//! Rates complete answers and records the results.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_contract::Version;
use pimento_coordination::rating::Rater;
use pimento_units::Moment;
use pimento_units::id;
use pimento_wire::api::Chat;
use pimento_wire::platform;

use crate::node::Node;

/// How long the rating service is not called after two failures in a row; doubled with each further failure.
/// Calls during an outage would delay callers without a result.
const MIN_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum backoff, so that a service that has recovered is used again within seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(8);

/// Failures in a row that do not start a backoff. During a backoff, requests go to versions that need no
/// rating, at several times the cost, which occasional failures, such as of one call in ten, must not cause.
const TOLERATED_FAILURES: u32 = 1;

/// Expected time of a rating before any was observed.
const DEFAULT_TIME: Duration = Duration::from_millis(50);

/// Weight of a new rating in the exponentially weighted mean time.
const MEAN_WEIGHT: f64 = 0.2;

/// Availability and response time of the rating service.
#[derive(Debug, Default)]
pub struct Health {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// Mean time of a rating.
    mean_time: Option<Duration>,
    /// When the present backoff ends.
    backoff_until: Option<Moment>,
    /// Failures in a row.
    failures: u32,
}

impl Health {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Expected time of a rating; none during a backoff.
    #[must_use]
    pub fn expected_time(&self, now: Moment) -> Option<Duration> {
        let inner = self.lock();
        let backing_off = inner.backoff_until.is_some_and(|until| now < until);
        (!backing_off).then(|| inner.mean_time.unwrap_or(DEFAULT_TIME))
    }

    /// Records a rating.
    pub fn record_success(&self, elapsed: Duration) {
        let mut inner = self.lock();
        let mean = inner.mean_time.unwrap_or(elapsed);
        inner.mean_time = Some(mean.mul_f64(1.0 - MEAN_WEIGHT) + elapsed.mul_f64(MEAN_WEIGHT));
        inner.backoff_until = None;
        inner.failures = 0;
    }

    /// Records a failed rating.
    pub fn record_failure(&self, now: Moment) {
        let mut inner = self.lock();
        inner.failures = inner.failures.saturating_add(1);
        let Some(doublings) = inner.failures.checked_sub(TOLERATED_FAILURES + 1) else {
            return;
        };
        let backoff = MIN_BACKOFF.saturating_mul(1 << doublings.min(u32::BITS - 1));
        inner.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
    }
}

/// An answer to rate.
#[derive(Debug, Clone)]
pub struct RatedAnswer {
    /// The customer whose request it answers.
    pub customer: id::Customer,
    /// The request's class.
    pub class: id::Class,
    /// The version that answered.
    pub version: Version,
    /// The last user message.
    pub prompt: String,
    /// The answer.
    pub answer: String,
}

impl RatedAnswer {
    /// The answer of a version to a conversation.
    #[must_use]
    pub fn new(
        customer: &id::Customer,
        class: &id::Class,
        version: &Version,
        chat: &Chat,
        answer: &str,
    ) -> Self {
        let user = chat.messages.iter().rev().find(|m| m.role == "user");
        let prompt = user.or(chat.messages.last());
        Self {
            customer: customer.clone(),
            class: class.clone(),
            version: version.clone(),
            prompt: prompt.map_or_else(String::new, |m| m.content.clone()),
            answer: answer.to_owned(),
        }
    }
}

/// Has the rating service rate an answer, and records the result. Returns none if there is no rating by
/// `deadline`.
pub async fn rate(node: &Node, rated_answer: RatedAnswer, deadline: Moment) -> Option<bool> {
    let rater = node.rater.as_ref()?;
    let started = node.clock.now();
    node.rater_health.expected_time(started)?;
    let call = rater.rate(platform::Rate {
        version: rated_answer.version.id.clone(),
        class: rated_answer.class.clone(),
        prompt: rated_answer.prompt.clone(),
        answer: rated_answer.answer.clone(),
    });
    let result = tokio::time::timeout_at(node.clock.instant(deadline), call).await;
    let now = node.clock.now();
    match result {
        Ok(Ok(rating)) => {
            node.rater_health.record_success(now.since(started));
            let RatedAnswer {
                customer,
                class,
                version,
                ..
            } = &rated_answer;
            node.estimates
                .record_rating(customer, class, version, rating.pass, now);
            node.evidence.record_rating(&version.id, rating.pass, now);
            Some(rating.pass)
        }
        Ok(Err(error)) => {
            log::warn!("rating: {error}.");
            node.rater_health.record_failure(now);
            None
        }
        Err(_) => {
            node.rater_health.record_failure(now);
            None
        }
    }
}

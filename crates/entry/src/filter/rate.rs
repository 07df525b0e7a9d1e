//! The rating of whole answers, and what is learnt from it.

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

/// How long the rating service is left alone once it failed twice in a row, doubled with each further
/// failure: calls meanwhile would each wait for nothing while a caller waits for them.
const REST: Duration = Duration::from_millis(500);

/// The longest rest, so that a service that is back is used again within seconds.
const LONGEST: Duration = Duration::from_secs(8);

/// Failures in a row that are taken for chance. While the service rests, requests go to versions that
/// need no rating, at several times the cost: one failed call in ten must not bring that about.
const CHANCE: u32 = 1;

/// How long a rating is expected to take before any was seen.
const FIRST: Duration = Duration::from_millis(50);

/// Weight of a new rating in the mean time.
const WEIGHT: f64 = 0.2;

/// Whether the rating service answers, and how fast.
#[derive(Debug, Default)]
pub struct Health {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    mean: Option<Duration>,
    rest: Option<Moment>,
    failures: u32,
}

impl Health {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How long a rating takes; none while the service is out.
    #[must_use]
    pub fn time(&self, now: Moment) -> Option<Duration> {
        let inner = self.lock();
        let resting = inner.rest.is_some_and(|until| now < until);
        (!resting).then(|| inner.mean.unwrap_or(FIRST))
    }

    /// Learns of a rating.
    pub fn answered(&self, took: Duration) {
        let mut inner = self.lock();
        let mean = inner.mean.unwrap_or(took);
        inner.mean = Some(mean.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT));
        inner.rest = None;
        inner.failures = 0;
    }

    /// Learns that a rating could not be had.
    pub fn failed(&self, now: Moment) {
        let mut inner = self.lock();
        inner.failures = inner.failures.saturating_add(1);
        let Some(further) = inner.failures.checked_sub(CHANCE + 1) else {
            return;
        };
        let rest = REST.saturating_mul(1 << further.min(u32::BITS - 1));
        inner.rest = Some(now + rest.min(LONGEST));
    }
}

/// An answer to be rated.
#[derive(Debug, Clone)]
pub struct Subject {
    /// Whose request it answers.
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

impl Subject {
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

/// Rates an answer and learns from it; none if the rating could not be had by `deadline`.
pub async fn rate(node: &Node, subject: Subject, deadline: Moment) -> Option<bool> {
    let rater = node.rater.as_ref()?;
    let begun = node.clock.now();
    node.rating.time(begun)?;
    let call = rater.rate(platform::Rate {
        version: subject.version.id.clone(),
        class: subject.class.clone(),
        prompt: subject.prompt.clone(),
        answer: subject.answer.clone(),
    });
    let result = tokio::time::timeout_at(node.clock.instant(deadline), call).await;
    let now = node.clock.now();
    match result {
        Ok(Ok(rating)) => {
            node.rating.answered(now.since(begun));
            let Subject {
                customer,
                class,
                version,
                ..
            } = &subject;
            node.estimates
                .rated(customer, class, version, rating.pass, now);
            node.evidence.rated(&version.id, rating.pass, now);
            Some(rating.pass)
        }
        Ok(Err(error)) => {
            log::warn!("rating: {error}.");
            node.rating.failed(now);
            None
        }
        Err(_) => {
            node.rating.failed(now);
            None
        }
    }
}

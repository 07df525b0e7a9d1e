//! The rating of whole answers, and what is learnt from it.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_contract::Version;
use pimento_platform::rating::Rater;
use pimento_units::Moment;
use pimento_units::id;
use pimento_wire::border::Chat;
use pimento_wire::platform;

use crate::node::Node;

/// How long the rating service is left alone after it failed: calls meanwhile would each wait for
/// nothing while a caller waits for them.
const REST: Duration = Duration::from_secs(5);

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

    fn answered(&self, took: Duration) {
        let mut inner = self.lock();
        let mean = inner.mean.unwrap_or(took);
        inner.mean = Some(mean.mul_f64(1.0 - WEIGHT) + took.mul_f64(WEIGHT));
        inner.rest = None;
    }

    fn failed(&self, now: Moment) {
        self.lock().rest = Some(now + REST);
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

//! Which model a request runs on, where the route leaves the choice.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_policy::choice;
use pimento_policy::confidence;
use pimento_policy::confidence::Answer;
use pimento_policy::confidence::LargerModel;
use pimento_policy::value;
use pimento_units::id;

use crate::admitted::AdmittedRequest;
use crate::attempts::Attempts;
use crate::attempts::Overrides;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::headers::RequestedModel;
use crate::node::millis;
use crate::topic::Log;

/// Urgency of a first answer, which is short work for an engine and which all that follows waits for.
const FIRST: u8 = 1;

/// Urgency of an answer by a larger model, whatever the length of its prompt: reading the shortest first
/// is worth nothing to callers on three deployments.
const LARGER: u8 = 4;

/// What was seen of the models' confidences here.
#[derive(Debug, Default)]
pub struct Book {
    config: confidence::Config,
    seen: Mutex<confidence::PassRates>,
    usual: Mutex<value::Baseline>,
}

impl Book {
    /// What is at stake with a request's answer. It counts as one more request with its first answer.
    fn stake(
        &self,
        request: &AdmittedRequest,
        full: Duration,
        first: bool,
    ) -> value::RelativeValue {
        let (prompt, most) = request.usage().unwrap_or_default();
        let asked = value::Request {
            prompt,
            answer: request.info.expected_tokens.unwrap_or(most).min(most),
            priority: request.grant.route.priority,
        };
        let mut usual = self.usual.lock().unwrap_or_else(PoisonError::into_inner);
        if first {
            usual.record(&asked, full);
        }
        usual.compare(&asked)
    }
}

/// An answer that was dropped: its model and its confidence.
#[derive(Debug, Clone)]
pub struct Dropped {
    model: u64,
    confidence: u8,
}

/// The model to begin with: the smallest, or the one that the caller named.
pub fn first(request: &AdmittedRequest) -> Option<id::Version> {
    match &request.info.model {
        Some(RequestedModel::Named(model)) => Some(model.clone()),
        _ => request.grant.route.models.first().cloned(),
    }
}

/// Urgency of an attempt at its engine.
pub fn urgency(request: &AdmittedRequest, overrides: &Overrides) -> u8 {
    let first = overrides.model.as_ref() == request.grant.route.models.first();
    if first { FIRST } else { LARGER }
}

/// What a model's use costs, as a share of what the service's most expensive one costs.
fn cost(request: &AdmittedRequest, model: &id::Version) -> f64 {
    let engine = request.grant.table.service(&request.pool);
    let Some(engine) = engine.and_then(|service| service.engine.as_ref()) else {
        return 1.0;
    };
    let most = engine.models.iter().map(|m| m.cost).fold(0.0, f64::max);
    let own = engine.models.iter().find(|known| known.name == *model);
    own.filter(|_| most > 0.0)
        .map_or(1.0, |own| own.cost / most)
}

fn key(model: &id::Version) -> u64 {
    choice::hash(model.as_str())
}

fn waits(times: impl Iterator<Item = Duration>) -> Vec<u64> {
    times.map(millis).collect()
}

/// The larger model to drop an answer for; none if the answer is passed on. `dropped` is the answer
/// that was dropped before.
pub fn larger<P: HeaderCodec + Codec, L: Log>(
    attempts: &Attempts<'_, P, L>,
    overrides: &Overrides,
    confidence: Option<u8>,
    dropped: &mut Option<Dropped>,
) -> Option<id::Version> {
    let request = attempts.work();
    let models = &request.grant.route.models;
    let confidence = confidence?;
    let model = overrides.model.as_ref()?;
    let place = models.iter().position(|known| known == model)?;
    let book = &attempts.node().models;
    let mut seen = book.seen.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(before) = dropped.take() {
        seen.record((before.model, before.confidence), (key(model), confidence));
    }
    let asked = matches!(request.info.model, Some(RequestedModel::Named(_)));
    if asked || !attempts.again() || !attempts.affords() {
        return None;
    }
    let mut candidates: Vec<LargerModel> = Vec::new();
    let (mut full, mut next_wait) = (Duration::ZERO, Duration::ZERO);
    for (rank, larger) in models.iter().enumerate().skip(place + 1) {
        let next = Overrides {
            model: Some(larger.clone()),
            resume: overrides.resume,
        };
        let estimate = attempts.estimate(&next)?;
        (full, next_wait) = (estimate.full_prefill, estimate.next_wait);
        candidates.push(LargerModel {
            model: key(larger),
            rank: confidence::rank(rank, models.len()),
            cost: cost(request, larger),
            wait: estimate.wait,
            prefill: estimate.prefill,
        });
    }
    let answer = Answer {
        model: key(model),
        confidence,
        received: request.began,
        target: request.grant.route.latency_target,
        next_wait,
        relative: book.stake(request, full, place == 0),
    };
    let now = attempts.node().now();
    let chosen = book.config.choose(&answer, &candidates, &seen, now);
    let named = |place: usize| models.get(place).map(id::Version::as_str);
    log::info!(
        request = request.info.id.as_str(),
        model = model.as_str(),
        confidence,
        since_ms = millis(now.since(request.began)),
        waits_ms:? = waits(candidates.iter().map(|larger| larger.wait)),
        reads_ms:? = waits(candidates.iter().map(|larger| larger.prefill)),
        next_ms = millis(answer.next_wait),
        worth = answer.relative.value,
        price = answer.relative.price,
        larger = chosen.and_then(|chosen| named(place + 1 + chosen));
        "cascade: Weighed larger models."
    );
    attempts.node().metrics.step(model, chosen.is_some());
    let larger = models.get(place + 1 + chosen?)?;
    *dropped = Some(Dropped {
        model: key(model),
        confidence,
    });
    Some(larger.clone())
}

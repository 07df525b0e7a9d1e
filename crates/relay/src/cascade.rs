//! Chooses a request's model where the route offers several: a small model answers first, and a larger
//! one replaces it if its confidence is too low. It uses [`pimento_policy::confidence`].

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use pimento_policy::choice;
use pimento_policy::confidence;
use pimento_policy::confidence::Answer;
use pimento_policy::confidence::LargerModel;
use pimento_policy::forecast::Forecast;
use pimento_policy::pace;
use pimento_policy::value;
use pimento_units::Moment;
use pimento_units::Tokens;
use pimento_units::id;

use crate::admitted::AdmittedRequest;
use crate::attempts::Attempts;
use crate::attempts::Overrides;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::headers::RequestedModel;
use crate::node::millis;
use crate::topic::Log;

/// Priority class at the engine of a first answer; lower classes run first. It takes an engine little time,
/// and any larger model waits for it.
const FIRST_URGENCY: u8 = 1;

/// Priority class at the engine of a larger model's answer. It does not depend on the prompt's length,
/// because callers gain nothing if the shortest prompts run first.
const LARGER_URGENCY: u8 = 4;

/// Statistics of this VM for choosing models.
#[derive(Debug, Default)]
pub struct Statistics {
    config: confidence::Config,
    pass_rates: Mutex<confidence::PassRates>,
    forecast: Mutex<Forecast>,
    baseline: Mutex<value::Baseline>,
    paces: Mutex<pace::Paces>,
}

impl Statistics {
    /// Records how long a model took for the events of a whole stream after its first one.
    pub fn record_pace(
        &self,
        request: &AdmittedRequest,
        overrides: &Overrides,
        events: u64,
        took: Duration,
    ) {
        if let Some(model) = &overrides.model {
            let tokens = tokens_of(request, events);
            let mut paces = lock(&self.paces);
            paces.record(model_hash(model), tokens, took);
        }
    }

    /// How long a model is expected to generate a request's answer; zero if that is unknown.
    pub fn expected_generation(
        &self,
        request: &AdmittedRequest,
        overrides: &Overrides,
    ) -> Duration {
        let Some(model) = &overrides.model else {
            return Duration::ZERO;
        };
        let paces = lock(&self.paces);
        let expected = paces.expect(model_hash(model), expected_tokens(request));
        expected.unwrap_or_default()
    }

    /// Records the first token of a larger model, with the model's hash and its confidence, for a request
    /// whose answer by a smaller one was dropped.
    fn record_larger(&self, dropped: &Dropped, larger: (u64, u8), now: Moment) {
        let mut pass_rates = lock(&self.pass_rates);
        pass_rates.record((dropped.model, dropped.confidence), larger);
        drop(pass_rates);
        lock(&self.forecast).record(dropped.estimate, now.since(dropped.at));
    }

    /// Probability in percent that each larger model's first token arrives within the caller's target.
    fn in_time_percent(&self, answer: &Answer, larger: &[LargerModel], now: Moment) -> Vec<u8> {
        let left = answer.time_left(now);
        let forecast = lock(&self.forecast);
        let probabilities = larger
            .iter()
            .map(|model| forecast.probability(model.first_token(), left));
        probabilities.map(percent).collect()
    }

    /// The index of the model that an answer is dropped for; none if the answer is forwarded.
    fn choose(&self, answer: &Answer, larger: &[LargerModel], now: Moment) -> Option<usize> {
        let (pass_rates, forecast) = (lock(&self.pass_rates), lock(&self.forecast));
        self.config
            .choose(answer, larger, &pass_rates, &forecast, now)
    }

    /// Value and cost of a request's answer, relative to a typical request. With `first`, the request is
    /// added to the statistics, so that it counts once.
    fn relative_value(
        &self,
        request: &AdmittedRequest,
        full_engine_time: Duration,
        first: bool,
    ) -> value::RelativeValue {
        let (prompt, _) = request.usage().unwrap_or_default();
        let valued = value::Request {
            prompt,
            answer: expected_tokens(request),
            priority: request.grant.route.priority,
        };
        let mut baseline = lock(&self.baseline);
        if first {
            baseline.record(&valued, full_engine_time);
        }
        baseline.compare(&valued)
    }
}

/// Locks statistics. They stay usable if a task panicked while it held the lock.
fn lock<T>(statistics: &Mutex<T>) -> MutexGuard<'_, T> {
    statistics.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The tokens that an answer is expected to have.
fn expected_tokens(request: &AdmittedRequest) -> Tokens {
    let (_, max) = request.usage().unwrap_or_default();
    request.info.expected_tokens.unwrap_or(max).min(max)
}

/// Tokens of a stream with this many events.
fn tokens_of(request: &AdmittedRequest, events: u64) -> Tokens {
    let service = request.grant.table.service(&request.pool);
    let engine = service.and_then(|service| service.engine.as_ref());
    Tokens(engine.map_or(1, |engine| engine.tokens_per_event.0) * events)
}

/// An answer that was dropped for a larger model.
#[derive(Debug, Clone)]
pub struct Dropped {
    /// Hash of its model.
    model: u64,
    /// The confidence in it, from 0 to 100.
    confidence: u8,
    /// When it was dropped.
    at: Moment,
    /// Estimated time to the larger model's first token.
    estimate: Duration,
}

/// The model of the first attempt: the one that the caller named, otherwise the route's smallest.
pub fn first_model(request: &AdmittedRequest) -> Option<id::Version> {
    match &request.info.model {
        Some(RequestedModel::Named(model)) => Some(model.clone()),
        _ => request.grant.route.models.first().cloned(),
    }
}

/// Priority class of an attempt at its engine.
pub fn urgency(request: &AdmittedRequest, overrides: &Overrides) -> u8 {
    let first = overrides.model.as_ref() == request.grant.route.models.first();
    if first { FIRST_URGENCY } else { LARGER_URGENCY }
}

/// Price of a model relative to the service's most expensive one, from 0 to 1.
fn relative_cost(request: &AdmittedRequest, model: &id::Version) -> f64 {
    let engine = request.grant.table.service(&request.pool);
    let Some(engine) = engine.and_then(|service| service.engine.as_ref()) else {
        return 1.0;
    };
    let max = engine.models.iter().map(|m| m.cost).fold(0.0, f64::max);
    let own = engine.models.iter().find(|known| known.name == *model);
    own.filter(|_| max > 0.0).map_or(1.0, |own| own.cost / max)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a probability is between 0 and 1"
)]
fn percent(probability: f64) -> u8 {
    (probability * 100.0).round() as u8
}

fn model_hash(model: &id::Version) -> u64 {
    choice::hash(model.as_str())
}

fn all_millis(times: impl Iterator<Item = Duration>) -> Vec<u64> {
    times.map(millis).collect()
}

/// Counts whether the answer of an attempt was dropped for a larger model.
pub fn count_decision<P: HeaderCodec + Codec, L: Log>(
    attempts: &Attempts<'_, P, L>,
    overrides: &Overrides,
    dropped: bool,
) {
    if let Some(model) = &overrides.model {
        let metrics = &attempts.node().metrics;
        metrics.count_cascade_decision(model, dropped);
    }
}

/// Decides whether to drop an answer and to run the request on a larger model. Returns that model, or none
/// if the answer is forwarded to the caller; the decision to drop it is counted once an endpoint is had.
/// `dropped` is the answer that was dropped before, if any; its confidence and that of the larger model's answer
/// are added to the statistics.
pub fn choose_larger<P: HeaderCodec + Codec, L: Log>(
    attempts: &Attempts<'_, P, L>,
    overrides: &Overrides,
    confidence: Option<u8>,
    dropped: &mut Option<Dropped>,
) -> Option<id::Version> {
    let request = attempts.request();
    let models = &request.grant.route.models;
    let confidence = confidence?;
    let model = overrides.model.as_ref()?;
    let index = models.iter().position(|known| known == model)?;
    let statistics = &attempts.node().cascade;
    let now = attempts.node().now();
    if let Some(before) = dropped.take() {
        statistics.record_larger(&before, (model_hash(model), confidence), now);
        let metrics = &attempts.node().metrics;
        metrics.count_estimate(before.estimate, now.since(before.at));
    }
    let named = matches!(request.info.model, Some(RequestedModel::Named(_)));
    if named || !attempts.may_retry() || !attempts.has_retry_budget() {
        return None;
    }
    let mut candidates: Vec<LargerModel> = Vec::new();
    let (mut full_engine_time, mut next_wait) = (Duration::ZERO, Duration::ZERO);
    for (rank, larger) in models.iter().enumerate().skip(index + 1) {
        let next = Overrides {
            model: Some(larger.clone()),
            last_event_id: overrides.last_event_id,
        };
        if !attempts.can_end(&next) {
            break;
        }
        let estimate = attempts.estimate(&next)?;
        (full_engine_time, next_wait) = (estimate.full_engine_time, estimate.next_wait);
        candidates.push(LargerModel {
            model: model_hash(larger),
            rank: confidence::rank(rank, models.len()),
            price: relative_cost(request, larger),
            wait: estimate.wait,
            prefill: estimate.prefill,
            engine_time: estimate.engine_time,
        });
    }
    let answer = Answer {
        model: model_hash(model),
        confidence,
        received: request.began,
        target: request.grant.route.latency_target,
        next_wait,
        relative: statistics.relative_value(request, full_engine_time, index == 0),
    };
    let chosen = statistics.choose(&answer, &candidates, now);
    let name = |index: usize| models.get(index).map(id::Version::as_str);
    log::info!(
        request = request.info.id.as_str(),
        model = model.as_str(),
        confidence,
        since_ms = millis(now.since(request.began)),
        waits_ms:? = all_millis(candidates.iter().map(|larger| larger.wait)),
        reads_ms:? = all_millis(candidates.iter().map(|larger| larger.prefill)),
        in_time_percent:? = statistics.in_time_percent(&answer, &candidates, now),
        next_ms = millis(answer.next_wait),
        worth = answer.relative.value,
        price = answer.relative.price,
        larger = chosen.and_then(|chosen| name(index + 1 + chosen));
        "cascade: Considered larger models."
    );
    if chosen.is_none() {
        count_decision(attempts, overrides, false);
    }
    let chosen = chosen?;
    let larger = models.get(index + 1 + chosen)?;
    *dropped = Some(Dropped {
        model: model_hash(model),
        confidence,
        at: now,
        estimate: candidates.get(chosen)?.first_token(),
    });
    Some(larger.clone())
}

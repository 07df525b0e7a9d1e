//! Which model a request runs on, where the route leaves the choice.

use pimento_policy::confidence;
use pimento_policy::confidence::Answer;
use pimento_policy::confidence::Larger;
use pimento_units::id;

use crate::attempts::Attempts;
use crate::attempts::Variant;
use crate::border::Border;
use crate::border::Wish;
use crate::codec::Codec;
use crate::topic::Log;
use crate::work::Work;

/// Urgency of a first answer, which is short work for an engine and which all that follows waits
/// for; that of an answer by a larger model.
const FIRST: u8 = 1;
const LARGER: u8 = 5;

/// The model to begin with: the smallest, or the one that the caller named.
pub fn first(request: &Work) -> Option<id::Version> {
    match &request.ask.model {
        Some(Wish::Named(model)) => Some(model.clone()),
        _ => request.grant.route.models.first().cloned(),
    }
}

/// Urgency of an attempt at its engine.
pub fn urgency(request: &Work, variant: &Variant) -> u8 {
    if variant.model.as_ref() == request.grant.route.models.first() {
        FIRST
    } else {
        LARGER
    }
}

/// The larger model to drop an answer for; none if the answer is passed on.
pub fn larger<P: Border + Codec, L: Log>(
    attempts: &Attempts<'_, P, L>,
    variant: &Variant,
    confidence: Option<u8>,
) -> Option<id::Version> {
    let request = attempts.work();
    let route = &request.grant.route;
    let confidence = confidence?;
    let largest = route.models.last()?;
    let chosen = route.models.contains(variant.model.as_ref()?);
    let same = variant.model.as_ref() == Some(largest);
    let asked = matches!(request.ask.model, Some(Wish::Named(_)));
    if !chosen || same || asked || !attempts.again() || !attempts.affords() {
        return None;
    }
    let next = Variant {
        model: Some(largest.clone()),
        resume: variant.resume,
    };
    let estimate = attempts.estimate(&next)?;
    let answer = Answer {
        confidence,
        spent: attempts.spent(),
        target: route.target,
    };
    let larger = Larger {
        wait: estimate.wait,
        work: estimate.work,
        full: estimate.full,
        next: estimate.next,
    };
    let drops = confidence::Config::default().drops(&answer, &larger);
    log::info!(
        "cascade: {}: confidence {confidence}, {answer:?}, {larger:?}: {}.",
        request.ask.id,
        if drops { "dropped" } else { "kept" }
    );
    drops.then(|| largest.clone())
}

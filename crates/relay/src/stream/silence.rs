//! Runs from which nothing comes for a while.
//!
//! An endpoint that pauses is at work most of the time, and a late event is better than an aborted response.
//! So a silent run is kept until another endpoint is reserved for the request. One that hangs may also be run
//! anew at its own endpoint.

use std::time::Duration;

use pimento_endpoint::Fault;
use pimento_policy::resume::SilentRun;
use pimento_units::id;
use tokio::time::Instant;

use super::source::Item;
use super::source::Source;
use crate::attempts::Attempts;
use crate::attempts::Overrides;
use crate::attempts::Reservation;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::refusal::Cause;
use crate::refusal::Refusal;
use crate::topic::Log;

/// Time without an event after which a run hangs. Callers disconnect then, so that nothing is lost by its end.
const MAX_SILENCE: Duration = Duration::from_secs(8);

/// Least time between two looks at how long another endpoint would take.
const MIN_PAUSE: Duration = Duration::from_millis(50);

/// How a silence ended.
pub enum Silence {
    /// The run goes on with this item, or is broken.
    Over(Result<Item, Fault>),
    /// Another endpoint can take over. The run must be closed before the request is sent there.
    TakenOver(Box<Reservation>),
    /// The response is due, or the run hangs and may hold the very slot that is waited for.
    Expired,
}

/// Waits for the next item of a silent run or for another endpoint that can take over, whichever comes first.
pub async fn outlast<P: HeaderCodec + Codec, L: Log>(
    attempts: &mut Attempts<'_, P, L>,
    overrides: &Overrides,
    source: &mut Source,
) -> Silence {
    if !attempts.node().links.are_suspect() {
        source.permit.record_silence();
    }
    let (began, silent_before) = (Instant::now(), source.timeout());
    let hangs_at = began + MAX_SILENCE.saturating_sub(silent_before);
    let mut searches = 0;
    loop {
        let until_hang = hangs_at.saturating_duration_since(Instant::now());
        let silent = silent_before + began.elapsed();
        let patience = patience(attempts, overrides, source, silent);
        let patience = patience.min(until_hang);
        if attempts.may_take_over() && patience.is_zero() {
            searches += 1;
            attempts.begin_search();
            let hangs = Instant::now() >= hangs_at;
            let may_close = hangs && !attempts.node().links.are_suspect();
            let excluded = excluded(attempts, source, hangs);
            let left = attempts.left_by_deadline();
            let search_end = if hangs {
                Instant::now() + source.timeout()
            } else {
                hangs_at
            };
            tokio::select! {
                // An event is worth more than another endpoint.
                biased;
                item = source.next_within(left) => match item {
                    Err(Fault::Timeout) if attempts.extend_deadline() => {}
                    item => return ended_by(item),
                },
                reserved = attempts.reserve(overrides, excluded.as_ref()) => match reserved {
                    Ok(reservation) => return Silence::TakenOver(Box::new(reservation)),
                    Err(refusal) => {
                        log_refused(attempts, &refusal, searches);
                        if may_close && refusal.cause == Cause::Overloaded {
                            return Silence::Expired;
                        }
                    }
                },
                () = tokio::time::sleep_until(search_end) => {
                    if may_close {
                        return Silence::Expired;
                    }
                    continue;
                }
            }
        }
        let pause = if patience.is_zero() {
            source.timeout()
        } else {
            patience.clamp(MIN_PAUSE, source.timeout())
        };
        let pause = pause.min(attempts.left_by_deadline());
        match source.next_within(pause).await {
            Err(Fault::Timeout)
                if !attempts.left_by_deadline().is_zero() || attempts.extend_deadline() => {}
            item => return ended_by(item),
        }
    }
}

/// How long the run is left at its endpoint before another one is asked for.
fn patience<P: HeaderCodec + Codec, L: Log>(
    attempts: &Attempts<'_, P, L>,
    overrides: &Overrides,
    source: &Source,
    silent: Duration,
) -> Duration {
    let endpoint = source.permit.endpoint();
    let Some(estimate) = attempts.estimate_without(overrides, Some(endpoint)) else {
        return Duration::ZERO;
    };
    let run = SilentRun {
        silent,
        max_gap: attempts.request().grant.route.max_event_gap,
        expected: estimate.time_to_first_token(),
    };
    run.patience()
}

/// How a wait until the response is due ended a silence.
fn ended_by(item: Result<Item, Fault>) -> Silence {
    match item {
        Err(Fault::Timeout) => Silence::Expired,
        item => Silence::Over(item),
    }
}

/// The run's own endpoint, unless the run hangs, or the silence may be due to the link to the endpoint: another
/// VM may then reach it.
fn excluded<P: HeaderCodec + Codec, L: Log>(
    attempts: &mut Attempts<'_, P, L>,
    source: &Source,
    hangs: bool,
) -> Option<id::Endpoint> {
    let endpoint = source.permit.endpoint();
    if hangs || attempts.node().links.are_suspect() {
        attempts.avoid(endpoint);
        return None;
    }
    Some(endpoint.clone())
}

/// Logs the first refusal of a silence; later ones come several times a second.
fn log_refused<P: HeaderCodec + Codec, L: Log>(
    attempts: &Attempts<'_, P, L>,
    refusal: &Refusal,
    searches: u32,
) {
    let level = if searches == 1 {
        log::Level::Info
    } else {
        log::Level::Debug
    };
    let request = attempts.request().info.id.as_str();
    let cause = refusal.cause.as_str();
    log::log!(level, request, cause, searches; "stream: Silent, no other endpoint can take over.");
}

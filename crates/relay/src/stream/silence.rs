//! Runs from which nothing comes for a while.
//!
//! An endpoint that pauses is at work most of the time, and a late event is better than an aborted response.
//! So a silent run is kept until another endpoint is reserved for the request.

use pimento_endpoint::Fault;
use pimento_units::id;

use super::source::Item;
use super::source::Source;
use crate::attempts::Attempts;
use crate::attempts::Overrides;
use crate::attempts::Reservation;
use crate::codec::Codec;
use crate::headers::HeaderCodec;
use crate::refusal::Refusal;
use crate::topic::Log;

/// How a silence ended.
pub enum Silence {
    /// The run goes on with this item, or is broken.
    Over(Result<Item, Fault>),
    /// Another endpoint can take over. The run must be closed before the request is sent there.
    TakenOver(Box<Reservation>),
    /// The response is due.
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
    let mut searches = 0;
    loop {
        if attempts.may_take_over() {
            searches += 1;
            let excluded = excluded(attempts, source);
            let left = attempts.left();
            tokio::select! {
                // An event is worth more than another endpoint.
                biased;
                item = source.next_within(left) => match item {
                    Err(Fault::Timeout) if attempts.extend_deadline() => {}
                    item => return ended_by(item),
                },
                reserved = attempts.reserve(overrides, excluded.as_ref()) => match reserved {
                    Ok(reservation) => return Silence::TakenOver(Box::new(reservation)),
                    Err(refusal) => log_refused(attempts, &refusal, searches),
                },
            }
        }
        let pause = source.timeout().min(attempts.left());
        match source.next_within(pause).await {
            Err(Fault::Timeout) if !attempts.left().is_zero() || attempts.extend_deadline() => {}
            item => return ended_by(item),
        }
    }
}

/// How a wait until the response is due ended a silence.
fn ended_by(item: Result<Item, Fault>) -> Silence {
    match item {
        Err(Fault::Timeout) => Silence::Expired,
        item => Silence::Over(item),
    }
}

/// The run's own endpoint, unless the silence may be due to the link to it: another VM may then reach it.
fn excluded<P: HeaderCodec + Codec, L: Log>(
    attempts: &mut Attempts<'_, P, L>,
    source: &Source,
) -> Option<id::Endpoint> {
    let endpoint = source.permit.endpoint();
    if attempts.node().links.are_suspect() {
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

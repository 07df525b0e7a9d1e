//! The barred requests that are on the log.

use std::time::Duration;

use bytes::Bytes;
use pimento_units::Digest;
use pimento_units::Moment;

use crate::follow::Fold;
use crate::follow::RecordContext;
use crate::topic::Record;

/// A barred request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Bar {
    digest: Digest,
    /// When it runs out, counted from when this VM came to know of it: clocks of VMs differ.
    until: Moment,
}

/// The barred requests, folded from their records: the key is the digest, the value how long the bar
/// lasts.
#[derive(Debug, Default)]
pub struct Bars {
    /// Sorted by digest.
    bars: Vec<Bar>,
}

impl Bars {
    fn find(&self, digest: Digest) -> Result<usize, usize> {
        self.bars.binary_search_by_key(&digest, |bar| bar.digest)
    }

    /// How long a request is still barred; none if it may be sent.
    #[must_use]
    pub fn barred(&self, digest: Digest, now: Moment) -> Option<Duration> {
        let left = self.bars[self.find(digest).ok()?].until.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether a bar is on the log, in force or not.
    #[must_use]
    pub fn holds(&self, digest: Digest) -> bool {
        self.find(digest).is_ok()
    }

    /// The bars that are on the log for nothing: those that have run out, and of requests that are
    /// cleared.
    #[must_use]
    pub fn needless(&self, cleared: impl Fn(Digest) -> bool, now: Moment) -> Vec<Digest> {
        let needless = |bar: &&Bar| bar.until <= now || cleared(bar.digest);
        let bars = self.bars.iter().filter(needless);
        bars.map(|bar| bar.digest).collect()
    }
}

/// The value of a bar's record.
///
/// # Errors
///
/// If it can't be written.
pub fn write(lasts: Duration) -> Result<Bytes, postcard::Error> {
    postcard::to_stdvec(&lasts).map(Bytes::from)
}

impl Fold for Bars {
    fn apply(&mut self, record: &Record, context: RecordContext) -> bool {
        let Ok(digest) = record.key.parse::<Digest>() else {
            log::warn!("poison: {:?} is no digest.", record.key);
            return false;
        };
        let place = self.find(digest);
        let Some(value) = &record.value else {
            if let Ok(place) = place {
                self.bars.remove(place);
                log::info!(digest:%, offset = record.offset.0; "poison: The bar is off the log.");
            }
            return place.is_ok();
        };
        let lasts: Duration = match postcard::from_bytes(value) {
            Ok(lasts) => lasts,
            Err(error) => {
                log::warn!("poison: The bar of {digest} left out: {error}.");
                return false;
            }
        };
        log::info!(
            topic = "poison",
            offset = record.offset.0,
            digest:%;
            "poison: A bar is on the log."
        );
        let until = context.received + lasts;
        match place {
            Ok(place) => self.bars[place].until = until,
            Err(place) => self.bars.insert(place, Bar { digest, until }),
        }
        true
    }
}

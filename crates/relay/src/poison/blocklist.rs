//! The barred requests that are on the log.

use std::time::Duration;

use bytes::Bytes;
use pimento_units::Digest;
use pimento_units::Moment;

use crate::follow::Fold;
use crate::follow::Told;
use crate::topic::Record;

/// A barred request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Block {
    digest: Digest,
    /// When it runs out, counted from when this VM came to know of it: clocks of VMs differ.
    until: Moment,
}

/// The barred requests, folded from their records: the key is the digest, the value how long the bar
/// lasts.
#[derive(Debug, Default)]
pub struct Blocklist {
    /// Sorted by digest.
    blocks: Vec<Block>,
}

impl Blocklist {
    fn find(&self, digest: Digest) -> Result<usize, usize> {
        self.blocks.binary_search_by_key(&digest, |bar| bar.digest)
    }

    /// How long a request is still barred; none if it may be sent.
    #[must_use]
    pub fn remaining(&self, digest: Digest, now: Moment) -> Option<Duration> {
        let left = self.blocks[self.find(digest).ok()?].until.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether a bar is on the log, in force or not.
    #[must_use]
    pub fn contains(&self, digest: Digest) -> bool {
        self.find(digest).is_ok()
    }

    /// The bars that are on the log for nothing: those that have run out, and of requests that are
    /// cleared.
    #[must_use]
    pub fn obsolete(&self, cleared: impl Fn(Digest) -> bool, now: Moment) -> Vec<Digest> {
        let needless = |bar: &&Block| bar.until <= now || cleared(bar.digest);
        let bars = self.blocks.iter().filter(needless);
        bars.map(|bar| bar.digest).collect()
    }
}

/// The value of a bar's record.
///
/// # Errors
///
/// If it can't be written.
pub fn encode(lasts: Duration) -> Result<Bytes, postcard::Error> {
    postcard::to_stdvec(&lasts).map(Bytes::from)
}

impl Fold for Blocklist {
    fn apply(&mut self, record: &Record, told: Told) -> bool {
        let Ok(digest) = record.key.parse::<Digest>() else {
            log::warn!("poison: {:?} is no digest.", record.key);
            return false;
        };
        let place = self.find(digest);
        let Some(value) = &record.value else {
            if let Ok(place) = place {
                self.blocks.remove(place);
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
        let until = told.at + lasts;
        match place {
            Ok(place) => self.blocks[place].until = until,
            Err(place) => self.blocks.insert(place, Block { digest, until }),
        }
        true
    }
}

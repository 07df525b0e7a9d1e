//! The blocked requests that are on the log.

use std::time::Duration;

use bytes::Bytes;
use pimento_units::Digest;
use pimento_units::Moment;

use crate::follow::Fold;
use crate::follow::RecordContext;
use crate::topic::Record;

/// A blocked request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Block {
    digest: Digest,
    /// When the block expires. VMs' clocks differ, so it is counted from when this VM read the record.
    until: Moment,
}

/// The blocked requests, folded from their records. A record's key is the digest, its value the
/// duration of the block.
#[derive(Debug, Default)]
pub struct Blocklist {
    /// Sorted by digest.
    blocks: Vec<Block>,
}

impl Blocklist {
    fn find(&self, digest: Digest) -> Result<usize, usize> {
        self.blocks
            .binary_search_by_key(&digest, |block| block.digest)
    }

    /// How long a request is still blocked; none if it may be sent.
    #[must_use]
    pub fn remaining(&self, digest: Digest, now: Moment) -> Option<Duration> {
        let left = self.blocks[self.find(digest).ok()?].until.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether the log holds a block of this request, expired or not.
    #[must_use]
    pub fn contains(&self, digest: Digest) -> bool {
        self.find(digest).is_ok()
    }

    /// The blocks that can be removed from the log: those that expired, and those of cleared requests.
    #[must_use]
    pub fn obsolete(&self, cleared: impl Fn(Digest) -> bool, now: Moment) -> Vec<Digest> {
        let obsolete = |block: &&Block| block.until <= now || cleared(block.digest);
        let blocks = self.blocks.iter().filter(obsolete);
        blocks.map(|block| block.digest).collect()
    }
}

/// Encodes the value of a block's record.
///
/// # Errors
///
/// If it can't be encoded.
pub fn encode(lasts: Duration) -> Result<Bytes, postcard::Error> {
    postcard::to_stdvec(&lasts).map(Bytes::from)
}

impl Fold for Blocklist {
    fn apply(&mut self, record: &Record, context: RecordContext) -> bool {
        let Ok(digest) = record.key.parse::<Digest>() else {
            log::warn!(
                "poison: Key {:?} of a block's record is no digest.",
                record.key
            );
            return false;
        };
        let place = self.find(digest);
        let Some(value) = &record.value else {
            if let Ok(place) = place {
                self.blocks.remove(place);
                log::info!(digest:%, offset = record.offset.0; "poison: Block removed from the log.");
            }
            return place.is_ok();
        };
        let lasts: Duration = match postcard::from_bytes(value) {
            Ok(lasts) => lasts,
            Err(error) => {
                log::warn!(
                    "poison: The block of {digest} can't be decoded and is ignored: {error}."
                );
                return false;
            }
        };
        log::info!(
            topic = "poison",
            offset = record.offset.0,
            digest:%;
            "poison: Block read from the log."
        );
        let until = context.received + lasts;
        match place {
            Ok(place) => self.blocks[place].until = until,
            Err(place) => self.blocks.insert(place, Block { digest, until }),
        }
        true
    }
}

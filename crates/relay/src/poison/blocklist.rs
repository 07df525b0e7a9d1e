//! The blocked requests and prompt parts that are on the log.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use bytes::Bytes;
use pimento_policy::poison::parts;
use pimento_units::Digest;
use pimento_units::Moment;
use snafu::Snafu;

use crate::follow::Fold;
use crate::follow::RecordContext;
use crate::topic::Record;

/// What precedes a part's id in a record's key.
const PART_PREFIX: &str = "part-";

/// What a block keeps from being sent. Its text is the key of the block's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// A request.
    Request(Digest),
    /// All requests whose prompts have this part, other than as their last.
    Part(parts::Id),
}

/// The text names neither a request nor a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("neither a digest nor a prompt part"))]
pub struct UnknownSubject;

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(digest) => digest.fmt(f),
            Self::Part(id) => write!(f, "{PART_PREFIX}{id}"),
        }
    }
}

impl FromStr for Subject {
    type Err = UnknownSubject;

    fn from_str(text: &str) -> Result<Self, UnknownSubject> {
        if let Some(id) = text.strip_prefix(PART_PREFIX) {
            return id.parse().map(Self::Part).map_err(|_| UnknownSubject);
        }
        let digest = text.parse().map(Self::Request);
        digest.map_err(|_| UnknownSubject)
    }
}

/// A blocked request or part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Block {
    subject: Subject,
    /// When the block expires. VMs' clocks differ, so it is counted from when this VM read the record.
    until: Moment,
}

/// The blocks, folded from their records. A record's key is the subject, its value the duration of the
/// block.
#[derive(Debug, Default)]
pub struct Blocklist {
    /// Sorted by subject.
    blocks: Vec<Block>,
}

impl Blocklist {
    fn find(&self, subject: Subject) -> Result<usize, usize> {
        self.blocks
            .binary_search_by_key(&subject, |block| block.subject)
    }

    /// How long a subject is still blocked; none if it is not.
    #[must_use]
    pub fn remaining(&self, subject: Subject, now: Moment) -> Option<Duration> {
        let left = self.blocks[self.find(subject).ok()?].until.since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether the log holds a block of this subject, expired or not.
    #[must_use]
    pub fn contains(&self, subject: Subject) -> bool {
        self.find(subject).is_ok()
    }

    /// The blocks that can be removed from the log: those that expired, and those of cleared subjects.
    #[must_use]
    pub fn obsolete(&self, cleared: impl Fn(Subject) -> bool, now: Moment) -> Vec<Subject> {
        let obsolete = |block: &&Block| block.until <= now || cleared(block.subject);
        let blocks = self.blocks.iter().filter(obsolete);
        blocks.map(|block| block.subject).collect()
    }
}

/// Encodes the value of a block's record.
///
/// # Errors
///
/// If it can't be encoded.
pub fn encode(duration: Duration) -> Result<Bytes, postcard::Error> {
    postcard::to_stdvec(&duration).map(Bytes::from)
}

impl Fold for Blocklist {
    fn apply(&mut self, record: &Record, context: RecordContext) -> bool {
        let subject: Subject = match record.key.parse() {
            Ok(subject) => subject,
            Err(error) => {
                log::warn!(key = record.key.as_str(), error:%; "poison: Ignoring a block's record.");
                return false;
            }
        };
        let place = self.find(subject);
        let Some(value) = &record.value else {
            if let Ok(place) = place {
                self.blocks.remove(place);
                log::info!(subject:%, offset = record.offset.0; "poison: Block removed from the log.");
            }
            return place.is_ok();
        };
        let duration: Duration = match postcard::from_bytes(value) {
            Ok(duration) => duration,
            Err(error) => {
                log::warn!(
                    "poison: The block of {subject} can't be decoded and is ignored: {error}."
                );
                return false;
            }
        };
        log::info!(
            topic = "poison",
            offset = record.offset.0,
            subject:%;
            "poison: Block read from the log."
        );
        let until = context.received + duration;
        match place {
            Ok(place) => self.blocks[place].until = until,
            Err(place) => self.blocks.insert(place, Block { subject, until }),
        }
        true
    }
}

//! The text of answers: a mark that tells what was answered by whom and how well, filler, an end.
//!
//! An answer reads `[of=9a1c… by=pimento-small@3 grade=0.871] word word … [end 42]`. The load
//! generator checks `of`, `by` and the end; the rating stand-in reads the grade.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use compact_str::format_compact;
use pimento_units::Share;
use pimento_units::id;
use pimento_units::share::PARTS;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Grades from here on pass.
pub const PASS: u32 = PARTS / 2;

/// What an answer says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mark {
    /// Hash of the last user message.
    pub of: u64,
    /// The version that answered.
    pub by: id::Version,
    /// How good the answer is.
    pub grade: Share,
}

/// The text carries no mark that can be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unmarked;

impl Mark {
    /// The mark of the answer to `prompt` by a version of this quality. The same seed, version and
    /// prompt give the same grade; the share of prompts whose grade passes is the quality.
    #[must_use]
    pub fn new(prompt: &str, version: &id::Version, quality: Share, seed: u64) -> Self {
        let of = digest(prompt);
        let salt = xxh3_64_with_seed(version.as_str().as_bytes(), seed);
        let draw = xxh3_64_with_seed(&of.to_le_bytes(), salt);
        let lucky = draw % u64::from(PARTS) < u64::from(quality.parts());
        // The upper half of the hash spreads the grade within the passed or the failed half.
        let spread = u32::try_from((draw >> 32) % u64::from(PASS)).unwrap_or(0);
        let grade = if lucky { PASS + spread } else { spread };
        Self {
            of,
            by: version.clone(),
            grade: Share::from_parts(grade),
        }
    }
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { of, by, grade } = self;
        write!(f, "[of={of:016x} by={by} grade={grade}]")
    }
}

impl FromStr for Mark {
    type Err = Unmarked;
    fn from_str(text: &str) -> Result<Self, Unmarked> {
        let (_, rest) = text.split_once("[of=").ok_or(Unmarked)?;
        let (of, rest) = rest.split_once(" by=").ok_or(Unmarked)?;
        let (by, rest) = rest.split_once(" grade=").ok_or(Unmarked)?;
        let (grade, _) = rest.split_once(']').ok_or(Unmarked)?;
        Ok(Self {
            of: u64::from_str_radix(of, 16).map_err(|_| Unmarked)?,
            by: by.parse().map_err(|_| Unmarked)?,
            grade: grade.parse().map_err(|_| Unmarked)?,
        })
    }
}

/// The hash of a message by which an answer is known to belong to it.
#[must_use]
pub fn digest(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// A hash as it stands in marks and counters.
#[must_use]
pub fn hex(digest: u64) -> CompactString {
    format_compact!("{digest:016x}")
}

const WORDS: [&str; 12] = [
    "solvent", "drum", "label", "flash", "point", "glove", "rinse", "batch", "grease", "valve",
    "vapour", "store",
];

/// The piece that stands for token `number` (from 0) of an answer of `total` tokens.
#[must_use]
pub fn piece(mark: &Mark, number: u64, total: u64) -> String {
    let last = number + 1 == total;
    let end = if last {
        format!(" [end {total}]")
    } else {
        String::new()
    };
    if number == 0 {
        return format!("{mark}{end}");
    }
    let place = usize::try_from((mark.of ^ number) % WORDS.len() as u64).unwrap_or(0);
    format!(" {}{end}", WORDS[place])
}

/// Whether a text is a whole answer: its mark, `tokens` pieces and its end.
#[must_use]
pub fn whole(text: &str, mark: &Mark, tokens: u64) -> bool {
    let made: String = (0..tokens).map(|n| piece(mark, n, tokens)).collect();
    made == text
}

/// Tokens of a text, counted as words. Good enough for stand-ins, and at least one.
#[must_use]
pub fn tokens(text: &str) -> u64 {
    (text.split_whitespace().count() as u64).max(1)
}

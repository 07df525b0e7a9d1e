//! The text of generated answers: a mark, filler words and an end.
//!
//! An answer reads `[of=9a1c… by=pimento-small@3 grade=0.871] word word … [end 42]`. The mark holds
//! the hash of the prompt, the version that answered and a grade. The load generator checks `of`,
//! `by` and the end; the stand-in of the rating service reads the grade.

use std::fmt;
use std::str::FromStr;

use compact_str::CompactString;
use compact_str::format_compact;
use pimento_units::Share;
use pimento_units::id;
use pimento_units::share::PARTS;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The lowest grade that passes, in millionths.
pub const PASS: u32 = PARTS / 2;

/// The mark at the start of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Mark {
    /// Hash of the last user message.
    pub prompt: u64,
    /// The version that answered.
    pub version: id::Version,
    /// The quality of the answer.
    pub grade: Share,
}

/// The text has no valid mark.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidMark;

impl Mark {
    /// The mark of the answer to `prompt` by a version of this quality. The quality is the share of
    /// prompts whose grade passes. The same seed, version and prompt always give the same grade.
    #[must_use]
    pub fn new(prompt: &str, version: &id::Version, quality: Share, seed: u64) -> Self {
        let hash = digest(prompt);
        let salt = xxh3_64_with_seed(version.as_str().as_bytes(), seed);
        let draw = xxh3_64_with_seed(&hash.to_le_bytes(), salt);
        let passes = draw % u64::from(PARTS) < u64::from(quality.parts());
        // The upper half of the hash chooses the grade within the passing or the failing range.
        let spread = u32::try_from((draw >> 32) % u64::from(PASS)).unwrap_or(0);
        let grade = if passes { PASS + spread } else { spread };
        Self {
            prompt: hash,
            version: version.clone(),
            grade: Share::from_parts(grade),
        }
    }
}

impl fmt::Display for Mark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            prompt,
            version,
            grade,
        } = self;
        write!(f, "[of={prompt:016x} by={version} grade={grade}]")
    }
}

impl FromStr for Mark {
    type Err = InvalidMark;
    fn from_str(text: &str) -> Result<Self, InvalidMark> {
        let (_, rest) = text.split_once("[of=").ok_or(InvalidMark)?;
        let (prompt, rest) = rest.split_once(" by=").ok_or(InvalidMark)?;
        let (version, rest) = rest.split_once(" grade=").ok_or(InvalidMark)?;
        let (grade, _) = rest.split_once(']').ok_or(InvalidMark)?;
        Ok(Self {
            prompt: u64::from_str_radix(prompt, 16).map_err(|_| InvalidMark)?,
            version: version.parse().map_err(|_| InvalidMark)?,
            grade: grade.parse().map_err(|_| InvalidMark)?,
        })
    }
}

/// The hash of a prompt, by which its answer is recognised.
#[must_use]
pub fn digest(prompt: &str) -> u64 {
    xxh3_64(prompt.as_bytes())
}

/// A hash as written in marks and counters.
#[must_use]
pub fn hex(digest: u64) -> CompactString {
    format_compact!("{digest:016x}")
}

const WORDS: [&str; 12] = [
    "solvent", "drum", "label", "flash", "point", "glove", "rinse", "batch", "grease", "valve",
    "vapour", "store",
];

/// The text of token `number` (from 0) in an answer of `total` tokens.
#[must_use]
pub fn token_text(mark: &Mark, number: u64, total: u64) -> String {
    let last = number + 1 == total;
    let end = if last {
        format!(" [end {total}]")
    } else {
        String::new()
    };
    if number == 0 {
        return format!("{mark}{end}");
    }
    let index = usize::try_from((mark.prompt ^ number) % WORDS.len() as u64).unwrap_or(0);
    format!(" {}{end}", WORDS[index])
}

/// Whether a text is the complete answer of `tokens` tokens with this mark.
#[must_use]
pub fn is_complete(text: &str, mark: &Mark, tokens: u64) -> bool {
    let expected: String = (0..tokens).map(|n| token_text(mark, n, tokens)).collect();
    expected == text
}

/// The number of tokens in a text, approximated by its words; at least one.
#[must_use]
pub fn tokens(text: &str) -> u64 {
    (text.split_whitespace().count() as u64).max(1)
}

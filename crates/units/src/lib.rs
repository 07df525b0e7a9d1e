//! Identifiers, digests, money, tokens, shares, offsets and timestamps.
//!
//! Values that cross a crate boundary have one of these validated types. A node cannot be passed
//! where a customer is expected, and a price cannot be added to a token count. This crate reads no
//! clock: [`time::Moment`] and [`time::Wall`] are numbers that callers pass in.

pub mod bandwidth;
pub mod digest;
pub mod id;
pub mod memory;
pub mod money;
pub mod offset;
pub mod share;
pub mod time;
pub mod tokens;

pub use bandwidth::Bandwidth;
pub use digest::Digest;
pub use memory::Memory;
pub use money::Money;
pub use offset::Offset;
pub use offset::Revision;
pub use share::Share;
pub use time::Moment;
pub use time::Span;
pub use time::Wall;
pub use tokens::Tokens;

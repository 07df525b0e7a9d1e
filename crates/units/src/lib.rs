//! Identifiers, digests, money, tokens, shares, offsets and moments.
//!
//! Every value that crosses a crate boundary is one of these checked types, so that a node cannot
//! be passed where a customer is meant and a price cannot be added to a token count. Nothing here
//! reads a clock: [`time::Moment`] and [`time::Wall`] are plain numbers that callers pass in.

pub mod digest;
pub mod id;
pub mod money;
pub mod offset;
pub mod share;
pub mod time;
pub mod tokens;

pub use digest::Digest;
pub use money::Money;
pub use offset::Offset;
pub use offset::Revision;
pub use share::Share;
pub use time::Moment;
pub use time::Span;
pub use time::Wall;
pub use tokens::Tokens;

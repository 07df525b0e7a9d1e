//! Records of the streams that the system keeps on the platform's log, and their folds.
//!
//! Each fold is a pure function of the records in offset order, so that every reader reaches the
//! same verdict without an election: the first claim on a request owns it, one bill counts for
//! each request, grants are accepted while their sum stays under the limit, and the offset of an
//! accepted lease is its fencing number. Records carry ids of their own and are safe to append
//! twice. Time is the log's clock as read with each record; nothing here reads a clock, draws a
//! random number or awaits.

pub mod claims;
pub mod grants;
pub mod leases;
pub mod record;
pub mod usage;

pub use record::Acquire;
pub use record::Bill;
pub use record::Claim;
pub use record::Grant;
pub use record::Outcome;
pub use record::Stream;

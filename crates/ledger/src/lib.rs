//! Records of the system's streams on the platform's log, and the folds that evaluate them.
//!
//! Each fold is a pure function of the records in offset order, so all readers reach the same
//! verdicts without electing a leader:
//!
//! - The first claim on a request owns it.
//! - One bill counts for each request.
//! - Grants are accepted while their sum stays within the limit.
//! - The offset of the record that acquires a lease is its fencing number.
//!
//! A record has an id, or a unique key, and may be appended twice without effect. Time is the log's
//! clock as stored with each record. This crate reads no clock, draws no random numbers and does not
//! await.

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

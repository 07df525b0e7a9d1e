//! Validated contracts, versions, roll-outs and services, and the fold of the configuration stream.
//!
//! Operators write TOML. [`raw`] validates it and converts it into the types of this crate; it reports
//! all findings together, each with its location. Changes are [`change::Entry`] records on the
//! platform's log. A fold computes a state from the records of a stream in offset order. The fold
//! [`fold::State`] decides which changes are in force, and all readers reach the same result. This crate
//! reads no clock, draws no random numbers and does not await.

pub mod change;
pub mod contract;
pub mod fold;
pub mod raw;
pub mod rollout;
pub mod service;
pub mod version;

pub use change::Change;
pub use change::Subject;
pub use change::Value;
pub use contract::Contract;
pub use fold::State;
pub use rollout::Rollout;
pub use service::Service;
pub use version::Version;

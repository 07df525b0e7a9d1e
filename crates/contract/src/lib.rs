//! Checked contracts, versions, roll-outs and services, and the fold of the configuration stream.
//!
//! Operators write TOML; [`raw`] turns it into the checked types here and reports every finding
//! with its place at once. Changes travel as [`change::Entry`] records on the platform's log, and
//! [`fold::State`] decides, in offset order and the same at every reader, which of them are in
//! force. Nothing here reads a clock, draws a random number or awaits.

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

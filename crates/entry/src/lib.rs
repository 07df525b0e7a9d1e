//! The filter chain between callers and endpoints, and the program that runs it.
//!
//! A request passes through the filters in [`filter`], which [`chain`] composes; they share the state in
//! [`node::Node`]. Background tasks keep [`registry`] and [`state`] up to date. `pimento_scheduler` applies
//! the decisions of `pimento_policy` and assigns slots at endpoints. [`run::Running`] binds the listeners
//! and shuts down without interrupting requests; [`cli`] is the command line.

pub mod answers;
pub mod chain;
pub mod cli;
pub mod config;
pub mod end;
pub mod estimate;
pub mod evidence;
pub mod filter;
pub mod logs;
pub mod metrics;
pub mod node;
pub mod operators;
pub mod peers;
pub mod poison;
pub mod refusal;
pub mod registry;
pub mod retries;
pub mod run;
pub mod server;
pub mod session;
pub mod state;
pub mod trace;

pub use config::Config;
pub use node::Node;
pub use refusal::Refusal;
pub use run::Running;

//! The filter chain between callers and endpoints, and the program around it.
//!
//! A request passes the filters in [`filter`], composed in [`chain`]; what they share is
//! [`node::Node`]. [`registry`] and [`state`] are kept current by tasks in the background, and
//! `pimento_scheduler` joins the decisions of `pimento_policy` into slots at endpoints. [`run::Running`]
//! binds the listeners and ends without cutting a request; [`cli`] is the command line.

pub mod answers;
pub mod chain;
pub mod cli;
pub mod config;
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

//! Passes requests on to endpoints as they are: the chain for borders whose bodies are not ours.
//!
//! A [`HeaderCodec`](headers::HeaderCodec) reads and writes heads, a [`Codec`](codec::Codec) the records of
//! operators and endpoints, and a [`Log`](topic::Log) carries them; none of them decides anything. What
//! a request may do is told by the operators' [`Table`](table::Table), where it runs by
//! `pimento_scheduler`, what may be sent again by its [`Attempts`](attempts::Attempts).
//! [`Running`] binds the listeners and ends without cutting a request.

pub mod admit;
pub mod admitted;
pub mod attempts;
pub mod boot;
pub mod buffered;
pub mod bundle;
pub mod calls;
mod cascade;
pub mod codec;
pub mod config;
pub mod connection;
pub mod directory;
pub mod events;
pub mod fleet;
pub mod follow;
pub mod handler;
pub mod headers;
mod metrics;
pub mod neighbours;
pub mod node;
pub mod operators;
pub mod poison;
mod pools;
mod recent;
pub mod refusal;
pub mod registration;
pub mod retry_budget;
pub mod rollouts;
pub mod run;
pub mod sessions;
pub mod snapshot;
pub mod stream;
pub mod table;
pub mod timings;
pub mod topic;
pub mod zone;

pub use config::Config;
pub use node::Node;
pub use refusal::Refusal;
pub use run::Running;

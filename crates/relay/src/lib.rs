//! An HTTP relay that forwards request and response bodies to endpoints and back unchanged.
//!
//! Three traits adapt it to a platform: [`HeaderCodec`](headers::HeaderCodec) reads and writes HTTP
//! heads, [`Codec`](codec::Codec) decodes the records of operators and endpoints, and
//! [`Log`](topic::Log) transports those records. None of them makes decisions. The operators'
//! [`Table`](table::Table) determines what a request may do, `pimento_scheduler` where it runs, and
//! [`Attempts`](attempts::Attempts) whether it may be sent again. [`Running`] binds the listeners and
//! shuts down without dropping requests that are in flight.

pub mod absences;
pub mod admit;
pub mod admitted;
pub mod attempts;
pub mod bodies;
pub mod boot;
pub mod buffered;
pub mod bundle;
pub mod calls;
pub mod capacity;
mod cascade;
pub mod codec;
pub mod config;
pub mod connection;
pub mod deadline;
pub mod departures;
pub mod directory;
pub mod error_body;
pub mod evacuation;
pub mod events;
pub mod fleet;
pub mod follow;
pub mod handler;
pub mod headers;
pub mod home;
pub mod incarnation;
pub mod lifetime;
pub mod links;
mod metrics;
pub mod neighbours;
pub mod node;
pub mod operators;
mod outbox;
pub mod own_link;
pub mod poison;
mod pools;
pub mod position;
mod recent;
pub mod refusal;
pub mod registration;
pub mod retry_budget;
pub mod rollouts;
pub mod run;
pub mod sessions;
pub mod snapshot;
pub mod stage;
pub mod stream;
pub mod table;
pub mod timings;
pub mod topic;
pub mod zone;

pub use config::Config;
pub use node::Node;
pub use refusal::Refusal;
pub use run::Running;

//! Clients of model engines and plain services, and the stream assembler.
//!
//! [`engine::Engine`] and [`service::Service`] are the interfaces, each with a `hyper` client. The
//! assembler puts a stream's events in order, drops duplicates, detects gaps and tells whether the
//! stream is complete. Every error tells whether the endpoint may have started the call.

pub mod assemble;
pub mod client;
pub mod engine;
pub mod events;
pub mod fault;
pub mod framing;
pub mod limits;
pub mod probe;
pub mod service;

pub use assemble::Assembler;
pub use client::Pool;
pub use fault::Fault;

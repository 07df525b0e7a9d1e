//! Small stand-ins (test doubles) of the platform and of endpoints, and the load generator.
//!
//! The stand-ins are [`log`], [`vms`], [`weights`], [`rating`], [`engine`] and [`service`]. Each is
//! an HTTP server that keeps its state in memory and has a [`fault`] table, which can be changed
//! while it runs. The `start` function of each module binds an address (port 0 for any free port)
//! and returns a [`Running`] stand-in, which tests can inspect and control without HTTP. [`load`]
//! sends requests, checks each answer and measures latency.

pub mod body;
pub mod bucket;
pub mod cli;
pub mod clock;
pub mod deployment;
pub mod engine;
pub mod fault;
pub mod load;
pub mod log;
pub mod rating;
pub mod server;
pub mod service;
pub mod settings;
pub mod shared;
pub mod tally;
pub mod text;
pub mod vms;
pub mod weights;

pub use fault::Faults;
pub use server::Handler;
pub use server::Running;

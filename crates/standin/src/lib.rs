//! Small stand-ins of the platform and endpoints, and the load generator.
//!
//! Each stand-in is an HTTP server in memory with a [`fault`] table that is set while it runs:
//! [`log`], [`vms`], [`weights`], [`rating`], [`engine`] and [`service`]. Each module's `start`
//! binds an address (port 0 for any) and gives a [`Running`] stand-in to read and steer without
//! HTTP. [`load`] sends requests, checks each answer and measures.

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

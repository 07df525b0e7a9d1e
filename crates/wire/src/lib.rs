//! Typed messages: HTTP JSON for callers, endpoints and the platform, and postcard frames between the
//! system's own processes.
//!
//! - [`api`]: the API for callers.
//! - [`engine`]: the API of model engines.
//! - [`platform`]: the APIs of the platform's services.
//! - [`operators`]: the state that an entry VM serves to its operators.
//! - [`peer`]: the messages between entry VMs.
//! - [`frame`]: frames for these messages, with a keyed MAC and a size limit.
//!
//! This crate contains only types and codecs and opens no sockets.

pub mod api;
pub mod engine;
pub mod frame;
pub mod header;
pub mod operators;
pub mod peer;
pub mod platform;

pub use frame::Frame;

//! Typed messages: HTTP JSON at the border with callers, endpoints and the platform, and postcard
//! frames between the system's own processes.
//!
//! [`api`] is what callers see, [`engine`] what model engines speak, [`platform`] what the
//! platform's services speak. [`peer`] holds the frames between entry VMs and [`frame`] seals them
//! with a keyed MAC and a size limit. Only shapes and codecs live here, no sockets.

pub mod api;
pub mod engine;
pub mod frame;
pub mod header;
pub mod operators;
pub mod peer;
pub mod platform;

pub use frame::Frame;

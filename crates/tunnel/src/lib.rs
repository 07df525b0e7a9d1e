//! Connections to endpoints through another VM, for a VM whose own links to them are down.
//!
//! The VM that has the request [`open`]s a tunnel at another VM, which connects to the endpoint and
//! copies bytes both ways. It knows nothing of requests: who may send what, what has run and what is
//! sent again is decided where the request is. A [`Server`] always connects to the endpoint itself,
//! so that a tunnel has one hop.
//!
//! An endpoint's response may end with its connection. Bytes from the endpoint therefore travel in
//! frames, and an empty frame marks the regular end: a VM that is killed closes its connections just
//! as an endpoint does that is done.

pub mod client;
pub mod message;
pub mod server;

pub use client::Tunnel;
pub use client::open;
pub use server::Gate;
pub use server::Server;

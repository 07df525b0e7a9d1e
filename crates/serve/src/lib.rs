//! HTTP servers with graceful shutdown, and response bodies that are never truncated unnoticed.
//!
//! [`run`] accepts connections and answers each request with a [`Serve`]. [`Stop`] makes it ask
//! callers to close their connections, stop accepting new ones, or abort those that remain.
//! [`ReplyBody`] is the body of a response. If its [`Writer`] is dropped before the end, the
//! connection is broken off.

pub mod body;
mod cuts;
mod progress;
pub mod receiving;
pub mod server;
mod socket;
pub mod traffic;
pub mod unread;

pub use body::ReplyBody;
pub use body::Writer;
pub use server::Limits;
pub use server::Serve;
pub use server::Stop;
pub use server::run;

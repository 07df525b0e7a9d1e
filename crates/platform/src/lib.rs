//! Clients of the platform's services behind small traits, the appender and the follower.
//!
//! [`log::Log`], [`vms::List`], [`weights::Store`] and [`rating::Rater`] are the interfaces; each has an HTTP
//! client. The appender joins records into few appends; the follower tails a stream, takes state
//! from checkpoints and peers, and never goes back.

pub mod appender;
mod backoff;
pub mod bills;
pub mod claims;
pub mod configuration;
pub mod follower;
pub mod forward;
pub mod grants;
mod http;
pub mod lease;
pub mod log;
pub mod mesh;
pub mod operators;
pub mod rating;
pub mod vms;
pub mod weights;

pub use appender::Appender;
pub use follower::Follower;
pub use log::Log;
pub use mesh::Mesh;

//! Clients of the platform's services behind small traits, and the state that nodes build on them.
//!
//! [`log::Log`], [`vms::List`], [`weights::Store`] and [`rating::Rater`] are the interfaces; each
//! has an HTTP client. The [`Appender`] batches records into few appends, the [`Follower`] folds a
//! stream into a view, the [`configuration::Source`] holds the configuration in force and never
//! reverts to an older one, and the [`Mesh`] lets nodes help each other while the platform is
//! unavailable.

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
pub mod view;
pub mod vms;
pub mod weights;

pub use appender::Appender;
pub use follower::Follower;
pub use log::Log;
pub use mesh::Mesh;

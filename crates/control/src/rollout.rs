//! Roll-outs: the next stage by evidence, or the end.

pub mod controller;
pub mod decide;

pub use controller::Parts;
pub use controller::Rollouts;

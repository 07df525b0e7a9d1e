//! Roll-outs: advances or halts each one by the evidence of the entry VMs.

pub mod controller;
pub mod decide;

pub use controller::Dependencies;
pub use controller::Rollouts;

//! Small stand-ins of the platform and endpoints, and the load generator.

pub mod cli;
pub mod load;

//! Tests of the folds, one module per stream.

mod claims;
mod grants;
mod leases;
mod usage;

//! Tests of the folds, one module a stream.

mod claims;
mod grants;
mod leases;
mod usage;

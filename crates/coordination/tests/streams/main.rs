//! Claims, bills, grants and leases on the log, under faults of the log and of peers.

#[path = "../support/mod.rs"]
mod support;

mod bills;
mod claims;
mod faulty;
mod grants;
mod lease;

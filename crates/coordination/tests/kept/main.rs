//! What the system keeps on the log: claims, bills, grants and leases, under faults of log and peers.

#[path = "../support/mod.rs"]
mod support;

mod bills;
mod claims;
mod faulty;
mod grants;
mod lease;

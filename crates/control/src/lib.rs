//! Controllers of leases, roll-outs, placement and orders.

pub mod cli;

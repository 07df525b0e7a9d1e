//! Tests of the entry crate with stand-ins for the platform and the endpoints, in one process over
//! loopback.

mod config;
mod delivery;
mod ending;
mod faults;
mod leaving;
mod model;
mod poison;
mod rating;
mod refusals;
mod registry;
mod scheduler;
mod service;
mod session;
mod shutdown;
mod support;
mod versions;

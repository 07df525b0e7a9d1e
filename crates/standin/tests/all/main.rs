//! Contract tests of the stand-ins and tests of the load generator.

mod engine;
mod faults;
mod load;
mod platform;
mod support;
mod trace;

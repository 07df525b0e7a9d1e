//! Tests that the stand-ins implement their interfaces, and tests of the load generator.

mod engine;
mod faults;
mod load;
mod platform;
mod support;
mod trace;

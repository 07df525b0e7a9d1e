//! Tests of the relay's parts over its public surface.

mod bundle;
mod fixture;
mod follow;
mod large;
mod log;
mod model;
mod peers;
mod rollouts;
mod snapshot;
mod timings;
mod turns;

//! Tests of the relay's modules through its public interface.

mod bundle;
mod datagrams;
mod departures;
mod exposure;
mod fixture;
mod follow;
mod groups;
mod helpers;
mod large;
mod log;
mod model;
mod peers;
mod rollouts;
mod session_model;
mod snapshot;
mod timings;
mod turns;
mod unbounded;
mod versions;

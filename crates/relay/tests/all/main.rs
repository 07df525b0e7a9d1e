//! Tests of the relay's parts over its public surface.

mod follow;
mod log;
mod passage;
mod rollouts;

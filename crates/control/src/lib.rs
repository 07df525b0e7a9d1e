//! The controllers: leases, roll-outs, placement and orders to engines.
//!
//! `pimento-control` runs beside `pimento-entry` on the entry VMs; none is set aside for it and all
//! do the same. Decisions are pure functions ([`rollout::decide`], [`placement`], [`fence`],
//! [`bucket`]); a [`controller::Controller`] gathers their input and carries out their result, over
//! the small traits of `pimento-coordination` and `pimento-endpoint`. Whatever one instance leaves
//! undone, any other picks up from the log and from what the engines report.

pub mod bucket;
pub mod cli;
pub mod config;
pub mod controller;
pub mod daemon;
pub mod fence;
pub mod leases;
pub mod metrics;
pub mod operators;
pub mod orders;
pub mod placement;
pub mod rollout;

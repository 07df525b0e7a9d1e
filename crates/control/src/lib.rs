//! Controllers of leases, roll-outs, placement and orders to engines.
//!
//! `pimento-control` runs beside `pimento-entry` on the entry VMs. No VM is reserved for it, and
//! all instances are equal. Decisions are pure functions ([`rollout::decide`], [`placement`],
//! [`fence`], [`bucket`]). A [`controller::Controller`] collects their input and applies their
//! result, through the traits of `pimento-coordination` and `pimento-endpoint`. If an instance
//! fails, any other one continues its work from the log and from the engines' reports.

pub mod bucket;
pub mod cli;
pub mod config;
pub mod controller;
pub mod daemon;
pub mod fence;
pub mod leases;
pub mod metrics;
pub mod operator_server;
pub mod orders;
pub mod placement;
pub mod rollout;

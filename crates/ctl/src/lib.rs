//! The operators' command line: checks and publishes contracts, rolls versions in and out, and
//! shows the configuration in force, bill totals, the progress of each entry VM and the timeline of
//! a request.
//!
//! [`publish`] appends changes to the platform's log and reads their verdicts back, so that the
//! outcome is known after a lost response or a concurrent change; [`snapshot`] folds the
//! configuration stream. Both work over any [`pimento_coordination::Log`]. [`command`] has one
//! module for each subcommand, [`exit`] defines errors and exit codes.

mod args;
pub mod cli;
pub mod command;
pub mod exit;
mod files;
pub mod output;
mod progress;
pub mod publish;
pub mod snapshot;
pub mod stream;
pub mod timeline;

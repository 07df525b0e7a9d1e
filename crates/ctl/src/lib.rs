//! The operators' command line: checks and publishes contracts, rolls versions in and out, and
//! shows what is in force, what was billed and how far each entry VM has got.
//!
//! [`publish`] proposes changes on the platform's log and reads their verdicts back, so that a lost
//! answer or a racing operator never leaves the caller guessing; [`snapshot`] folds the
//! configuration stream. Both work over any [`pimento_coordination::Log`]. [`command`] holds one module
//! for each subcommand, [`exit`] the exit codes.

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

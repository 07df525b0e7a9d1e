//! The operators' command line.

pub mod cli;

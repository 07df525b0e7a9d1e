//! The load generator `pimento-load`. It sends open-loop arrivals from a mix or a recorded trace,
//! checks every answer, writes results as files, tables and plots, and judges a whole trial.

pub mod allowed;
pub mod balancer;
pub mod call;
pub mod check;
pub mod cli;
pub mod client;
pub mod compare;
pub mod drive;
mod files;
mod gather;
pub mod histogram;
pub mod judge;
pub mod mix;
mod overload;
pub mod plot;
pub mod promise;
pub mod result;
pub mod trace;
pub mod withdrawal;

pub use cli::main;

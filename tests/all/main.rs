//! Tests of the built programs, one module for each topic.

mod control;
mod ctl;
mod fleet;
mod kills;
mod partition;
mod path;
mod process;
mod programs;
mod shutdown;
mod spread;

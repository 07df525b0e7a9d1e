//! Tests of the built programs, one module a topic.

mod control;
mod ctl;
mod process;
mod programs;

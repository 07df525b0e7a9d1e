//! Tests of the built programs, one module a topic.

mod programs;

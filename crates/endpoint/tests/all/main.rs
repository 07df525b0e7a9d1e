//! Tests of the clients against the stand-ins and small servers, and of the assembler.

mod assemble;
mod engine;
mod raw;
mod service;
mod unbounded;

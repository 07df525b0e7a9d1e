//! Arbitrary input from outside: JSON from callers, endpoints and the platform, and frames between
//! processes.

mod frames;
mod json;
mod values;

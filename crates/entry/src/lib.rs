//! The filter chain between callers and endpoints.

pub mod cli;

//! What comes in from outside: JSON at the borders and frames between processes, whatever bytes they
//! are made of.

mod frames;
mod json;
mod values;

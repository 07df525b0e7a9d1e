//! Tests of how connections end: what has arrived is answered, and answers arrive whole.

mod abort;
mod closing;
mod linger;
mod model;
mod panics;
mod receiving;
mod support;
mod unread;

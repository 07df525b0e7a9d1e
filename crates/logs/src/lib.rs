//! Logging that never blocks the threads that log.
//!
//! Lines are added to a bounded [`Queue`], and a separate thread writes them to the output. If
//! nobody reads the output, the queue fills up and further lines are dropped. If there are more
//! lines than the [`Budget`] allows, lines about single requests are dropped first. Both are
//! counted, and a line in the output states how many lines are missing there.
//!
//! [`start()`] installs the process's logger, [`flush`] waits briefly until the queued lines are
//! written, and [`dropped`] returns the counts for metrics.

mod append;
pub mod budget;
pub mod queue;
mod start;

pub use budget::Budget;
pub use queue::Dropped;
pub use queue::Queue;
pub use start::Format;
pub use start::Output;
pub use start::Settings;
pub use start::dropped;
pub use start::flush;
pub use start::start;

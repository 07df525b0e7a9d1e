//! Log lines that never hold up the work that they tell of.
//!
//! A line is written into a bounded [`Queue`], which a thread of its own empties into the output. If
//! nobody reads the output, the queue fills and further lines are left out; if there are more lines
//! than the [`Budget`] allows, those that tell of single requests are left out first. Both are
//! counted, and a line says how many are missing at that place. [`start`] sets this up as the
//! process's logger, [`flush`] waits a moment for what is queued, [`dropped`] gives the counts for
//! metrics.

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

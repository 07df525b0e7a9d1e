//! Connects the queue to `logforth`.

use std::sync::Arc;

use logforth::Append;
use logforth::Diagnostic;
use logforth::Error;
use logforth::Layout;
use logforth::kv::Key;
use logforth::kv::Value;
use logforth::kv::Visitor;
use logforth::record::Level;
use logforth::record::Record;
use pimento_units::Moment;

use crate::budget::Priority;
use crate::queue::Queue;

/// A monotonic clock.
pub type Clock = fn() -> Moment;

/// Formats records and adds the lines to the queue.
#[derive(Debug)]
pub struct QueueAppender<L> {
    pub queue: Arc<Queue>,
    pub layout: L,
    pub clock: Clock,
}

fn priority(level: Level) -> Priority {
    if level >= Level::Warn {
        Priority::High
    } else {
        Priority::Normal
    }
}

impl<L: Layout> Append for QueueAppender<L> {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if self.queue.admit(priority(record.level()), (self.clock)()) {
            self.queue.push(&self.layout.format(record, diags)?);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// Adds a monotonic time to each line. It orders the lines of a VM even when the wall clock jumps.
#[derive(Debug)]
pub struct MonotonicTime(pub Clock);

impl Diagnostic for MonotonicTime {
    fn visit(&self, visitor: &mut dyn Visitor) -> Result<(), Error> {
        let millis = (self.0)().nanos() / 1_000_000;
        let key = Key::new("steady_ms");
        visitor.visit(key.view(), Value::u64(millis).view())
    }
}

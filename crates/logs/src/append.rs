//! The queue as `logforth` sees it.

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

/// A clock that does not jump.
pub type Clock = fn() -> Moment;

/// Queues lines.
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

/// Adds a time to each line that orders the lines of a VM also where its time of day jumps.
#[derive(Debug)]
pub struct MonotonicTime(pub Clock);

impl Diagnostic for MonotonicTime {
    fn visit(&self, visitor: &mut dyn Visitor) -> Result<(), Error> {
        let millis = (self.0)().nanos() / 1_000_000;
        let key = Key::new("steady_ms");
        visitor.visit(key.view(), Value::u64(millis).view())
    }
}

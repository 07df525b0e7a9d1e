//! Setup of the process's logger.

use std::io;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;

use log::LevelFilter;
use logforth::Layout;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;

use crate::append::Clock;
use crate::append::MonotonicTime;
use crate::append::QueueAppender;
use crate::queue::Dropped;
use crate::queue::Queue;

/// How long [`flush`] waits. The grace period at the end of a process is a few seconds, and its
/// requests need nearly all of it.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// The format of lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Text for people.
    Text,
    /// One JSON object per line, for machines.
    Json,
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            other => Err(format!("{other:?} is neither text nor json")),
        }
    }
}

/// Where lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Standard output.
    Stdout,
    /// Standard error, for programs that write their result to standard output.
    Stderr,
}

/// Settings of the logger.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// The format of lines.
    pub format: Format,
    /// The most verbose level that is logged.
    pub level: LevelFilter,
    /// Where lines are written.
    pub output: Output,
    /// A monotonic clock, whose time each line contains in addition to the time of day.
    pub clock: Clock,
}

static QUEUE: OnceLock<Arc<Queue>> = OnceLock::new();

/// Installs the process's logger. A second call has no effect.
///
/// # Errors
///
/// If the writing thread can't be started.
pub fn start(settings: Settings) -> io::Result<()> {
    let queue = Arc::new(Queue::new((settings.clock)()));
    if QUEUE.set(Arc::clone(&queue)).is_err() {
        return Ok(());
    }
    let writer = Arc::clone(&queue);
    let missing = move |count| missing(settings.format, count);
    let write = move || match settings.output {
        Output::Stdout => writer.write(io::stdout(), missing),
        Output::Stderr => writer.write(io::stderr(), missing),
    };
    thread::Builder::new().name("logs".into()).spawn(write)?;
    match settings.format {
        Format::Text => apply(queue, TextLayout::default(), settings),
        Format::Json => apply(queue, JsonLayout::default(), settings),
    }
    Ok(())
}

fn apply(queue: Arc<Queue>, layout: impl Layout, settings: Settings) {
    let append = QueueAppender {
        queue,
        layout,
        clock: settings.clock,
    };
    let builder = logforth::starter_log::builder();
    let builder = builder.dispatch(|dispatch| {
        let dispatch = dispatch.diagnostic(MonotonicTime(settings.clock));
        dispatch.append(append)
    });
    if builder.try_apply().is_ok() {
        log::set_max_level(settings.level);
    }
}

/// The line that states how many lines were dropped.
fn missing(format: Format, count: u64) -> Vec<u8> {
    match format {
        Format::Text => format!("logs: {count} lines left out.").into_bytes(),
        Format::Json => serde_json::json!({
            "level": "WARN",
            "message": "logs: Lines left out.",
            "kvs": {"lines": count},
        })
        .to_string()
        .into_bytes(),
    }
}

/// Waits briefly until the queued lines are written. Returns whether they are.
pub fn flush() -> bool {
    QUEUE.get().is_none_or(|queue| queue.flush(FLUSH_TIMEOUT))
}

/// Numbers of lines dropped since the start.
#[must_use]
pub fn dropped() -> Dropped {
    QUEUE.get().map(|queue| queue.dropped()).unwrap_or_default()
}

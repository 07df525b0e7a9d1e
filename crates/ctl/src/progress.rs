//! Progress of long commands, shown on a terminal only.

use std::io::IsTerminal;
use std::io::stderr;
use std::time::Duration;

use indicatif::ProgressBar;

/// How often the display moves while nothing else happens.
const TICK: Duration = Duration::from_millis(200);

/// A spinner on a terminal, nothing elsewhere. Gone when dropped.
#[derive(Debug)]
pub(crate) struct Progress(ProgressBar);

impl Progress {
    /// Starts with `message`.
    pub(crate) fn new(message: &'static str) -> Self {
        if !stderr().is_terminal() {
            return Self(ProgressBar::hidden());
        }
        let bar = ProgressBar::new_spinner();
        bar.set_message(message);
        bar.enable_steady_tick(TICK);
        Self(bar)
    }

    /// Shows another message.
    pub(crate) fn set_message(&self, message: String) {
        self.0.set_message(message);
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.0.finish_and_clear();
    }
}

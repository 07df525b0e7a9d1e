//! Progress display of long commands, shown only on a terminal.

use std::io::IsTerminal;
use std::io::stderr;
use std::time::Duration;

use indicatif::ProgressBar;

/// Interval of the spinner's animation.
const TICK: Duration = Duration::from_millis(200);

/// A spinner on standard error if that is a terminal. Cleared on drop.
#[derive(Debug)]
pub(crate) struct Progress(ProgressBar);

impl Progress {
    /// Shows a spinner with `message`.
    pub(crate) fn new(message: &'static str) -> Self {
        if !stderr().is_terminal() {
            return Self(ProgressBar::hidden());
        }
        let bar = ProgressBar::new_spinner();
        bar.set_message(message);
        bar.enable_steady_tick(TICK);
        Self(bar)
    }

    /// Replaces the message.
    pub(crate) fn set_message(&self, message: String) {
        self.0.set_message(message);
    }
}

impl Drop for Progress {
    fn drop(&mut self) {
        self.0.finish_and_clear();
    }
}

//! The command line.

use std::process::ExitCode;

/// Exit code for bad settings, bad files and bad usage.
pub const EXIT_USAGE: u8 = 2;

/// Runs the program.
#[must_use]
pub fn main() -> ExitCode {
    eprintln!("this program is not built yet");
    ExitCode::from(EXIT_USAGE)
}

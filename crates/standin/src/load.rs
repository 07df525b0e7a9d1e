//! The load generator `pimento-load`.

use std::process::ExitCode;

use crate::cli::EXIT_USAGE;

/// Runs the program.
#[must_use]
pub fn main() -> ExitCode {
    eprintln!("this program is not built yet");
    ExitCode::from(EXIT_USAGE)
}

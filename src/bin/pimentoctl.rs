//! The operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    pimento_ctl::cli::main()
}

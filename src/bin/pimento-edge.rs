//! The entry VM on the users' platform.

use std::process::ExitCode;

fn main() -> ExitCode {
    pimento_platform::cli::main()
}

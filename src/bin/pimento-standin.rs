//! Stand-ins of the platform's services and of endpoints.

use std::process::ExitCode;

fn main() -> ExitCode {
    pimento_standin::cli::main()
}

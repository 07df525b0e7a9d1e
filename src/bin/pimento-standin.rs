//! Stand-ins for the platform's services and for endpoints.

use std::process::ExitCode;

fn main() -> ExitCode {
    pimento_standin::cli::main()
}

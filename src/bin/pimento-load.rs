//! The load generator.

use std::process::ExitCode;

fn main() -> ExitCode {
    pimento_standin::load::main()
}

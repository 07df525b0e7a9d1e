//! The control daemon: leases, roll-outs, placement and orders to engines.

use std::process::ExitCode;

fn main() -> ExitCode {
    pimento_control::cli::main()
}

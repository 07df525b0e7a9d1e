//! The control daemon: leases, roll-outs, placement and orders.

use std::process::ExitCode;

fn main() -> ExitCode {
    pimento_control::cli::main()
}

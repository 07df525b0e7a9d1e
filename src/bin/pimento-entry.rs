//! The entry daemon: the filter chain between callers and endpoints.

use std::process::ExitCode;

fn main() -> ExitCode {
    pimento_entry::cli::main()
}

//! Every program exists and rejects unknown flags with the exit code for invalid usage.

use std::process::Command;

/// A mistyped flag must end the program with exit code 2 before it opens a port or writes a record.
#[test]
fn a_bad_flag_is_refused() {
    let programs = [
        env!("CARGO_BIN_EXE_pimento-entry"),
        env!("CARGO_BIN_EXE_pimento-control"),
        env!("CARGO_BIN_EXE_pimentoctl"),
        env!("CARGO_BIN_EXE_pimento-standin"),
        env!("CARGO_BIN_EXE_pimento-load"),
    ];
    for program in programs {
        let status = Command::new(program)
            .arg("--no-such-flag")
            .status()
            .expect("the program starts");
        assert_eq!(status.code(), Some(2), "{program}");
    }
}

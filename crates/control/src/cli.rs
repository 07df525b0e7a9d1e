//! The program: reads settings, starts logging, runs until it is asked to end.

use std::process::ExitCode;

use logforth::append;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;

use crate::config;
use crate::config::Config;
use crate::config::Format;
use crate::daemon;

/// Exit code if the program failed.
pub const EXIT_FAILED: u8 = 1;

/// Exit code for bad settings.
pub const EXIT_USAGE: u8 = 2;

/// Runs the program.
#[must_use]
pub fn main() -> ExitCode {
    let matches = config::command().get_matches();
    let config = match Config::try_from(&matches) {
        Ok(config) => config,
        Err(findings) => {
            eprintln!("{findings}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.get_flag("print-config") {
        print!("{}", config::print(&matches));
        return ExitCode::SUCCESS;
    }
    start_log(&config);
    match daemon::run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("control: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn start_log(config: &Config) {
    let builder = logforth::starter_log::builder();
    let builder = builder.dispatch(|dispatch| match config.format {
        Format::Text => {
            dispatch.append(append::Stderr::default().with_layout(TextLayout::default()))
        }
        Format::Json => {
            dispatch.append(append::Stderr::default().with_layout(JsonLayout::default()))
        }
    });
    builder.apply();
    log::set_max_level(config.level);
}

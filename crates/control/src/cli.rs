//! Entry point: reads the settings, starts logging and runs the daemon until a signal stops it.

use std::process::ExitCode;

use logforth::append;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;

use crate::config;
use crate::config::Config;
use crate::config::LogFormat;
use crate::daemon;

/// Exit code if the program failed.
pub const EXIT_FAILED: u8 = 1;

/// Exit code for invalid settings.
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
    start_logging(&config);
    match daemon::run(config) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("control: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn start_logging(config: &Config) {
    let builder = logforth::starter_log::builder();
    let builder = builder.dispatch(|dispatch| match config.log_format {
        LogFormat::Text => {
            dispatch.append(append::Stderr::default().with_layout(TextLayout::default()))
        }
        LogFormat::Json => {
            dispatch.append(append::Stderr::default().with_layout(JsonLayout::default()))
        }
    });
    builder.apply();
    log::set_max_level(config.log_level);
}

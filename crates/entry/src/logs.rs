//! Set-up of the log output: text or JSON lines.

use log::LevelFilter;
use logforth::append;
use logforth::layout::JsonLayout;
use logforth::layout::TextLayout;

use crate::config::LogFormat;

/// Sends log lines to the standard error stream. A second call has no effect.
pub fn init(format: LogFormat, level: LevelFilter) {
    let builder = logforth::starter_log::builder();
    let builder = builder.dispatch(|dispatch| match format {
        LogFormat::Text => {
            dispatch.append(append::Stderr::default().with_layout(TextLayout::default()))
        }
        LogFormat::Json => {
            dispatch.append(append::Stderr::default().with_layout(JsonLayout::default()))
        }
    });
    if builder.try_apply().is_ok() {
        log::set_max_level(level);
    }
}

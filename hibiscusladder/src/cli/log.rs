//! Logging to the standard error stream.

use std::sync::Arc;

use hibiscusladder_proxy::settings::LogLevel;
use spdlog::{Level, LevelFilter, Logger, sink::StdStreamSink};

/// Sends log lines of `level` and above to the standard error stream.
pub(crate) fn init(level: LogLevel) {
    let min_level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let sink = StdStreamSink::builder().stderr().build_arc();
    let Ok(sink) = sink else {
        return;
    };
    let filter = LevelFilter::MoreSevereEqual(min_level);
    let logger = Logger::builder()
        .sink(sink)
        .level_filter(filter)
        .flush_level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .build();
    if let Ok(logger) = logger {
        spdlog::set_default_logger(Arc::new(logger));
    }
}

//! Log output: one line for each event, on standard error.

use flexi_logger::DeferredNow;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::Record;

use crate::failure::Failure;

/// Starts logging; `spec` is of the form `info` or `warn,foxtailhoist_server=debug`.
///
/// # Errors
///
/// Fails when the specification cannot be read.
pub fn start(spec: &str) -> Result<LoggerHandle, Failure> {
    let failed = |e: flexi_logger::FlexiLoggerError| {
        Failure::Settings(format!("log specification '{spec}': {e}"))
    };
    Logger::try_with_str(spec).map_err(failed)?.format(line).log_to_stderr().start().map_err(failed)
}

/// Writes `time=… level=… ` and the key=value pairs of the event.
fn line(
    w: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = now.format_rfc3339();
    write!(
        w,
        "time={time} level={} target={} {}",
        record.level().as_str().to_lowercase(),
        record.target(),
        record.args()
    )
}

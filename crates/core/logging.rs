//! Log output: one line for each event.

use std::io;
use std::io::Write;

use flexi_logger::DeferredNow;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::writers::LogWriter;
use foxtailhoist_relay::log_buffer::LogBuffer;
use log::Record;

use crate::failure::Failure;

/// Starts logging to standard error; `spec` is of the form `info` or `warn,foxtailhoist_server=debug`.
///
/// # Errors
///
/// Fails when the specification cannot be read.
pub fn start(spec: &str) -> Result<LoggerHandle, Failure> {
    let failed = |e| unusable(spec, &e);
    Logger::try_with_str(spec).map_err(failed)?.format(line).log_to_stderr().start().map_err(failed)
}

/// Starts logging to standard output without ever blocking: a thread of its own writes what has gathered.
///
/// # Errors
///
/// Fails when the specification cannot be read.
pub fn start_bounded(spec: &str) -> Result<LoggerHandle, Failure> {
    let failed = |e| unusable(spec, &e);
    let writer = BufferWriter { buffer: LogBuffer::start(Box::new(io::stdout())) };
    Logger::try_with_str(spec)
        .map_err(failed)?
        .log_to_writer(Box::new(writer))
        .start()
        .map_err(failed)
}

fn unusable(spec: &str, e: &flexi_logger::FlexiLoggerError) -> Failure {
    Failure::Settings(format!("log specification '{spec}': {e}"))
}

/// Hands lines to the buffer that a thread writes out.
struct BufferWriter {
    buffer: LogBuffer,
}

impl LogWriter for BufferWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut text = Vec::with_capacity(256);
        line(&mut text, now, record)?;
        self.buffer.push(&text);
        Ok(())
    }

    /// Lines leave with the next write of the buffer's thread.
    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes `time=… level=… ` and the key=value pairs of the event.
fn line(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let time = now.format_rfc3339();
    write!(
        w,
        "time={time} level={} target={} {}",
        record.level().as_str().to_lowercase(),
        record.target(),
        record.args()
    )
}

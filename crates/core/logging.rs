//! Log output, one line per event.

use std::io;
use std::io::Write;

use flexi_logger::DeferredNow;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::writers::LogWriter;
use foxtailhoist_relay::log_buffer::LogBuffer;
use log::Record;

use crate::failure::Failure;

/// Starts logging to standard error; `spec` has the form `info` or `warn,foxtailhoist_server=debug`.
///
/// # Errors
///
/// Fails when the specification cannot be parsed.
pub fn start(spec: &str) -> Result<LoggerHandle, Failure> {
    let failed = |e| invalid_spec(spec, &e);
    Logger::try_with_str(spec)
        .map_err(failed)?
        .format(write_line)
        .log_to_stderr()
        .start()
        .map_err(failed)
}

/// Starts non-blocking logging to standard output: a separate thread writes the buffered lines, and lines that exceed
/// the size of the buffer are dropped.
///
/// # Errors
///
/// Fails when the specification cannot be parsed.
pub fn start_bounded(spec: &str) -> Result<LoggerHandle, Failure> {
    let failed = |e| invalid_spec(spec, &e);
    let writer = BufferWriter { buffer: LogBuffer::start(Box::new(io::stdout())) };
    Logger::try_with_str(spec)
        .map_err(failed)?
        .log_to_writer(Box::new(writer))
        .start()
        .map_err(failed)
}

fn invalid_spec(spec: &str, e: &flexi_logger::FlexiLoggerError) -> Failure {
    Failure::Settings(format!("log specification '{spec}': {e}"))
}

/// Appends lines to the buffer that a separate thread writes out.
struct BufferWriter {
    buffer: LogBuffer,
}

impl LogWriter for BufferWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut text = Vec::with_capacity(256);
        write_line(&mut text, now, record)?;
        self.buffer.push(&text);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        self.buffer.flush();
        Ok(())
    }
}

/// Writes `time=… level=… target=… ` and the key=value pairs of the event.
fn write_line(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
    let time = now.format_rfc3339();
    write!(
        w,
        "time={time} level={} target={} {}",
        record.level().as_str().to_lowercase(),
        record.target(),
        record.args()
    )
}

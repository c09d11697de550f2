//! Log output: one line for each event.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use flexi_logger::DeferredNow;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::writers::LogWriter;
use log::Record;

use crate::failure::Failure;

/// Bytes of lines that wait for standard output; further lines are dropped and counted.
const BUFFER_BYTES: usize = 256 * 1024;
/// Pause between two writes to standard output.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

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
    let writer = BoundedWriter::start(Box::new(io::stdout()));
    Logger::try_with_str(spec)
        .map_err(failed)?
        .log_to_writer(Box::new(writer))
        .start()
        .map_err(failed)
}

fn unusable(spec: &str, e: &flexi_logger::FlexiLoggerError) -> Failure {
    Failure::Settings(format!("log specification '{spec}': {e}"))
}

/// Gathers lines in a bounded buffer that a thread writes out.
struct BoundedWriter {
    lines: Arc<Mutex<Lines>>,
}

#[derive(Default)]
struct Lines {
    buf: Vec<u8>,
    dropped: u64,
}

impl BoundedWriter {
    fn start(mut out: Box<dyn Write + Send>) -> BoundedWriter {
        let lines = Arc::new(Mutex::new(Lines::default()));
        let shared = lines.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(FLUSH_INTERVAL);
                let Lines { buf, dropped } = std::mem::take(&mut *locked(&shared));
                // A reader that is gone leaves nobody to tell.
                let _ = out.write_all(&buf).and_then(|()| out.flush());
                if dropped > 0 {
                    let _ = writeln!(out, "event=log_dropped lines={dropped}");
                }
            }
        });
        BoundedWriter { lines }
    }
}

impl LogWriter for BoundedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let mut lines = locked(&self.lines);
        if lines.buf.len() >= BUFFER_BYTES {
            lines.dropped += 1;
            return Ok(());
        }
        line(&mut lines.buf, now, record)?;
        lines.buf.push(b'\n');
        Ok(())
    }

    /// Lines leave with the next write of the thread.
    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// The lines stay usable after a panic of another thread: each line is whole or absent.
fn locked(lines: &Mutex<Lines>) -> MutexGuard<'_, Lines> {
    lines.lock().unwrap_or_else(PoisonError::into_inner)
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

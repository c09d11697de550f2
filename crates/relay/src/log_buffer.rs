//! A bounded buffer of log lines that a thread writes out, so that a stuck reader never blocks the process.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

/// Bytes of lines that wait to be written; further lines are dropped and counted.
pub const BUFFER_BYTES: usize = 256 * 1024;
/// Pause between two writes.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Gathers lines.
#[derive(Clone, Debug)]
pub struct LogBuffer {
    lines: Arc<Mutex<Lines>>,
}

#[derive(Debug, Default)]
struct Lines {
    buf: Vec<u8>,
    dropped: u64,
}

impl LogBuffer {
    /// Starts the thread that writes to `out`.
    #[must_use]
    pub fn start(mut out: Box<dyn Write + Send>) -> LogBuffer {
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
        LogBuffer { lines }
    }

    /// Adds a line, without its end; never waits for the reader.
    pub fn push(&self, line: &[u8]) {
        let mut lines = locked(&self.lines);
        if lines.buf.len() + line.len() >= BUFFER_BYTES {
            lines.dropped += 1;
            return;
        }
        lines.buf.extend_from_slice(line);
        lines.buf.push(b'\n');
    }

    /// Bytes that wait, and lines dropped since the last write.
    #[must_use]
    pub fn waiting(&self) -> (usize, u64) {
        let lines = locked(&self.lines);
        (lines.buf.len(), lines.dropped)
    }
}

/// The lines stay usable after a panic of another thread: each line is whole or absent.
fn locked(lines: &Mutex<Lines>) -> MutexGuard<'_, Lines> {
    lines.lock().unwrap_or_else(PoisonError::into_inner)
}

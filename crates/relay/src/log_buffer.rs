//! A bounded buffer of log lines, written out by a thread so that a stalled reader never blocks the process.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

/// Maximum bytes of pending lines; further lines are dropped and counted.
pub const BUFFER_BYTES: usize = 256 * 1024;
/// Interval between two writes.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);

/// Collects log lines for the writer thread.
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
                let Lines { buf, dropped } = std::mem::take(&mut *lock(&shared));
                // If the reader has closed its end, the error cannot be reported anywhere.
                let _ = out.write_all(&buf).and_then(|()| out.flush());
                if dropped > 0 {
                    let _ = writeln!(out, "event=log_dropped lines={dropped}");
                }
            }
        });
        LogBuffer { lines }
    }

    /// Appends a line given without its newline; never waits for the reader.
    pub fn push(&self, line: &[u8]) {
        let mut lines = lock(&self.lines);
        if lines.buf.len() + line.len() >= BUFFER_BYTES {
            lines.dropped += 1;
            return;
        }
        lines.buf.extend_from_slice(line);
        lines.buf.push(b'\n');
    }

    /// Pending bytes, and lines dropped since the last write.
    #[must_use]
    pub fn pending(&self) -> (usize, u64) {
        let lines = lock(&self.lines);
        (lines.buf.len(), lines.dropped)
    }
}

/// Locks the lines. A poisoned lock is ignored: after a panic of another thread each line is complete or absent.
fn lock(lines: &Mutex<Lines>) -> MutexGuard<'_, Lines> {
    lines.lock().unwrap_or_else(PoisonError::into_inner)
}

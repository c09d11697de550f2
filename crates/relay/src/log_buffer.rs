//! A bounded buffer of log lines, written out by a thread so that a stalled reader never blocks the process.

use std::io::Write;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

/// Maximum bytes of pending lines; further lines are dropped and counted.
pub const BUFFER_BYTES: usize = 256 * 1024;
/// Interval between two writes.
const FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time that a flush waits for the reader.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Collects log lines for the writer thread.
#[derive(Clone, Debug)]
pub struct LogBuffer {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    lines: Mutex<Lines>,
    /// Signalled when a flush is wanted.
    wanted: Condvar,
    /// Signalled after each write.
    written: Condvar,
}

#[derive(Debug, Default)]
struct Lines {
    buf: Vec<u8>,
    dropped: u64,
    is_writing: bool,
    is_flush_wanted: bool,
}

impl LogBuffer {
    /// Starts the thread that writes to `out`.
    #[must_use]
    pub fn start(mut out: Box<dyn Write + Send>) -> LogBuffer {
        let buffer = LogBuffer { shared: Arc::default() };
        let shared = buffer.shared.clone();
        thread::spawn(move || {
            loop {
                let (buf, dropped) = shared.next_lines();
                // If the reader has closed its end, the error cannot be reported anywhere.
                let _ = out.write_all(&buf).and_then(|()| out.flush());
                if dropped > 0 {
                    let _ = writeln!(out, "event=log_dropped lines={dropped}");
                }
                lock(&shared.lines).is_writing = false;
                shared.written.notify_all();
            }
        });
        buffer
    }

    /// Appends a line given without its newline; never waits for the reader.
    pub fn push(&self, line: &[u8]) {
        let mut lines = lock(&self.shared.lines);
        if lines.buf.len() + line.len() >= BUFFER_BYTES {
            lines.dropped += 1;
            return;
        }
        lines.buf.extend_from_slice(line);
        lines.buf.push(b'\n');
    }

    /// Waits until the pending lines are written, or until a stalled reader has had enough time.
    pub fn flush(&self) {
        let mut lines = lock(&self.shared.lines);
        lines.is_flush_wanted = true;
        self.shared.wanted.notify_one();
        let is_pending = |lines: &mut Lines| lines.is_writing || lines.is_flush_wanted;
        // A poisoned lock ends the wait early; there is nobody to report it to.
        let _ = self.shared.written.wait_timeout_while(lines, FLUSH_TIMEOUT, is_pending);
    }

    /// Pending bytes, and lines dropped since the last write.
    #[must_use]
    pub fn pending(&self) -> (usize, u64) {
        let lines = lock(&self.shared.lines);
        (lines.buf.len(), lines.dropped)
    }
}

impl Shared {
    /// Waits until lines are due to be written; returns them and the number of dropped ones.
    fn next_lines(&self) -> (Vec<u8>, u64) {
        let lines = lock(&self.lines);
        let is_early = |lines: &mut Lines| !lines.is_flush_wanted;
        let waited = self.wanted.wait_timeout_while(lines, FLUSH_INTERVAL, is_early);
        let mut lines = waited.unwrap_or_else(PoisonError::into_inner).0;
        lines.is_flush_wanted = false;
        lines.is_writing = true;
        (std::mem::take(&mut lines.buf), std::mem::take(&mut lines.dropped))
    }
}

/// Locks the lines. A poisoned lock is ignored: after a panic of another thread each line is complete or absent.
fn lock(lines: &Mutex<Lines>) -> MutexGuard<'_, Lines> {
    lines.lock().unwrap_or_else(PoisonError::into_inner)
}

//! Splits a stream of server-sent events into whole events.
//!
//! Only whole events are passed on, so a server that stops in the middle of one leaves nothing half sent, and the id of
//! the last one tells where another server goes on.

use bytes::Bytes;
use bytes::BytesMut;

/// Largest event that is taken in.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes of `buf` that are known to hold no end of an event.
    searched: usize,
}

/// One or more whole events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    pub bytes: Bytes,
    /// Id of the last event that has one.
    pub last_id: Option<u64>,
}

/// An event is larger than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

impl EventSplitter {
    /// Takes bytes in; returns the whole events among them, if any.
    ///
    /// # Errors
    ///
    /// Fails when an event does not end within the limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Events>, EventTooLarge> {
        self.buf.extend_from_slice(bytes);
        let start = self.searched.saturating_sub(3);
        let Some(end) = last_event_end(&self.buf[start..]) else {
            self.searched = self.buf.len();
            if self.buf.len() > MAX_EVENT_BYTES {
                return Err(EventTooLarge);
            }
            return Ok(None);
        };
        let whole = self.buf.split_to(start + end).freeze();
        self.searched = self.buf.len();
        Ok(Some(Events { last_id: last_id(&whole), bytes: whole }))
    }

    /// Whether the stream ended between two events.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.buf.iter().all(|byte| matches!(byte, b'\r' | b'\n'))
    }
}

/// End of the last blank line, which ends an event.
fn last_event_end(buf: &[u8]) -> Option<usize> {
    let unix = find_last(buf, b"\n\n").map(|at| at + 2);
    let dos = find_last(buf, b"\r\n\r\n").map(|at| at + 4);
    unix.max(dos)
}

fn find_last(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len()).rposition(|window| window == pattern)
}

fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.split(|byte| *byte == b'\n').rev();
    lines.filter_map(|line| line.strip_prefix(b"id:")).find_map(|value| {
        let value = std::str::from_utf8(value).ok()?;
        value.trim().parse().ok()
    })
}

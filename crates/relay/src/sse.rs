//! Splits a stream of server-sent events into complete events.
//!
//! Only complete events are forwarded, so a server that fails inside an event leaves no partial event with the caller.
//! The id of the last forwarded event is where another server resumes.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum size of one event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Leading bytes of `buf` that were already searched for the end of an event.
    searched: usize,
}

/// One or more complete events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Events {
    pub bytes: Bytes,
    /// Id of the last event that has one.
    pub last_id: Option<u64>,
}

/// An event exceeds the size limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLarge;

impl EventSplitter {
    /// Appends bytes; returns the events that are now complete, if any.
    ///
    /// # Errors
    ///
    /// Fails if an event exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Events>, EventTooLarge> {
        self.buf.extend_from_slice(bytes);
        // An event's end, of up to four bytes, may straddle two chunks.
        let start = self.searched.saturating_sub(3);
        let Some(end) = last_event_end(&self.buf[start..]) else {
            self.searched = self.buf.len();
            if self.buf.len() > MAX_EVENT_BYTES {
                return Err(EventTooLarge);
            }
            return Ok(None);
        };
        let complete = self.buf.split_to(start + end).freeze();
        self.searched = self.buf.len();
        Ok(Some(Events { last_id: last_id(&complete), bytes: complete }))
    }

    /// Size of the partially buffered event.
    #[must_use]
    pub fn partial_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Whether no event is partially buffered.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        self.buf.iter().all(|byte| matches!(byte, b'\r' | b'\n'))
    }
}

/// Position after the last blank line, which terminates an event.
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

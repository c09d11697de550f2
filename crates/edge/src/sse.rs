//! Splits a server-sent event stream into its `data:` payloads, with a limit on the buffered bytes.
//!
//! The chat-completions API uses only `data` lines; other fields and comments are skipped.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;

/// Size limit of a line and of one event's payload, in bytes.
pub(crate) const EVENT_LIMIT_BYTES: usize = 256 * 1024;

/// Bytes received but not yet returned.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    unread: BytesMut,
    payload: Option<BytesMut>,
}

/// A line or payload exceeds [`EVENT_LIMIT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventTooLong;

impl EventBuffer {
    /// Appends received bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.unread.extend_from_slice(bytes);
    }

    /// Returns the payload of the next complete event, if there is one.
    pub(crate) fn next_payload(&mut self) -> Result<Option<Bytes>, EventTooLong> {
        while let Some(line) = self.next_line()? {
            if line.is_empty() {
                match self.payload.take() {
                    Some(payload) => return Ok(Some(payload.freeze())),
                    None => continue,
                }
            }
            if let Some(data) = line.strip_prefix(b"data:") {
                self.append(data.strip_prefix(b" ").unwrap_or(data))?;
            }
        }
        Ok(None)
    }

    fn next_line(&mut self) -> Result<Option<Bytes>, EventTooLong> {
        let Some(end) = self.unread.iter().position(|byte| *byte == b'\n') else {
            let too_long = self.unread.len() > EVENT_LIMIT_BYTES;
            return if too_long { Err(EventTooLong) } else { Ok(None) };
        };
        if end > EVENT_LIMIT_BYTES {
            return Err(EventTooLong);
        }
        let mut line = self.unread.split_to(end);
        self.unread.advance(1);
        if line.last() == Some(&b'\r') {
            line.truncate(end - 1);
        }
        Ok(Some(line.freeze()))
    }

    fn append(&mut self, data: &[u8]) -> Result<(), EventTooLong> {
        let payload = match &mut self.payload {
            Some(payload) => {
                payload.extend_from_slice(b"\n");
                payload
            }
            None => self.payload.insert(BytesMut::new()),
        };
        if payload.len() + data.len() > EVENT_LIMIT_BYTES {
            return Err(EventTooLong);
        }
        payload.extend_from_slice(data);
        Ok(())
    }
}

//! Splits a byte stream of server-sent events into complete events without changing any byte.
//!
//! Only the id of an event is parsed. An incomplete event is never returned. A stream advances with an
//! id that is greater than all before; it is rejected after [`MAX_STREAM_BYTES_WITHOUT_ADVANCE`] of comments,
//! events without an id and repeated events, which may come without end. A stream may be silent for any
//! time.

use bytes::{Bytes, BytesMut};

/// Number of bytes after which an event without an end is rejected.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Number of bytes above which an event counts as large: its memory is worth a copy of what follows it.
pub const LARGE_EVENT_BYTES: usize = 16 << 10;

/// Number of bytes of complete events without a greater id after which a stream is rejected: as many
/// as an answer may have that is not a stream, since a stream may have no ids at all.
pub const MAX_STREAM_BYTES_WITHOUT_ADVANCE: usize = 8 << 20;

/// Number of bytes that an event without a greater id counts at least: forwarding one takes time
/// whatever its length.
pub const MIN_COUNTED_BYTES: usize = 256;

/// One complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawEvent {
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
    /// Numeric id, if the event has one.
    pub id: Option<u64>,
}

/// Error for an event, or a sequence of events without a greater id, that exceeds the size limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

/// Buffers bytes until they contain a complete event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Length of the buffer's prefix that can't contain the start of an event's end.
    searched: usize,
    greatest_id: Option<u64>,
    /// Length of the events since the one with the greatest id.
    without_advance: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes the next complete event from the buffer and returns it, if there is one.
    ///
    /// # Errors
    ///
    /// If the buffered part of an incomplete event, or a sequence of events without a greater id,
    /// exceeds the size limit.
    pub fn next_event(&mut self) -> Result<Option<RawEvent>, EventTooLong> {
        let Some(end) = self.find_end() else {
            self.searched = self.buffer.len().saturating_sub(3);
            return if self.buffer.len() > MAX_EVENT_BYTES {
                Err(EventTooLong)
            } else {
                Ok(None)
            };
        };
        self.searched = 0;
        let bytes = self.take(end);
        let id = id_of(&bytes);
        self.count(&bytes, id)?;
        Ok(Some(RawEvent { bytes, id }))
    }

    /// Removes an event from the front of the buffer. What follows a large event is copied, so that it
    /// doesn't keep the event's memory once the event is written.
    fn take(&mut self, end: usize) -> Bytes {
        if end < LARGE_EVENT_BYTES {
            return self.buffer.split_to(end).freeze();
        }
        let rest = BytesMut::from(&self.buffer[end..]);
        let mut event = std::mem::replace(&mut self.buffer, rest);
        event.truncate(end);
        event.freeze()
    }

    /// Counts an event towards the limit, or starts counting anew if its id is the greatest.
    fn count(&mut self, event: &[u8], id: Option<u64>) -> Result<(), EventTooLong> {
        if id > self.greatest_id {
            self.greatest_id = id;
            self.without_advance = 0;
            return Ok(());
        }
        self.without_advance += event.len().max(MIN_COUNTED_BYTES);
        if self.without_advance > MAX_STREAM_BYTES_WITHOUT_ADVANCE {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// Number of bytes that wait for the end of an event.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffer contains anything but white space, that is an incomplete event once
    /// [`Self::next_event`] has returned `None`.
    #[must_use]
    pub fn has_incomplete_event(&self) -> bool {
        self.buffer.iter().any(|b| !b.is_ascii_whitespace())
    }

    /// Returns the position after the next blank line.
    fn find_end(&self) -> Option<usize> {
        let buffer = &self.buffer[..];
        let mut at = self.searched;
        while at < buffer.len() {
            let rest = &buffer[at..];
            if rest.starts_with(b"\n\n") || rest.starts_with(b"\r\r") {
                return Some(at + 2);
            }
            if rest.starts_with(b"\r\n\r\n") {
                return Some(at + 4);
            }
            at += 1;
        }
        None
    }
}

/// Returns the id of an event. An id that is not a number counts as absent; such an event is still
/// forwarded.
fn id_of(event: &[u8]) -> Option<u64> {
    let lines = event.split(|b| *b == b'\n' || *b == b'\r');
    let mut id = None;
    for line in lines {
        if let Some(value) = line.strip_prefix(b"id:") {
            id = std::str::from_utf8(value)
                .ok()
                .and_then(|v| v.trim().parse().ok());
        }
    }
    id
}

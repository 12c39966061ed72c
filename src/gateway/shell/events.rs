//! Cuts a stream of bytes into whole events, without changing a byte of them.
//!
//! Only the id of an event is read. An event that was begun and not ended is never passed on.

use bytes::{Bytes, BytesMut};

/// The longest event that is taken, in bytes.
const LONGEST_EVENT: usize = 1 << 20;

/// A whole event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RawEvent {
    /// Its bytes, with the blank line that ends it.
    pub bytes: Bytes,
    /// Its id, if it has a number for one.
    pub id: Option<u64>,
}

/// The stream is not one of events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EventTooLong;

/// Collects bytes until they make an event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    ///
    /// # Errors
    ///
    /// If an event is longer than any that is taken.
    pub fn next_event(&mut self) -> Result<Option<RawEvent>, EventTooLong> {
        let Some(end) = self.find_end() else {
            self.searched = self.held.len().saturating_sub(3);
            return if self.held.len() > LONGEST_EVENT {
                Err(EventTooLong)
            } else {
                Ok(None)
            };
        };
        self.searched = 0;
        let bytes = self.held.split_to(end).freeze();
        let id = id_of(&bytes);
        Ok(Some(RawEvent { bytes, id }))
    }

    /// Whether bytes are held that make no whole event.
    #[must_use]
    pub fn has_incomplete_event(&self) -> bool {
        self.held.iter().any(|b| !b.is_ascii_whitespace())
    }

    /// The place after the next blank line.
    fn find_end(&self) -> Option<usize> {
        let held = &self.held[..];
        let mut at = self.searched;
        while at < held.len() {
            let rest = &held[at..];
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

/// The id of an event; one that is no number counts as none, and the event is passed on all the
/// same.
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

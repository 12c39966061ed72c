//! The objects in the platform's store that hold the records which this box writes.
//!
//! A write replaces an object as a whole, so the records are spread over several: segments. New
//! records go to the open segment, and a write costs as much as that one holds, however many records
//! the box keeps. A segment with [`SEGMENT_RECORDS`] is closed once it is written. A closed segment
//! whose records are all over is used again, so the number of objects doesn't grow with time.
//!
//! A record that says no more than the one that was added before is not written again.
//!
//! Input: records, and how writes ended. State: which records each segment has, and what was added.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::schema::{Micros, StreamKey, VersionId};

/// Number of records with which a segment is closed: some 4 kB.
pub const SEGMENT_RECORDS: usize = 100;
/// Time by which a record must last longer than the one that was added before: messages between
/// boxes give times to the millisecond.
const EXPIRY_SLACK: Duration = Duration::from_secs(1);

/// What was added of a stream.
#[derive(Debug)]
struct Added {
    version: VersionId,
    expires: Micros,
}

#[derive(Debug, Default)]
struct Segment {
    streams: BTreeSet<StreamKey>,
    /// When the last of its records ends.
    ends: Micros,
    /// Whether its object is in the store.
    is_created: bool,
}

/// A write of the open segment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SegmentWrite {
    /// Number of the segment among those of this box.
    pub number: usize,
    /// The streams whose records it holds.
    pub streams: Vec<StreamKey>,
    /// Whether the object has to be created.
    pub is_first: bool,
}

/// The segments of a box.
#[derive(Debug)]
pub struct Segments {
    all: Vec<Segment>,
    open: usize,
    added: BTreeMap<StreamKey, Added>,
    /// Streams whose records are in no segment yet, and when those end.
    pending: BTreeMap<StreamKey, Micros>,
    /// Whether the last write failed.
    has_failed: bool,
}

impl Default for Segments {
    fn default() -> Self {
        Self {
            all: vec![Segment::default()],
            open: 0,
            added: BTreeMap::new(),
            pending: BTreeMap::new(),
            has_failed: false,
        }
    }
}

impl Segments {
    /// Adds a record to the next write, unless it says no more than before.
    pub fn add(&mut self, stream: StreamKey, version: &VersionId, expires: Micros) {
        let is_known = self.added.get(&stream).is_some_and(|added| {
            added.version == *version && expires <= added.expires.after(EXPIRY_SLACK)
        });
        if is_known {
            return;
        }
        let version = version.clone();
        self.added.insert(stream, Added { version, expires });
        self.pending.insert(stream, expires);
    }

    /// Whether there is something to write.
    #[must_use]
    pub fn is_due(&self) -> bool {
        self.has_failed || !self.pending.is_empty()
    }

    /// Moves the pending records to the open segment, for a write of it.
    pub fn begin_write(&mut self) -> SegmentWrite {
        let segment = &mut self.all[self.open];
        for (stream, expires) in std::mem::take(&mut self.pending) {
            segment.streams.insert(stream);
            segment.ends = segment.ends.max(expires);
        }
        self.has_failed = false;
        SegmentWrite {
            number: self.open,
            streams: segment.streams.iter().copied().collect(),
            is_first: !std::mem::replace(&mut segment.is_created, true),
        }
    }

    /// Handles the end of a write.
    pub fn on_written(&mut self, is_saved: bool, now: Micros) {
        let segment = &mut self.all[self.open];
        if !is_saved {
            self.has_failed = true;
            segment.is_created = false;
        } else if segment.streams.len() >= SEGMENT_RECORDS {
            self.open_next(now);
        }
    }

    /// Opens a segment whose records are all over, or a further one.
    fn open_next(&mut self, now: Micros) {
        self.added.retain(|_, added| now < added.expires);
        let over = self.all.iter().position(|s| s.ends <= now);
        self.open = over.unwrap_or(self.all.len());
        match self.all.get_mut(self.open) {
            Some(segment) => segment.streams.clear(),
            None => self.all.push(Segment::default()),
        }
    }
}

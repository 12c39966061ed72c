//! The records of which version began which stream, as far as this box has them.
//!
//! A box has records of the streams that it serves, of those that other boxes gave it to hold, and of
//! those that it looked up. A record ends when the caller can't come back any more. The number of
//! records is bounded; the one that ends first is dropped for a new one, and counted.

use std::collections::{BTreeSet, HashMap};

use crate::schema::{Micros, StreamKey, VersionId};

/// Most records of a box: at some 100 bytes each 2 MB, and some hundred times what a box of a large
/// fleet holds.
pub const MAX_RECORDS: usize = 20_000;

/// Why a box has a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordUse {
    /// The box serves the stream.
    Own,
    /// Another box gave it the record to hold, or answered a query.
    Held,
    /// It writes the record to the store for its failure domain.
    ForStore,
}

/// A record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldRecord {
    /// The version that began the stream.
    pub version: VersionId,
    /// When the stream was last sent to an engine of the version.
    pub sent_at: Micros,
    /// When the caller can't come back any more.
    pub expires: Micros,
    /// Whether the box serves the stream, or served it last.
    pub is_own: bool,
    /// Whether the box writes it to the store.
    pub is_for_store: bool,
}

/// The records of a box.
#[derive(Debug, Default)]
pub struct StreamBook {
    records: HashMap<StreamKey, HeldRecord>,
    by_expiry: BTreeSet<(Micros, StreamKey)>,
    forgotten: u64,
}

impl StreamBook {
    /// Adds a record, or replaces the one of the same stream.
    pub fn insert(
        &mut self,
        stream: StreamKey,
        version: &VersionId,
        sent_at: Micros,
        expires: Micros,
        reason: RecordUse,
    ) {
        let known = self.take(stream);
        let is_own = reason == RecordUse::Own || known.as_ref().is_some_and(|k| k.is_own);
        let is_for_store =
            reason == RecordUse::ForStore || known.as_ref().is_some_and(|k| k.is_for_store);
        let record = HeldRecord {
            version: version.clone(),
            sent_at,
            expires,
            is_own,
            is_for_store,
        };
        self.records.insert(stream, record);
        self.by_expiry.insert((expires, stream));
        if self.records.len() > MAX_RECORDS {
            self.forgotten += 1;
            self.drop_first();
        }
    }

    fn take(&mut self, stream: StreamKey) -> Option<HeldRecord> {
        let record = self.records.remove(&stream)?;
        self.by_expiry.remove(&(record.expires, stream));
        Some(record)
    }

    fn drop_first(&mut self) {
        if let Some((_, stream)) = self.by_expiry.pop_first() {
            self.records.remove(&stream);
        }
    }

    /// The record of a stream, unless its time is over.
    #[must_use]
    pub fn get(&self, stream: StreamKey, now: Micros) -> Option<&HeldRecord> {
        let record = self.records.get(&stream);
        record.filter(|record| now < record.expires)
    }

    /// Removes the record of a stream.
    pub fn remove(&mut self, stream: StreamKey) {
        self.take(stream);
    }

    /// Drops the records whose time is over.
    pub fn expire(&mut self, now: Micros) {
        while self
            .by_expiry
            .first()
            .is_some_and(|(expires, _)| *expires <= now)
        {
            self.drop_first();
        }
    }

    /// The streams that this box serves, or served last.
    #[must_use]
    pub fn own(&self) -> Vec<StreamKey> {
        let own = self.records.iter().filter(|(_, record)| record.is_own);
        let mut own: Vec<StreamKey> = own.map(|(stream, _)| *stream).collect();
        own.sort_unstable();
        own
    }

    /// Number of records.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the number of records that were dropped for want of room, and resets it.
    pub fn take_forgotten(&mut self) -> u64 {
        std::mem::take(&mut self.forgotten)
    }
}

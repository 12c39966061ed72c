//! Records in the platform's store, so that callers can come back after the loss of all boxes.
//!
//! In each failure domain the first box that watches the store collects the records of the domain and
//! writes them, new ones at a time ([`super::segments`]). The others send it theirs in batches; the
//! more boxes there are, the longer a batch. A larger write delays the next one
//! ([`BYTES_PER_SECOND`]), and so does each failed one. A stream that began since the last write is
//! not in the store.
//!
//! Boxes that watch the store read it for others, and only when no box has the record of a stream.
//! A service that has several versions is marked there as well. Where the list names one version and
//! there is no mark, the service has had only that.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::book::RecordUse;
use super::segments::Segments;
use crate::backoff::doubled;
use crate::gateway::dispatch::Dispatcher;
use crate::gateway::dispatch::action::Action;
use crate::schema::{Micros, StreamKey, StreamQuery, StreamRecord, VersionId};

/// Shortest time for which records are collected before they are sent to the box that writes them.
const MIN_BATCH: Duration = Duration::from_millis(25);
/// The same for each box of the failure domain: the box that writes gets 200 messages a second at most.
const BATCH_PER_BOX: Duration = Duration::from_millis(5);
/// Shortest time between two writes: all boxes share the rate of calls that the store takes.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// How often [`MIN_WRITE_INTERVAL`] is doubled at most while writes fail.
const MAX_WRITE_DOUBLINGS: u32 = 2;
/// Bytes a second that a box writes at most.
const BYTES_PER_SECOND: f64 = 10_000.0;
/// Size of a record in the store, about.
const RECORD_BYTES: f64 = 40.0;
/// Shortest time between two reads of the store.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Most queries that wait for a read.
const MAX_WAITING_QUERIES: usize = 1_000;

/// A query that waits for the store; without an address it is this box's own.
type WaitingQuery = (StreamQuery, Option<SocketAddr>);

/// The last read of the store's records.
#[derive(Clone, Copy, Debug, Default)]
enum ReadState {
    /// There was none.
    #[default]
    Never,
    /// It goes on.
    Reading,
    /// It ended at this time.
    Done(Micros),
}

/// What this box writes to the store, and reads there.
#[derive(Debug, Default)]
pub(super) struct StoreState {
    /// Streams whose records are to be sent to the box that writes them.
    unsaved: BTreeSet<StreamKey>,
    send_at: Option<Micros>,
    /// The box that wrote records last, as far as this box knows.
    writer: Option<SocketAddr>,
    segments: Segments,
    is_writing: bool,
    next_write: Micros,
    /// Writes that failed one after the other.
    failed_writes: u32,
    read: ReadState,
    waiting: Vec<WaitingQuery>,
}

impl StoreState {
    /// Notes that a read began.
    pub fn begin_read(&mut self) {
        self.read = ReadState::Reading;
    }
}

fn write_interval(records: usize) -> Duration {
    let time = records as f64 * RECORD_BYTES / BYTES_PER_SECOND;
    MIN_WRITE_INTERVAL.max(Duration::from_secs_f64(time))
}

impl Dispatcher {
    /// The boxes of the own failure domain that watch the store, this one left out.
    pub(super) fn local_watchers(&self) -> Vec<SocketAddr> {
        let me = self.cfg.address;
        let watchers = self.watchers_in_order();
        watchers.into_iter().filter(|a| *a != me).collect()
    }

    /// Whether this box writes the records of its failure domain.
    pub(super) fn is_store_writer(&self) -> bool {
        self.store_watchers.is_watching()
            && self.watchers_in_order().first() == Some(&self.cfg.address)
    }

    fn watchers_in_order(&self) -> Vec<SocketAddr> {
        let roster = self.peers.roster();
        let watchers = self
            .store_watchers
            .watchers_of(&self.cfg.domain, self.now)
            .into_iter();
        let addresses = watchers.filter_map(|watcher| watcher.address.parse().ok());
        addresses
            .filter(|address| !roster.is_lost(*address, self.now))
            .collect()
    }

    /// Schedules a record to be written to the store.
    pub(super) fn save_soon(&mut self, stream: StreamKey) {
        let (boxes, _) = self.known_boxes();
        let batch = MIN_BATCH.max(BATCH_PER_BOX * boxes as u32);
        let at = self.now.after(batch);
        let store = &mut self.stream_versions.store;
        store.unsaved.insert(stream);
        store.send_at.get_or_insert(at);
    }

    /// Sends collected records to the box that writes them, and writes those of this domain if that is
    /// this box.
    pub(super) fn write_records_if_due(&mut self) {
        if is_due(self.stream_versions.store.send_at, self.now) {
            self.send_unsaved();
        }
        let store = &self.stream_versions.store;
        let is_free = store.segments.is_due() && !store.is_writing && self.now >= store.next_write;
        if is_free && self.store_watchers.is_watching() {
            self.write_segment();
        }
    }

    fn write_segment(&mut self) {
        let now = self.now;
        let state = &mut self.stream_versions;
        let write = state.store.segments.begin_write();
        let records = write.streams.into_iter().filter_map(|stream| {
            let record = state.book.get(stream, now)?;
            Some(StreamRecord {
                stream,
                version: record.version.clone(),
                age_ms: 0,
                keep_ms: record.expires.since(now).as_millis() as u32,
            })
        });
        let records: Vec<StreamRecord> = records.collect();
        state.store.is_writing = true;
        state.store.next_write = now.after(write_interval(records.len()));
        let (me, incarnation) = (&self.cfg.me, self.cfg.incarnation.0);
        self.actions.push(Action::SaveStreams {
            records,
            name: format!("{}.{incarnation}.{}", **me, write.number),
            is_first: write.is_first,
        });
    }

    /// Keeps a record that this box writes to the store for its failure domain.
    pub(super) fn keep_for_store(
        &mut self,
        stream: StreamKey,
        version: &VersionId,
        sent_at: Micros,
        expires: Micros,
    ) {
        let state = &mut self.stream_versions;
        let reason = RecordUse::ForStore;
        state.book.insert(stream, version, sent_at, expires, reason);
        state.store.segments.add(stream, version, expires);
    }

    fn send_unsaved(&mut self) {
        let writer = self.watchers_in_order().first().copied();
        let store = &mut self.stream_versions.store;
        store.send_at = None;
        let mut streams: Vec<StreamKey> = std::mem::take(&mut store.unsaved).into_iter().collect();
        let Some(writer) = writer else {
            return;
        };
        if store.writer.replace(writer) != Some(writer) {
            // A box that begins to write has none of the earlier records.
            streams = self.stream_versions.book.own();
            self.stream_versions.next_marks = self.now;
        }
        if writer != self.cfg.address {
            self.send_for_store(writer, &streams);
            return;
        }
        for stream in streams {
            if let Some(record) = self.stream_versions.book.get(stream, self.now).cloned() {
                self.keep_for_store(stream, &record.version, record.sent_at, record.expires);
            }
        }
    }

    /// Handles the end of a write.
    pub(in crate::gateway::dispatch) fn on_streams_saved(&mut self, is_saved: bool) {
        let store = &mut self.stream_versions.store;
        store.is_writing = false;
        store.segments.on_written(is_saved, self.now);
        if is_saved {
            store.failed_writes = 0;
            return;
        }
        store.failed_writes += 1;
        let pause = doubled(MIN_WRITE_INTERVAL, store.failed_writes, MAX_WRITE_DOUBLINGS);
        store.next_write = store.next_write.max(self.now.after(pause));
    }

    /// Reads the store's records for a query, if this box watches the store.
    pub(super) fn read_store_for(&mut self, query: &StreamQuery, reply_to: Option<SocketAddr>) {
        if !self.store_watchers.is_watching() {
            return;
        }
        let now = self.now;
        let store = &mut self.stream_versions.store;
        let waiting = (query.clone(), reply_to);
        if store.waiting.len() < MAX_WAITING_QUERIES && !store.waiting.contains(&waiting) {
            store.waiting.push(waiting);
        }
        match store.read {
            ReadState::Reading => {}
            ReadState::Done(at) if now.since(at) < READ_INTERVAL => self.answer_waiting(false),
            ReadState::Never | ReadState::Done(_) => self.read_stored_streams(),
        }
    }

    /// Handles the records that the store has.
    pub(in crate::gateway::dispatch) fn on_streams_read(&mut self, records: &[StreamRecord]) {
        let mut records = records.to_vec();
        // The youngest record of a stream comes first, and counts.
        records.sort_by_key(|record| record.age_ms);
        let state = &mut self.stream_versions;
        state.store.read = ReadState::Done(self.now);
        if !self.cfg.first_start {
            state.before_start.on_read(&records);
        }
        for record in &records {
            if self
                .stream_versions
                .book
                .get(record.stream, self.now)
                .is_none()
            {
                self.hold(record, RecordUse::Held);
            }
        }
        self.apply_marks();
        self.answer_waiting(true);
    }

    /// Answers the queries that waited for the store; `is_read` means that it was read for them.
    fn answer_waiting(&mut self, is_read: bool) {
        for (query, reply_to) in std::mem::take(&mut self.stream_versions.store.waiting) {
            let stream = query.stream;
            if is_read {
                self.confirm_sole_version(&query);
            }
            let is_known = self.stream_versions.book.get(stream, self.now).is_some();
            let is_sole = self.has_sole_version(&query.service);
            match reply_to {
                Some(to) if is_known => self.answer_known(to, stream),
                Some(to) if is_sole => self.answer_sole(to, stream),
                Some(to) => self.answer_unknown(to, stream),
                None if is_known => self.on_version_known(stream),
                None if is_sole => self.on_sole_version(stream),
                None => self.on_version_unknown(stream),
            }
        }
    }

    fn confirm_sole_version(&mut self, query: &StreamQuery) {
        let state = &mut self.stream_versions;
        let mark = StreamKey::mark_of(&query.service);
        let is_marked = state.book.get(mark, self.now).is_some();
        let is_sole = state
            .history
            .is_sole(&query.service, state.lifetime, self.now);
        let is_listed = state.history.any_version(&query.service).is_some();
        if is_sole && is_listed && !is_marked {
            state.confirmed.insert(query.service.clone());
        }
    }
}

fn is_due(at: Option<Micros>, now: Micros) -> bool {
    at.is_some_and(|at| now >= at)
}

//! Records, queries and answers between boxes.
//!
//! Messages are datagrams and may be lost. A record goes out with the first event, with each further
//! attempt, and at intervals, so that one that is lost or a holder that was replaced matters little. Records for one box that are due at the same time share a message.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::book::RecordUse;
use crate::gateway::dispatch::Dispatcher;
use crate::gateway::dispatch::action::Action;
use crate::schema::{StreamKey, StreamQuery, StreamRecord, StreamUpdate, VersionId};

/// Most records of a message, so that it fits into one packet.
const MAX_RECORDS_SENT: usize = 40;

fn whole_millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

impl Dispatcher {
    fn empty_stream_update(&self) -> StreamUpdate {
        StreamUpdate {
            from: self.cfg.me.clone(),
            reply_to: self.cfg.address.to_string(),
            is_passed_on: true,
            is_for_store: false,
            records: Vec::new(),
            queries: Vec::new(),
            answers: Vec::new(),
            presumed: Vec::new(),
            unknown: Vec::new(),
            sole: Vec::new(),
        }
    }

    fn send_stream_update(&mut self, to: SocketAddr, update: StreamUpdate) {
        self.actions.push(Action::PublishStreams { to, update });
    }

    fn stream_record(&self, stream: StreamKey) -> Option<StreamRecord> {
        let record = self.stream_versions.book.get(stream, self.now)?;
        Some(StreamRecord {
            stream,
            version: record.version.clone(),
            age_ms: whole_millis(self.now.since(record.sent_at)),
            keep_ms: whole_millis(record.expires.since(self.now)),
        })
    }

    /// Sends the records of all streams that this box serves or served to their holders.
    pub(super) fn publish_own_records(&mut self) {
        let own = self.stream_versions.book.own();
        self.publish_records(&own);
    }

    /// Sends records to their holders.
    pub(super) fn publish_records(&mut self, streams: &[StreamKey]) {
        let mut local: BTreeMap<SocketAddr, Vec<StreamRecord>> = BTreeMap::new();
        let mut remote: BTreeMap<SocketAddr, Vec<StreamRecord>> = BTreeMap::new();
        for stream in streams {
            let Some(record) = self.stream_record(*stream) else {
                continue;
            };
            for address in self.local_holders(*stream) {
                local.entry(address).or_default().push(record.clone());
            }
            if let Some(address) = self.remote_holder(*stream) {
                remote.entry(address).or_default().push(record);
            }
            self.save_soon(*stream);
        }
        self.send_records(local, true);
        self.send_records(remote, false);
    }

    fn send_records(
        &mut self,
        by_receiver: BTreeMap<SocketAddr, Vec<StreamRecord>>,
        is_passed_on: bool,
    ) {
        for (to, records) in by_receiver {
            for records in records.chunks(MAX_RECORDS_SENT) {
                self.stream_versions.sent += records.len() as u64;
                let update = StreamUpdate {
                    is_passed_on,
                    records: records.to_vec(),
                    ..self.empty_stream_update()
                };
                self.send_stream_update(to, update);
            }
        }
    }

    /// Sends records to the box that writes them to the store.
    pub(super) fn send_for_store(&mut self, to: SocketAddr, streams: &[StreamKey]) {
        for streams in streams.chunks(MAX_RECORDS_SENT) {
            let records = streams.iter().filter_map(|s| self.stream_record(*s));
            let update = StreamUpdate {
                is_for_store: true,
                records: records.collect(),
                ..self.empty_stream_update()
            };
            self.stream_versions.sent += update.records.len() as u64;
            self.send_stream_update(to, update);
        }
    }

    /// Asks the boxes that may hold a record; `also_store` asks the boxes that watch the store too.
    pub(super) fn ask_holders(&mut self, query: &StreamQuery, also_store: bool) {
        let mut local = self.local_holders(query.stream);
        if also_store {
            local.extend(self.local_watchers());
            local.sort_unstable();
            local.dedup();
            self.read_store_for(query, None);
        }
        let remote = self.remote_candidates(query.stream);
        let receivers = local.into_iter().map(|to| (to, true));
        let receivers = receivers.chain(remote.into_iter().map(|to| (to, false)));
        for (to, is_passed_on) in receivers.collect::<Vec<_>>() {
            let update = StreamUpdate {
                is_passed_on,
                queries: vec![query.clone()],
                ..self.empty_stream_update()
            };
            self.send_stream_update(to, update);
        }
    }

    /// Handles a message about streams from another box.
    pub(in crate::gateway::dispatch) fn on_peer_streams(&mut self, update: &StreamUpdate) {
        let reason = if update.is_for_store {
            RecordUse::ForStore
        } else {
            RecordUse::Held
        };
        for record in update.records.iter().chain(&update.answers) {
            self.hold(record, reason);
        }
        if !update.is_passed_on {
            self.pass_on_records(&update.records);
        }
        // A query without a readable address is dropped; the box that asks asks again.
        if let Ok(reply_to) = update.reply_to.parse() {
            for query in &update.queries {
                self.on_stream_query(query, reply_to, update.is_passed_on);
            }
        }
        for record in &update.answers {
            self.on_version_known(record.stream);
        }
        for record in &update.presumed {
            self.on_version_presumed(record.stream, &record.version);
        }
        for stream in &update.sole {
            self.on_sole_version(*stream);
        }
        for stream in &update.unknown {
            self.on_version_unknown(*stream);
        }
    }

    pub(super) fn hold(&mut self, record: &StreamRecord, reason: RecordUse) {
        let sent_at = self.now.before(Duration::from_millis(record.age_ms.into()));
        let expires = self.now.after(Duration::from_millis(record.keep_ms.into()));
        let (stream, version) = (record.stream, &record.version);
        if reason == RecordUse::ForStore {
            self.keep_for_store(stream, version, sent_at, expires);
            return;
        }
        let book = &mut self.stream_versions.book;
        book.insert(stream, version, sent_at, expires, reason);
    }

    /// Sends records of another failure domain to their holders in this one.
    fn pass_on_records(&mut self, records: &[StreamRecord]) {
        let mut by_receiver: BTreeMap<SocketAddr, Vec<StreamRecord>> = BTreeMap::new();
        for record in records {
            for address in self.local_holders(record.stream) {
                by_receiver.entry(address).or_default().push(record.clone());
            }
        }
        self.send_records(by_receiver, true);
    }

    fn on_stream_query(&mut self, query: &StreamQuery, reply_to: SocketAddr, is_passed_on: bool) {
        if let Some(record) = self.stream_record(query.stream) {
            let update = StreamUpdate {
                answers: vec![record],
                ..self.empty_stream_update()
            };
            self.send_stream_update(reply_to, update);
            return;
        }
        if self.has_sole_version(&query.service) {
            self.answer_sole(reply_to, query.stream);
            return;
        }
        let presumed = self.presumed_version(&query.service);
        let presumed = presumed.or_else(|| self.version_before_start(&query.service));
        if let Some(version) = presumed.cloned() {
            self.answer_presumed(reply_to, query.stream, version);
        }
        if !is_passed_on {
            self.pass_on_query(query, reply_to);
        } else if self.store_watchers.is_watching() {
            self.read_store_for(query, Some(reply_to));
        }
    }

    fn pass_on_query(&mut self, query: &StreamQuery, reply_to: SocketAddr) {
        for to in self.local_holders(query.stream) {
            let update = StreamUpdate {
                reply_to: reply_to.to_string(),
                queries: vec![query.clone()],
                ..self.empty_stream_update()
            };
            self.send_stream_update(to, update);
        }
    }

    /// Tells a box that the service of a stream has had one version only.
    pub(super) fn answer_sole(&mut self, to: SocketAddr, stream: StreamKey) {
        let update = StreamUpdate {
            sole: vec![stream],
            ..self.empty_stream_update()
        };
        self.send_stream_update(to, update);
    }

    /// Tells a box the only version that can have begun a stream of which there is no record.
    fn answer_presumed(&mut self, to: SocketAddr, stream: StreamKey, version: VersionId) {
        let record = StreamRecord {
            stream,
            version,
            age_ms: 0,
            keep_ms: 0,
        };
        let update = StreamUpdate {
            presumed: vec![record],
            ..self.empty_stream_update()
        };
        self.send_stream_update(to, update);
    }

    /// Tells a box that neither this one nor the store knows a stream.
    pub(super) fn answer_unknown(&mut self, to: SocketAddr, stream: StreamKey) {
        let update = StreamUpdate {
            unknown: vec![stream],
            ..self.empty_stream_update()
        };
        self.send_stream_update(to, update);
    }

    /// Answers a query with the record that the store had.
    pub(super) fn answer_known(&mut self, to: SocketAddr, stream: StreamKey) {
        let answers = self.stream_record(stream).into_iter().collect();
        let update = StreamUpdate {
            answers,
            ..self.empty_stream_update()
        };
        self.send_stream_update(to, update);
    }
}

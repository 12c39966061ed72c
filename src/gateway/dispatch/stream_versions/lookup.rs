//! Callers that wait until the version that began their stream is known.
//!
//! The box asks the boxes that may hold the record ([`super::holders`]). A datagram may be lost, and
//! all holders may have been killed; so after [`ASK_AGAIN_AFTER`] it asks again, and the boxes that
//! watch the store for its failure domain as well, which read the records there. The first record
//! decides. Without one the caller is refused [`HOLDERS_ANSWER_WITHIN`] if a watcher says that the store has none, or after [`LOOKUP_TIMEOUT`].

use std::time::Duration;

use super::VersionSource;
use crate::gateway::dispatch::Dispatcher;
use crate::gateway::dispatch::event::RequestNumber;
use crate::schema::{Micros, ServiceId, StreamKey, StreamQuery, VersionId};

/// Time after which a query is repeated: several round trips between failure domains.
pub const ASK_AGAIN_AFTER: Duration = Duration::from_millis(40);
/// Time after which a stream that the store doesn't have counts as unknown: holders have answered by
/// then.
pub const HOLDERS_ANSWER_WITHIN: Duration = Duration::from_millis(150);
/// Time after which any stream counts as unknown: longer than a slow store takes for a list.
pub const LOOKUP_TIMEOUT: Duration = Duration::from_millis(700);

/// A look-up in progress.
#[derive(Clone, Debug)]
pub(super) struct Lookup {
    pub query: StreamQuery,
    started: Micros,
    next_ask: Micros,
    /// Whether the store has no record of the stream.
    is_not_stored: bool,
    /// The only version that can have begun the stream if there is no record, by a box that is certain.
    presumed: Option<VersionId>,
}

impl Lookup {
    fn is_over(&self, now: Micros) -> bool {
        let limit = if self.is_not_stored {
            HOLDERS_ANSWER_WITHIN
        } else {
            LOOKUP_TIMEOUT
        };
        now.since(self.started) >= limit
    }
}

impl Dispatcher {
    pub(super) fn start_lookup(
        &mut self,
        number: RequestNumber,
        stream: StreamKey,
        service: ServiceId,
    ) {
        let query = StreamQuery { stream, service };
        let lookup = Lookup {
            query: query.clone(),
            started: self.now,
            next_ask: self.now.after(ASK_AGAIN_AFTER),
            is_not_stored: false,
            presumed: None,
        };
        self.stream_versions.lookups.insert(number, lookup);
        self.ask_holders(&query, false);
    }

    /// Repeats queries, and ends look-ups without an answer.
    pub(super) fn check_lookups(&mut self) {
        let now = self.now;
        let requests = &self.requests;
        let lookups = &mut self.stream_versions.lookups;
        lookups.retain(|number, _| requests.contains_key(number));
        let mut due = Vec::new();
        let mut expired = Vec::new();
        for (number, lookup) in lookups.iter_mut() {
            if lookup.is_over(now) {
                expired.push(*number);
            } else if now >= lookup.next_ask {
                lookup.next_ask = now.after(ASK_AGAIN_AFTER * 4);
                due.push(lookup.query.clone());
            }
        }
        for query in due {
            self.ask_holders(&query, true);
        }
        for number in expired {
            let lookup = self.stream_versions.lookups.remove(&number);
            self.on_no_record(number, lookup.and_then(|lookup| lookup.presumed));
        }
    }

    fn waiting_for(&self, stream: StreamKey) -> Vec<RequestNumber> {
        let lookups = self.stream_versions.lookups.iter();
        let waiting = lookups.filter(|(_, lookup)| lookup.query.stream == stream);
        waiting.map(|(number, _)| *number).collect()
    }

    /// Goes on with the requests that waited for the record of a stream, which has come.
    pub(super) fn on_version_known(&mut self, stream: StreamKey) {
        for number in self.waiting_for(stream) {
            self.stream_versions.lookups.remove(&number);
            if self.bind_by_record(number, VersionSource::Peer) {
                self.place_admitted(number);
            }
        }
    }

    /// Notes the version that must have begun a stream of which there is no record.
    pub(super) fn on_version_presumed(&mut self, stream: StreamKey, version: &VersionId) {
        for number in self.waiting_for(stream) {
            if let Some(lookup) = self.stream_versions.lookups.get_mut(&number) {
                lookup.presumed = Some(version.clone());
            }
        }
    }

    /// Notes that neither a watcher nor the store has the record of a stream.
    pub(super) fn on_version_unknown(&mut self, stream: StreamKey) {
        for number in self.waiting_for(stream) {
            if let Some(lookup) = self.stream_versions.lookups.get_mut(&number) {
                lookup.is_not_stored = true;
            }
        }
    }

    /// Handles the word of a certain box that the service of a stream has had one version only.
    pub(super) fn on_sole_version(&mut self, stream: StreamKey) {
        for number in self.waiting_for(stream) {
            let Some(service) = self.requests.get(&number).map(|r| r.service.clone()) else {
                continue;
            };
            let (history, lifetime) =
                (&self.stream_versions.history, self.stream_versions.lifetime);
            // This box knows better where its own list names another version.
            if !history.is_sole(&service, lifetime, self.now) {
                continue;
            }
            self.stream_versions.lookups.remove(&number);
            self.stream_versions.confirmed.insert(service);
            self.record_version(number, None, VersionSource::Sole, None);
            self.bind_sole_version(number);
            self.place_admitted(number);
        }
    }
}

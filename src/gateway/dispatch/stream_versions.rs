//! Streams go on only at the software version that began them.
//!
//! Engines of several versions may serve a service side by side, and what two versions write doesn't
//! fit together. The first event that is passed to the caller binds a stream to the version of the
//! engine that made it. [`Dispatcher::rules_for`] admits only that version from then on, for each
//! attempt, replica and snapshot, and for the search for a prompt.
//!
//! A caller that comes back names the attempt that brought its first event. Any box has to know the
//! version then, also if the box that began the stream is lost:
//!
//! | what | module |
//! |---|---|
//! | which versions a service has, and had as long as streams last | [`history`] |
//! | whether this box would know of all of them | `certainty` |
//! | which version began a stream, at this box | [`book`] |
//! | which boxes hold the record of a stream besides | [`holders`] |
//! | records, queries and answers between boxes | `exchange` |
//! | callers that wait until the version is known | [`lookup`] |
//! | records in the platform's store, for the loss of all boxes | `store` |
//! | the objects that hold them | [`segments`] |
//! | the only versions of services before the loss of all boxes | `before_start` |
//!
//! While a service has one version only, and this box can be certain of that, nothing is sent and
//! nothing is looked up. A box that can't be certain ([`Dispatcher::is_certain`]) acts as if the
//! service had several. A stream whose version nobody knows is refused and not begun at a guess, since
//! a joined stream is wrong without its caller's knowledge. docs/design/stream-versions.md discusses
//! the alternatives.

mod before_start;
pub mod book;
mod certainty;
mod exchange;
pub mod history;
pub mod holders;
mod ids;
pub mod lookup;
pub mod segments;
mod store;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Dispatcher;
use super::event::{Arrival, AttemptNumber, EndpointSpec, RequestNumber};
use super::fleet::{Endpoint, Fleet};
use super::record::Record;
use super::refusal::RefusalReason;
use super::request::{Request, millis};
use super::table::{RouteKind, RoutingTable};
use crate::rendezvous;
use crate::schema::{Micros, ServiceId, StartTime, StreamKey, VersionId};
use before_start::BeforeStart;
use book::{RecordUse, StreamBook};
use history::VersionHistory;
use lookup::Lookup;
use store::StoreState;

/// Time after the deadline of a stream in which its caller may still come back, for clocks and
/// messages that are late.
const RETURN_SLACK: Duration = Duration::from_secs(5);
/// Time after a process pause in which the endpoint list may be out of date.
const PAUSE_RECOVERY: Duration = Duration::from_millis(1_500);
/// Time between two publications of the record of a stream that runs: holders may have been replaced.
const RENEW_INTERVAL: Duration = Duration::from_secs(10);

/// How this box knows which version began a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionSource {
    /// This box had the record.
    Book,
    /// Another box, or the store through it, sent the record.
    Peer,
    /// The service has had one version only.
    Sole,
    /// There is no record, and the other versions are too new.
    Settled,
    /// Nobody has a record.
    Unknown,
}

impl VersionSource {
    /// The word in the decision log and the metric's label.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::Book => "book",
            Self::Peer => "peer",
            Self::Sole => "sole",
            Self::Settled => "settled",
            Self::Unknown => "unknown",
        }
    }
}

/// Counts since they were last read.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StreamVersionCounts {
    /// Records that this box sent to others, renewals included.
    pub sent: u64,
    /// Records that this box dropped for want of room.
    pub forgotten: u64,
    /// Records that this box holds now.
    pub held: usize,
}

/// What a box knows of the versions of services and streams.
#[derive(Debug, Default)]
pub(super) struct StreamVersions {
    pub history: VersionHistory,
    book: StreamBook,
    lookups: BTreeMap<RequestNumber, Lookup>,
    /// Services of which a peer or the store has confirmed that they had one version only, after a
    /// restart of this box.
    confirmed: BTreeSet<ServiceId>,
    /// Until when the list may be out of date, after a process pause.
    doubtful_until: Micros,
    /// When the list last may have been out of date for longer than lists take to reach all boxes.
    last_doubt: Micros,
    is_isolated: bool,
    /// Services that have several versions since a moment ago, and when the store is told.
    mark_mixed_at: BTreeMap<ServiceId, Micros>,
    /// When the marks of services with several versions are due again.
    next_marks: Micros,
    /// How long a stream may last, its caller's returns included.
    lifetime: Duration,
    store: StoreState,
    before_start: BeforeStart,
    /// Only versions that this box wrote to the store, and when each is written again.
    saved_sole: BTreeMap<ServiceId, (VersionId, Micros)>,
    sent: u64,
}

impl StreamVersions {
    /// Handles a process pause, in which a new version may have appeared.
    pub fn on_process_pause(&mut self, now: Micros) {
        self.doubtful_until = now.after(PAUSE_RECOVERY);
    }

    /// Whether the version of the stream that a request continues is looked up.
    pub fn is_looked_up(&self, number: RequestNumber) -> bool {
        self.lookups.contains_key(&number)
    }

    /// Applies a routing table: the longest time-out of its streams is how long versions matter.
    pub fn on_table(&mut self, table: &RoutingTable) {
        let streams = table.routes().filter(|route| route.kind.is_stream());
        let longest = streams.map(|route| route.timeout).max();
        self.lifetime = longest.unwrap_or_default().saturating_add(RETURN_SLACK);
    }
}

/// Whether an event binds a request to a version: it is a stream that may go on elsewhere.
fn is_bindable(request: &Request) -> bool {
    request.engine.is_some() && request.route.kind == RouteKind::Stream { resumable: true }
}

/// A number from 0 up to 1 that depends only on the stream, for choices that all its attempts share.
pub(super) fn stream_draw(arrival: &Arrival) -> f64 {
    let began = arrival.resumes.as_ref().unwrap_or(&arrival.id);
    rendezvous::item(began) as f64 / (u64::MAX as f64 + 1.0)
}

/// Whether no engine of a version takes work, and none whose version is not known yet.
fn is_gone(fleet: &Fleet, service: &ServiceId, version: &VersionId) -> bool {
    let mut usable = fleet.of_service(service).filter(|e| fleet.takes_work(e));
    !usable.any(|e| e.spec.version == *version || e.spec.version.is_unlisted())
}

impl Dispatcher {
    /// The key of the stream that a request begins or continues.
    fn stream_key(request: &Request) -> StreamKey {
        let arrival = &request.arrival;
        let began = arrival.resumes.as_ref().unwrap_or(&arrival.id);
        let owner = request.key_owner.as_ref();
        StreamKey::new(&request.service, owner.map(|o| &o.organisation), began)
    }

    /// Decides whether an arrived request may be placed now. One that goes on with a stream waits
    /// until the version that began the stream is known, or is refused.
    pub(super) fn find_version(&mut self, number: RequestNumber) -> bool {
        let Some(request) = self.requests.get(&number) else {
            return false;
        };
        let continues = request.arrival.resumes.is_some() || request.last_event.is_some();
        if !is_bindable(request) || !continues {
            return true;
        }
        let (key, service) = (Self::stream_key(request), request.service.clone());
        if self.has_sole_version(&service) {
            self.bind_sole_version(number);
            return true;
        }
        if request.arrival.resumes.is_none() {
            return self.admit_unnamed(number, &service);
        }
        if self.stream_versions.book.get(key, self.now).is_some() {
            return self.bind_by_record(number, VersionSource::Book);
        }
        self.start_lookup(number, key, service);
        false
    }

    /// Binds a request to the only version that its service has.
    fn bind_sole_version(&mut self, number: RequestNumber) {
        if let Some(request) = self.requests.get_mut(&number) {
            let history = &self.stream_versions.history;
            request.version = history.any_version(&request.service).cloned();
        }
    }

    /// Decides whether a request may be placed that goes on with a stream without naming the attempt
    /// that began it: only while this box knows of one version.
    fn admit_unnamed(&mut self, number: RequestNumber, service: &ServiceId) -> bool {
        let state = &self.stream_versions;
        let is_sole = state.history.is_sole(service, state.lifetime, self.now);
        if !is_sole {
            self.refuse_unknown_version(number);
        }
        is_sole
    }

    /// Binds a request to the version in its stream's record; returns whether it can go on.
    fn bind_by_record(&mut self, number: RequestNumber, source: VersionSource) -> bool {
        let now = self.now;
        let Some(request) = self.requests.get(&number) else {
            return false;
        };
        let key = Self::stream_key(request);
        let Some(record) = self.stream_versions.book.get(key, now) else {
            return false;
        };
        let (version, sent_at) = (record.version.clone(), record.sent_at);
        self.record_version(number, Some(&version), source, Some(sent_at));
        let version = self.listed_version(&version);
        let Some(request) = self.requests.get_mut(&number) else {
            return false;
        };
        request.version = Some(version);
        !self.refuse_if_version_gone(number)
    }

    /// Records how this box knows which version began the stream of a request.
    fn record_version(
        &mut self,
        number: RequestNumber,
        version: Option<&VersionId>,
        source: VersionSource,
        sent_at: Option<Micros>,
    ) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let record = Record::StreamVersion {
            request: request.arrival.id.clone(),
            resumes: request.arrival.resumes.clone(),
            version: version.map(ToString::to_string),
            source: source.word().into(),
            age_ms: sent_at.map(|at| millis(self.now.since(at))),
            after_ms: request.age_ms(self.now),
        };
        self.record(record);
    }

    /// Ends the search for the version of a stream that nobody has a record of.
    /// `told` is the version that a certain box presumes.
    fn on_no_record(&mut self, number: RequestNumber, told: Option<VersionId>) {
        let request = self.requests.get(&number);
        let own = request.and_then(|r| {
            let presumed = self.presumed_version(&r.service);
            presumed.or_else(|| self.version_before_start(&r.service))
        });
        let Some(version) = own.cloned().or(told) else {
            return self.refuse_unknown_version(number);
        };
        self.record_version(number, Some(&version), VersionSource::Settled, None);
        if let Some(request) = self.requests.get_mut(&number) {
            request.version = Some(version);
        }
        if !self.refuse_if_version_gone(number) {
            self.place_admitted(number);
        }
    }

    fn refuse_unknown_version(&mut self, number: RequestNumber) {
        self.record_version(number, None, VersionSource::Unknown, None);
        self.give_up(number, RefusalReason::UnknownVersion);
    }

    /// Refuses a request whose stream can't go on since no engine of its version is left; returns
    /// whether it did.
    pub(super) fn refuse_if_version_gone(&mut self, number: RequestNumber) -> bool {
        if self.refuse_if_version_withdrawn(number) {
            return true;
        }
        let Some(request) = self.requests.get(&number) else {
            return false;
        };
        let Some(version) = &request.version else {
            return false;
        };
        let is_refused = is_gone(&self.fleet, &request.service, version);
        if is_refused {
            self.refuse_without_version(number);
        }
        is_refused
    }

    /// Refuses a request whose stream a roll-out keeps from its version; returns whether it did.
    pub(super) fn refuse_if_version_withdrawn(&mut self, number: RequestNumber) -> bool {
        let Some(request) = self.requests.get(&number) else {
            return false;
        };
        let Some(version) = &request.version else {
            return false;
        };
        let rollout = self.rollouts.of(&request.service);
        let is_refused = rollout.is_some_and(|rollout| !rollout.admits_bound(version));
        if is_refused {
            self.refuse_without_version(number);
        }
        is_refused
    }

    fn refuse_without_version(&mut self, number: RequestNumber) {
        if let Some(request) = self.requests.get(&number) {
            let reason = RefusalReason::without_version(request.has_run());
            self.give_up(number, reason);
        }
    }

    /// Whether a request may be placed at an endpoint, as far as the version that began its stream
    /// decides.
    pub(super) fn is_of_version(request: &Request, endpoint: &Endpoint) -> bool {
        let version = request.version.as_ref();
        version.is_none_or(|version| endpoint.spec.version == *version)
    }

    /// Keeps the version that a stream is bound to, and publishes it where the service may have several:
    /// the caller may be back at another box some milliseconds after its first event. A version is
    /// published only once it is bound: an attempt without an event may still be followed by one at
    /// another version, and a record of the first one could outlast the correction.
    pub(super) fn keep_version(&mut self, number: RequestNumber) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let Some(version) = request.version.clone() else {
            return;
        };
        request.version_published = now;
        let (key, expires) = (Self::stream_key(request), expiry(request));
        let service = request.service.clone();
        self.stream_versions
            .book
            .insert(key, &version, now, expires, RecordUse::Own);
        if !self.has_sole_version(&service) {
            self.publish_records(&[key]);
        }
    }

    /// The start time that an engine must report before it gets a stream, if it reports one: it may come
    /// back under its id and address as other software, and the list is late. One question on each new
    /// connection is enough, since a connection doesn't outlive the process.
    pub(super) fn expected_start(request: &Request, spec: &EndpointSpec) -> Option<StartTime> {
        spec.born.filter(|_| is_bindable(request))
    }

    /// Binds a stream to the version of the engine that made its first event.
    pub(super) fn bind_version(&mut self, number: RequestNumber, attempt: AttemptNumber) {
        let Some(request) = self.with_active(number, attempt) else {
            return;
        };
        if request.version.is_some() || !is_bindable(request) {
            return;
        }
        let Some(active) = request.active.as_ref() else {
            return;
        };
        // The list may have named the version since, or know another incarnation than the one that was
        // checked before the send.
        let engine = active.checked.as_ref().unwrap_or(&active.endpoint).clone();
        let sent_to = active.version.clone();
        let known = self.fleet.get_incarnation(&engine);
        let version = Some(known.map_or(sent_to, |e| e.spec.version.clone()));
        if let Some(request) = self.requests.get_mut(&number) {
            request.version = version;
            request.began_with = Some(attempt);
        }
        self.keep_version(number);
    }

    /// Forgets the record of a stream that its caller has whole.
    pub(super) fn forget_stream(&mut self, request: &Request) {
        if is_bindable(request) {
            self.stream_versions.book.remove(Self::stream_key(request));
        }
    }

    /// The version that the list names now for an engine that was not listed when a stream began
    /// there.
    fn listed_version(&self, version: &VersionId) -> VersionId {
        if !version.is_unlisted() {
            return version.clone();
        }
        let mut engines = self.fleet.iter();
        let stands_for = |incarnation| VersionId::unlisted(&incarnation) == *version;
        let found = engines
            .find(|e| stands_for(e.spec.incarnation()) || stands_for(e.spec.id.clone().into()));
        found.map_or_else(|| version.clone(), |e| e.spec.version.clone())
    }

    /// Replaces the versions of engines that were not listed when streams began there, once they are.
    fn bind_listed_versions(&mut self) {
        let unlisted = self.requests.iter().filter_map(|(number, request)| {
            let version = request.version.as_ref().filter(|v| v.is_unlisted())?;
            Some((*number, self.listed_version(version)))
        });
        let found: Vec<(RequestNumber, VersionId)> = unlisted.collect();
        for (number, version) in found {
            if let Some(request) = self.requests.get_mut(&number) {
                request.version = Some(version);
            }
        }
    }

    /// Corrects the version of a stream whose engine turns out to have restarted before it began the
    /// stream: its events come from the software that runs there now.
    pub(super) fn correct_version(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let active = request.active.as_ref();
        let Some(active) = active.filter(|a| a.has_events && a.checked.is_none()) else {
            return;
        };
        let Some(endpoint) = self.fleet.get(&active.endpoint.id) else {
            return;
        };
        let version = endpoint.spec.version.clone();
        let began_here =
            request.arrival.after_event.is_none() && request.began_with == Some(active.attempt);
        if began_here && request.version.as_ref().is_some_and(|v| *v != version) {
            if let Some(request) = self.requests.get_mut(&number) {
                request.version = Some(version);
            }
            self.keep_version(number);
        }
    }

    /// Renews records, settles new versions, asks again for versions that are looked up.
    pub(super) fn maintain_stream_versions(&mut self) {
        self.stream_versions.history.settle(self.now);
        self.check_isolation();
        self.note_doubt();
        self.check_lookups();
        self.renew_marks();
        self.save_sole_versions();
        self.renew_records();
        self.write_records_if_due();
        self.stream_versions.book.expire(self.now);
    }

    fn renew_records(&mut self) {
        let now = self.now;
        let due = |request: &&mut Request| {
            is_bindable(request)
                && request.version.is_some()
                && now.since(request.version_published) >= RENEW_INTERVAL
        };
        let mut renewed = Vec::new();
        for request in self.requests.values_mut().filter(due) {
            request.version_published = now;
            renewed.push((Self::stream_key(request), request.service.clone()));
        }
        let published = renewed
            .into_iter()
            .filter(|(_, service)| !self.has_sole_version(service));
        let published: Vec<StreamKey> = published.map(|(key, _)| key).collect();
        self.publish_records(&published);
    }

    /// Returns the counts and resets them.
    pub fn take_stream_version_counts(&mut self) -> StreamVersionCounts {
        StreamVersionCounts {
            sent: std::mem::take(&mut self.stream_versions.sent),
            forgotten: self.stream_versions.book.take_forgotten(),
            held: self.stream_versions.book.len(),
        }
    }
}

/// Until when the caller of a request may come back.
fn expiry(request: &Request) -> Micros {
    request.deadline.after(RETURN_SLACK)
}

//! Which version began the streams of a service before all boxes were lost.
//!
//! While a service has one version, no stream has a record. So the store keeps which version that is:
//! a sole mark, written by one box of each failure domain. When a second version appears, the store
//! gets a mark that there are several ([`MIXED_MARK_DELAY`] later, and before any stream can begin at
//! the second one). A box that starts while its fleet has run before reads the marks once. A sole
//! mark without a mark of several versions means that all streams from before began at that version:
//! they are bound to it, and refused at once if it has left. Without this a service whose version was
//! replaced while all boxes were away passed for one of a single version, and its streams were joined
//! with the new one.
//!
//! A peer that has run since before knows more than the marks, which are written a second late; once
//! this box hears of one, the marks don't count.
//!
//! State: the marks as they were at the start of this box. They count for [`RETURN_TIME`].

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::dispatch::Dispatcher;
use crate::gateway::dispatch::action::Action;
use crate::schema::{Incarnation, Micros, ServiceId, StreamKey, StreamRecord, VersionId};

/// Time from the appearance of a second version until the store is told: boxes that return together
/// have read the marks by then. Less than `VERSION_SETTLE_TIME` by a slow write.
pub(super) const MIXED_MARK_DELAY: Duration = Duration::from_secs(1);
/// Time after the start of a box in which callers come back whose streams all boxes have lost.
const RETURN_TIME: Duration = Duration::from_secs(10);

/// Number of lifetimes of a stream for which a sole mark is kept; it is renewed after one.
const SOLE_MARK_LIFETIMES: u32 = 3;

/// Difference in start times above which a peer has survived what ended this box. Boxes that are
/// lost together return within a second, and their clocks differ by less than another.
const SURVIVOR_AGE: Duration = Duration::from_secs(2);

/// The store's records as this box read them at its start.
#[derive(Debug, Default)]
pub(super) struct BeforeStart {
    is_requested: bool,
    /// Whether a peer has run since before this box was lost: it knows more than the marks.
    has_survivor: bool,
    records: Option<BTreeMap<StreamKey, VersionId>>,
}

impl BeforeStart {
    /// Keeps the records of the first read.
    pub fn on_read(&mut self, records: &[StreamRecord]) {
        self.is_requested = true;
        self.records.get_or_insert_with(|| {
            let records = records.iter().rev();
            records
                .map(|record| (record.stream, record.version.clone()))
                .collect()
        });
    }

    /// The version at which all earlier streams of a service began, if the store says so.
    fn sole_version(&self, service: &ServiceId) -> Option<&VersionId> {
        let records = self.records.as_ref().filter(|_| !self.has_survivor)?;
        let is_mixed = records.contains_key(&StreamKey::mark_of(service));
        let sole = records.get(&StreamKey::sole_mark_of(service));
        sole.filter(|_| !is_mixed)
    }
}

impl Dispatcher {
    /// Notes the start time of a peer. The marks count only where no box has survived.
    pub(in crate::gateway::dispatch) fn note_peer_start(&mut self, peer: Incarnation) {
        let earlier = self.cfg.incarnation.0.saturating_sub(peer.0);
        if Duration::from_micros(earlier) > SURVIVOR_AGE {
            self.stream_versions.before_start.has_survivor = true;
        }
    }

    /// Reads the marks once, when a box of a fleet that has run before begins to watch the store.
    pub(in crate::gateway::dispatch) fn read_marks_once(&mut self) {
        let state = &mut self.stream_versions;
        if !self.cfg.first_start && !state.before_start.is_requested {
            state.before_start.is_requested = true;
            self.read_stored_streams();
        }
    }

    /// The version that began a stream of which there is no record, if it began before this box
    /// started.
    pub(super) fn version_before_start(&self, service: &ServiceId) -> Option<&VersionId> {
        let version = self.stream_versions.before_start.sole_version(service)?;
        (self.now.since(self.started) < RETURN_TIME).then_some(version)
    }

    /// Compares the marks with the list: a service whose only version is still listed alone has had
    /// no other, and one that was replaced while all boxes were away has had it besides.
    pub(super) fn apply_marks(&mut self) {
        if self.now.since(self.started) >= self.stream_versions.lifetime {
            return;
        }
        let history = &self.stream_versions.history;
        let services: Vec<ServiceId> = history.services().cloned().collect();
        for service in services {
            self.apply_mark(&service);
        }
    }

    fn apply_mark(&mut self, service: &ServiceId) {
        let state = &mut self.stream_versions;
        let Some(version) = state.before_start.sole_version(service) else {
            return;
        };
        let (version, lifetime) = (version.clone(), state.lifetime);
        let history = &mut state.history;
        if history.note_earlier(service, &version, lifetime, self.now) {
            self.on_several_versions(service);
        } else if history.is_sole(service, lifetime, self.now) {
            state.confirmed.insert(service.clone());
        }
    }

    /// Has the store keep the only versions of services, if this box writes for its domain.
    pub(super) fn save_sole_versions(&mut self) {
        if !self.is_store_writer() {
            self.stream_versions.saved_sole.clear();
            return;
        }
        let services: Vec<ServiceId> = self.stream_versions.history.services().cloned().collect();
        for service in services {
            if self.has_engines(&service) && self.has_sole_version(&service) {
                self.save_sole_version(&service);
            }
        }
    }

    fn has_engines(&self, service: &ServiceId) -> bool {
        let table = self.table.as_ref();
        let service = table.and_then(|table| table.service(service));
        service.is_some_and(|service| service.engine.is_some())
    }

    fn save_sole_version(&mut self, service: &ServiceId) {
        let now = self.now;
        let state = &mut self.stream_versions;
        let Some(version) = state.history.any_version(service).cloned() else {
            return;
        };
        let saved = state.saved_sole.get(service);
        let is_saved =
            |(known, renew_at): &(VersionId, Micros)| *known == version && now < *renew_at;
        if saved.is_some_and(is_saved) {
            return;
        }
        let renew_at = now.after(state.lifetime);
        let expires = now.after(state.lifetime.saturating_mul(SOLE_MARK_LIFETIMES));
        let mark = StreamKey::sole_mark_of(service);
        state
            .saved_sole
            .insert(service.clone(), (version.clone(), renew_at));
        self.keep_for_store(mark, &version, now, expires);
    }

    /// Starts to read the store's records.
    pub(super) fn read_stored_streams(&mut self) {
        self.stream_versions.store.begin_read();
        self.actions.push(Action::ReadStreams);
    }
}

//! What a box can be certain of: whether it would know of every version that a service has had.
//!
//! A box may have missed a version while it was cut off from other failure domains, while its process
//! was paused, while its list is late, and before it started. Then it acts as if each service had
//! several versions, and presumes nothing.

use std::collections::BTreeSet;
use std::time::Duration;

use super::before_start::MIXED_MARK_DELAY;
use super::book::RecordUse;
use super::history::VERSION_SETTLE_TIME;
use super::is_bindable;
use crate::gateway::dispatch::Dispatcher;
use crate::gateway::dispatch::record::Record;
use crate::gateway::dispatch::request::Request;
use crate::schema::{ServiceId, StreamKey, VersionId};

/// Time without contact with another failure domain after which this box may have missed a new
/// version. Messages of sound domains arrive several times a second, and two questions a second are
/// answered.
const ISOLATED_AFTER: Duration = Duration::from_millis(2_500);

/// Time for which a box knows of a newer list without having it, after which it counts as late.
const LATE_LIST: Duration = Duration::from_millis(500);

impl Dispatcher {
    /// Whether this box would know of every version that a service has had for as long as streams
    /// last.
    pub(in crate::gateway::dispatch) fn is_certain(&self, service: &ServiceId) -> bool {
        let state = &self.stream_versions;
        let is_settled = self.cfg.first_start
            || self.now.since(self.started) >= state.lifetime
            || state.confirmed.contains(service);
        is_settled
            && !state.is_isolated
            && self.now >= state.doubtful_until
            && !self.endpoint_fetches.is_behind_for(LATE_LIST, self.now)
    }

    /// Whether a service certainly had one version only.
    pub(in crate::gateway::dispatch) fn has_sole_version(&self, service: &ServiceId) -> bool {
        let state = &self.stream_versions;
        state.history.is_sole(service, state.lifetime, self.now) && self.is_certain(service)
    }

    /// Updates which versions services have, after a change of the endpoint list.
    pub(in crate::gateway::dispatch) fn observe_versions(&mut self) {
        self.note_doubt();
        let state = &mut self.stream_versions;
        let is_prompt = self.now.since(state.last_doubt) >= VERSION_SETTLE_TIME;
        let mixed = state
            .history
            .observe(&self.fleet, state.lifetime, is_prompt, self.now);
        self.bind_listed_versions();
        for service in &mixed {
            self.on_several_versions(service);
        }
        self.apply_marks();
    }

    /// Handles that a service has several versions since now.
    pub(super) fn on_several_versions(&mut self, service: &ServiceId) {
        let mark_at = self.now.after(MIXED_MARK_DELAY);
        let state = &mut self.stream_versions;
        state.mark_mixed_at.insert(service.clone(), mark_at);
        self.record(Record::Process {
            state: "several_versions".into(),
            detail: service.to_string(),
        });
        self.publish_own_records();
    }

    /// Has the store keep that a service has several versions: once all boxes are lost, only the store
    /// tells.
    pub(super) fn mark_mixed(&mut self, service: &ServiceId) {
        let state = &mut self.stream_versions;
        let Some(version) = state.history.any_version(service).cloned() else {
            return;
        };
        let mark = StreamKey::mark_of(service);
        let expires = self.now.after(state.lifetime);
        state
            .book
            .insert(mark, &version, self.now, expires, RecordUse::Held);
        self.save_soon(mark);
    }

    /// Marks services that have several versions, and renews the marks.
    pub(super) fn renew_marks(&mut self) {
        let now = self.now;
        let state = &mut self.stream_versions;
        let before = state.mark_mixed_at.len();
        state.mark_mixed_at.retain(|_, at| now < *at);
        let is_any_due = state.mark_mixed_at.len() < before;
        if !is_any_due && now < state.next_marks {
            return;
        }
        state.next_marks = now.after(state.lifetime / 3);
        for service in self
            .stream_versions
            .history
            .mixed(self.stream_versions.lifetime, now)
        {
            if !self.stream_versions.mark_mixed_at.contains_key(&service) {
                self.mark_mixed(&service);
            }
        }
    }

    /// The version that must have begun a stream of which there is no record, if this box is certain of
    /// one: all other versions are so new that no stream can have begun there.
    pub(super) fn presumed_version(&self, service: &ServiceId) -> Option<&VersionId> {
        let state = &self.stream_versions;
        let settled = state.history.settled(service, state.lifetime, self.now);
        settled.filter(|_| self.is_certain(service))
    }

    /// Versions of a request's service that no stream may begin at yet.
    pub(in crate::gateway::dispatch) fn newcomers_for(
        &self,
        request: &Request,
    ) -> Option<&BTreeSet<VersionId>> {
        let newcomers = self.stream_versions.history.newcomers(&request.service);
        newcomers.filter(|_| is_bindable(request))
    }

    /// Versions of a request's service that lists have named too lately for a stream to begin there.
    pub(in crate::gateway::dispatch) fn settling_for(
        &self,
        request: &Request,
    ) -> Option<&BTreeSet<VersionId>> {
        let settling = self.stream_versions.history.settling(&request.service);
        settling.filter(|_| is_bindable(request))
    }

    /// Notes the time if the list may be out of date.
    pub(super) fn note_doubt(&mut self) {
        let state = &mut self.stream_versions;
        let is_late = self.endpoint_fetches.is_behind_for(LATE_LIST, self.now);
        if state.is_isolated || self.now < state.doubtful_until || is_late {
            state.last_doubt = self.now;
        }
    }

    pub(super) fn check_isolation(&mut self) {
        let is_isolated = self.peers.knows_other_domains()
            && !self
                .peers
                .has_heard_other_domains_within(ISOLATED_AFTER, self.now)
            || self.has_lost_contact(ISOLATED_AFTER);
        let was_isolated = std::mem::replace(&mut self.stream_versions.is_isolated, is_isolated);
        if is_isolated && !was_isolated {
            self.publish_own_records();
        }
    }
}

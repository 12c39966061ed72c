//! Verifies that an endpoint has crashed under a request, and handles the requests affected.
//!
//! A broken connection may only have been closed, so the box opens another one to the address
//! ([`Action::CheckExited`]); an endpoint whose port refuses it has ended. Other endpoints of the
//! failure domain may have ended with it, which is known [`CRASH_RECORD_DELAY`] later. The crash is
//! then recorded and published, and [`EVALUATION_DELAY`] after the crash the request is evaluated
//! ([`super::quarantine`]). A request that may be quarantined for the crash, or that is to run
//! alone after it, waits for this before its next attempt; any other request is retried at once.
//!
//! The module owns the crashes that are not recorded yet. [`super::fleet`] provides the number of
//! concurrent requests and the losses of the failure domain.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::action::Action;
use super::event::{Fault, Outcome, RequestNumber};
#[cfg(doc)]
use super::quarantine::EVALUATION_DELAY;
use super::quarantine::{Crash, ISOLATE_AT, QUARANTINE_AT};
use super::record::Record;
use super::refusal::RefusalReason;
use super::request::ActiveAttempt;
use crate::schema::{
    CrashUpdate, DomainId, EndpointIncarnation, Fingerprint, Micros, RequestAge, ServiceId,
};

/// Time limit of the connection that checks whether an endpoint has ended. Above the slowest
/// connection to a healthy endpoint (some 3 ms) and below [`CRASH_RECORD_DELAY`].
const CHECK_TIMEOUT: Duration = Duration::from_millis(40);
/// Delay from a crash to its recording. By then losses of other endpoints of the domain have been
/// reported: it exceeds the pause before losses are published (10 ms) plus the latency between
/// boxes.
const CRASH_RECORD_DELAY: Duration = Duration::from_millis(50);
/// How long a request waits for a crash to be recorded after which it may have to run alone: longer
/// than [`CRASH_RECORD_DELAY`].
const RECORD_WAIT: Duration = Duration::from_millis(60);
/// How long a request waits for an evaluation that may quarantine it: longer than
/// [`EVALUATION_DELAY`].
const VERDICT_WAIT: Duration = Duration::from_millis(160);

/// A crash that is not recorded yet.
#[derive(Clone, Debug)]
struct Pending {
    request: Fingerprint,
    /// The caller's request id, for the decision log.
    id: String,
    service: ServiceId,
    domain: DomainId,
    crash: Crash,
    /// Whether the attempt went through another box.
    is_relayed: bool,
}

/// The crashes that are not recorded yet.
#[derive(Debug, Default)]
pub(super) struct PendingCrashes {
    /// Attempts that broke off at endpoints that are being checked.
    checked: BTreeMap<EndpointIncarnation, Vec<Pending>>,
    /// Attempts that broke off at endpoints that have ended.
    settling: Vec<Pending>,
}

impl PendingCrashes {
    /// Returns how many pending crashes a request has.
    fn of(&self, request: Fingerprint) -> usize {
        let pending = self.checked.values().flatten().chain(&self.settling);
        pending.filter(|pending| pending.request == request).count()
    }

    /// Returns when the next pending crash is to be recorded.
    pub fn due(&self) -> Option<Micros> {
        let due = self.settling.iter().map(|pending| pending.crash.at);
        due.min().map(|at| at.after(CRASH_RECORD_DELAY))
    }
}

/// Returns whether the outcome of an attempt may mean that its endpoint has crashed.
fn may_be_crash(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Broken(Fault::Closed | Fault::Malformed))
}

impl Dispatcher {
    /// Suspects a request whose attempt broke off. Called before the attempt is removed from the
    /// endpoint's usage counts.
    pub(super) fn suspect_crash(
        &mut self,
        number: RequestNumber,
        active: &ActiveAttempt,
        outcome: &Outcome,
    ) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        if !may_be_crash(outcome) {
            return;
        }
        let ran = active.first_event.map(|(begun, _)| self.now.since(begun));
        let endpoint = self.fleet.get_incarnation(&active.endpoint);
        let running = endpoint.map_or(0, |e| self.fleet.usage(e, self.now).running);
        let pending = Pending {
            request: request.fingerprint,
            id: request.arrival.id.clone(),
            service: request.service.clone(),
            domain: active.domain.clone(),
            crash: Crash {
                endpoint: active.endpoint.clone(),
                at: self.now,
                last_event: request.last_event.unwrap_or_default(),
                ran: ran.unwrap_or_default(),
                beside: running.saturating_sub(active.slots),
                is_passed: false,
                fell_with_domain: false,
            },
            is_relayed: active.via.is_some(),
        };
        let recorded = self.quarantine.crashes_of(request.fingerprint);
        let pending_before = self.pending_crashes.of(request.fingerprint);
        // Where endpoints crash as soon as they get the request, it can use up all five attempts
        // before the first crash is recorded, so pending crashes count too.
        let wait = if recorded + pending_before + 1 >= QUARANTINE_AT {
            Some(VERDICT_WAIT)
        } else if recorded + 1 >= ISOLATE_AT {
            Some(RECORD_WAIT)
        } else {
            None
        };
        request.retry_at = wait.map(|wait| self.now.after(wait));
        let via = self.relay_to(&pending.service);
        self.check_exited(active.endpoint.clone(), active.address, via, pending);
    }

    fn check_exited(
        &mut self,
        incarnation: EndpointIncarnation,
        address: SocketAddr,
        via: Option<SocketAddr>,
        pending: Pending,
    ) {
        let waiting = self
            .pending_crashes
            .checked
            .entry(incarnation.clone())
            .or_default();
        if waiting.is_empty() {
            self.actions.push(Action::CheckExited {
                endpoint: incarnation,
                address,
                via,
                limit: CHECK_TIMEOUT,
            });
        }
        waiting.push(pending);
    }

    /// Handles the result of an endpoint check.
    pub(super) fn on_checked(&mut self, incarnation: &EndpointIncarnation, has_exited: bool) {
        let pending = self.pending_crashes.checked.remove(incarnation);
        if has_exited {
            self.pending_crashes
                .settling
                .extend(pending.unwrap_or_default());
        }
    }

    /// Records the pending crashes that are due.
    pub(super) fn settle_crashes(&mut self) {
        let now = self.now;
        let is_due = |pending: &mut Pending| now >= pending.crash.at.after(CRASH_RECORD_DELAY);
        let due: Vec<_> = self
            .pending_crashes
            .settling
            .extract_if(.., is_due)
            .collect();
        // A cut of this box breaks connections and refuses new ones just as crashes do.
        let is_cut = |p: &Pending| !p.is_relayed && self.relays.is_lost(&p.service);
        let due: Vec<_> = due.into_iter().filter(|p| !is_cut(p)).collect();
        let has_recorded = !due.is_empty();
        for pending in due {
            self.record_crash(pending);
        }
        if has_recorded {
            // Only boxes in other domains may know some of the concurrent requests.
            let to = self.peers.one_of_each_other_domain(&mut self.rng, self.now);
            self.gossip_state(to);
        }
        self.evaluate_suspects();
        if self.quarantine.has_unpublished() {
            self.publish_immediately();
        }
    }

    fn record_crash(&mut self, pending: Pending) {
        let Pending {
            request,
            id,
            service,
            domain,
            mut crash,
            is_relayed: _,
        } = pending;
        // Requests that crash one endpoint after the other within milliseconds are no failure of
        // the domain.
        let is_explained = |id: &_, at| self.quarantine.may_have_crashed(request, id, at);
        crash.fell_with_domain =
            self.fleet
                .fell_with_domain(&crash.endpoint, &service, &domain, crash.at, is_explained);
        let endpoint = crash.endpoint.to_string();
        let (beside, fell_with_domain) = (crash.beside, crash.fell_with_domain);
        self.quarantine.on_crash(request, crash, self.now);
        self.record(Record::Crashed {
            request: id,
            fingerprint: request.hex(),
            endpoint,
            beside,
            fell_with_domain,
            counted: self.quarantine.crashes_of(request),
        });
    }

    /// Quarantines the requests that the evidence blames; each box decides for itself.
    fn evaluate_suspects(&mut self) {
        for request in self.quarantine.evaluate(self.now) {
            self.quarantine_request(request);
            self.gossip_soon();
        }
    }

    fn save_quarantine(&mut self, request: Fingerprint, is_quarantined: bool) {
        self.actions.push(Action::SaveQuarantine {
            request,
            is_quarantined,
        });
    }

    /// Reads the stored quarantine list once per incarnation of this box: if all boxes were lost at
    /// once, no peer can supply it. Only boxes that begin to watch the store do so, which are few.
    pub(super) fn read_quarantine_once(&mut self) {
        if !std::mem::replace(&mut self.has_requested_quarantine, true) {
            self.actions.push(Action::ReadQuarantine);
        }
    }

    /// Merges the quarantine list that was read from the store.
    pub(super) fn on_quarantine_read(&mut self, stored: &[RequestAge]) {
        for request in self.quarantine.on_stored(stored, self.now) {
            self.quarantine_request(request);
        }
        if self.quarantine.has_unpublished() {
            self.gossip_soon();
            self.publish_immediately();
        }
    }

    /// Merges crash reports from another box.
    pub(super) fn on_peer_crashes(&mut self, domain: Option<&DomainId>, update: &CrashUpdate) {
        let is_local = domain.is_none_or(|domain| *domain == self.cfg.domain);
        for request in self.quarantine.on_peer_update(update, is_local, self.now) {
            self.gossip_soon();
            self.quarantine_request(request);
        }
        if self.quarantine.has_unpublished() {
            self.publish_immediately();
        }
    }

    /// Refuses all requests with a fingerprint that is quarantined from now on. An attempt that has
    /// not begun to run yet is thereby stopped before it crashes an endpoint.
    fn quarantine_request(&mut self, fingerprint: Fingerprint) {
        self.record(Record::Quarantined {
            fingerprint: fingerprint.hex(),
            crashes: self.quarantine.crashes_of(fingerprint),
        });
        if self.quarantine.is_recorded_here(fingerprint) {
            self.save_quarantine(fingerprint, true);
        }
        let requests = self.requests.iter();
        let quarantined = requests.filter(|(_, request)| request.fingerprint == fingerprint);
        let quarantined: Vec<RequestNumber> = quarantined.map(|(number, _)| *number).collect();
        for number in quarantined {
            self.give_up(number, RefusalReason::Quarantined);
        }
    }

    /// Refuses a request that is quarantined; returns whether it is.
    pub(super) fn give_up_quarantined(&mut self, number: RequestNumber) -> bool {
        let request = self.requests.get(&number);
        let is_quarantined =
            request.is_some_and(|request| self.quarantine.is_quarantined(request.fingerprint));
        if is_quarantined {
            self.give_up(number, RefusalReason::Quarantined);
        }
        is_quarantined
    }

    /// Returns whether a request is to run alone at an endpoint, as one more crash decides about
    /// it.
    pub(super) fn runs_alone(&self, number: RequestNumber) -> bool {
        let request = self.requests.get(&number);
        request.is_some_and(|r| self.quarantine.crashes_of(r.fingerprint) >= ISOLATE_AT)
    }

    /// Records that a request was answered, which ends its quarantine.
    pub(super) fn clear_suspicion(&mut self, fingerprint: Fingerprint) {
        let was_quarantined = self.quarantine.is_quarantined(fingerprint);
        self.quarantine.on_served(fingerprint, self.now);
        if was_quarantined {
            self.save_quarantine(fingerprint, false);
        }
    }

    /// Removes expired crashes.
    pub(super) fn forget_crashes(&mut self) {
        for (fingerprint, is_recorded_here) in self.quarantine.forget_old(self.now) {
            // Only the box that recorded the last crash removes the stored entry.
            if is_recorded_here {
                self.save_quarantine(fingerprint, false);
            }
            self.record(Record::Released {
                fingerprint: fingerprint.hex(),
            });
        }
    }

    /// Records how far a stream has got, as it may have got past the point of earlier crashes.
    pub(super) fn record_crash_progress(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let begun = request
            .active
            .as_ref()
            .and_then(|active| active.first_event);
        if let Some((begun, _)) = begun {
            let ran = self.now.since(begun);
            let last_event = request.last_event.unwrap_or_default();
            self.quarantine
                .on_progress(request.fingerprint, last_event, ran, self.now);
        }
    }
}

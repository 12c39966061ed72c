//! Endpoints that end under requests: how this box makes sure of it, and what follows for requests.
//!
//! A connection that breaks may only have been closed, so what listens at the address is asked for by
//! a connection ([`Action::CheckExited`]); an endpoint whose port refuses it has ended. Others of its
//! failure domain may have ended with it, which is known [`CRASH_SETTLING`] later. Then the crash is
//! noted and told, and [`DECIDED_AFTER`] it the request is decided about ([`super::quarantine`]). A
//! request that the crash may have quarantined, or after which it is to run alone, waits for that
//! before its next attempt; any other one goes on at once.
//!
//! Owns: crashes that are not made sure of. Relies on: [`super::fleet`] for what ran beside and for
//! losses of the domain.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::action::Action;
use super::event::{Fault, Outcome, RequestNumber};
#[cfg(doc)]
use super::quarantine::DECIDED_AFTER;
use super::quarantine::{ALONE_AT, Crash, QUARANTINE_AT};
use super::record::Record;
use super::refusal::RefusalReason;
use super::request::ActiveAttempt;
use crate::schema::{
    CrashUpdate, DomainId, EndpointIncarnation, Fingerprint, Micros, RequestAge, ServiceId,
};

/// How long a connection may take that shows whether an endpoint has ended. Over the slowest sound
/// connection of the users' sites (some 3 ms) and under [`CRASH_SETTLING`].
const CHECK_LIMIT: Duration = Duration::from_millis(40);
/// How long after a crash it is noted: by then losses of others of the domain have been told. Over
/// the pause before news of losses (10 ms) and a way between boxes.
const CRASH_SETTLING: Duration = Duration::from_millis(50);
/// How long a request waits until a crash is noted that may have it run alone: over [`CRASH_SETTLING`].
const NOTED_AFTER: Duration = Duration::from_millis(60);
/// How long a request waits that a crash may have quarantined: over [`DECIDED_AFTER`].
const VERDICT_AFTER: Duration = Duration::from_millis(160);

/// A crash that is not noted yet.
#[derive(Clone, Debug)]
struct Pending {
    request: Fingerprint,
    /// The caller's id, for records.
    id: String,
    service: ServiceId,
    domain: DomainId,
    crash: Crash,
}

/// Crashes that are not noted yet.
#[derive(Debug, Default)]
pub(super) struct PendingCrashes {
    /// Endpoints that are being checked, with what broke off there.
    checked: BTreeMap<EndpointIncarnation, Vec<Pending>>,
    /// What broke off at endpoints that have ended.
    settling: Vec<Pending>,
}

impl PendingCrashes {
    /// How many there are of a request.
    fn of(&self, request: Fingerprint) -> usize {
        let pending = self.checked.values().flatten().chain(&self.settling);
        pending.filter(|pending| pending.request == request).count()
    }

    /// When the next one is to be noted.
    pub fn due(&self) -> Option<Micros> {
        let due = self.settling.iter().map(|pending| pending.crash.at);
        due.min().map(|at| at.after(CRASH_SETTLING))
    }
}

/// Whether an endpoint may have ended by how an attempt there did.
fn may_be_crash(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Broken(Fault::Closed | Fault::Malformed))
}

impl Dispatcher {
    /// Suspects a request whose attempt broke off, before the attempt is taken off the counts.
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
        };
        let noted = self.quarantine.crashes_of(request.fingerprint);
        let pending_before = self.pending_crashes.of(request.fingerprint);
        // Endpoints that end as soon as they are asked took all five attempts before the first crash was
        // noted, so those that are not noted yet count too.
        let wait = if noted + pending_before + 1 >= QUARANTINE_AT {
            Some(VERDICT_AFTER)
        } else if noted + 1 >= ALONE_AT {
            Some(NOTED_AFTER)
        } else {
            None
        };
        request.retry_at = wait.map(|wait| self.now.after(wait));
        self.check_ended(active.endpoint.clone(), active.address, pending);
    }

    fn check_ended(&mut self, life: EndpointIncarnation, address: SocketAddr, pending: Pending) {
        let of_life = self
            .pending_crashes
            .checked
            .entry(life.clone())
            .or_default();
        if of_life.is_empty() {
            self.actions.push(Action::CheckExited {
                endpoint: life,
                address,
                limit: CHECK_LIMIT,
            });
        }
        of_life.push(pending);
    }

    /// An endpoint was checked whose connection broke.
    pub(super) fn on_checked(&mut self, life: &EndpointIncarnation, has_exited: bool) {
        let pending = self.pending_crashes.checked.remove(life);
        if has_exited {
            self.pending_crashes
                .settling
                .extend(pending.unwrap_or_default());
        }
    }

    /// Notes the crashes of which enough is known.
    pub(super) fn settle_crashes(&mut self) {
        let now = self.now;
        let is_due = |pending: &mut Pending| now >= pending.crash.at.after(CRASH_SETTLING);
        let due: Vec<_> = self
            .pending_crashes
            .settling
            .extract_if(.., is_due)
            .collect();
        let has_noted = !due.is_empty();
        for pending in due {
            self.note_crash(pending);
        }
        if has_noted {
            // Who ran beside may be known in other domains only.
            let to = self.peers.one_of_each_other_domain(&mut self.rng, self.now);
            self.gossip_state(to);
        }
        self.decide_crashes();
        if self.quarantine.has_unpublished() {
            self.publish_immediately();
        }
    }

    fn note_crash(&mut self, pending: Pending) {
        let Pending {
            request,
            id,
            service,
            domain,
            mut crash,
        } = pending;
        // Calls crash one server after the other within milliseconds: that is no fall of a domain.
        let is_explained = |life: &_| self.quarantine.may_have_ended(request, life);
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

    /// Quarantines requests that are to blame by what has become known; all boxes decide for themselves.
    fn decide_crashes(&mut self) {
        for request in self.quarantine.decide(self.now) {
            self.quarantine_request(request);
            self.gossip_soon();
        }
    }

    fn keep_quarantine(&mut self, request: Fingerprint, is_quarantined: bool) {
        self.actions.push(Action::SaveQuarantine {
            request,
            is_quarantined,
        });
    }

    /// Has the store asked which requests are quarantined, once in a life of this box: where all boxes
    /// were lost at once no other one can tell. Few boxes begin to watch the store.
    pub(super) fn read_quarantine_once(&mut self) {
        if !std::mem::replace(&mut self.has_requested_quarantine, true) {
            self.actions.push(Action::ReadQuarantine);
        }
    }

    /// The store told which requests are quarantined.
    pub(super) fn on_quarantine_read(&mut self, kept: &[RequestAge]) {
        for request in self.quarantine.on_kept(kept, self.now) {
            self.quarantine_request(request);
        }
        if self.quarantine.has_unpublished() {
            self.gossip_soon();
            self.publish_immediately();
        }
    }

    /// Other boxes told of crashes.
    pub(super) fn on_peer_crashes(&mut self, domain: Option<&DomainId>, news: &CrashUpdate) {
        let is_near = domain.is_none_or(|domain| *domain == self.cfg.domain);
        for request in self.quarantine.on_told(news, is_near, self.now) {
            self.gossip_soon();
            self.quarantine_request(request);
        }
        if self.quarantine.has_unpublished() {
            self.publish_immediately();
        }
    }

    /// Gives up what is served of a request that is quarantined from now on: an attempt that has not
    /// begun to run yet costs no endpoint.
    fn quarantine_request(&mut self, fingerprint: Fingerprint) {
        self.record(Record::Quarantined {
            fingerprint: fingerprint.hex(),
            crashes: self.quarantine.crashes_of(fingerprint),
        });
        if self.quarantine.is_noted_here(fingerprint) {
            self.keep_quarantine(fingerprint, true);
        }
        let requests = self.requests.iter();
        let quarantined = requests.filter(|(_, request)| request.fingerprint == fingerprint);
        let quarantined: Vec<RequestNumber> = quarantined.map(|(number, _)| *number).collect();
        for number in quarantined {
            self.give_up(number, RefusalReason::Quarantined);
        }
    }

    /// Gives a request up that is quarantined; returns whether it is.
    pub(super) fn give_up_quarantined(&mut self, number: RequestNumber) -> bool {
        let request = self.requests.get(&number);
        let is_quarantined =
            request.is_some_and(|request| self.quarantine.is_quarantined(request.fingerprint));
        if is_quarantined {
            self.give_up(number, RefusalReason::Quarantined);
        }
        is_quarantined
    }

    /// Whether a request is to run where nothing else does: one more crash decides about it.
    pub(super) fn runs_alone(&self, number: RequestNumber) -> bool {
        let request = self.requests.get(&number);
        request.is_some_and(|r| self.quarantine.crashes_of(r.fingerprint) >= ALONE_AT)
    }

    /// Notes that a request was answered.
    pub(super) fn clear_suspicion(&mut self, fingerprint: Fingerprint) {
        let was_quarantined = self.quarantine.is_quarantined(fingerprint);
        self.quarantine.on_served(fingerprint, self.now);
        if was_quarantined {
            self.keep_quarantine(fingerprint, false);
        }
    }

    /// Forgets old crashes.
    pub(super) fn forget_crashes(&mut self) {
        for (fingerprint, is_noted_here) in self.quarantine.forget_old(self.now) {
            // One box of all has the store forget it.
            if is_noted_here {
                self.keep_quarantine(fingerprint, false);
            }
            self.record(Record::Released {
                fingerprint: fingerprint.hex(),
            });
        }
    }

    /// Notes how far a stream has come, for crashes that it may be past.
    pub(super) fn note_crash_progress(&mut self, number: RequestNumber) {
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

//! Permits to send requests to endpoints that name a limit.
//!
//! One box deals the permits for an endpoint (`dealing`), at the rate that the endpoint names
//! ([`dealer`]). A box that would choose such an endpoint and has no permit asks the dealer for one and
//! chooses another endpoint meanwhile; a request that nothing else can take is tried again as soon as a
//! permit has come. A box of another domain asks any box of the endpoint's, which passes the ask on.
//!
//! Inputs: limits ([`super::fleet::limits`]), the roster, asks and permits by datagrams, which may be lost.
//! Owns: the dealers of this box, and when it told and asked last. Weighed in docs/design/limits.md: an even share
//! for each box.

mod allocation;
pub mod allocator;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::action::Action;
use super::event::{AttemptNumber, RequestNumber};
use super::fleet::Endpoint;
use super::fleet::limits::RequestRate;
use super::record::Record;
use crate::schema::{
    EndpointId, EndpointIncarnation, LimitReport, LimitUpdate, Micros, PermitGrant, PermitRequest,
};
use allocation::{HANDOVER, LimitOwner};
use allocator::{PermitAllocator, PermitRequester};

/// How long an ask for permits of one endpoint may go unanswered before it is repeated.
const ASK_PAUSE: Duration = Duration::from_millis(40);
/// The least time between two messages to all boxes of the domain about limits.
const TELL_PAUSE: Duration = Duration::from_millis(100);

/// How many permits were dealt by this box, used by it, and wanted when it had none.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PermitCounts {
    /// Dealt, to this box or others.
    pub allocated: u64,
    /// Used for a request.
    pub used: u64,
    /// Wanted when there was none: the request went elsewhere, or waited.
    pub wanted: u64,
}

/// What a box has to do with permits.
#[derive(Debug, Default)]
pub(super) struct Permits {
    dealers: BTreeMap<EndpointId, PermitAllocator>,
    /// What is wanted of each endpoint and was not asked for, and asks that are not answered.
    asked: BTreeMap<EndpointId, Asked>,
    /// Until when this box stood still last.
    stood_still: Micros,
    /// Endpoints whose limit has changed by an answer to this box, and when that is to be told.
    unpublished: BTreeSet<EndpointId>,
    tell_at: Option<Micros>,
    told_at: Micros,
    counts: PermitCounts,
}

#[derive(Clone, Copy, Debug, Default)]
struct Asked {
    wanted: u32,
    at: Option<Micros>,
}

impl Permits {
    /// When something is to be dealt or told.
    pub fn due(&self, rate_of: impl Fn(&EndpointId) -> Option<RequestRate>) -> Option<Micros> {
        let dealers = self.dealers.iter();
        let dealt = dealers.filter_map(|(id, dealer)| dealer.due(rate_of(id)?));
        dealt.chain(self.tell_at).min()
    }

    /// Notes that this box stood still until now: another one may have taken its place.
    pub fn on_process_pause(&mut self, now: Micros) {
        self.stood_still = now;
        for dealer in self.dealers.values_mut() {
            dealer.pause_until(now.after(HANDOVER));
        }
    }
}

impl Dispatcher {
    /// Takes in what the endpoint of an attempt says that it takes.
    pub(super) fn on_limit_named(
        &mut self,
        number: RequestNumber,
        attempt: AttemptNumber,
        limit: Option<RequestRate>,
    ) {
        let request = self.with_active(number, attempt);
        let Some(life) = request.and_then(|r| Some(r.active.as_ref()?.endpoint.clone())) else {
            return;
        };
        let now = self.now;
        if self.fleet.get_incarnation(&life).is_some()
            && self.fleet.limits.on_answer(&life, limit, now)
        {
            self.on_limit_changed(&life.id);
            self.permits.unpublished.insert(life.id);
            let due = now.max(self.permits.told_at.after(TELL_PAUSE));
            self.permits.tell_at.get_or_insert(due);
            self.tell_limits_if_due();
        }
    }

    /// Notes that an endpoint names another limit than before, or none any more.
    fn on_limit_changed(&mut self, endpoint: &EndpointId) {
        let limit = self.fleet.limits.of(endpoint);
        if limit.is_some() {
            self.start_allocating(endpoint);
        }
        self.record(Record::Limited {
            endpoint: endpoint.to_string(),
            per_second: limit.map(RequestRate::per_second),
        });
    }

    /// Tells all boxes of the own failure domain of limits that have changed, if that is due.
    fn tell_limits_if_due(&mut self) {
        if self.permits.tell_at.is_none_or(|at| self.now < at) {
            return;
        }
        self.permits.tell_at = None;
        self.permits.told_at = self.now;
        let unpublished = std::mem::take(&mut self.permits.unpublished);
        let notes = unpublished
            .iter()
            .filter_map(|id| self.fleet.limits.note(id, self.now));
        let notes = notes.collect();
        let to = self.peers.of_own_domain(self.now);
        self.tell_notes(to, notes);
    }

    /// Tells boxes what answers to this one named lately.
    pub(super) fn tell_limits(&mut self, to: Vec<SocketAddr>) {
        let notes = self.fleet.limits.notes(self.now);
        self.tell_notes(to, notes);
    }

    fn tell_notes(&mut self, to: Vec<SocketAddr>, notes: Vec<LimitReport>) {
        if notes.is_empty() || to.is_empty() {
            return;
        }
        let news = LimitUpdate {
            notes,
            ..self.no_limit_news()
        };
        self.actions.push(Action::TellLimits { to, news });
    }

    fn no_limit_news(&self) -> LimitUpdate {
        LimitUpdate {
            from: self.cfg.me.clone(),
            reply_to: self.cfg.address.to_string(),
            is_passed_on: false,
            notes: Vec::new(),
            asks: Vec::new(),
            grants: Vec::new(),
        }
    }

    /// Takes in what another box tells of limits and permits.
    pub(super) fn on_peer_limits(&mut self, news: &LimitUpdate) {
        for note in &news.notes {
            self.on_limit_note(note);
        }
        for ask in &news.asks {
            self.on_permit_ask(ask, news);
        }
        for grant in &news.grants {
            let now = self.now;
            self.fleet
                .limits
                .on_granted(&grant.endpoint, grant.permits, now);
            if let Some(asked) = self.permits.asked.get_mut(&grant.endpoint.id) {
                asked.at = None;
            }
            self.wake_waiting(&grant.endpoint);
        }
    }

    fn on_limit_note(&mut self, note: &LimitReport) {
        let is_living = self.fleet.get_incarnation(&note.endpoint).is_some();
        if is_living && self.fleet.limits.on_told(note, self.now) {
            self.on_limit_changed(&note.endpoint.id);
        }
    }

    /// A box asks for permits: this one deals them, or passes the ask on.
    fn on_permit_ask(&mut self, ask: &PermitRequest, news: &LimitUpdate) {
        // An address that can't be read gets nothing; the next ask may hold a better one.
        let Ok(reply_to) = news.reply_to.parse() else {
            return;
        };
        if self.fleet.get_incarnation(&ask.endpoint).is_none() {
            return;
        }
        let id = &ask.endpoint.id;
        match self.limit_owner(id) {
            Some(LimitOwner::ThisBox) if self.fleet.limits.of(id).is_none() => {
                self.tell_no_limit(id, reply_to);
            }
            Some(LimitOwner::ThisBox) => {
                let wanted = ask.wanted;
                self.ask_own_dealer(id, PermitRequester { reply_to, wanted });
            }
            Some(LimitOwner::Local(dealer)) if !news.is_passed_on => {
                let news = LimitUpdate {
                    is_passed_on: true,
                    grants: Vec::new(),
                    ..news.clone()
                };
                let to = vec![dealer];
                self.actions.push(Action::TellLimits { to, news });
            }
            _ => {}
        }
    }

    /// Tells a box that asks for a permit that none is needed.
    fn tell_no_limit(&mut self, id: &EndpointId, to: SocketAddr) {
        let note = self.fleet.limits.note(id, self.now);
        if let Some(note) = note {
            let news = LimitUpdate {
                notes: vec![note],
                ..self.no_limit_news()
            };
            let to = vec![to];
            self.actions.push(Action::TellLimits { to, news });
        }
    }

    /// Asks for a permit for an endpoint that a request would go to.
    pub(super) fn want_permit(&mut self, id: &EndpointId) {
        self.permits.counts.wanted += 1;
        match self.limit_owner(id) {
            Some(LimitOwner::ThisBox) => {
                let reply_to = self.cfg.address;
                self.ask_own_dealer(
                    id,
                    PermitRequester {
                        reply_to,
                        wanted: 1,
                    },
                );
            }
            Some(LimitOwner::Local(to) | LimitOwner::Remote(to)) => self.ask_for_permits(id, to),
            None => {}
        }
    }

    fn ask_for_permits(&mut self, id: &EndpointId, to: SocketAddr) {
        let now = self.now;
        let asked = self.permits.asked.entry(id.clone()).or_default();
        asked.wanted += 1;
        if asked.at.is_some_and(|at| now.since(at) < ASK_PAUSE) {
            return;
        }
        asked.at = Some(now);
        let wanted = std::mem::take(&mut asked.wanted);
        let Some(note) = self.fleet.limits.note(id, now) else {
            return;
        };
        let ask = PermitRequest {
            endpoint: note.endpoint.clone(),
            wanted,
        };
        let news = LimitUpdate {
            notes: vec![note],
            asks: vec![ask],
            ..self.no_limit_news()
        };
        let to = vec![to];
        self.actions.push(Action::TellLimits { to, news });
    }

    /// Notes an ask at this box, which deals the permits, and deals what has accrued.
    fn ask_own_dealer(&mut self, id: &EndpointId, asker: PermitRequester) {
        self.start_allocating(id);
        if let Some(dealer) = self.permits.dealers.get_mut(id) {
            dealer.on_ask(asker, self.now);
        }
        self.deal_permits(id);
    }

    fn deal_permits(&mut self, id: &EndpointId) {
        let Some(rate) = self.fleet.limits.of(id) else {
            return;
        };
        let Some(endpoint) = self.fleet.get(id).map(|e| e.spec.incarnation()) else {
            return;
        };
        let Some(dealer) = self.permits.dealers.get_mut(id) else {
            return;
        };
        for dealt in dealer.allocate(rate, self.now) {
            self.permits.counts.allocated += u64::from(dealt.wanted);
            self.grant(&endpoint, dealt);
        }
    }

    fn grant(&mut self, endpoint: &EndpointIncarnation, dealt: PermitRequester) {
        if dealt.reply_to == self.cfg.address {
            let now = self.now;
            self.fleet.limits.on_granted(endpoint, dealt.wanted, now);
            return;
        }
        let grant = PermitGrant {
            endpoint: endpoint.clone(),
            permits: dealt.wanted,
        };
        let news = LimitUpdate {
            grants: vec![grant],
            ..self.no_limit_news()
        };
        let to = vec![dealt.reply_to];
        self.actions.push(Action::TellLimits { to, news });
    }

    /// Has requests look for an endpoint again that wait for one of this service.
    fn wake_waiting(&mut self, endpoint: &EndpointIncarnation) {
        let Some(service) = self
            .fleet
            .get_incarnation(endpoint)
            .map(|e| e.spec.service.clone())
        else {
            return;
        };
        let waiting = self.requests.iter();
        let waiting = waiting.filter(|(_, r)| r.next_placement.is_some() && r.service == service);
        let waiting: Vec<RequestNumber> = waiting.map(|(number, _)| *number).collect();
        for number in waiting {
            if !self.fleet.limits.may_send(&endpoint.id, self.now) {
                return;
            }
            if let Some(request) = self.requests.get_mut(&number) {
                request.next_placement = None;
            }
            self.start_attempt_anywhere(number);
        }
    }

    /// Deals, tells and forgets what is due.
    pub(super) fn tend_limits(&mut self) {
        self.tell_limits_if_due();
        if self.fleet.limits.is_empty() && self.permits.dealers.is_empty() {
            return;
        }
        self.fleet.limits.settle(self.now);
        let dealers: Vec<EndpointId> = self.permits.dealers.keys().cloned().collect();
        for id in dealers {
            let own = EndpointIncarnation::from(id.clone());
            self.deal_permits(&id);
            self.wake_waiting(&own);
        }
    }

    /// Notes that a request is sent to an endpoint, with a permit if it names a limit.
    pub(super) fn use_permit(&mut self, id: &EndpointId) {
        if self.fleet.limits.on_sent(id, self.now) {
            self.permits.counts.used += 1;
        }
    }

    /// Whether a request may be sent to an endpoint.
    pub(super) fn may_send_to(&self, endpoint: &Endpoint) -> bool {
        self.fleet.limits.may_send(&endpoint.spec.id, self.now)
    }

    /// The counts since this was asked last.
    pub fn take_permit_counts(&mut self) -> PermitCounts {
        std::mem::take(&mut self.permits.counts)
    }
}

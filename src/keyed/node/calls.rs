//! Calls of plain services, above all those that may run at most once.
//!
//! A call that may run once is started only by the home of its slice, and only after the intent is
//! held by the successor, or by the platform where there is no successor. What is known of a call
//! is kept for the callers' retry horizon, so that a repeated call gets the stored answer or is
//! told that the outcome is unknown. "Not run" is said only where that is certain.

mod intents;
mod outcomes;
mod records;

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::keyed::bundle::Bundle;
use crate::keyed::node::Node;
use crate::keyed::node::action::{Action, ServiceCall};
use crate::keyed::node::admission::{Pool, Waiting};
use crate::keyed::node::config::{MAX_HOPS, RETRY_AFTER};
use crate::keyed::node::generate::{key_reused, no_bundle, not_served};
use crate::keyed::node::roster::slice_of;
use crate::keyed::node::routing::{self, Need};
use crate::schema::{
    Answered, Attempt, BoxId, CallRequest, CallSpec, Detach, EndpointId, Member, Micros,
    OnceRecord, OnceState, Reason, Refusal, Request, RequestKey, RequestKind, SliceId, Submit,
};

/// How many records of calls are kept for each request that may be held at once.
const RECORDS_PER_REQUEST: usize = 16;
/// Runs of one call before it is given up.
const MAX_RUNS: u32 = 4;
/// What a caller whose call can't be settled is told.
const UNKNOWN_DETAIL: &str = "the call may have run and will not be repeated; look at its effect before you send it under a new key";

/// How far a call has got at this box.
#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// Waits for an endpoint.
    Queued,
    /// The intent is on its way to whoever has to hold it.
    Intent(EndpointId),
    /// Waits for a backoff to end; the intent is held.
    Backoff,
    /// Was handed to an endpoint.
    Sent(EndpointId),
    /// Nothing more happens.
    Settled,
}

/// A call that this box runs, or a record of one.
#[derive(Debug)]
struct Call {
    record: OnceRecord,
    request: Option<Request>,
    bundle: Option<Arc<Bundle>>,
    phase: Phase,
    attempt: Attempt,
    waiters: Vec<(Member, u64)>,
    deadline: Option<Micros>,
    touched: Micros,
    may_have_run: bool,
}

impl Call {
    fn repeatable(&self) -> bool {
        self.request.as_ref().is_some_and(|r| !r.runs_once())
    }

    fn call(&self) -> Option<&CallRequest> {
        match &self.request.as_ref()?.kind {
            RequestKind::Call(call) => Some(call),
            RequestKind::Generate(_) => None,
        }
    }
}

/// All calls that a node knows of.
#[derive(Debug, Default)]
pub struct Calls {
    table: BTreeMap<RequestKey, Call>,
    active: usize,
}

impl Calls {
    /// How many calls are going on.
    #[must_use]
    pub fn active(&self) -> usize {
        self.active
    }

    fn insert(&mut self, call: Call) {
        self.active += usize::from(call.phase != Phase::Settled);
        self.table.insert(call.record.key.clone(), call);
    }

    fn remove(&mut self, key: &RequestKey) -> Option<Call> {
        let call = self.table.remove(key)?;
        self.active -= usize::from(call.phase != Phase::Settled);
        Some(call)
    }

    /// Ends a call and returns who waits for it.
    fn settle(&mut self, key: &RequestKey) -> Vec<(Member, u64)> {
        let Some(call) = self.table.get_mut(key) else {
            return Vec::new();
        };
        self.active -= usize::from(call.phase != Phase::Settled);
        call.phase = Phase::Settled;
        std::mem::take(&mut call.waiters)
    }

    /// How many records are kept, of calls going on or settled.
    #[must_use]
    pub fn records(&self) -> usize {
        self.table.len()
    }

    /// The records of a slice, as another box needs them. A call that is only queued has none.
    #[must_use]
    pub fn records_of(&self, slice: SliceId) -> Vec<OnceRecord> {
        self.table
            .values()
            .filter(|c| !c.repeatable() && slice_of(&c.record.key) == slice)
            .filter(|c| !matches!(c.phase, Phase::Queued | Phase::Intent(_)))
            .map(|c| c.record.clone())
            .collect()
    }
}

impl Node {
    /// Takes a call of a plain service.
    pub(super) fn submit_call(&mut self, submit: Submit) {
        let key = submit.request.key.clone();
        if submit.request.runs_once()
            && !self.membership.is_home(slice_of(&key))
            && !self.calls.table.contains_key(&key)
        {
            return self.pass_call_on(submit);
        }
        if let Some(call) = self.calls.table.get_mut(&key) {
            if call.record.body_hash != submit.request.body_hash {
                return self.refuse_submit(&submit, key_reused());
            }
            if call.phase != Phase::Settled {
                let waiter = (submit.receiver, submit.subscription);
                if !call.waiters.contains(&waiter) {
                    call.waiters.push(waiter);
                }
                return;
            }
            let state = call.record.state.clone();
            return self.answer_known(&submit, state);
        }
        if let Err(refusal) = self.begin_call(&submit) {
            self.refuse_submit(&submit, refusal);
        }
    }

    /// Passes a call on to the home of its slice.
    fn pass_call_on(&mut self, mut submit: Submit) {
        let home = self
            .membership
            .call_home(&self.cfg.domain, &submit.request.key);
        let home = home.filter(|h| h.id != self.cfg.me.id && submit.hops < MAX_HOPS);
        if let Some(home) = home.filter(|h| self.membership.is_live(&h.id, self.now)) {
            submit.hops += 1;
            return self.out.send(&home, submit);
        }
        let refusal = closed(&submit);
        self.refuse_submit(&submit, refusal);
    }

    /// Answers a call that was made before.
    fn answer_known(&mut self, submit: &Submit, state: OnceState) {
        match state {
            OnceState::Answered(answer) => {
                let answered = Answered {
                    subscription: submit.subscription,
                    answer,
                };
                self.out.send(&submit.receiver, answered);
            }
            OnceState::Intent | OnceState::NotRun | OnceState::Unknown => {
                self.stats.calls_unknown += 1;
                let refusal = Refusal::unknown(Reason::OutcomeUnknown, UNKNOWN_DETAIL);
                self.refuse_submit(submit, refusal);
            }
        }
    }

    fn begin_call(&mut self, submit: &Submit) -> Result<(), Refusal> {
        let request = &submit.request;
        let RequestKind::Call(call) = &request.kind else {
            return Err(not_served(Reason::UnknownService, "not a call"));
        };
        let bundle = self.bundles.current().ok_or_else(no_bundle)?;
        let spec = check_call(&bundle, request, call)?;
        if !spec.repeatable {
            self.check_slice(submit)?;
        }
        self.make_room()?;
        if self.calls.table.len() >= self.cfg.max_requests * RECORDS_PER_REQUEST {
            let detail = "this box keeps as many call records as it may; come back later";
            return Err(Refusal::not_run(Reason::Overloaded, RETRY_AFTER, detail));
        }
        let pool = Pool::Service(call.service.clone());
        let deadline = request.deadline.map(|d| self.now.after(d.into()));
        let waiting = waiting_for(request, &bundle, deadline);
        let entry = Call {
            record: OnceRecord {
                key: request.key.clone(),
                body_hash: request.body_hash,
                state: OnceState::NotRun,
            },
            request: Some(request.clone()),
            bundle: Some(bundle),
            phase: Phase::Queued,
            attempt: Attempt(0),
            waiters: vec![(submit.receiver.clone(), submit.subscription)],
            deadline,
            touched: self.now,
            may_have_run: false,
        };
        self.admit(&pool, waiting)?;
        self.calls.insert(entry);
        self.dispatch(&pool);
        Ok(())
    }

    /// Checks that this box may start calls of a request's slice, and that this one has not run.
    fn check_slice(&self, submit: &Submit) -> Result<(), Refusal> {
        let slice = slice_of(&submit.request.key);
        let open = self.slices.is_open(slice);
        if !open || self.membership.may_act_until(slice, self.now).is_none() {
            return Err(closed(submit));
        }
        let certain = submit.request.first && !submit.repeated;
        if !certain && self.slices.is_unknown(slice, self.now) {
            return Err(Refusal::unknown(Reason::OutcomeUnknown, UNKNOWN_DETAIL));
        }
        Ok(())
    }

    /// Starts a waiting call; returns whether an endpoint takes it.
    pub(super) fn start_call(&mut self, key: &RequestKey) -> bool {
        let Some(call) = self
            .calls
            .table
            .get(key)
            .filter(|c| c.phase == Phase::Queued)
        else {
            return true;
        };
        let repeatable = call.repeatable();
        let Some(endpoint) = self.choose_service(key) else {
            return false;
        };
        if repeatable {
            self.send_call(key, endpoint);
        } else {
            self.hold_intent(key, endpoint);
        }
        true
    }

    fn choose_service(&mut self, key: &RequestKey) -> Option<EndpointId> {
        let call = self.calls.table.get(key)?;
        let request = call.call()?;
        let need = Need {
            candidates: call.bundle.as_ref()?.endpoints_for(&request.service),
            avoid: &[],
            adapter: None,
            blocks: &[],
            bytes: 0,
            domain: &self.cfg.domain,
        };
        routing::choose(
            self.cfg.routing,
            &self.endpoints,
            &need,
            self.now,
            &mut self.rng,
        )
    }

    /// Hands a call to an endpoint.
    fn send_call(&mut self, key: &RequestKey, endpoint: EndpointId) {
        let slice = slice_of(key);
        let until = self.membership.may_act_until(slice, self.now);
        let may_start = self.slices.is_open(slice) && until.is_some();
        let Some(call) = self.calls.table.get_mut(key) else {
            return;
        };
        let repeatable = call.repeatable();
        if !repeatable && !may_start {
            return self.unstart_call(key);
        }
        let address = self.endpoints.get(&endpoint).map(|e| e.address.clone());
        let (Some(request), Some(address)) = (call.call().cloned(), address) else {
            return self.unstart_call(key);
        };
        call.attempt = Attempt(call.attempt.0 + 1);
        call.phase = Phase::Sent(endpoint.clone());
        let spec = call
            .bundle
            .as_ref()
            .and_then(|b| b.call(&request.service, &request.call));
        let limit = spec.map_or(RETRY_AFTER, |s| s.max_ms.into());
        if call.attempt == Attempt(1)
            && let (Some(request), Some(bundle)) = (&call.request, &call.bundle)
        {
            let percent = bundle.policy().retry_percent;
            self.budgets
                .on_first_try(&request.organisation, &endpoint, percent);
        }
        let attempt = call.attempt;
        self.endpoints.on_start(&endpoint, self.now);
        self.stats.calls_sent += 1;
        self.out.note("call_sent", key, &endpoint);
        self.out.push(Action::CallService(Box::new(ServiceCall {
            endpoint,
            address,
            service: request.service,
            call: request.call,
            key: key.clone(),
            attempt,
            body: request.body,
            not_after: until.filter(|_| !repeatable),
            give_up: self.now.after(limit),
            epoch: self.membership.epoch(),
        })));
    }

    /// Takes back a call whose intent is held but which was not sent.
    fn unstart_call(&mut self, key: &RequestKey) {
        self.copy_state(key, OnceState::NotRun);
        let detail = "the lease ran out before the call was sent; come back with the same key";
        self.refuse_call(
            key,
            &Refusal::not_run(Reason::SliceClosed, RETRY_AFTER, detail),
        );
    }

    /// A caller of a call has gone; the call itself goes on.
    pub(super) fn detach_call(&mut self, from: &BoxId, detach: &Detach) {
        if let Some(call) = self.calls.table.get_mut(&detach.key) {
            call.waiters
                .retain(|(m, s)| &m.id != from || *s != detach.subscription);
        }
    }
}

/// Refuses a call whose slice this box can't act for. Only a key that can't have been used
/// before is certain not to have run.
fn closed(submit: &Submit) -> Refusal {
    let detail = "the box in charge of this key is being replaced; come back with the same key";
    let refusal = Refusal::not_run(Reason::SliceClosed, RETRY_AFTER, detail);
    if submit.request.first && !submit.repeated {
        return refusal;
    }
    Refusal {
        ran: crate::schema::Ran::Unknown,
        ..refusal
    }
}

fn check_call(bundle: &Bundle, request: &Request, call: &CallRequest) -> Result<CallSpec, Refusal> {
    let refuse = |reason, detail: &str| Err(not_served(reason, detail));
    let Some(organisation) = bundle.organisation(&request.organisation) else {
        return refuse(
            Reason::UnknownOrganisation,
            "the bundle in force has no such organisation",
        );
    };
    let spec = bundle.call(&call.service, &call.call);
    let Some(spec) = spec.filter(|_| organisation.services.contains(&call.service)) else {
        return refuse(
            Reason::UnknownService,
            "the organisation is not served by this service or call",
        );
    };
    Ok(spec.clone())
}

/// What waits for an endpoint on behalf of a call.
fn waiting_for(request: &Request, bundle: &Bundle, deadline: Option<Micros>) -> Waiting {
    let organisation = bundle.organisation(&request.organisation);
    Waiting {
        key: request.key.clone(),
        organisation: request.organisation.clone(),
        weight: organisation.map_or(1, |o| o.weight),
        priority: request.priority,
        cost: 1.0,
        deadline,
    }
}

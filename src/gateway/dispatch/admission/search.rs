//! The search for room at engines, and the start of requests that wait for it.
//!
//! Room is looked for at an engine when an attempt there has ended, when a peer reports less load
//! there, and when the list of endpoints changed; each such event starts at most one request at the
//! engine, so that prompts are not prefilled behind each other. All engines are looked at each
//! [`SWEEP_INTERVAL`], because a report that expires or an endpoint that is used again is no event.
//!
//! Many boxes see the same room. A box that started a request there has told the others after
//! [`REPORT_TIME`], so each box looks for room after a random delay of some multiples of it. The box
//! whose own attempt ended is exempt from the random delay. Where there are tiers, those after the
//! first wait [`HEAD_START`] longer. Without delays, about 20 boxes sent their requests to the same
//! engine within 50 ms.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use super::queue::WaitQueue;
use super::room::Room;
use super::waiting::SWEEP_INTERVAL;
use crate::gateway::dispatch::Dispatcher;
use crate::gateway::dispatch::attempts::Choice;
use crate::gateway::dispatch::event::{RequestNumber, Tokens};
use crate::gateway::dispatch::fleet::{Endpoint, Usage};
use crate::gateway::dispatch::priority::Tier;
use crate::gateway::dispatch::request::Request;
use crate::gateway::dispatch::table::EngineSpec;
use crate::schema::{EndpointId, EndpointUsage, ServiceId};

/// Time after which peers in the failure domain know of an attempt that started here: reports are
/// collected for up to 10 ms.
const REPORT_TIME: Duration = Duration::from_millis(15);
/// Maximum number of multiples of [`REPORT_TIME`] over which boxes spread their searches.
const MAX_SPREAD: u32 = 8;
/// The same for requests of the first of several tiers, of which few wait at once.
const MAX_FIRST_TIER_SPREAD: u32 = 2;
/// Time by which the first tier precedes the others: that of a report and of its spread.
const HEAD_START: Duration = Duration::from_millis(45);
/// Requests that are tried at an engine with room before the search ends: the first ones may be
/// barred from it by a roll-out, a limit or an earlier attempt.
const MAX_CANDIDATES: usize = 4;

/// Whose load at an engine became less.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::gateway::dispatch) enum FreedBy {
    /// This box.
    Own,
    /// A peer, or an unknown cause.
    Other,
}

impl Dispatcher {
    /// Schedules a search at an engine that has room for a waiting request.
    pub(in crate::gateway::dispatch) fn search_for(
        &mut self,
        number: RequestNumber,
        at: &EndpointId,
    ) {
        if let Some(request) = self.requests.get(&number) {
            let service = request.service.clone();
            self.search_at(&service, at, FreedBy::Other);
        }
    }

    /// Handles the end of an attempt of this box at an engine.
    pub(in crate::gateway::dispatch) fn on_own_load_ended(&mut self, id: &EndpointId) {
        self.on_less_load(id, 1, FreedBy::Own);
    }

    /// The load of engines that a peer's report is about, to compare it with that after the report.
    pub(in crate::gateway::dispatch) fn load_at(
        &self,
        reports: &[EndpointUsage],
    ) -> Vec<(EndpointId, Usage)> {
        let engines = reports
            .iter()
            .filter(|report| report.memory > 0 || report.running == 0);
        let known = engines.filter_map(|report| self.fleet.get_incarnation(&report.endpoint));
        known
            .map(|e| (e.spec.id.clone(), self.fleet.usage(e, self.now)))
            .collect()
    }

    /// Handles a peer's report that was applied; `before` is the load without it.
    pub(in crate::gateway::dispatch) fn on_load_reported(
        &mut self,
        before: &[(EndpointId, Usage)],
    ) {
        for (id, before) in before {
            let Some(endpoint) = self.fleet.get(id) else {
                continue;
            };
            let after = self.fleet.usage(endpoint, self.now);
            if after.running < before.running || after.memory < before.memory {
                let ended = before.running.saturating_sub(after.running);
                self.on_less_load(id, ended, FreedBy::Other);
            }
        }
    }

    fn on_less_load(&mut self, id: &EndpointId, runs: u32, by: FreedBy) {
        let Some(endpoint) = self.fleet.get(id) else {
            return;
        };
        let service = endpoint.spec.service.clone();
        let spec = self.table.as_ref().and_then(|t| t.service(&service));
        let has_engines = spec.is_some_and(|s| s.engine.is_some());
        if !has_engines && !self.room_waits.has_waiting(&service) {
            return;
        }
        let waits = self.room_waits.services.entry(service.clone()).or_default();
        waits.rate.on_freed(runs, self.now);
        if !waits.queue.is_empty() {
            self.search_at(&service, id, by);
        }
    }

    /// Schedules a search for a request that can start at an engine.
    fn search_at(&mut self, service: &ServiceId, id: &EndpointId, by: FreedBy) {
        let Some(waits) = self.room_waits.services.get(service) else {
            return;
        };
        let most_urgent = waits.queue.iter().filter_map(|w| w.tier).min();
        let (boxes, _) = self.known_boxes();
        let peers = u32::try_from(boxes.saturating_sub(1)).unwrap_or(MAX_SPREAD);
        let delay = self.search_delay(most_urgent, by, peers.min(MAX_SPREAD));
        let at = self.now.after(delay);
        let due = self.room_waits.searches.entry(id.clone()).or_insert(at);
        *due = at.min(*due);
    }

    /// The delay of a search while requests of this tier wait and up to `spread` peers may compete.
    fn search_delay(&mut self, most_urgent: Option<Tier>, by: FreedBy, spread: u32) -> Duration {
        match (most_urgent.map(Tier::is_first), by) {
            _ if spread == 0 => Duration::ZERO,
            (None | Some(true), FreedBy::Own) => Duration::ZERO,
            (None, FreedBy::Other) => self.spread(spread),
            (Some(true), FreedBy::Other) => self.spread(spread.min(MAX_FIRST_TIER_SPREAD)),
            (Some(false), FreedBy::Own) => HEAD_START,
            (Some(false), FreedBy::Other) => HEAD_START + REPORT_TIME + self.spread(spread),
        }
    }

    fn spread(&mut self, reports: u32) -> Duration {
        (REPORT_TIME * reports).mul_f64(self.rng.random())
    }

    /// Starts, moves on or refuses waiting requests as far as that is due.
    pub(in crate::gateway::dispatch) fn serve_waiting(&mut self) {
        if self.room_waits.is_empty() {
            self.room_waits.searches.clear();
            return;
        }
        for id in self.room_waits.take_due_searches(self.now) {
            self.start_first_at(&id);
        }
        for service in self.room_waits.take_due_sweeps(self.now) {
            self.sweep(&service);
        }
    }

    /// Starts the first waiting request that fits at an engine, there or at a better one with room.
    pub(super) fn start_first_at(&mut self, id: &EndpointId) {
        let Some(endpoint) = self.fleet.get(id) else {
            return;
        };
        let Some(waits) = self.room_waits.services.get(&endpoint.spec.service) else {
            return;
        };
        if !self.has_room_for_any(endpoint, &self.least_demands(&waits.queue)) {
            return;
        }
        let fits = |number: &RequestNumber| {
            let waiting = waits.queue.get(*number).zip(self.requests.get(number));
            waiting.is_some_and(|(w, request)| self.has_room(endpoint, request, w.memory))
                && self.may_run_at(*number, id)
        };
        let order = waits.queue.order(self.now);
        let candidates: Vec<_> = order
            .into_iter()
            .filter(fits)
            .take(MAX_CANDIDATES)
            .collect();
        for number in candidates {
            if let Choice::Start(to) = self.choose_endpoint(number) {
                self.start_attempt(number, &to, None);
                return;
            }
        }
    }

    /// Whether an engine has room for a request if that takes this much KV memory. The request's own
    /// table says what memory the engine has: a later one may not name the service any more.
    pub(in crate::gateway::dispatch) fn has_room(
        &self,
        at: &Endpoint,
        request: &Request,
        memory: Tokens,
    ) -> bool {
        let demand = request.engine.map(|engine| (engine, memory));
        demand.is_some_and(|demand| self.has_room_for_any(at, &[demand]))
    }

    /// Whether an engine has room for one of several demands.
    fn has_room_for_any(&self, at: &Endpoint, demands: &[(EngineSpec, Tokens)]) -> bool {
        let usage = self.fleet.usage(at, self.now);
        let room = |engine| Room::new(at.spec.slots, engine, usage);
        demands
            .iter()
            .any(|(engine, memory)| room(*engine).admits(*memory))
    }

    /// The least KV memory that a waiting request takes, for each size of an engine's memory that their
    /// tables state.
    fn least_demands(&self, queue: &WaitQueue) -> Vec<(EngineSpec, Tokens)> {
        let mut least: BTreeMap<u32, (EngineSpec, Tokens)> = BTreeMap::new();
        for waiting in queue.iter() {
            let request = self.requests.get(&waiting.number);
            let Some(engine) = request.and_then(|request| request.engine) else {
                continue;
            };
            let demand = (engine, waiting.memory);
            let known = least.entry(engine.kv_tokens).or_insert(demand);
            known.1 = known.1.min(waiting.memory);
        }
        least.into_values().collect()
    }

    /// Looks at all engines and waiting requests of a service.
    fn sweep(&mut self, service: &ServiceId) {
        let Some(waits) = self.room_waits.services.get(service) else {
            return;
        };
        let order = waits.queue.order(self.now);
        self.allow_tried(&order);
        let Some(first) = order.first().copied() else {
            return;
        };
        self.request_missing_permit(first);
        match self.choose_endpoint(first) {
            Choice::Nothing => return self.stop_waiting_like(first, &order),
            Choice::Start(id) => self.search_at(service, &id, FreedBy::Other),
            Choice::NoRoom => self.start_before_late(service, first),
        }
        self.search_engines_with_room(service, order.len());
        self.refuse_hopeless(service);
    }

    /// Ends the wait for room of a request that no endpoint can take, and of those that may use no
    /// other endpoints: all of them, or those whose streams are bound to the same version.
    fn stop_waiting_like(&mut self, first: RequestNumber, order: &[RequestNumber]) {
        let version = |number: &RequestNumber| self.requests.get(number)?.version.clone();
        let bound = version(&first);
        let like = order.iter().copied();
        let like: Vec<RequestNumber> = match bound {
            Some(_) => like.filter(|number| version(number) == bound).collect(),
            None => like.collect(),
        };
        for number in like {
            self.stop_waiting(number, false);
            self.wait_for_endpoint(number);
        }
    }

    /// Whether the version that began the stream of a request lets it run at an engine.
    fn may_run_at(&self, number: RequestNumber, id: &EndpointId) -> bool {
        let request = self.requests.get(&number);
        let pair = request.zip(self.fleet.get(id));
        pair.is_some_and(|(request, endpoint)| Self::is_of_version(request, endpoint))
    }

    /// Lets requests that have waited for a sweep start again at endpoints that they tried: these may
    /// have recovered.
    fn allow_tried(&mut self, numbers: &[RequestNumber]) {
        for number in numbers {
            if let Some(request) = self.requests.get_mut(number) {
                request.tried.clear();
            }
        }
    }

    /// Refuses late requests that can't be expected to start, because those in time start before them.
    /// While this box stops, those in time are judged too.
    pub(in crate::gateway::dispatch) fn refuse_hopeless(&mut self, service: &ServiceId) {
        let (now, is_stopping) = (self.now, self.is_stopping());
        let Some(waits) = self.room_waits.services.get(service) else {
            return;
        };
        let is_judged = |number| {
            let waiting = waits.queue.get(number);
            is_stopping || waiting.is_some_and(|w| w.is_late(now))
        };
        let order = waits.queue.order(now).into_iter().enumerate();
        let judged: Vec<_> = order.filter(|(_, number)| is_judged(*number)).collect();
        let mut ended = 0;
        for (place, number) in judged {
            if self.is_hopeless(service, number, place - ended) {
                self.refuse_for_room(number, place - ended);
                ended += 1;
            }
        }
    }

    /// Schedules searches at engines that have room for a waiting request.
    fn search_engines_with_room(&mut self, service: &ServiceId, waiting: usize) {
        let Some(waits) = self.room_waits.services.get(service) else {
            return;
        };
        let demands = self.least_demands(&waits.queue);
        let engines = self.fleet.of_service(service);
        let engines = engines.filter(|e| self.fleet.may_send(e, self.now));
        let with_room = engines.filter(|e| self.has_room_for_any(e, &demands));
        let ids = with_room.map(|e| e.spec.id.clone());
        let found: Vec<EndpointId> = ids.take(waiting).collect();
        for id in found {
            self.search_at(service, &id, FreedBy::Other);
        }
    }

    /// Starts the first waiting request at an engine that has room for its prompt only, if it would
    /// otherwise be late at the next sweep and is not expected to find room by then.
    fn start_before_late(&mut self, service: &ServiceId, first: RequestNumber) {
        let waits = self.room_waits.services.get(service);
        let Some(waiting) = waits.and_then(|w| w.queue.get(first)) else {
            return;
        };
        let left = waiting.latest_in_time.since(self.now);
        let wait = self.expected_wait(service, 0).unwrap_or(Duration::MAX);
        if waiting.is_late(self.now) || left >= SWEEP_INTERVAL || wait <= left {
            return;
        }
        let Some(request) = self.requests.get(&first) else {
            return;
        };
        let memory = Tokens(request.arrival.prompt.0.min(request.memory().0));
        let found = self.choose_with_room(request, memory, self.runs_alone(first));
        let found = found.filter(|e| !e.is_avoided(self.now));
        if let Some(id) = found.map(|e| e.spec.id.clone()) {
            self.start_attempt(first, &id, None);
        }
    }
}

//! Requests that wait for room at an engine: when they start, and when they are refused.
//!
//! A stream whose service has no engine with room ([`super::room`]) waits in this box, in the order
//! of [`super::queue`]. Room is looked for at an engine when an attempt there has ended, when a peer
//! reports less load there, and when the list of endpoints changed; each such event starts at most
//! one request at the engine, so that prompts are not prefilled behind each other. All engines are
//! looked at each [`SWEEP_INTERVAL`], because a report that expires or an endpoint that is used again
//! is no event.
//!
//! Many boxes see the same room. A box that started a request there has told the others after
//! [`REPORT_TIME`], so each box looks for room after a random delay of some multiples of it. The box
//! whose own attempt ended is exempt from the random delay. Where there are tiers, those after the
//! first wait [`HEAD_START`] longer. Without delays, about 20 boxes sent their requests to the same
//! engine within 50 ms.
//!
//! A request is refused as not run if its estimated wait ([`super::wait`]) is longer than the time
//! until its latest start, and no engine that this box may use has room. Late requests are judged
//! again at each sweep, since those that are in time start before them. The first request of the
//! queue that would be late if it waited on starts at an engine that has room for its prompt only:
//! the runs there take less than their maximum output on average.
//!
//! A stream that its caller has a part of comes here if it has no replica to resume from. Its pause
//! is too long in any case once its prompt is prefilled again, so it counts as late and takes no
//! room from streams that can be in time. It is never refused: when its latest start has come it
//! starts at the engine of least cost. Starting such streams at once overfilled the few engines that
//! looked free after the loss of a domain (30 streams at an engine with room for 9). For the same
//! reason any stream that goes on after a loss waits for its turn unless the engine has room for
//! [`CONTENDERS`] of them.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;

use super::queue::{WaitQueue, Waiting};
use super::room::Room;
use super::wait::RoomRate;
use crate::gateway::dispatch::Dispatcher;
use crate::gateway::dispatch::attempts::Choice;
use crate::gateway::dispatch::event::{RequestNumber, Tokens};
use crate::gateway::dispatch::fleet::usage::PREFILL_TOKENS_PER_MS;
use crate::gateway::dispatch::fleet::{Endpoint, Usage};
use crate::gateway::dispatch::priority::Tier;
use crate::gateway::dispatch::record::Record;
use crate::gateway::dispatch::refusal::Refusal;
use crate::gateway::dispatch::request::Request;
use crate::schema::{EndpointId, EndpointUsage, Micros, ServiceId};

/// Interval at which all engines are searched for room while requests wait.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time after which peers in the failure domain know of an attempt that started here: reports are
/// collected for up to 10 ms.
const REPORT_TIME: Duration = Duration::from_millis(15);
/// Maximum number of multiples of [`REPORT_TIME`] over which boxes spread their searches.
const MAX_SPREAD: u32 = 8;
/// The same for requests of the first of several tiers, of which few wait at once.
const MAX_FIRST_TIER_SPREAD: u32 = 2;
/// Time by which the first tier precedes the others: that of a report and of its spread.
const HEAD_START: Duration = Duration::from_millis(45);
/// The latest start in time leaves this part of the latency objective for other prompts that are
/// prefilled at the same time.
const START_MARGIN_DIVISOR: u32 = 8;
/// Time for a token of output at an engine under load, in microseconds.
const OUTPUT_TOKEN_MICROS: u64 = 5_000;
/// A stream is assumed to need at most this part of its caller's time: callers may state a much
/// longer output than they get.
const MAX_RUN_DIVISOR: u32 = 2;
/// Requests that are tried at an engine with room before the search ends: the first ones may be
/// barred from it by a roll-out, a limit or an earlier attempt.
const MAX_CANDIDATES: usize = 4;
/// Requests that an engine must have room for if one that goes on after a loss is to start there
/// without a wait: when a third of the engines is lost, each of the others gets about as many.
const CONTENDERS: u32 = 3;
/// Callers wait at most this part of their time before they retry.
const MAX_RETRY_DIVISOR: u32 = 3;
/// Shortest retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Whose load at an engine became less.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::gateway::dispatch) enum FreedBy {
    /// This box.
    Own,
    /// A peer, or an unknown cause.
    Other,
}

/// The waiting requests of a service, and how fast they start.
#[derive(Debug, Default)]
struct ServiceWaits {
    queue: WaitQueue,
    rate: RoomRate,
    next_sweep: Micros,
}

/// All requests that wait for room, and when engines are searched for it.
#[derive(Debug, Default)]
pub(in crate::gateway::dispatch) struct RoomWaits {
    services: BTreeMap<ServiceId, ServiceWaits>,
    /// Time of the next search at engines whose load became less.
    searches: BTreeMap<EndpointId, Micros>,
}

impl RoomWaits {
    /// Whether requests of a service wait.
    pub fn has_waiting(&self, service: &ServiceId) -> bool {
        let waits = self.services.get(service);
        waits.is_some_and(|waits| !waits.queue.is_empty())
    }

    fn is_empty(&self) -> bool {
        self.services.values().all(|waits| waits.queue.is_empty())
    }

    /// Time of the next search or sweep; `None` if no request waits.
    pub fn due(&self) -> Option<Micros> {
        let waiting = self.services.values().filter(|w| !w.queue.is_empty());
        let sweep = waiting.map(|waits| waits.next_sweep).min()?;
        let search = self.searches.values().min().copied();
        Some(search.map_or(sweep, |search| search.min(sweep)))
    }

    /// Schedules a sweep of all services at the next opportunity.
    pub fn sweep_soon(&mut self) {
        for waits in self.services.values_mut() {
            waits.next_sweep = Micros::ZERO;
        }
    }

    fn take_due_searches(&mut self, now: Micros) -> Vec<EndpointId> {
        let due = self.searches.iter().filter(|(_, at)| now >= **at);
        let due: Vec<EndpointId> = due.map(|(id, _)| id.clone()).collect();
        self.searches.retain(|_, at| now < *at);
        due
    }

    fn take_due_sweeps(&mut self, now: Micros) -> Vec<ServiceId> {
        let services = self.services.iter_mut();
        let due = services.filter(|(_, w)| !w.queue.is_empty() && now >= w.next_sweep);
        due.map(|(service, waits)| {
            waits.next_sweep = now.after(SWEEP_INTERVAL);
            service.clone()
        })
        .collect()
    }
}

impl Dispatcher {
    /// The number of requests that wait for room, by tier.
    #[must_use]
    pub fn waiting_by_tier(&self) -> BTreeMap<Option<Tier>, usize> {
        let mut found = BTreeMap::new();
        for waiting in self
            .room_waits
            .services
            .values()
            .flat_map(|w| w.queue.iter())
        {
            *found.entry(waiting.tier).or_default() += 1;
        }
        found
    }

    /// Whether a request may have to wait behind others.
    pub(in crate::gateway::dispatch) fn must_queue(&self, number: RequestNumber) -> bool {
        let request = self.requests.get(&number);
        request.is_some_and(|r| r.waits_for_room() && self.room_waits.has_waiting(&r.service))
    }

    /// Whether other boxes probably place requests at an engine at this moment, for more than it has
    /// room for: a stream that goes on after a loss is one of many.
    pub(in crate::gateway::dispatch) fn is_contended(
        &self,
        number: RequestNumber,
        at: &EndpointId,
    ) -> bool {
        let Some(request) = self.requests.get(&number) else {
            return false;
        };
        let memory = Tokens(request.memory().0.saturating_mul(CONTENDERS));
        let endpoint = self.fleet.get(at);
        request.waits_for_room()
            && request.attempts > 0
            && endpoint.is_some_and(|e| !self.has_room(e, memory))
    }

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

    /// Queues a request; `room` is an engine with room for it, if there is one.
    pub(in crate::gateway::dispatch) fn wait_for_room(
        &mut self,
        number: RequestNumber,
        room: Option<&EndpointId>,
    ) {
        let now = self.now;
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let waiting = waiting_request(number, request, now);
        let (service, tier) = (request.service.clone(), request.tier);
        let id = request.arrival.id.clone();
        let waits = self.room_waits.services.entry(service.clone()).or_default();
        waits.rate.observe(now);
        if waits.queue.is_empty() {
            waits.next_sweep = now.after(SWEEP_INTERVAL);
        }
        waits.queue.insert(waiting);
        if let Some(room) = room {
            self.start_first_at(room);
        }
        let Some(place) = self.place_of(&service, number) else {
            return;
        };
        self.record(Record::Waiting {
            request: id,
            tier: tier.map(Tier::rank),
            place,
        });
        self.refuse_excess(&service);
        if room.is_none() {
            self.refuse_if_hopeless(&service, number);
        }
    }

    /// How many requests start before a waiting one.
    fn place_of(&self, service: &ServiceId, number: RequestNumber) -> Option<usize> {
        let order = self.room_waits.services.get(service)?.queue.order(self.now);
        order.iter().position(|other| *other == number)
    }

    fn refuse_excess(&mut self, service: &ServiceId) {
        let now = self.now;
        let Some(waits) = self.room_waits.services.get_mut(service) else {
            return;
        };
        let place = waits.queue.iter().count();
        for number in waits.queue.take_excess(now) {
            self.refuse_for_room(number, place);
        }
    }

    /// Refuses a waiting request that is not expected to start in time to be of use.
    fn refuse_if_hopeless(&mut self, service: &ServiceId, number: RequestNumber) {
        if let Some(place) = self.place_of(service, number)
            && self.is_hopeless(service, number, place)
        {
            self.refuse_for_room(number, place);
        }
    }

    /// Whether a waiting request with `place` others before it is expected to start too late to be
    /// complete before its deadline.
    fn is_hopeless(&self, service: &ServiceId, number: RequestNumber, place: usize) -> bool {
        let waits = self.room_waits.services.get(service);
        let Some(waiting) = waits.and_then(|w| w.queue.get(number)) else {
            return false;
        };
        let left = waiting.latest_start.since(self.now);
        let wait = self.expected_wait(service, place);
        left.is_zero() || wait.is_some_and(|wait| wait > left)
    }

    /// The estimated wait of a request that has `before` others before it.
    fn expected_wait(&self, service: &ServiceId, before: usize) -> Option<Duration> {
        let (boxes, _) = self.known_boxes();
        let waits = self.room_waits.services.get(service)?;
        waits.rate.wait(before, boxes, self.now)
    }

    /// Refuses a request, unless some engine that this box may use has room: avoided ones count only
    /// here.
    fn refuse_for_room(&mut self, number: RequestNumber, place: usize) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let last_resort = self.choose_with_room(request, request.memory(), self.runs_alone(number));
        if let Some(id) = last_resort.map(|e| e.spec.id.clone()) {
            self.start_attempt(number, &id, None);
            return;
        }
        if request.is_partly_delivered() {
            self.start_without_room(number);
            return;
        }
        let wait = self.expected_wait(&request.service, place);
        let longest = request.time_left(self.now) / MAX_RETRY_DIVISOR;
        let retry_after = wait.unwrap_or_default().min(longest).max(MIN_RETRY_AFTER);
        self.refuse(number, Refusal::no_capacity(retry_after));
    }

    /// Starts a stream that must not be refused, because its caller has a part of it, at the engine of
    /// least cost.
    fn start_without_room(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let best = self.choose_best(request, self.runs_alone(number));
        if let Some(id) = best.map(|e| e.spec.id.clone()) {
            self.start_attempt(number, &id, None);
        } else {
            self.stop_waiting(number, false);
            self.wait_for_endpoint(number);
        }
    }

    /// Removes a request from its queue; returns how long it waited.
    pub(in crate::gateway::dispatch) fn stop_waiting(
        &mut self,
        number: RequestNumber,
        has_started: bool,
    ) -> Option<Duration> {
        let now = self.now;
        let service = &self.requests.get(&number)?.service;
        let waits = self.room_waits.services.get_mut(service)?;
        let waiting = if has_started {
            let started = waits.queue.start(number, now)?;
            waits.rate.on_started(now);
            started
        } else {
            waits.queue.remove(number)?
        };
        Some(now.since(waiting.since))
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
        let service = &endpoint.spec.service;
        let spec = self.table.as_ref().and_then(|t| t.service(service));
        if spec.is_none_or(|s| s.engine.is_none()) {
            return;
        }
        let service = service.clone();
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
    fn start_first_at(&mut self, id: &EndpointId) {
        let Some((room, service)) = self.room_at(id) else {
            return;
        };
        let Some(waits) = self.room_waits.services.get(&service) else {
            return;
        };
        if waits
            .queue
            .least_memory()
            .is_none_or(|least| !room.admits(least))
        {
            return;
        }
        let fits = |number: &RequestNumber| {
            let waiting = waits.queue.get(*number);
            waiting.is_some_and(|w| room.admits(w.memory))
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

    /// Whether an engine has room for a request that takes this much KV memory.
    pub(in crate::gateway::dispatch) fn has_room(&self, at: &Endpoint, memory: Tokens) -> bool {
        let room = self.room_at(&at.spec.id);
        room.is_some_and(|(room, _)| room.admits(memory))
    }

    fn room_at(&self, id: &EndpointId) -> Option<(Room, ServiceId)> {
        let endpoint = self.fleet.get(id)?;
        let service = &endpoint.spec.service;
        let engine = self.table.as_ref()?.service(service)?.engine?;
        let usage = self.fleet.usage(endpoint, self.now);
        let room = Room::new(endpoint.spec.slots, engine, usage);
        Some((room, service.clone()))
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
            Choice::Nothing => {
                for number in order {
                    self.stop_waiting(number, false);
                    self.wait_for_endpoint(number);
                }
                return;
            }
            Choice::Start(id) => self.search_at(service, &id, FreedBy::Other),
            Choice::NoRoom => self.start_before_late(service, first),
        }
        self.search_engines_with_room(service, order.len());
        self.refuse_late(service);
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
    fn refuse_late(&mut self, service: &ServiceId) {
        let now = self.now;
        let Some(waits) = self.room_waits.services.get(service) else {
            return;
        };
        let is_late = |number| waits.queue.get(number).is_some_and(|w| w.is_late(now));
        let order = waits.queue.order(now).into_iter().enumerate();
        let late: Vec<_> = order.filter(|(_, number)| is_late(*number)).collect();
        let mut ended = 0;
        for (place, number) in late {
            if self.is_hopeless(service, number, place - ended) {
                self.refuse_for_room(number, place - ended);
                ended += 1;
            }
        }
    }

    /// Schedules searches at engines that have room for the smallest waiting request.
    fn search_engines_with_room(&mut self, service: &ServiceId, waiting: usize) {
        let waits = self.room_waits.services.get(service);
        let Some(least) = waits.and_then(|w| w.queue.least_memory()) else {
            return;
        };
        let engines = self.fleet.of_service(service);
        let engines = engines.filter(|e| self.fleet.may_send(e, self.now));
        let ids = engines.map(|e| &e.spec.id);
        let with_room = ids.filter(|id| self.room_at(id).is_some_and(|(r, _)| r.admits(least)));
        let found: Vec<EndpointId> = with_room.take(waiting).cloned().collect();
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

fn waiting_request(number: RequestNumber, request: &Request, now: Micros) -> Waiting {
    let prompt = request.arrival.prompt;
    let memory = request.memory();
    let prefill = Duration::from_secs_f64(f64::from(prompt.0) / PREFILL_TOKENS_PER_MS / 1_000.0);
    let output = Duration::from_micros(u64::from(request.arrival.output.0) * OUTPUT_TOKEN_MICROS);
    let objective = request.route.objective;
    let run = (prefill + output).min(request.deadline.since(request.arrived) / MAX_RUN_DIVISOR);
    let first_event = prefill + objective / START_MARGIN_DIVISOR;
    let latest_in_time = if request.is_partly_delivered() {
        Micros::ZERO
    } else {
        request.arrived.after(objective.saturating_sub(first_event))
    };
    Waiting {
        number,
        tier: request.tier,
        organisation: request
            .key_owner
            .as_ref()
            .map(|owner| owner.organisation.clone()),
        prompt: prompt.min(memory),
        memory,
        arrived: request.arrived,
        since: now,
        latest_in_time,
        latest_start: request.deadline.before(run),
    }
}

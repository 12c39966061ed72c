//! Requests that wait for room at an engine: which do, and when they are refused.
//!
//! A stream whose service has no engine with room ([`super::room`]) waits in this box, in the order
//! of [`super::queue`], until a search finds room for it ([`super::search`]).
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

use super::queue::{WaitQueue, Waiting};
use super::wait::RoomRate;
use crate::gateway::dispatch::Dispatcher;
use crate::gateway::dispatch::event::{RequestNumber, Tokens};
use crate::gateway::dispatch::fleet::usage::PREFILL_TOKENS_PER_MS;
use crate::gateway::dispatch::priority::Tier;
use crate::gateway::dispatch::record::Record;
use crate::gateway::dispatch::refusal::Refusal;
use crate::gateway::dispatch::request::Request;
use crate::schema::{EndpointId, Micros, ServiceId};

/// Interval at which all engines are searched for room while requests wait.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Time for a token of output at an engine under load, in microseconds.
const OUTPUT_TOKEN_MICROS: u64 = 5_000;
/// A stream is assumed to need at most this part of its caller's time: callers may state a much
/// longer output than they get.
const MAX_RUN_DIVISOR: u32 = 2;
/// Requests that an engine must have room for if one that goes on after a loss is to start there
/// without a wait: when a third of the engines is lost, each of the others gets about as many.
const CONTENDERS: u32 = 3;
/// Callers wait at most this part of their time before they retry.
const MAX_RETRY_DIVISOR: u32 = 3;
/// Shortest retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The waiting requests of a service, and how fast they start.
#[derive(Debug, Default)]
pub(super) struct ServiceWaits {
    pub(super) queue: WaitQueue,
    pub(super) rate: RoomRate,
    next_sweep: Micros,
}

/// All requests that wait for room, and when engines are searched for it.
#[derive(Debug, Default)]
pub(in crate::gateway::dispatch) struct RoomWaits {
    pub(super) services: BTreeMap<ServiceId, ServiceWaits>,
    /// Time of the next search at engines whose load became less.
    pub(super) searches: BTreeMap<EndpointId, Micros>,
}

impl RoomWaits {
    /// Whether requests of a service wait.
    pub fn has_waiting(&self, service: &ServiceId) -> bool {
        let waits = self.services.get(service);
        waits.is_some_and(|waits| !waits.queue.is_empty())
    }

    /// Services for which requests waited since the start of this box.
    pub fn services(&self) -> impl Iterator<Item = &ServiceId> {
        self.services.keys()
    }

    /// Whether a request of a service waits.
    pub fn is_waiting(&self, service: &ServiceId, number: RequestNumber) -> bool {
        let waits = self.services.get(service);
        waits.is_some_and(|waits| waits.queue.get(number).is_some())
    }

    pub(super) fn is_empty(&self) -> bool {
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

    pub(super) fn take_due_searches(&mut self, now: Micros) -> Vec<EndpointId> {
        let due = self.searches.iter().filter(|(_, at)| now >= **at);
        let due: Vec<EndpointId> = due.map(|(id, _)| id.clone()).collect();
        self.searches.retain(|_, at| now < *at);
        due
    }

    pub(super) fn take_due_sweeps(&mut self, now: Micros) -> Vec<ServiceId> {
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
            && endpoint.is_some_and(|e| !self.has_room(e, request, memory))
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
        if room.is_none() || self.is_stopping() {
            self.refuse_if_hopeless(&service, number);
        }
    }

    /// How many requests start before a waiting one.
    pub(in crate::gateway::dispatch) fn place_of(
        &self,
        service: &ServiceId,
        number: RequestNumber,
    ) -> Option<usize> {
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
    /// complete before its deadline, or before this box exits.
    pub(super) fn is_hopeless(
        &self,
        service: &ServiceId,
        number: RequestNumber,
        place: usize,
    ) -> bool {
        let waits = self.room_waits.services.get(service);
        let Some(waiting) = waits.and_then(|w| w.queue.get(number)) else {
            return false;
        };
        let Some(request) = self.requests.get(&number) else {
            return false;
        };
        let left = waiting.latest_start.since(self.now);
        let wait = self.expected_wait(service, place);
        let may_be_refused = !request.is_partly_delivered();
        left.is_zero()
            || may_be_refused && wait.is_some_and(|wait| wait > left)
            || self.misses_stop(request, wait)
    }

    /// Whether a request is expected to start too late to be complete before this box exits.
    fn misses_stop(&self, request: &Request, wait: Option<Duration>) -> bool {
        let latest = self.latest_start_at_stop(request);
        let starts = self.now.after(wait.unwrap_or_default());
        latest.is_some_and(|latest| starts > latest)
    }

    /// The estimated wait of a request that has `before` others before it.
    pub(in crate::gateway::dispatch) fn expected_wait(
        &self,
        service: &ServiceId,
        before: usize,
    ) -> Option<Duration> {
        let (boxes, _) = self.known_boxes();
        let waits = self.room_waits.services.get(service)?;
        waits.rate.wait(before, boxes, self.now)
    }

    /// Refuses a request, unless some engine that this box may use has room: avoided ones count only
    /// here.
    pub(super) fn refuse_for_room(&mut self, number: RequestNumber, place: usize) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let last_resort = self.choose_with_room(request, request.memory(), self.runs_alone(number));
        if let Some(id) = last_resort.map(|e| e.spec.id.clone())
            && !self.misses_stop(request, None)
        {
            self.start_attempt(number, &id, None);
            return;
        }
        let wait = self.expected_wait(&request.service, place);
        if self.misses_stop(request, wait) {
            self.hand_back(number);
            return;
        }
        if request.is_partly_delivered() {
            self.start_without_room(number);
            return;
        }
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
}

fn waiting_request(number: RequestNumber, request: &Request, now: Micros) -> Waiting {
    let prompt = request.arrival.prompt;
    let memory = request.memory();
    let prefill = Duration::from_secs_f64(f64::from(prompt.0) / PREFILL_TOKENS_PER_MS / 1_000.0);
    let output = Duration::from_micros(u64::from(request.arrival.output.0) * OUTPUT_TOKEN_MICROS);
    let objective = request.route.objective;
    let run = (prefill + output).min(request.deadline.since(request.arrived) / MAX_RUN_DIVISOR);
    let first_event = request.first_event_time();
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

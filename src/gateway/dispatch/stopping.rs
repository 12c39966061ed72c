//! What a stopping box does with each request that it holds.
//!
//! A box that got the signal to stop has a limited time ([`Event::Stop`]), and the connections of its
//! callers end with its process. It hands a request back to its caller as soon as it knows that it
//! can't complete it, so that the caller loses as little time as possible and another box can serve
//! it:
//!
//! | the request | is handed back |
//! |---|---|
//! | waits for room at an engine ([`super::admission::waiting`]) | when the estimated wait and the run exceed the time that is left; judged at the signal, on arrival and at each sweep |
//! | waits for an endpoint, a retry, a version or its prompt | when the run exceeds the time that is left; judged at the signal and at each tick |
//! | is to start another attempt from its prompt | likewise |
//! | resumes from a replica, or runs at an endpoint | at the end: it goes on until then |
//!
//! A request that can't have run is refused as not run, and its caller may come back to another box
//! at once. One that may have run gets an error without that promise. A stream that has begun is cut
//! after a whole event, and its caller goes on from there at another box. All of this happens by the
//! deadline of the stop; the shell exits afterwards.
//!
//! The expected run is that of recent streams ([`super::stream_time`]). A stream that has begun needs
//! the rest of it, and another prefill if it has no replica. A call is expected to take its latency
//! objective.
//!
//! State: when the stop began and ends. docs/design/stops.md discusses the alternatives.
//!
//! [`Event::Stop`]: super::event::Event::Stop

use std::borrow::Cow;
use std::time::Duration;

use super::Dispatcher;
use super::event::RequestNumber;
use super::record::Record;
use super::refusal::{HasRun, Refusal, RefusalReason};
use super::request::{Request, millis};
use crate::schema::{Micros, ServiceId};

/// Time after which the load balancer sends no callers to a box that is not ready: it checks each
/// second and removes a box after two failures.
const BALANCER_DELAY: Duration = Duration::from_millis(2_100);

/// The stop of this box.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Stop {
    began: Micros,
    /// When the requests that are left are handed back.
    deadline: Micros,
}

/// What a request waits for at this box.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Holder {
    /// Room at an engine.
    Room,
    /// An endpoint that can take it.
    Placement,
    /// A retry: the budget, or the verdict on the crash of its last endpoint.
    Retry,
    /// The version of the stream that it continues.
    Version,
    /// The engine that keeps its prompt.
    Prompt,
    /// The first part of an answer from its endpoint.
    Attempt,
    /// The rest of its stream.
    Stream,
}

impl Holder {
    /// Returns the word in the decision log.
    #[must_use]
    pub fn word(self) -> &'static str {
        match self {
            Self::Room => "room",
            Self::Placement => "placement",
            Self::Retry => "retry",
            Self::Version => "version",
            Self::Prompt => "prompt",
            Self::Attempt => "attempt",
            Self::Stream => "stream",
        }
    }
}

impl Dispatcher {
    /// Begins the stop of this box, which ends all requests within `grace`.
    pub(super) fn on_stop(&mut self, grace: Duration) {
        self.stop = Some(Stop {
            began: self.now,
            deadline: self.now.after(grace),
        });
        self.announce_stop();
        for number in self.numbers() {
            if self.must_hand_back(number) {
                self.hand_back(number);
            }
        }
        let services: Vec<ServiceId> = self.room_waits.services().cloned().collect();
        for service in services {
            self.refuse_hopeless(&service);
        }
        for number in self.numbers() {
            self.record_held(number);
        }
    }

    /// Tells other boxes at once that callers can't be sent here.
    fn announce_stop(&mut self) {
        let remote = self.peers.one_of_each_other_domain(&mut self.rng, self.now);
        let to = [self.peers.of_own_domain(self.now), remote].concat();
        if !to.is_empty() {
            self.gossip_state(to);
        }
    }

    fn numbers(&self) -> Vec<RequestNumber> {
        self.requests.keys().copied().collect()
    }

    fn stop_deadline(&self) -> Option<Micros> {
        self.stop.map(|stop| stop.deadline)
    }

    /// Whether this box is stopping.
    pub(super) fn is_stopping(&self) -> bool {
        self.stop.is_some()
    }

    /// When the requests that are left are handed back; `None` unless this box is stopping.
    pub(super) fn next_stop_deadline(&self) -> Option<Micros> {
        self.stop_deadline().filter(|at| *at > self.now)
    }

    /// Whether the time of the stop is over.
    pub(super) fn is_stop_over(&self) -> bool {
        self.stop_deadline().is_some_and(|at| self.now >= at)
    }

    /// Latest time at which a run of a request may start to end before this box exits; `None` unless
    /// this box is stopping.
    pub(super) fn latest_start_at_stop(&self, request: &Request) -> Option<Micros> {
        let left = self.run_left(request);
        self.stop_deadline().map(|at| at.before(left))
    }

    /// The time that a request is still expected to run; from the prompt, unless it runs already.
    fn run_left(&self, request: &Request) -> Duration {
        let rest = self.rest_of_run(request);
        match rest.filter(|_| request.active.is_some()) {
            Some(rest) => rest,
            None => self.next_run(request),
        }
    }

    /// The time that a run of a request takes that starts now.
    fn next_run(&self, request: &Request) -> Duration {
        if !request.route.kind.is_stream() {
            return request.route.objective;
        }
        let whole = self.run_time.expected();
        let rest = self.rest_of_run(request);
        rest.map_or(whole, |rest| whole.min(rest + request.first_event_time()))
    }

    /// What is left of the run of a stream that has begun.
    fn rest_of_run(&self, request: &Request) -> Option<Duration> {
        let has_begun = request.route.kind.is_stream() && request.has_begun;
        let started = request.first_sent.filter(|_| has_begun)?;
        let ran = self.now.since(started);
        Some(self.run_time.expected().saturating_sub(ran))
    }

    /// Whether a run of a request that starts now is not expected to end before this box exits, also if
    /// it replaces one that is running.
    pub(super) fn starts_too_late(&self, request: &Request) -> bool {
        let run = self.next_run(request);
        let latest = self.stop_deadline().map(|at| at.before(run));
        latest.is_some_and(|latest| self.now > latest)
    }

    /// Whether a request must be handed back now, whatever it waits for.
    pub(super) fn must_hand_back(&self, number: RequestNumber) -> bool {
        if !self.is_stopping() {
            return false;
        }
        if self.is_stop_over() {
            return true;
        }
        let request = self.requests.get(&number);
        let is_idle = |request: &&Request| request.active.is_none() && request.replicas.is_empty();
        request
            .filter(is_idle)
            .is_some_and(|request| self.starts_too_late(request))
    }

    /// Hands a request back if a run that starts now would not end before this box exits; returns
    /// whether it did.
    pub(super) fn hand_back_if_late(&mut self, number: RequestNumber) -> bool {
        let request = self.requests.get(&number);
        let is_late = request.is_some_and(|request| self.starts_too_late(request));
        if is_late {
            self.hand_back(number);
        }
        is_late
    }

    /// Hands a request back to its caller, which may take it to another box.
    pub(super) fn hand_back(&mut self, number: RequestNumber) {
        self.record_held(number);
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let has_run = match request.active {
            Some(_) => HasRun::Maybe,
            None => request.has_run(),
        };
        let mut refusal = Refusal::new(RefusalReason::when_stopping(has_run));
        refusal.retry_after = refusal
            .retry_after
            .map(|least| least.max(self.until_served_elsewhere()));
        self.refuse(number, refusal);
    }

    /// Time until callers of this box reach one that can serve them. The load balancer sends them to
    /// another box of the failure domain, if there is one, and back to this one until it has noticed
    /// the stop; then to boxes of other domains. If all boxes stop, the first one is back first.
    fn until_served_elsewhere(&self) -> Duration {
        let Some(stop) = self.stop else {
            return Duration::ZERO;
        };
        if self.peers.has_open_neighbour(self.now) {
            return Duration::ZERO;
        }
        let noticed = stop.began.after(BALANCER_DELAY);
        let is_alone = !self.peers.has_open_box_elsewhere(self.now);
        let first_stop = self.peers.first_stop().filter(|_| is_alone);
        let is_back = first_stop.map_or(noticed, |at| at.after(stop.deadline.since(stop.began)));
        noticed.max(is_back).since(self.now)
    }

    /// What a request waits for at this box.
    fn holder_of(&self, number: RequestNumber, request: &Request) -> Holder {
        if request.active.is_some() {
            return if request.has_begun {
                Holder::Stream
            } else {
                Holder::Attempt
            };
        }
        if self.room_waits.is_waiting(&request.service, number) {
            Holder::Room
        } else if request.retry_at.is_some() {
            Holder::Retry
        } else if request.next_placement.is_some() {
            Holder::Placement
        } else if self.stream_versions.is_looked_up(number) {
            Holder::Version
        } else {
            Holder::Prompt
        }
    }

    /// Records what a request waits for, and how long that may take.
    fn record_held(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let holder = self.holder_of(number, request);
        let place = match holder {
            Holder::Room => self.place_of(&request.service, number),
            _ => None,
        };
        let wait = place.and_then(|place| self.expected_wait(&request.service, place));
        let left = self.stop_deadline().map(|at| at.since(self.now));
        let record = Record::Held {
            request: request.arrival.id.clone(),
            holder: Cow::Borrowed(holder.word()),
            after_ms: request.age_ms(self.now),
            place,
            wait_ms: wait.map(millis),
            run_ms: millis(self.run_left(request)),
            grace_ms: millis(left.unwrap_or_default()),
        };
        self.record(record);
    }
}

//! Callers of the emulated fleet, and the attempts that boxes make for them.

use std::time::Duration;

use magpiemoor::gateway::dispatch::action::{Attempt, Command};
use magpiemoor::gateway::dispatch::event::{
    Arrival, AttemptNumber, Event, Fault as Broken, Outcome as Ended, RequestNumber, Tokens,
};
use magpiemoor::schema::{EndpointId, Fingerprint};
use rand::Rng;

use super::{Fleet, Mail, ORDER_AFTER, OUTSIDE, START};
use crate::gateway::rollout::Decider;
use crate::gateway::rollout::endpoints::{EVENTS, EVENTS_TOGETHER};

/// When a box gives a connection up that nothing answers.
const CONNECT_GIVEN_UP: Duration = Duration::from_millis(120);

/// An attempt at an endpoint.
#[derive(Clone, Debug)]
pub(super) struct Running {
    request: RequestNumber,
    attempt: AttemptNumber,
    endpoint: EndpointId,
    fails: bool,
    is_bad: bool,
    event: Duration,
    next_event: u64,
    is_stream: bool,
}

impl Fleet {
    /// A request arrives at some running box.
    pub(super) fn call(&mut self) {
        let traffic = self.case.traffic;
        let rate = if self.case.engines {
            traffic.streams_per_s
        } else {
            traffic.calls_per_s
        };
        let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
        self.post(0, Duration::from_secs_f64(pause), Mail::Call);
        let running: Vec<usize> = (0..self.boxes.len())
            .filter(|n| self.boxes[*n].is_running && self.frozen_for(*n).is_none())
            .collect();
        if running.is_empty() {
            return;
        }
        let at = running[self.rng.random_range(0..running.len())];
        let route = usize::from(!self.rng.random_bool(traffic.first_route));
        self.boxes[at].next_request += 1;
        let number = self.boxes[at].next_request;
        let key = (at, self.boxes[at].life, RequestNumber(number));
        self.routes.insert(key, route);
        let arrival = Arrival {
            id: format!("{at}-{}-{number}", self.boxes[at].life),
            host: "h".to_owned(),
            path: format!("/{route}/x"),
            key: None,
            timeout: Some(Duration::from_millis(if self.case.engines {
                25_000
            } else {
                2_500
            })),
            after_event: None,
            resumes: None,
            parts: vec![format!("part-{at}-{number}")],
            prompt: Tokens(if self.case.engines { 8_000 } else { 0 }),
            output: Tokens(if self.case.engines { 500 } else { 0 }),
            content: Fingerprint(number),
        };
        self.handle(
            at,
            Event::Arrived {
                request: RequestNumber(number),
                arrival,
            },
        );
    }

    /// Whether the order has come: before it both versions are served alike.
    fn is_ordered(&self) -> bool {
        self.now >= START.after(ORDER_AFTER)
    }

    pub(super) fn command(&mut self, at: usize, request: RequestNumber, command: Command) {
        let life = self.boxes[at].life;
        match command {
            Command::Send(attempt) => self.serve(at, request, *attempt),
            Command::StopAttempt(_) => {
                self.alive.remove(&(at, life, request));
            }
            Command::Deliver | Command::Finish => self.counts.served += 1,
            Command::Refuse(_) => self.counts.lost += 1,
        }
    }

    fn serve(&mut self, at: usize, request: RequestNumber, attempt: Attempt) {
        let is_new = self.endpoints.is_new(&attempt.endpoint);
        if self.is_ordered() {
            let counts = is_new && !self.is_out_of_touch(at);
            self.counts.arrivals.push((self.now, counts));
        }
        let key = (at, self.boxes[at].life, request);
        let route = self.routes.get(&key).copied().unwrap_or_default();
        let resumed = attempt.resume_from.is_some();
        let endpoint = &attempt.endpoint;
        self.alive.insert(key, attempt.attempt);
        let not_sent = Event::Ended {
            request,
            attempt: attempt.attempt,
            outcome: Ended::NotSent,
        };
        let not_sent = Mail::Event(Box::new(not_sent));
        if self.unreachable_for(at, endpoint).is_some() {
            return self.post(at, CONNECT_GIVEN_UP, not_sent);
        }
        if attempt.reports_connection {
            let event = Event::Connected {
                request,
                attempt: attempt.attempt,
            };
            self.post(at, OUTSIDE * 2, Mail::Event(Box::new(event)));
        }
        let served = self
            .endpoints
            .serve(endpoint, route, resumed, self.now, &mut self.rng);
        let Some(served) = served else {
            return self.post(at, OUTSIDE, not_sent);
        };
        let running = Running {
            request,
            attempt: attempt.attempt,
            endpoint: attempt.endpoint,
            fails: served.fails,
            is_bad: served.is_bad_version,
            event: served.event,
            next_event: attempt.after_event.unwrap_or(0) + 1,
            is_stream: self.case.engines,
        };
        self.post(at, OUTSIDE * 2 + served.first, Mail::Step(running));
    }

    /// An attempt has its answer or its next events.
    pub(super) fn step(&mut self, at: usize, mut running: Running) {
        let key = (at, self.boxes[at].life, running.request);
        let is_cut = self.endpoints.old_has_stopped && !self.endpoints.is_new(&running.endpoint);
        if self.alive.get(&key) != Some(&running.attempt) {
            self.endpoints.end(&running.endpoint);
            return;
        }
        if let Some(left) = self.unreachable_for(at, &running.endpoint) {
            return self.post(at, left, Mail::Step(running));
        }
        let fails_now = running.fails && (!running.is_stream || running.next_event > 8);
        let ended = |outcome| Event::Ended {
            request: running.request,
            attempt: running.attempt,
            outcome,
        };
        let event = if is_cut || running.is_stream && fails_now {
            ended(Ended::Broken(Broken::Closed))
        } else if !running.is_stream {
            ended(Ended::Answered {
                status: if fails_now { 500 } else { 200 },
            })
        } else if running.next_event > EVENTS {
            ended(Ended::StreamEnded)
        } else {
            let last_event = running.next_event + EVENTS_TOGETHER - 1;
            let event = Event::Progress {
                request: running.request,
                attempt: running.attempt,
                last_event,
            };
            running.next_event = last_event + 1;
            let next = running.event * EVENTS_TOGETHER as u32;
            self.post(at, next, Mail::Step(running));
            return self.handle(at, event);
        };
        let is_new = self.endpoints.is_new(&running.endpoint);
        let event = wrong_on_purpose(self.case.decider, is_new, event);
        if running.is_bad && self.is_ordered() {
            self.counts.bad_answers.push(self.now);
        }
        self.alive.remove(&key);
        self.endpoints.end(&running.endpoint);
        self.handle(at, event);
    }

    /// The old version stops at once; what runs there is cut.
    pub(super) fn stop_old(&mut self) {
        self.endpoints.old_has_stopped = true;
        let running = self
            .contents
            .values()
            .filter_map(|(to, life, mail)| match mail {
                Mail::Step(running) => Some((*to, *life, running)),
                _ => None,
            });
        let cut = running.filter(|(to, life, running)| {
            let key = (*to, *life, running.request);
            let is_alive = self.alive.get(&key) == Some(&running.attempt);
            is_alive && !self.endpoints.is_new(&running.endpoint)
        });
        let (elsewhere, in_touch): (Vec<_>, Vec<_>) =
            cut.partition(|(to, _, _)| self.is_out_of_touch(*to));
        let (elsewhere, in_touch) = (elsewhere.len(), in_touch.len());
        self.counts.cut_out_of_touch += elsewhere as u32;
        self.counts.cut += in_touch as u32;
        let specs = self.endpoints.specs();
        for at in 0..self.boxes.len() {
            self.list(at, specs.clone());
        }
    }
}

/// What a decider that is wrong on purpose is told instead: one that takes no version for bad hears
/// of no failure, one that blames a version for its domain hears of none elsewhere.
fn wrong_on_purpose(decider: Decider, is_new: bool, event: Event) -> Event {
    let is_told_well = match decider {
        Decider::Real | Decider::AllAtOnce => false,
        Decider::NeverBad => true,
        Decider::BlamesDomain => !is_new,
    };
    match event {
        Event::Ended {
            request,
            attempt,
            outcome: Ended::Answered { .. },
        } if is_told_well => Event::Ended {
            request,
            attempt,
            outcome: Ended::Answered { status: 200 },
        },
        event => event,
    }
}

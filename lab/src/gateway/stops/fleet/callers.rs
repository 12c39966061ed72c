//! Callers: each reads one stream, and comes back a few times where it is refused or broken off.

use std::time::Duration;

use magpiemoor::gateway::dispatch::action::Command;
use magpiemoor::gateway::dispatch::admission::room::Room;
use magpiemoor::gateway::dispatch::event::{Arrival, Event, RequestNumber, Tokens};
use magpiemoor::gateway::dispatch::fleet::Endpoint;
use magpiemoor::gateway::dispatch::refusal::{Refusal, RefusalReason};
use magpiemoor::schema::{EndpointId, Fingerprint, Micros};
use rand::Rng;

use super::engines::{HOST, OBJECTIVE, Run, capacity};
use super::{DOMAINS, Fleet, GRACE, MOST_STORIES, Mail, OUTSIDE, Place, START};

/// Callers come in the first part of a play, and may be served in the rest.
const CALLERS_COME_FOR: Duration = Duration::from_secs(34);
/// How long a caller waits for its stream.
const CALLER_DEADLINE: Duration = Duration::from_secs(25);
/// Callers wait at most this part of their time before they come back.
const MOST_WAIT: u32 = 3;
/// The time until a caller comes back whose connection broke.
const RETRY: Duration = Duration::from_millis(60);
const PROMPT: Tokens = Tokens(4_500);
const OUTPUT: Tokens = Tokens(700);

/// A caller, by its number.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallerId(pub usize);

/// Someone who reads a stream.
#[derive(Clone, Debug)]
pub struct Caller {
    domain: usize,
    came: Micros,
    attempts: u32,
    first_event: Option<Micros>,
    last_event: Option<u64>,
    last_box: Option<usize>,
    is_served: bool,
    /// How often stopping boxes handed it back as not run, and how often it was refused otherwise.
    handed_back: u32,
    refused: u32,
    /// The engine that ran it last.
    pub last_engine: Option<EndpointId>,
}

impl Fleet {
    /// A caller with a stream comes.
    pub(super) fn new_caller(&mut self) {
        let rate = self.case.load * capacity(&self.case, self.engines.len());
        let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
        if self.now() < START.after(CALLERS_COME_FOR) {
            self.mail
                .post(Duration::from_secs_f64(pause), Mail::NewCaller);
        }
        self.callers.push(Caller {
            domain: self.rng.random_range(0..DOMAINS),
            came: self.now(),
            attempts: 0,
            first_event: None,
            last_event: None,
            last_box: None,
            is_served: false,
            handed_back: 0,
            refused: 0,
            last_engine: None,
        });
        self.send_attempt(CallerId(self.callers.len() - 1));
    }

    /// A caller comes back after a while, if it may.
    fn come_back(&mut self, caller: CallerId, after: Duration) {
        if self.callers[caller.0].attempts <= self.case.returns {
            self.mail.post(after, Mail::Attempt(caller));
        }
    }

    /// A caller sends its next attempt.
    pub(super) fn send_attempt(&mut self, caller: CallerId) {
        let asking = &self.callers[caller.0];
        let left = asking.came.after(CALLER_DEADLINE).since(self.now());
        if left.is_zero() {
            return;
        }
        let (domain, last_box) = (asking.domain, asking.last_box);
        let at = self.balance(domain, last_box);
        let asking = &mut self.callers[caller.0];
        asking.attempts += 1;
        asking.last_box = at;
        let Some(at) = at.filter(|at| self.accepts(*at)) else {
            return self.come_back(caller, RETRY);
        };
        let asking = &self.callers[caller.0];
        let arrival = Arrival {
            id: format!("{}-{}", caller.0, asking.attempts),
            host: HOST.to_owned(),
            path: "/x".to_owned(),
            key: None,
            timeout: Some(left),
            after_event: asking.last_event,
            resumes: None,
            parts: vec![format!("{:x}", caller.0)],
            prompt: PROMPT,
            output: OUTPUT,
            content: Fingerprint(caller.0 as u64 + 1),
        };
        let found = &mut self.boxes[at];
        found.next_request += 1;
        let request = RequestNumber(found.next_request);
        self.asked.insert((at, found.life, request), caller);
        self.post_event(at, OUTSIDE, Event::Arrived { request, arrival });
    }

    /// A box decides something about a request.
    pub(super) fn command(&mut self, place: Place, command: Command) {
        match command {
            Command::Send(attempt) => self.begin_run(place, &attempt),
            Command::StopAttempt(_) => self.stop_runs(place),
            Command::Deliver | Command::Finish => {
                if let Some(caller) = self.asked.remove(&place) {
                    self.callers[caller.0].is_served = true;
                }
            }
            Command::Refuse(refusal) => self.refuse(place, refusal),
        }
    }

    fn refuse(&mut self, place: Place, refusal: Refusal) {
        self.stop_runs(place);
        let Some(caller) = self.asked.remove(&place) else {
            return;
        };
        let now = self.now();
        let asking = &mut self.callers[caller.0];
        match refusal.reason {
            RefusalReason::StoppingNotRun => asking.handed_back += 1,
            RefusalReason::Stopping => self.counts.cut += 1,
            _ => asking.refused += 1,
        }
        let left = asking.came.after(CALLER_DEADLINE).since(now);
        let wait = refusal.retry_after.unwrap_or(RETRY).min(left / MOST_WAIT);
        if refusal.reason == RefusalReason::StoppingNotRun && self.could_serve(place.0) {
            self.counts.handed_back_with_room += 1;
            let held = self.held.clone();
            self.tell(place, &format!("handed back with room, {held}"));
        }
        self.come_back(caller, wait);
    }

    /// Whether a stopping box knows of room that there is, and has time for the longest run.
    fn could_serve(&self, at: usize) -> bool {
        let now = self.now();
        let found = &self.boxes[at];
        let grace_ends = found.stopped_at.map(|at| at.after(GRACE));
        // No engine is slower than this when it is full.
        let has_time = grace_ends.is_some_and(|end| end.since(now) > self.case.run * 2);
        let fleet = found.dispatcher.fleet();
        let has_room = |engine: &Endpoint| {
            let service = self.table.service(&engine.spec.service);
            let usage = fleet.usage(engine, now);
            let room = service
                .and_then(|service| service.engine)
                .map(|spec| Room::new(engine.spec.slots, spec, usage));
            let is_known = room.is_some_and(|room| room.admits(Tokens(PROMPT.0 + OUTPUT.0)));
            is_known && fleet.may_send(engine, now) && self.has_room(&engine.spec.id)
        };
        has_time && fleet.iter().any(has_room)
    }

    /// An event arrives at the box, which passes it on to the caller.
    pub(super) fn deliver(&mut self, run: &Run, event: u64) {
        let (at, life, request) = run.place;
        let found = &self.boxes[at];
        let is_awaited = self.asked.get(&run.place) == Some(&run.caller);
        if !found.is_running || found.life != life || !is_awaited {
            return;
        }
        let now = self.now();
        let asking = &mut self.callers[run.caller.0];
        asking.first_event.get_or_insert(now);
        asking.last_event = Some(event);
        let progress = Event::Progress {
            request,
            attempt: run.attempt,
            last_event: event,
        };
        self.handle(at, progress);
    }

    fn asked_of(&self, at: usize, life: u64) -> Vec<Place> {
        let of_box = self.asked.keys().filter(|p| p.0 == at && p.1 == life);
        of_box.copied().collect()
    }

    /// Counts the requests that a box leaves without an answer when it exits.
    pub(super) fn count_unanswered(&mut self, at: usize, life: u64) {
        for place in self.asked_of(at, life) {
            self.counts.unanswered += 1;
            self.tell(place, "unanswered");
        }
    }

    fn tell(&mut self, place: Place, what: &str) {
        if self.counts.stories.len() < MOST_STORIES {
            let at = self.now().0 as f64 / 1e6;
            let story = format!("{at:.3} box {} request {}: {what}", place.0, place.2.0);
            self.counts.stories.push(story);
        }
    }

    /// Callers whose box has ended come back to another one.
    pub(super) fn lose_callers_of(&mut self, at: usize, life: u64) {
        for place in self.asked_of(at, life) {
            self.stop_runs(place);
            if let Some(caller) = self.asked.remove(&place) {
                self.come_back(caller, RETRY);
            }
        }
    }

    /// Counts the callers at the end of a play.
    pub(super) fn count_callers(&mut self) {
        for caller in &self.callers {
            let counts = &mut self.counts;
            let is_in_time = |at: Micros| at.since(caller.came) <= OBJECTIVE;
            counts.callers += 1;
            counts.served += u64::from(caller.is_served);
            counts.in_time += u64::from(caller.first_event.is_some_and(is_in_time));
            counts.handed_back += u64::from(caller.handed_back > 0);
            counts.handed_back_served += u64::from(caller.handed_back > 0 && caller.is_served);
            counts.handed_back_again += u64::from(caller.handed_back > 1);
            counts.refused += u64::from(caller.refused > 0);
        }
    }
}

//! Callers, each with a call of its own, who come back once where they are asked to.

use std::time::Duration;

use magpiemoor::gateway::dispatch::action::Command;
use magpiemoor::gateway::dispatch::event::{Arrival, Event, RequestNumber, Tokens};
use magpiemoor::gateway::dispatch::refusal::Refusal;
use magpiemoor::schema::{Fingerprint, Micros};
use rand::Rng;

use super::setup::{HOST, OBJECTIVE};
use super::{Fleet, Mail};

/// How often a caller sends its call at most.
const TRIES: u32 = 2;
/// The time until a caller comes back that was told none.
const COMES_BACK: Duration = Duration::from_millis(300);
/// How long a caller waits.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// How many times as much callers send in a burst.
const BURST: f64 = 2.0;

/// A caller, by its number.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CallerId(usize);

/// Someone who sends a call.
#[derive(Clone, Debug)]
pub struct Call {
    domain: usize,
    came: Micros,
    tries: u32,
    is_over: bool,
}

impl Fleet {
    /// A caller comes with a new call.
    pub(super) fn new_call(&mut self) {
        let now = self.now();
        let times = if now < self.burst_until { BURST } else { 1.0 };
        let rate = self.case.calls * self.case.boxes as f64 * times;
        let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
        self.mail
            .post(Duration::from_secs_f64(pause), Mail::NewCall);
        let domain = self.rng.random_range(0..self.case.domains);
        self.calls.push(Call {
            domain,
            came: now,
            tries: 0,
            is_over: false,
        });
        self.send_call(CallerId(self.calls.len() - 1));
    }

    /// A caller sends its call to a box of its failure domain, or to any where none runs.
    pub(super) fn send_call(&mut self, caller: CallerId) {
        let domain = self.calls[caller.0].domain;
        let running = |fleet: &Self, near: bool| -> Vec<usize> {
            let all = 0..fleet.boxes.len();
            let running = all.filter(|at| fleet.boxes[*at].is_running);
            let of_domain = running.filter(|at| !near || fleet.domain_of(*at) == domain);
            of_domain.collect()
        };
        let mut among = running(self, true);
        if among.is_empty() {
            among = running(self, false);
        }
        if among.is_empty() {
            return self.mail.post(COMES_BACK, Mail::Again(caller));
        }
        let at = among[self.rng.random_range(0..among.len())];
        let found = &mut self.boxes[at];
        found.next_request += 1;
        let request = RequestNumber(found.next_request);
        self.asked.insert((at, found.life, request), caller);
        let call = &mut self.calls[caller.0];
        call.tries += 1;
        let arrival = Arrival {
            id: format!("{}-{}", caller.0, call.tries),
            host: HOST.to_owned(),
            path: "/x".to_owned(),
            key: None,
            timeout: Some(PATIENCE),
            after_event: None,
            parts: Vec::new(),
            prompt: Tokens(0),
            output: Tokens(0),
            content: Fingerprint(caller.0 as u64),
        };
        self.handle(at, Event::Arrived { request, arrival });
    }

    /// A box does something with a call.
    pub(super) fn command(&mut self, at: usize, request: RequestNumber, command: Command) {
        let place = (at, self.boxes[at].life, request);
        match command {
            Command::Send(attempt) => self.begin_run(place, &attempt),
            Command::StopAttempt(_) => self.stop_run(place),
            Command::Deliver | Command::Finish => {
                if let Some(caller) = self.asked.remove(&place) {
                    self.end_call(caller, true);
                }
            }
            Command::Refuse(refusal) => {
                self.stop_run(place);
                if let Some(caller) = self.asked.remove(&place) {
                    self.on_refused(caller, refusal);
                }
            }
        }
    }

    fn on_refused(&mut self, caller: CallerId, refusal: Refusal) {
        if self.calls[caller.0].tries < TRIES {
            let after = refusal.retry_after.unwrap_or(COMES_BACK);
            self.mail.post(after, Mail::Again(caller));
        } else {
            self.end_call(caller, false);
        }
    }

    fn end_call(&mut self, caller: CallerId, is_served: bool) {
        let now = self.now();
        let call = &mut self.calls[caller.0];
        if std::mem::replace(&mut call.is_over, true) {
            return;
        }
        let callers = &mut self.counts.callers;
        if !is_served {
            callers.lost += 1;
        } else if now.since(call.came) <= OBJECTIVE {
            callers.in_time += 1;
        } else {
            callers.late += 1;
        }
    }

    /// Callers whose box was killed come back to another one.
    pub(super) fn lose_calls_of(&mut self, at: usize, life: u64) {
        let of_box = |place: &super::Place, _: &mut CallerId| place.0 == at && place.1 == life;
        let mut lost: Vec<_> = self.asked.extract_if(of_box).collect();
        lost.sort_by_key(|(place, _)| *place);
        for (place, caller) in lost {
            self.stop_run(place);
            self.mail.post(COMES_BACK, Mail::Again(caller));
        }
    }
}

//! Simulated callers: each sends one call, and retries it once if it is refused.

use std::time::Duration;

use magpiemoor::gateway::dispatch::action::Command;
use magpiemoor::gateway::dispatch::event::{Arrival, Event, RequestNumber, Tokens};
use magpiemoor::gateway::dispatch::refusal::Refusal;
use magpiemoor::schema::{Fingerprint, Micros};
use rand::Rng;

use super::setup::{HOST, OBJECTIVE};
use super::{Fleet, Mail};

/// Maximum number of times that a caller sends its call.
const MAX_TRIES: u32 = 2;
/// Retry delay of a caller whose refusal states none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Timeout of a caller.
const CALLER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Factor by which the call rate rises in a burst.
const BURST: f64 = 2.0;

/// Number of a caller.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CallerId(usize);

/// The state of a caller's call.
#[derive(Clone, Debug)]
pub struct Call {
    domain: usize,
    came: Micros,
    tries: u32,
    is_over: bool,
}

impl Fleet {
    /// Creates a caller, sends its call, and schedules the next caller.
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

    /// Sends a call to a random box of the caller's failure domain, or to any box if none runs there.
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
            return self.mail.post(DEFAULT_RETRY_DELAY, Mail::Again(caller));
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
            timeout: Some(CALLER_TIMEOUT),
            after_event: None,
            resumes: None,
            parts: Vec::new(),
            prompt: Tokens(0),
            output: Tokens(0),
            content: Fingerprint(caller.0 as u64),
        };
        self.handle(at, Event::Arrived { request, arrival });
    }

    /// Executes a command of a box for a call.
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
        if self.calls[caller.0].tries < MAX_TRIES {
            let after = refusal.retry_after.unwrap_or(DEFAULT_RETRY_DELAY);
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

    /// Schedules retries of the callers whose box was killed.
    pub(super) fn lose_calls_of(&mut self, at: usize, life: u64) {
        let of_box =
            |place: &super::RequestAtBox, _: &mut CallerId| place.0 == at && place.1 == life;
        let mut lost: Vec<_> = self.asked.extract_if(of_box).collect();
        lost.sort_by_key(|(place, _)| *place);
        for (place, caller) in lost {
            self.stop_run(place);
            self.mail.post(DEFAULT_RETRY_DELAY, Mail::Again(caller));
        }
    }
}

//! Callers: innocent ones, each with a request of its own, and those who send a crashing one again.

use std::time::Duration;

use magpiemoor::gateway::dispatch::action::Command;
use magpiemoor::gateway::dispatch::event::{Arrival, Event, RequestNumber, Tokens};
use magpiemoor::gateway::dispatch::refusal::{Refusal, RefusalReason};
use magpiemoor::schema::Fingerprint;
use rand::Rng;

use super::setup::HOST;
use super::{CALLERS_AFTER, Fleet, Mail};

/// Innocent requests a second for each box, to engines and to plain servers.
const STREAMS_PER_BOX: f64 = 0.6;
const CALLS_PER_BOX: f64 = 4.0;
/// How often an innocent caller sends its request at most.
const TRIES: u32 = 2;
/// The time until a caller comes back that was told none.
const COMES_BACK: Duration = Duration::from_millis(300);
/// How long a caller waits for a call and for a stream.
const PATIENCE_CALL: Duration = Duration::from_millis(2_500);
const PATIENCE_STREAM: Duration = Duration::from_secs(25);
/// The time until a crashing request is sent again.
const AGAIN: (f64, f64) = (0.2, 3.0);
/// The time within which crashing requests come for the first time.
const FIRST_WITHIN: f64 = 10.0;
/// The share of crashing requests that two callers send side by side.
const SENT_TWICE: f64 = 0.3;

/// A caller, by its number.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CallerId(pub usize);

/// Someone who sends a request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// What is asked for.
    pub content: Fingerprint,
    /// Which of the crashing requests it is.
    pub culprit: Option<usize>,
    /// The last event that came.
    pub last_event: Option<u64>,
    /// The try that brought the first event.
    pub began: Option<String>,
    tries: u32,
    is_over: bool,
}

impl Caller {
    /// The id of its last try.
    pub(super) fn id_of_try(&self, caller: CallerId) -> String {
        format!("{}-{}", caller.0, self.tries)
    }
}

/// What a crashing request asks for.
pub(super) fn content_of(number: usize) -> Fingerprint {
    Fingerprint(number as u64 + 1)
}

impl Fleet {
    /// Has the crashing requests sent for the first time.
    pub(super) fn invite_culprits(&mut self) {
        for number in 0..self.case.culprits {
            let copies = 1 + usize::from(self.rng.random_bool(SENT_TWICE));
            for _ in 0..copies {
                let first = self.rng.random_range(0.0..FIRST_WITHIN);
                let first = CALLERS_AFTER + Duration::from_secs_f64(first);
                let caller = self.add_caller(content_of(number), Some(number));
                self.mail.post(first, Mail::Try(caller));
            }
        }
    }

    fn add_caller(&mut self, content: Fingerprint, culprit: Option<usize>) -> CallerId {
        self.callers.push(Caller {
            content,
            culprit,
            last_event: None,
            began: None,
            tries: 0,
            is_over: false,
        });
        CallerId(self.callers.len() - 1)
    }

    /// An innocent caller comes.
    pub(super) fn call(&mut self) {
        let per_box = if self.case.engines {
            STREAMS_PER_BOX
        } else {
            CALLS_PER_BOX
        };
        let rate = per_box * self.case.boxes as f64;
        let pause = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
        self.mail.post(Duration::from_secs_f64(pause), Mail::Call);
        let content = Fingerprint(1_000_000 + self.callers.len() as u64);
        let caller = self.add_caller(content, None);
        self.send_request(caller);
    }

    /// A caller sends its request to some running box.
    pub(super) fn send_request(&mut self, caller: CallerId) {
        let running: Vec<usize> = (0..self.boxes.len())
            .filter(|at| self.boxes[*at].is_running)
            .collect();
        if running.is_empty() {
            return self.mail.post(COMES_BACK, Mail::Try(caller));
        }
        let at = running[self.rng.random_range(0..running.len())];
        let found = &mut self.boxes[at];
        found.next_request += 1;
        let request = RequestNumber(found.next_request);
        self.asked.insert((at, found.life, request), caller);
        let is_stream = self.case.engines;
        let asking = &mut self.callers[caller.0];
        asking.tries += 1;
        if let Some(culprit) = asking.culprit {
            self.counts.culprits[culprit].tries += 1;
        }
        let arrival = Arrival {
            id: asking.id_of_try(caller),
            host: HOST.to_owned(),
            path: "/x".to_owned(),
            key: None,
            timeout: Some(if is_stream {
                PATIENCE_STREAM
            } else {
                PATIENCE_CALL
            }),
            after_event: asking.last_event,
            resumes: asking.began.clone(),
            parts: vec![format!("part-{}", asking.content.0)],
            prompt: Tokens(if is_stream { 4_000 } else { 0 }),
            output: Tokens(if is_stream { 500 } else { 0 }),
            content: asking.content,
        };
        self.handle(at, Event::Arrived { request, arrival });
    }

    /// A box does something with a request.
    pub(super) fn command(&mut self, at: usize, request: RequestNumber, command: Command) {
        let place = (at, self.boxes[at].life, request);
        match command {
            Command::Send(attempt) => self.begin_run(place, &attempt),
            Command::StopAttempt(_) => self.stop_run(place),
            Command::Deliver | Command::Finish => {
                if let Some(caller) = self.asked.remove(&place) {
                    self.end_caller(caller, true);
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
        let asking = &self.callers[caller.0];
        if asking.culprit.is_some() {
            return self.come_again(caller);
        }
        if refusal.reason == RefusalReason::Quarantined {
            self.counts.blamed += 1;
        }
        if asking.tries < TRIES {
            let after = refusal.retry_after.unwrap_or(COMES_BACK);
            self.mail.post(after, Mail::Try(caller));
        } else {
            self.end_caller(caller, false);
        }
    }

    /// A caller of a crashing request sends it again.
    fn come_again(&mut self, caller: CallerId) {
        let after = self.rng.random_range(AGAIN.0..AGAIN.1);
        self.mail
            .post(Duration::from_secs_f64(after), Mail::Try(caller));
    }

    fn end_caller(&mut self, caller: CallerId, is_served: bool) {
        let asking = &mut self.callers[caller.0];
        if asking.culprit.is_some() {
            return self.come_again(caller);
        }
        if std::mem::replace(&mut asking.is_over, true) {
            return;
        }
        if is_served {
            self.counts.served += 1;
        } else {
            self.counts.lost += 1;
        }
    }

    /// Callers whose box was killed come back to another one.
    pub(super) fn lose_callers_of(&mut self, at: usize, life: u64) {
        let lost = self
            .asked
            .extract_if(|place, _| place.0 == at && place.1 == life);
        let mut lost: Vec<_> = lost.collect();
        lost.sort_by_key(|(place, _)| *place);
        for (place, caller) in lost {
            self.stop_run(place);
            self.mail.post(COMES_BACK, Mail::Try(caller));
        }
    }
}

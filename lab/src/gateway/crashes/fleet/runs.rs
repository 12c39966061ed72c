//! What becomes of attempts at servers, and of servers under them.

use std::time::Duration;

use magpiemoor::gateway::dispatch::action::Attempt;
use magpiemoor::gateway::dispatch::event::{
    AttemptNumber, EndpointChange, Event, Fault, NotRunCause, Outcome,
};
use rand::Rng;

use super::callers::CallerId;
use super::{ENTRY_STAYS, Fleet, Mail, OUTSIDE, Place, SERVER_AWAY};
use crate::gateway::crashes::CrashAt;
use crate::gateway::crashes::servers::RunId;

/// Events of a stream.
const EVENTS: u64 = 100;
/// The event at which a request crashes that does so in its answer.
const CRASHES_AT_EVENT: u64 = 14;
/// How long a crashing request runs that crashes soon.
const CRASHES_SOON: Duration = Duration::from_millis(60);
/// When a box gives a connection up that nothing answers.
const CONNECT_GIVEN_UP: Duration = Duration::from_millis(120);

/// An attempt that runs at a server.
#[derive(Clone, Debug)]
pub struct Run {
    place: Place,
    caller: CallerId,
    attempt: AttemptNumber,
    server: usize,
    next_event: u64,
}

impl Fleet {
    /// A box sends a request to a server.
    pub(super) fn begin_run(&mut self, place: Place, attempt: &Attempt) {
        let at = place.0;
        let Some(caller) = self.asked.get(&place).copied() else {
            return;
        };
        let ended = |outcome| Event::Ended {
            request: place.2,
            attempt: attempt.attempt,
            outcome,
        };
        let Some(server) = self.reach(at, &attempt.endpoint) else {
            let (after, outcome) = self.why_not_reached(at, attempt);
            return self.post_event(at, after, ended(outcome));
        };
        if let Some(culprit) = self.callers[caller.0].culprit
            && self.is_in_touch(at)
        {
            let now = self.now();
            self.counts.culprits[culprit].arrivals.push(now);
        }
        self.next_run += 1;
        let run = RunId(self.next_run);
        let resumed = attempt.resume_from.is_some();
        let now = self.now();
        let first = self.servers.begin(server, run, resumed, now);
        self.runs.insert(
            run,
            Run {
                place,
                caller,
                attempt: attempt.attempt,
                server,
                next_event: attempt.after_event.unwrap_or(0) + 1,
            },
        );
        self.mail.post(OUTSIDE + first, Mail::Step(run));
    }

    /// What a box sees of a server that it doesn't reach.
    fn why_not_reached(&self, at: usize, attempt: &Attempt) -> (Duration, Outcome) {
        let listener = self.servers.listening_at(attempt.address);
        let Some(listener) = listener else {
            return (OUTSIDE, Outcome::NotSent);
        };
        let id = self.servers.at(listener).spec.id.clone();
        if self.reach(at, &id).is_none() {
            return (CONNECT_GIVEN_UP, Outcome::NotSent);
        }
        let cause = match attempt.identity_path {
            Some(_) => NotRunCause::Replaced(id),
            None => NotRunCause::OtherInstance(Some(id)),
        };
        (OUTSIDE * 2, Outcome::NotRun(cause))
    }

    /// An attempt is stopped, or its box is gone.
    pub(super) fn stop_run(&mut self, place: Place) {
        let of_place = |run: &Run| run.place == place;
        let stopped: Vec<_> = self
            .runs
            .iter()
            .filter(|(_, run)| of_place(run))
            .map(|(id, run)| (*id, run.server))
            .collect();
        for (id, server) in stopped {
            self.runs.remove(&id);
            self.servers.end(server, id);
        }
    }

    /// A run has its answer or its next event.
    pub(super) fn step(&mut self, id: RunId) {
        let Some(run) = self.runs.get(&id).cloned() else {
            return;
        };
        if let Some(after) = self.crashes_in(&run) {
            return self.mail.post(after, Mail::Crash(id));
        }
        let ended = |outcome| Event::Ended {
            request: run.place.2,
            attempt: run.attempt,
            outcome,
        };
        let event = if !self.case.engines {
            ended(Outcome::Answered { status: 200 })
        } else if run.next_event > EVENTS {
            ended(Outcome::StreamEnded)
        } else {
            return self.give_event(id, &run);
        };
        self.runs.remove(&id);
        self.servers.end(run.server, id);
        self.answer_place(run.place, event);
    }

    fn give_event(&mut self, id: RunId, run: &Run) {
        let event = Event::Progress {
            request: run.place.2,
            attempt: run.attempt,
            last_event: run.next_event,
        };
        let caller = &mut self.callers[run.caller.0];
        caller.last_event = Some(run.next_event);
        let tried = caller.id_of_try(run.caller);
        caller.began.get_or_insert(tried);
        if let Some(going_on) = self.runs.get_mut(&id) {
            going_on.next_event += 1;
        }
        let next = self.servers.event_time(run.server);
        self.mail.post(next, Mail::Step(id));
        self.answer_place(run.place, event);
    }

    /// When a run ends its server, if it does before anything else comes of it.
    fn crashes_in(&self, run: &Run) -> Option<Duration> {
        self.callers[run.caller.0].culprit?;
        match self.case.crash {
            CrashAt::Start => Some(Duration::ZERO),
            CrashAt::Soon => Some(CRASHES_SOON),
            CrashAt::Event if !self.case.engines => Some(CRASHES_SOON),
            CrashAt::Event => {
                (run.next_event >= CRASHES_AT_EVENT).then_some(Duration::from_millis(1))
            }
        }
    }

    fn answer_place(&mut self, place: Place, event: Event) {
        if self.boxes[place.0].life == place.1 {
            self.post_event(place.0, OUTSIDE, event);
        }
    }

    /// A server ends under a run.
    pub(super) fn crash_under(&mut self, id: RunId) {
        let Some(run) = self.runs.get(&id) else {
            return;
        };
        let culprit = self.callers[run.caller.0].culprit;
        let server = run.server;
        if let Some(culprit) = culprit {
            let now = self.now();
            self.counts.culprits[culprit].crashes.push(now);
        }
        self.end_server(server);
    }

    /// A server ends, and comes back after a while.
    pub(super) fn end_server(&mut self, place: usize) {
        let life = self.servers.at(place).spec.id.clone();
        for id in self.servers.crash(place) {
            if let Some(run) = self.runs.remove(&id) {
                let event = Event::Ended {
                    request: run.place.2,
                    attempt: run.attempt,
                    outcome: Outcome::Broken(Fault::Closed),
                };
                self.answer_place(run.place, event);
            }
        }
        let away = self.rng.random_range(SERVER_AWAY.0..SERVER_AWAY.1);
        self.mail
            .post(Duration::from_secs_f64(away), Mail::Restart(place));
        if !self.case.keeps_ids {
            self.mail.post(ENTRY_STAYS, Mail::Unlist(life));
        }
    }

    /// A server is back.
    pub(super) fn restart(&mut self, place: usize) {
        let now = self.now();
        let spec = self.servers.restart(place, now);
        self.tell_change(&EndpointChange::Present(spec));
    }
}

//! Counts what attempts tell of the version of their endpoint, while a roll-out is judged.
//!
//! Of an attempt each kind of time is counted once: a call's, a stream's first event, and the time that
//! its events take over the first few of them. What is overdue is counted as slow at once, so that a
//! version that takes several times as long is not known that much later; what failed, was left as
//! silent or slow, or was given up counts as failed. A first event behind other prompts is not
//! counted ([`super::request::ActiveAttempt::sampled`]).
//!
//! What met no server says nothing of a version: an attempt that has no connection yet is neither
//! overdue nor failed. Once all new work goes to the target, only the target's endpoints are tried
//! behind a link that is cut: with these attempts counted 31 of 114 good versions were rolled back
//! where a failure domain was cut off meanwhile, without them 22 (emulator of roll-outs, 90 boxes).
//!
//! Owns: nothing; [`super::rollout::evidence`] keeps the counts.

use std::time::Duration;

use super::Dispatcher;
use super::event::{AttemptNumber, Fault, NotRunCause, Outcome, RequestNumber};
use super::request::ActiveAttempt;
use super::rollout::Rollout;
use super::rollout::evidence::{FAILED, Timed, series_of, step_of};
use crate::schema::{Micros, RolloutSample, ServiceId};

/// The least status of an answer that counts as failed: a sound version answers the same requests
/// beside it.
const LEAST_FAILED_STATUS: u16 = 400;
/// Events of a stream over which their time is taken.
const TIMED_EVENTS: u64 = 8;

impl Dispatcher {
    /// Counts what the end of an attempt tells of its endpoint's version.
    pub(super) fn sample_end(
        &mut self,
        number: RequestNumber,
        active: &ActiveAttempt,
        outcome: &Outcome,
    ) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let is_stream = request.route.kind.is_stream();
        let timed = Timed::of_attempt(is_stream);
        let is_left = matches!(outcome, Outcome::Stopped | Outcome::Broken(Fault::Silent));
        if is_left && !active.is_connected {
            return;
        }
        let step = match outcome {
            Outcome::Answered { status } if *status < LEAST_FAILED_STATUS => {
                step_of(millis(self.now.since(active.started)))
            }
            Outcome::Answered { .. }
            | Outcome::Broken(_)
            | Outcome::NotRun(NotRunCause::NoRoom)
            | Outcome::Stopped => FAILED,
            // Events of a stream were counted while it went on; the others met no server.
            Outcome::StreamEnded
            | Outcome::NotSent
            | Outcome::NotRun(NotRunCause::OtherInstance(_)) => return,
        };
        // A stream that breaks off has been counted for the events that came.
        let mut sampled = active.sampled;
        if is_stream || sampled.take(timed) {
            self.sample(number, active, timed, step);
        }
    }

    /// Whether answers of a service are of interest to a roll-out.
    pub(super) fn is_judged(&self, service: &ServiceId) -> bool {
        let rollout = self.rollouts.of(service);
        rollout.is_some_and(Rollout::is_judged)
    }

    /// Notes that an attempt has gone out on a connection.
    pub(super) fn on_connected(&mut self, number: RequestNumber, attempt: AttemptNumber) {
        let request = self.with_active(number, attempt);
        if let Some(active) = request.and_then(|r| r.active.as_mut()) {
            active.is_connected = true;
        }
    }

    /// Counts an attempt whose request is given up while it runs.
    pub(super) fn sample_given_up(&mut self, number: RequestNumber) {
        let request = self.requests.get(&number);
        if let Some(active) = request.and_then(|r| r.active.clone()) {
            self.sample_end(number, &active, &Outcome::Broken(Fault::Silent));
        }
    }

    /// Counts what a stream's first event tells of its engine's version.
    pub(super) fn sample_first_event(
        &mut self,
        number: RequestNumber,
        attempt: AttemptNumber,
        prompt: u32,
    ) {
        if prompt == 0 || self.rollouts.is_empty() {
            return;
        }
        let now = self.now;
        let request = self.with_active(number, attempt);
        let Some(active) = request.and_then(|r| r.active.as_mut()) else {
            return;
        };
        if active.sampled.take(Timed::FirstEvent) {
            let active = active.clone();
            let time = per_thousand(now.since(active.started), prompt);
            self.sample(number, &active, Timed::FirstEvent, step_of(time));
        }
    }

    /// Counts how long a stream's events take, once some have come.
    pub(super) fn sample_events(&mut self, number: RequestNumber, attempt: AttemptNumber) {
        if self.rollouts.is_empty() {
            return;
        }
        let now = self.now;
        let Some(request) = self.with_active(number, attempt) else {
            return;
        };
        let last = request.last_event;
        let Some(active) = request.active.as_mut() else {
            return;
        };
        let Some((events, time)) = events_so_far(last, active, now) else {
            return;
        };
        if events >= TIMED_EVENTS && active.sampled.take(Timed::Event) {
            let active = active.clone();
            let step = step_of(time / events as f64);
            self.sample(number, &active, Timed::Event, step);
        }
    }

    /// Counts what is slow already though it has not come yet: a version that takes several times as
    /// long would be known that much later otherwise.
    pub(super) fn sample_overdue(&mut self, number: RequestNumber) {
        if self.rollouts.is_empty() {
            return;
        }
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let rollout = self.rollouts.of(&request.service);
        let Some(rollout) = rollout.filter(|r| r.is_judged()) else {
            return;
        };
        let (last, prompt) = (request.last_event, request.arrival.prompt.0);
        let is_stream = request.route.kind.is_stream();
        let route = request.route.name.clone();
        let Some(active) = request.active.as_mut() else {
            return;
        };
        if !active.is_connected {
            return;
        }
        let waited = now.since(active.started);
        let (timed, time) = match (is_stream, events_so_far(last, active, now)) {
            (false, _) => (Timed::Call, millis(waited)),
            (true, None) => (Timed::FirstEvent, per_thousand(waited, prompt.max(1))),
            // So slow that the next few can't make it good.
            (true, Some((events, time))) => (Timed::Event, time / (events + TIMED_EVENTS) as f64),
        };
        let step = step_of(time);
        let reads = active.prefill > 0 || timed != Timed::FirstEvent;
        let is_slow = rollout.evidence().is_slow(series_of(&route, timed), step);
        if reads && is_slow && active.sampled.take(timed) {
            let active = active.clone();
            self.sample(number, &active, timed, step);
        }
    }

    fn sample(&mut self, number: RequestNumber, active: &ActiveAttempt, timed: Timed, step: u8) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let Some(rollout) = self.rollouts.of_mut(&request.service) else {
            return;
        };
        let endpoint = self.fleet.get_incarnation(&active.endpoint);
        let Some(endpoint) = endpoint.filter(|_| rollout.tells(timed, step, self.now)) else {
            return;
        };
        let is_target = endpoint.spec.version == rollout.order().target;
        let sample = RolloutSample {
            endpoint: active.endpoint.id.clone(),
            series: series_of(&request.route.name, timed),
            step,
        };
        rollout.evidence_mut().on_own_sample(sample, is_target);
        self.publish_usage_soon(&active.endpoint.id);
    }
}

/// How many events have come after a stream's first one, and in how many milliseconds.
fn events_so_far(last: Option<u64>, active: &ActiveAttempt, now: Micros) -> Option<(u64, f64)> {
    let (begun, first) = active.first_event?;
    let events = last?.saturating_sub(first);
    Some((events, millis(now.since(begun))))
}

/// Milliseconds for a thousand tokens of a prompt.
fn per_thousand(time: Duration, prompt: u32) -> f64 {
    millis(time) * 1_000.0 / f64::from(prompt)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

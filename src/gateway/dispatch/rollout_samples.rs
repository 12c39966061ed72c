//! Counts the results of attempts as evidence on the version of their endpoint, while a roll-out is
//! judged.
//!
//! Each kind of time is counted once per attempt: the duration of a call, the time to a stream's
//! first event, and the time per event over the first few events. An overdue attempt is counted as
//! slow at once, so that a version that takes several times as long is not detected that much
//! later. An attempt that failed, was abandoned as unresponsive or slow, or whose request was given
//! up counts as failed. A first event behind other prompts is not counted
//! ([`super::request::ActiveAttempt::sampled`]).
//!
//! An attempt that reached no server says nothing about a version, so an attempt without a
//! connection is neither overdue nor failed. Once all new work goes to the target, only the
//! target's endpoints are tried behind a link that is cut. With these attempts counted, 31 of 114
//! good versions were rolled back when a failure domain was cut off meanwhile; without them 22
//! (roll-out emulator, 90 boxes).
//!
//! State: none; [`super::rollout::evidence`] owns the counts.

use std::time::Duration;

use super::Dispatcher;
use super::event::{AttemptNumber, Fault, NotRunCause, Outcome, RequestNumber};
use super::request::ActiveAttempt;
use super::rollout::Rollout;
use super::rollout::evidence::{FAILED, TimeKind, bucket_of, series_of};
use crate::schema::{Micros, RolloutSample, ServiceId};

/// Lowest status of an answer that counts as failed. Client errors are included because a sound
/// version answers the same requests at the same time.
const MIN_FAILED_STATUS: u16 = 400;
/// Number of events of a stream over which their time is averaged.
const TIMED_EVENTS: u64 = 8;

impl Dispatcher {
    /// Counts the end of an attempt.
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
        let kind = TimeKind::of_attempt(is_stream);
        let was_stopped = matches!(outcome, Outcome::Stopped | Outcome::Broken(Fault::Silent));
        if was_stopped && !active.is_connected {
            return;
        }
        let bucket = match outcome {
            Outcome::Answered { status } if *status < MIN_FAILED_STATUS => {
                bucket_of(millis(self.now.since(active.started)))
            }
            Outcome::Answered { .. }
            | Outcome::Broken(Fault::Closed | Fault::Malformed | Fault::Foreign | Fault::Silent)
            | Outcome::NotRun(NotRunCause::NoRoom)
            | Outcome::Stopped => FAILED,
            // Events of a stream were counted while it ran; the other outcomes reached no server.
            Outcome::StreamEnded
            | Outcome::NotSent
            | Outcome::RelayFailed
            | Outcome::Broken(Fault::RelayLost)
            | Outcome::NotRun(
                NotRunCause::OtherInstance(_)
                | NotRunCause::Restarted(_)
                | NotRunCause::Replaced(_),
            ) => return,
        };
        // A stream that breaks off counts as failed even if its events were counted.
        let mut sampled = active.sampled;
        if is_stream || sampled.take(kind) {
            self.sample(number, active, kind, bucket);
        }
    }

    /// Whether results of a service are collected for a roll-out.
    pub(super) fn is_judged(&self, service: &ServiceId) -> bool {
        let rollout = self.rollouts.of(service);
        rollout.is_some_and(Rollout::is_judged)
    }

    /// Records that an attempt has been sent on a connection.
    pub(super) fn on_connected(&mut self, number: RequestNumber, attempt: AttemptNumber) {
        let request = self.with_active(number, attempt);
        if let Some(active) = request.and_then(|r| r.active.as_mut()) {
            active.is_connected = true;
        }
    }

    /// Counts a running attempt whose request is given up.
    pub(super) fn sample_abandoned(&mut self, number: RequestNumber) {
        let request = self.requests.get(&number);
        if let Some(active) = request.and_then(|r| r.active.clone()) {
            self.sample_end(number, &active, &Outcome::Broken(Fault::Silent));
        }
    }

    /// Counts the time to a stream's first event.
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
        if active.sampled.take(TimeKind::FirstEvent) {
            let active = active.clone();
            let time = millis_per_thousand_tokens(now.since(active.started), prompt);
            self.sample(number, &active, TimeKind::FirstEvent, bucket_of(time));
        }
    }

    /// Counts the time per event of a stream, once enough events have come.
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
        if events >= TIMED_EVENTS && active.sampled.take(TimeKind::Event) {
            let active = active.clone();
            let bucket = bucket_of(time / events as f64);
            self.sample(number, &active, TimeKind::Event, bucket);
        }
    }

    /// Counts a result that is already slow although it is incomplete. Otherwise a version that
    /// takes several times as long would be detected that much later.
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
        let (kind, time) = match (is_stream, events_so_far(last, active, now)) {
            (false, _) => (TimeKind::Call, millis(waited)),
            (true, None) => (
                TimeKind::FirstEvent,
                millis_per_thousand_tokens(waited, prompt.max(1)),
            ),
            // The time is so long that the next few events can't bring the average down.
            (true, Some((events, time))) => {
                (TimeKind::Event, time / (events + TIMED_EVENTS) as f64)
            }
        };
        let bucket = bucket_of(time);
        let has_prefill = active.prefill > 0 || kind != TimeKind::FirstEvent;
        let is_slow = rollout.evidence().is_slow(series_of(&route, kind), bucket);
        if has_prefill && is_slow && active.sampled.take(kind) {
            let active = active.clone();
            self.sample(number, &active, kind, bucket);
        }
    }

    fn sample(
        &mut self,
        number: RequestNumber,
        active: &ActiveAttempt,
        kind: TimeKind,
        bucket: u8,
    ) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let Some(rollout) = self.rollouts.of_mut(&request.service) else {
            return;
        };
        let endpoint = self.fleet.get_incarnation(&active.endpoint);
        let Some(endpoint) = endpoint.filter(|_| rollout.counts_result(kind, bucket, self.now))
        else {
            return;
        };
        let is_target = endpoint.spec.version == rollout.order().target;
        let sample = RolloutSample {
            endpoint: active.endpoint.id.clone(),
            series: series_of(&request.route.name, kind),
            step: bucket,
        };
        rollout.evidence_mut().on_own_sample(sample, is_target);
        self.publish_usage_soon(&active.endpoint.id);
    }
}

/// Number of events after a stream's first one, and the milliseconds since that.
fn events_so_far(last: Option<u64>, active: &ActiveAttempt, now: Micros) -> Option<(u64, f64)> {
    let (begun, first) = active.first_event?;
    let events = last?.saturating_sub(first);
    Some((events, millis(now.since(begun))))
}

/// Milliseconds per thousand tokens of a prompt.
fn millis_per_thousand_tokens(time: Duration, prompt: u32) -> f64 {
    millis(time) * 1_000.0 / f64::from(prompt)
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

//! Carries out the duty to report usage: counts requests that begin to run, publishes the counts to
//! the boxes that may hold the duty, and emits the calls to the store and the platform.
//! [`super::duty`] decides what is done, and when.
//!
//! A request counts once, when it is known to have begun to run: a stream at its first event, a
//! call when it is answered or breaks off. The boxes that may hold the duty are those that watch
//! roll-outs, one in each failure domain. The state message of each box names the holder, since a
//! box that can't read the store also has to know its address.

use std::time::Duration;

use super::Dispatcher;
use super::action::Action;
use super::duty::lease::DutyAnswer;
use super::duty::usage_counts::Window;
use super::duty::{DutyStep, Now, ReportOutcome};
use super::event::{Outcome, RequestNumber};
use super::record::Record;
use crate::clock::UnixMillis;
use crate::schema::{DutyHolder, Micros, UsageCountUpdate};

/// How often a box publishes its counts. Counts that are not published yet are lost with the box.
const USAGE_PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// The clock readings and the timer that the dispatcher keeps for the duty.
#[derive(Debug)]
pub(super) struct DutyClock {
    /// Both clocks at the last reading of the time of day.
    read: Now,
    /// When this box publishes its counts next.
    next_publish: Micros,
}

impl DutyClock {
    pub fn new(now: Micros) -> Self {
        Self {
            read: Now {
                steady: now,
                day: UnixMillis(0),
            },
            next_publish: now,
        }
    }

    /// Returns the time by both clocks, or none before the first reading of the time of day.
    fn now(&self, steady: Micros) -> Option<Now> {
        let since = steady.since(self.read.steady);
        let day = self.read.day.0 + u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        (self.read.day.0 > 0).then_some(Now {
            steady,
            day: UnixMillis(day),
        })
    }
}

impl Dispatcher {
    /// Handles a reading of the time of day: publishes counts that are due and performs the duty.
    pub(super) fn on_time_of_day(&mut self, day: UnixMillis) {
        let Some(duty) = self.duty.as_mut() else {
            return;
        };
        let now = Now {
            steady: self.now,
            day,
        };
        self.duty_clock.read = now;
        let is_stopping = self.stop.is_some();
        if self.now >= self.duty_clock.next_publish || is_stopping {
            self.duty_clock.next_publish = self.now.after(USAGE_PUBLISH_INTERVAL);
            let update = duty.update(now);
            let to = self.store_watchers.addresses(self.now);
            if !to.is_empty() {
                self.actions.push(Action::PublishUsageCounts { to, update });
            }
        }
        let domain_update = duty.domain_update(&self.cfg.domain, now);
        if let Some((holder, update)) = domain_update.filter(|_| self.watches_rollouts) {
            let to = vec![holder];
            self.actions.push(Action::PublishUsageCounts { to, update });
        }
        self.do_duty();
    }

    /// Emits the actions that the duty requires now.
    fn do_duty(&mut self) {
        let may_hold = self.watches_rollouts && !self.is_stopping();
        let others = self.peers.roster().other_domains();
        let now = self.duty_clock.now(self.now);
        let (Some(duty), Some(now)) = (self.duty.as_mut(), now) else {
            return;
        };
        for step in duty.tick(may_hold, &others, now) {
            self.actions.push(match step {
                DutyStep::Store(call) => Action::CallDutyStore(call),
                DutyStep::Report { token, window } => Action::ReportUsage { token, window },
            });
        }
    }

    /// Counts a request that began to run, unless it is counted already.
    pub(super) fn count_request(&mut self, number: RequestNumber) {
        let now = self.duty_clock.now(self.now);
        let (Some(duty), Some(now)) = (self.duty.as_mut(), now) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let is_counted = std::mem::replace(&mut request.is_counted, true);
        if let Some(owner) = request.key_owner.as_ref().filter(|_| !is_counted) {
            duty.count(&owner.organisation, now.day);
        }
    }

    /// Counts a call that began to run, at the end of its attempt.
    pub(super) fn count_call(&mut self, number: RequestNumber, outcome: &Outcome) {
        let request = self.requests.get(&number);
        let is_call = request.is_some_and(|request| !request.route.kind.is_stream());
        if is_call && matches!(outcome, Outcome::Answered { .. } | Outcome::Broken(_)) {
            self.count_request(number);
        }
    }

    /// Merges the usage counts of another box. Sums of this failure domain are ignored, as its
    /// boxes report their counts here themselves and would count twice.
    pub(super) fn on_peer_usage_counts(&mut self, update: &UsageCountUpdate) {
        let is_counted = update.of_domain.as_ref() == Some(&self.cfg.domain);
        if let Some(duty) = self.duty.as_mut().filter(|_| !is_counted) {
            duty.on_update(update, self.now);
        }
    }

    /// Handles a peer's report of the holder of the duty.
    pub(super) fn on_peer_holder(&mut self, holder: &DutyHolder) {
        if let Some(duty) = self.duty.as_mut() {
            duty.on_holder(holder);
        }
    }

    /// Handles the result of a store call.
    pub(super) fn on_duty_answered(&mut self, call: u64, answer: DutyAnswer) {
        let now = self.duty_clock.now(self.now);
        let (Some(duty), Some(now)) = (self.duty.as_mut(), now) else {
            return;
        };
        if let Some(token) = duty.on_store(call, answer, now) {
            self.record(Record::Process {
                state: "duty_taken".into(),
                detail: format!("usage, token {token}"),
            });
        }
        self.do_duty();
    }

    /// Handles the outcome of a report to the platform.
    pub(super) fn on_usage_reported(&mut self, window: Window, outcome: ReportOutcome) {
        let now = self.duty_clock.now(self.now);
        let (Some(duty), Some(now)) = (self.duty.as_mut(), now) else {
            return;
        };
        duty.on_reported(window, outcome, now);
        self.do_duty();
    }
}

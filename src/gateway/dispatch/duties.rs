//! Carries the duty out: counts what begins, tells those that may hold the duty, and has the store and
//! the platform called. What is decided, and when, is in [`super::duty`].
//!
//! A request counts once, when it is known that it began: a stream at its first event, a call at its
//! answer, or when it breaks off. The boxes that may hold the duty are those that watch roll-outs, one
//! in each failure domain. Who holds it is told with the state of each box, since a box that can't read
//! the store has to know where the holder is.

use std::time::Duration;

use super::Dispatcher;
use super::action::Action;
use super::duty::began::Window;
use super::duty::lease::DutyAnswer;
use super::duty::{DutyStep, Now, ReportOutcome};
use super::event::{Outcome, RequestNumber};
use super::record::Record;
use crate::clock::UnixMillis;
use crate::schema::{DutyHolder, Micros, UsageCountUpdate};

/// How often a box tells what began there: what it had not told is lost with it.
const TELL_EVERY: Duration = Duration::from_secs(1);

/// What a box needs beside the duty's own state.
#[derive(Debug)]
pub(super) struct DutyClock {
    /// The time of day when it was read last.
    read: Now,
    /// When this box tells next what began there.
    next_told: Micros,
}

impl DutyClock {
    pub fn new(now: Micros) -> Self {
        Self {
            read: Now {
                steady: now,
                day: UnixMillis(0),
            },
            next_told: now,
        }
    }

    /// Both clocks, once the time of day was read.
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
    /// The time of day was read.
    pub(super) fn on_time_of_day(&mut self, day: UnixMillis) {
        let Some(duty) = self.duty.as_mut() else {
            return;
        };
        let now = Now {
            steady: self.now,
            day,
        };
        self.duty_clock.read = now;
        let is_stopping = self.stop_deadline.is_some();
        if self.now >= self.duty_clock.next_told || is_stopping {
            self.duty_clock.next_told = self.now.after(TELL_EVERY);
            let news = duty.news(now);
            let to = self.store_watchers.addresses(self.now);
            if !to.is_empty() {
                self.actions
                    .push(Action::PublishUsageCounts { to, update: news });
            }
        }
        let domain_news = duty.domain_news(&self.cfg.domain, now);
        if let Some((holder, news)) = domain_news.filter(|_| self.watches_rollouts) {
            let to = vec![holder];
            self.actions
                .push(Action::PublishUsageCounts { to, update: news });
        }
        self.do_duty();
    }

    /// Does what the duty asks for now.
    fn do_duty(&mut self) {
        let may_hold = self.watches_rollouts && self.stop_deadline.is_none();
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

    /// Counts a request that began to run, unless it was counted.
    pub(super) fn count_began(&mut self, number: RequestNumber) {
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

    /// Counts a call that began to run, by the end of its attempt.
    pub(super) fn count_ended(&mut self, number: RequestNumber, outcome: &Outcome) {
        let request = self.requests.get(&number);
        let is_call = request.is_some_and(|request| !request.route.kind.is_stream());
        if is_call && matches!(outcome, Outcome::Answered { .. } | Outcome::Broken(_)) {
            self.count_began(number);
        }
    }

    /// A box told how many requests began there. Sums of the own failure domain would count its boxes
    /// twice: they tell this one themselves.
    pub(super) fn on_peer_began(&mut self, news: &UsageCountUpdate) {
        let is_counted = news.of_domain.as_ref() == Some(&self.cfg.domain);
        if let Some(duty) = self.duty.as_mut().filter(|_| !is_counted) {
            duty.on_news(news, self.now);
        }
    }

    /// A box told who holds the duty.
    pub(super) fn on_peer_holder(&mut self, holder: &DutyHolder) {
        if let Some(duty) = self.duty.as_mut() {
            duty.on_holder(holder);
        }
    }

    /// The store answered a call, or did not.
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

    /// A report came to its end.
    pub(super) fn on_usage_reported(&mut self, window: Window, outcome: ReportOutcome) {
        let now = self.duty_clock.now(self.now);
        let (Some(duty), Some(now)) = (self.duty.as_mut(), now) else {
            return;
        };
        duty.on_reported(window, outcome, now);
        self.do_duty();
    }
}

//! Retries of requests: each asks the budget before it starts, waits while the budget may grant one
//! soon, and is given up otherwise.
//!
//! [`super::retry`] decides which outcomes are followed by a retry, [`super::retry_budget`] whether
//! the callers' bound has room for it. A request that gets none now waits as long as one that finds no
//! endpoint would: the window moves on, and each new request adds to the bound. A caller that is given
//! up comes back as a new request, which the bound does not count.
//!
//! State: when a request asks again ([`super::request::Request::retry_at`]) and what for.

use std::time::Duration;

use super::Dispatcher;
use super::attempts::placement_timeout;
use super::event::{Outcome, RequestNumber};
use super::record::Record;
use super::retry_budget::{Grant, Sharers};
use crate::schema::ServiceId;

/// Time after which a request asks the budget again.
const BUDGET_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// What became of a retry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RetryResult {
    /// It started.
    Taken,
    /// It waits for the budget.
    Delayed,
    /// The budget had none, and the request was given up or its error passed on.
    Refused,
}

impl RetryResult {
    /// The word in the decision log and the metric's label.
    fn word(self) -> &'static str {
        match self {
            Self::Taken => "taken",
            Self::Delayed => "delayed",
            Self::Refused => "refused",
        }
    }
}

impl Dispatcher {
    /// Retries a request after its attempt ended with an outcome. The retry waits for the verdict on
    /// the crash of its endpoint, if there is to be one ([`super::crashes`]).
    pub(super) fn retry_after(&mut self, number: RequestNumber, outcome: &Outcome) {
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        request.retry_cause = Some(outcome.word());
        if request.retry_at.is_none() {
            self.retry(number);
        }
    }

    /// Starts another attempt if the retry budget grants one; otherwise the request waits for the
    /// budget or is given up.
    pub(super) fn retry(&mut self, number: RequestNumber) {
        if self.ask_budget(number) == Grant::Granted {
            self.record_retry(number, RetryResult::Taken);
            self.start_next_attempt(number);
            return;
        }
        let now = self.now;
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let is_first = request.unplaced_since.is_none();
        let since = *request.unplaced_since.get_or_insert(now);
        if now >= since.after(placement_timeout(request)) {
            self.record_retry(number, RetryResult::Refused);
            self.give_up_without_attempt(number);
            return;
        }
        request.retry_at = Some(now.after(BUDGET_RETRY_INTERVAL));
        if is_first {
            self.record_retry(number, RetryResult::Delayed);
        }
    }

    /// Takes a retry from the budget for a request whose buffered error is passed on otherwise.
    pub(super) fn take_retry(&mut self, number: RequestNumber, outcome: &Outcome) -> bool {
        if let Some(request) = self.requests.get_mut(&number) {
            request.retry_cause = Some(outcome.word());
        }
        let is_granted = self.ask_budget(number) == Grant::Granted;
        let result = if is_granted {
            RetryResult::Taken
        } else {
            RetryResult::Refused
        };
        self.record_retry(number, result);
        is_granted
    }

    /// Takes a retry from the budget for a request that goes on where it is otherwise.
    pub(super) fn take_move(&mut self, number: RequestNumber) -> bool {
        let is_granted = self.ask_budget(number) == Grant::Granted;
        if is_granted {
            if let Some(request) = self.requests.get_mut(&number) {
                request.retry_cause = Some(Outcome::Stopped.word());
            }
            self.record_retry(number, RetryResult::Taken);
        }
        is_granted
    }

    fn ask_budget(&mut self, number: RequestNumber) -> Grant {
        let Some(request) = self.requests.get(&number) else {
            return Grant::Spent;
        };
        let sharers = self.retry_sharers();
        self.budget.take(&request.service, sharers, self.now)
    }

    /// Among whom the budget is divided. What this box and others took before it started is unknown to
    /// it, so it uses none of the reserve until that is out of the window.
    fn retry_sharers(&self) -> Sharers {
        let roster = self.peers.roster();
        let is_informed =
            self.cfg.first_start || self.now.since(self.started) >= self.cfg.retries.window;
        let fleet_size = roster.fleet_size(self.now).filter(|_| is_informed);
        Sharers {
            local_boxes: roster.domain_size(self.now),
            fleet_boxes: fleet_size.map(|boxes| boxes.max(self.cfg.fleet_boxes)),
        }
    }

    fn record_retry(&mut self, number: RequestNumber, result: RetryResult) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let record = Record::Retry {
            request: request.arrival.id.clone(),
            service: request.service.to_string(),
            cause: request.retry_cause.unwrap_or_default().into(),
            result: result.word().into(),
        };
        self.record(record);
    }

    /// The retries that the failure domain may still make for each service now.
    #[must_use]
    pub fn retry_budgets_left(&mut self) -> Vec<(ServiceId, f64)> {
        let sharers = self.retry_sharers();
        self.budget.left(sharers, self.now)
    }
}

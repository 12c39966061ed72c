//! How calls end: with an answer, with a retry, or with a refusal that says what is certain.

use super::{Call, MAX_RUNS, Phase, UNKNOWN_DETAIL};
use crate::keyed::node::Node;
use crate::keyed::node::config::RETRY_AFTER;
use crate::keyed::node::event::{NotSent, ServiceOutcome, Timer};
use crate::keyed::node::retries::backoff;
use crate::schema::{
    Answered, Attempt, EndpointId, Member, OnceState, Reason, Refusal, Refused, RequestKey,
    ServiceAnswer,
};

impl Node {
    /// A call of a plain service has ended.
    pub(in crate::keyed::node) fn on_service(
        &mut self,
        key: &RequestKey,
        attempt: Attempt,
        outcome: ServiceOutcome,
    ) {
        let Some(call) = self
            .calls
            .table
            .get_mut(key)
            .filter(|c| c.attempt == attempt)
        else {
            return;
        };
        let Phase::Sent(endpoint) = call.phase.clone() else {
            return;
        };
        self.endpoints.on_end(&endpoint);
        match outcome {
            ServiceOutcome::Answered(answer) => {
                self.endpoints.on_success(&endpoint);
                self.settle_answered(key, answer);
            }
            ServiceOutcome::NotSent(reason) => self.on_not_sent(key, &endpoint, reason),
            ServiceOutcome::Lost => {
                self.endpoints.on_failure(&endpoint, self.now);
                self.on_call_lost(key, &endpoint);
            }
        }
        self.dispatch_all();
    }

    pub(super) fn settle_answered(&mut self, key: &RequestKey, answer: ServiceAnswer) {
        self.out.note("call_answered", key, answer.status);
        for (to, subscription) in self.calls.settle(key) {
            self.out.send(
                &to,
                Answered {
                    subscription,
                    answer: answer.clone(),
                },
            );
        }
        if self.calls.table.get(key).is_some_and(Call::repeatable) {
            self.calls.remove(key);
        } else {
            self.copy_state(key, OnceState::Answered(answer));
        }
    }

    pub(super) fn on_not_sent(&mut self, key: &RequestKey, endpoint: &EndpointId, reason: NotSent) {
        match reason {
            NotSent::LeaseOver => self.unstart_call(key),
            NotSent::Unreachable => {
                self.endpoints.on_failure(endpoint, self.now);
                self.run_again(key, endpoint);
            }
            NotSent::Busy => {
                self.endpoints.on_busy(endpoint, self.now);
                self.run_again(key, endpoint);
            }
        }
    }

    /// Tries a call again that is certain not to have run, or that may be repeated.
    pub(super) fn run_again(&mut self, key: &RequestKey, endpoint: &EndpointId) {
        let Some(call) = self.calls.table.get_mut(key) else {
            return;
        };
        let organisation = call.request.as_ref().map(|r| r.organisation.clone());
        let in_time = call.deadline.is_none_or(|d| d > self.now);
        let allowed = in_time && call.attempt.0 < MAX_RUNS;
        if allowed && organisation.is_some_and(|o| self.budgets.take(&o, endpoint)) {
            call.phase = Phase::Backoff;
            let wait = backoff(call.attempt.0, &mut self.rng);
            self.out
                .timer(Timer::Retry(key.clone()), self.now.after(wait));
            return;
        }
        self.give_up_call(key);
    }

    /// Refuses a call that no endpoint took.
    pub(super) fn give_up_call(&mut self, key: &RequestKey) {
        let may_have_run = self.calls.table.get(key).is_some_and(|c| c.may_have_run);
        let detail = "no endpoint of the service took the call; come back later";
        let refusal = Refusal::not_run(Reason::NoEndpoint, RETRY_AFTER, detail);
        if may_have_run {
            let refusal = Refusal {
                ran: crate::schema::Ran::Unknown,
                ..refusal
            };
            return self.refuse_call(key, &refusal);
        }
        self.copy_state(key, OnceState::NotRun);
        self.refuse_call(key, &refusal);
    }

    /// The backoff of a call is over.
    pub(in crate::keyed::node) fn retry_call(&mut self, key: &RequestKey) {
        let waits = self
            .calls
            .table
            .get(key)
            .is_some_and(|c| c.phase == Phase::Backoff);
        if !waits {
            return;
        }
        match self.choose_service(key) {
            Some(endpoint) => self.send_call(key, endpoint),
            None => self.give_up_call(key),
        }
    }

    /// A call was sent and no answer came.
    pub(super) fn on_call_lost(&mut self, key: &RequestKey, endpoint: &EndpointId) {
        let Some(call) = self.calls.table.get_mut(key) else {
            return;
        };
        if call.repeatable() {
            call.may_have_run = true;
            return self.run_again(key, endpoint);
        }
        let refusal = Refusal::unknown(Reason::OutcomeUnknown, UNKNOWN_DETAIL);
        self.settle_unknown(key, &refusal);
    }

    pub(super) fn settle_unknown(&mut self, key: &RequestKey, refusal: &Refusal) {
        self.stats.calls_unknown += 1;
        self.out.note("call_unknown", key, "");
        if let Some(Phase::Intent(endpoint)) = self.calls.table.get(key).map(|c| &c.phase) {
            self.endpoints.on_end(endpoint);
        }
        let waiters = self.calls.settle(key);
        self.copy_state(key, OnceState::Unknown);
        self.refuse_waiters(waiters, refusal);
    }

    /// Refuses a call that did not run, and forgets it.
    pub(in crate::keyed::node) fn refuse_call(&mut self, key: &RequestKey, refusal: &Refusal) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        self.out.note("call_refused", key, &refusal.detail);
        self.refuse_waiters(call.waiters, refusal);
    }

    pub(super) fn refuse_waiters(&mut self, waiters: Vec<(Member, u64)>, refusal: &Refusal) {
        for (to, subscription) in waiters {
            self.out.send(
                &to,
                Refused {
                    subscription,
                    refusal: refusal.clone(),
                },
            );
        }
    }
}

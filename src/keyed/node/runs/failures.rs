//! What follows when a run fails: going on elsewhere, waiting, or giving up.

use super::ENGINES_AVOIDED;
use crate::keyed::node::Node;
use crate::keyed::node::action::Action;
use crate::keyed::node::answers::{Role, Run};
use crate::keyed::node::config::{MAX_ATTEMPTS, RETRY_AFTER};
use crate::keyed::node::event::{EngineFailure, StreamId, Timer};
use crate::keyed::node::generate::{pool_of, waiting_for};
use crate::keyed::node::retries::backoff;
use crate::schema::{EndpointId, Finish, Reason, Refusal, RequestKey};

impl Node {
    pub(super) fn on_run_failed(&mut self, stream: &StreamId, failure: EngineFailure) {
        let Some(answer) = self.answers.get_mut(&stream.key) else {
            return;
        };
        let Some(place) = answer.runs.iter().position(|r| r.attempt == stream.attempt) else {
            return;
        };
        let run = answer.runs.remove(place);
        let others = answer.has_sound_run();
        if failure != EngineFailure::Busy {
            answer.failures += 1;
            answer.avoid.push(run.endpoint.clone());
            if answer.avoid.len() > ENGINES_AVOIDED {
                answer.avoid.remove(0);
            }
            if !others {
                answer.lost_at.get_or_insert(self.now);
            }
        }
        self.endpoints.on_end(&run.endpoint);
        self.out.note(
            "run_failed",
            &stream.key,
            format!("{}: {failure:?}", run.endpoint),
        );
        self.note_failure(&run, failure);
        if others {
            return;
        }
        match failure {
            // The engine had less room than was reported: nothing ran, and the queue is the place
            // to wait.
            EngineFailure::Busy => self.wait_again(&stream.key),
            EngineFailure::Unreachable => self.retry(&stream.key, &run.endpoint),
            EngineFailure::Leaving
            | EngineFailure::Gone
            | EngineFailure::Broken
            | EngineFailure::Garbled => self.resume(&stream.key),
        }
    }

    pub(super) fn note_failure(&mut self, run: &Run, failure: EngineFailure) {
        let endpoint = &run.endpoint;
        match failure {
            EngineFailure::Busy => self.endpoints.on_busy(endpoint, self.now),
            EngineFailure::Leaving => self.note_leaving(&endpoint.clone(), "its own word"),
            EngineFailure::Gone => {}
            EngineFailure::Unreachable => self.endpoints.on_failure(endpoint, self.now),
            EngineFailure::Broken | EngineFailure::Garbled => {
                self.stats.runs_lost += 1;
                self.endpoints.on_failure(endpoint, self.now);
                if failure == EngineFailure::Garbled {
                    self.cancel_garbled(run);
                }
            }
        }
    }

    pub(super) fn cancel_garbled(&mut self, run: &Run) {
        if let Some(state) = self.endpoints.get(&run.endpoint) {
            let address = state.address.clone();
            self.out.push(Action::CancelEngine {
                address,
                stream: run.stream.clone(),
            });
        }
    }

    /// Goes on with a generation whose run was lost.
    pub(in crate::keyed::node) fn resume(&mut self, key: &RequestKey) {
        let Some(answer) = self.answers.get(key) else {
            return;
        };
        if answer.failures >= MAX_ATTEMPTS {
            let refusal = Refusal::unknown(
                Reason::EngineFailed,
                "the generation failed on every engine that was tried",
            );
            return self.give_up_answer(
                key,
                Refusal {
                    retry_after: Some(RETRY_AFTER.into()),
                    ..refusal
                },
            );
        }
        if answer.len() >= answer.request_limit() {
            return self.complete(key, Finish::Length);
        }
        if !self.start_runs(key) {
            self.wait_again(key);
        }
    }

    /// Puts a generation to the head of its queue.
    pub(super) fn wait_again(&mut self, key: &RequestKey) {
        let Some(answer) = self.answers.get_mut(key) else {
            return;
        };
        if answer.waiting {
            return;
        }
        answer.waiting = true;
        // Its share was charged when it first left the queue.
        let mut waiting = waiting_for(answer, 0.0);
        if !answer.is_empty() {
            // What has begun isn't given up for a deadline.
            waiting.deadline = None;
        }
        let pool = pool_of(answer);
        self.admission.put_back(&pool, waiting);
    }

    /// Tries a generation again that an engine did not take.
    pub(super) fn retry(&mut self, key: &RequestKey, endpoint: &EndpointId) {
        let Some(answer) = self.answers.get_mut(key) else {
            return;
        };
        let begun = !answer.is_empty() || answer.scribe.is_some();
        if answer.failures >= MAX_ATTEMPTS && begun {
            return self.resume(key);
        }
        if !begun && !self.budgets.take(&answer.request.organisation, endpoint) {
            let refusal = Refusal::not_run(
                Reason::Overloaded,
                RETRY_AFTER,
                "engines have no room and the retry budget is spent; come back later",
            );
            return self.give_up_answer(key, refusal);
        }
        let wait = backoff(answer.failures, &mut self.rng);
        self.out
            .timer(Timer::Retry(key.clone()), self.now.after(wait));
    }

    /// The backoff of a generation or call is over.
    pub(in crate::keyed::node) fn on_retry(&mut self, key: &RequestKey) {
        let idle = self.answers.get(key).is_some_and(|a| {
            !a.has_sound_run() && !a.waiting && a.finish.is_none() && a.role == Role::Producer
        });
        if idle {
            self.resume(key);
        } else {
            self.retry_call(key);
        }
    }
}

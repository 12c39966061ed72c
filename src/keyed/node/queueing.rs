//! Moves work from the queues to endpoints.

use crate::keyed::node::Node;
use crate::keyed::node::admission::{Admitted, Pool, Waiting};
use crate::keyed::node::config::RETRY_AFTER;
use crate::schema::{Reason, Refusal, RequestKey};

impl Node {
    /// Lets a request wait for an endpoint, or says why it can't.
    pub(super) fn admit(&mut self, pool: &Pool, waiting: Waiting) -> Result<(), Refusal> {
        let limit = self
            .bundles
            .current()
            .map_or(1, |b| b.policy().queue_limit as usize);
        let wait = self
            .admission
            .expected_wait(pool, waiting.priority)
            .max(RETRY_AFTER);
        match self.admission.admit(pool, waiting, limit, self.now) {
            Admitted::Queued => Ok(()),
            Admitted::Instead(evicted) => {
                let refusal = Refusal::not_run(
                    Reason::Overloaded,
                    wait,
                    "the organisation has more requests waiting than its share",
                );
                self.refuse_waiting(&evicted.key, refusal);
                Ok(())
            }
            Admitted::Full => Err(Refusal::not_run(
                Reason::Overloaded,
                wait,
                "as many requests wait as may; come back later",
            )),
            Admitted::TooLate(wait) => Err(Refusal::not_run(
                Reason::DeadlineUnreachable,
                wait.max(RETRY_AFTER),
                "the deadline would pass while the request waits; come back later or allow more time",
            )),
        }
    }

    /// Refuses a request that waited and has not run, or goes on later if it has.
    fn refuse_waiting(&mut self, key: &RequestKey, refusal: Refusal) {
        if let Some(answer) = self.answers.get_mut(key) {
            answer.waiting = false;
            self.give_up_answer(key, refusal);
        } else {
            self.refuse_call(key, &refusal);
        }
    }

    /// Starts waiting requests of a pool for as long as endpoints take them.
    pub(super) fn dispatch(&mut self, pool: &Pool) {
        while let Some(waiting) = self.admission.next(pool, self.now) {
            let started = if self.answers.contains(&waiting.key) {
                self.start_runs(&waiting.key)
            } else {
                self.start_call(&waiting.key)
            };
            if !started {
                self.admission.put_back(pool, waiting);
                return;
            }
        }
    }

    /// Starts waiting requests of all pools.
    pub(super) fn dispatch_all(&mut self) {
        for pool in self.admission.busy_pools() {
            self.dispatch(&pool);
        }
    }

    /// Refuses waiting requests whose deadline has passed.
    pub(super) fn expire_waiting(&mut self) {
        for waiting in self.admission.expired(self.now) {
            let refusal = Refusal::not_run(
                Reason::DeadlineUnreachable,
                RETRY_AFTER,
                "the deadline passed while the request waited; come back later or allow more time",
            );
            self.refuse_waiting(&waiting.key, refusal);
        }
    }
}

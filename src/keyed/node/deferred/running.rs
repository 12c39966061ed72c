//! Runs accepted work: the scribe hands it to its homes, and takes in the results.

use super::ASK_AGAIN;
use crate::keyed::node::Node;
use crate::keyed::node::answers::Role;
use crate::keyed::node::config::DEFERRED_RUNNING;
use crate::schema::{BoxId, DeferredDone, DeferredResult, Refusal, RequestKey, RunDeferred};

impl Node {
    /// Hands waiting work to its homes, as much as may run at once.
    pub(super) fn run_deferred(&mut self) {
        while self.deferred.running.len() < DEFERRED_RUNNING {
            let Some(key) = self.deferred.waiting.pop_front() else {
                return;
            };
            if !self.deferred.running.contains_key(&key) {
                self.hand_to_home(&key);
            }
        }
    }

    pub(super) fn hand_to_home(&mut self, key: &RequestKey) {
        let batch = self
            .deferred
            .by_key
            .get(key)
            .and_then(|id| self.deferred.batches.get(id));
        let request = batch
            .filter(|b| !b.results.contains_key(key.as_str()))
            .and_then(|b| b.items.iter().find(|i| &i.key == key))
            .cloned();
        let Some(request) = request else {
            return;
        };
        let ranked = self.membership.ranked(&self.cfg.domain, key, self.now);
        if let Some(home) = ranked.first() {
            self.deferred
                .running
                .insert(key.clone(), (home.id.clone(), self.now));
            let scribe = self.cfg.me.id.clone();
            self.out.send(home, RunDeferred { request, scribe });
        }
    }

    pub(super) fn ask_homes_again(&mut self) {
        let now = self.now;
        let overdue: Vec<RequestKey> = self
            .deferred
            .running
            .iter()
            .filter(|(_, (_, since))| now.since(*since) >= ASK_AGAIN)
            .map(|(key, _)| key.clone())
            .collect();
        for key in overdue {
            self.hand_to_home(&key);
        }
    }

    /// Hands work that a lost box was running to other homes.
    pub(in crate::keyed::node) fn redispatch_deferred(&mut self, lost: &BoxId) {
        let keys: Vec<RequestKey> = self
            .deferred
            .running
            .iter()
            .filter(|(_, (home, _))| home == lost)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.hand_to_home(&key);
        }
    }

    /// The scribe hands this box work to run.
    pub(in crate::keyed::node) fn on_run_deferred(&mut self, run: RunDeferred) {
        let key = run.request.key.clone();
        let role = self.answers.get(&key).map(|a| a.role.clone());
        match role {
            None => {
                if let Err(refusal) = self.start_answer(run.request.clone()) {
                    return self.deferred_failed(&run.scribe, &key, refusal);
                }
            }
            Some(Role::CopyOf(owner)) if self.membership.is_live(&owner, self.now) => {
                if let Some(member) = self.member(&owner) {
                    self.out.send(&member, run);
                }
                return;
            }
            Some(Role::CopyOf(_)) => self.take_over(&key),
            Some(Role::Producer) => {}
        }
        if let Some(answer) = self.answers.get_mut(&key) {
            answer.scribe = Some(run.scribe);
        }
        self.release(&key);
    }

    /// Work could not be started; only what can never run is reported as failed.
    pub(super) fn deferred_failed(&mut self, scribe: &BoxId, key: &RequestKey, refusal: Refusal) {
        if refusal.retry_after.is_some() {
            return;
        }
        if let Some(member) = self.member(scribe) {
            let result = DeferredResult::Failed(refusal);
            self.out.send(
                &member,
                DeferredDone {
                    key: key.clone(),
                    result,
                },
            );
        }
    }

    /// A home has finished work.
    pub(in crate::keyed::node) fn on_deferred_done(&mut self, done: DeferredDone) {
        self.deferred.running.remove(&done.key);
        let temporary =
            matches!(&done.result, DeferredResult::Failed(r) if r.retry_after.is_some());
        if temporary {
            self.deferred.waiting.push_back(done.key);
            return;
        }
        let id = self.deferred.by_key.get(&done.key).cloned();
        let Some(batch) = id.and_then(|id| self.deferred.batches.get_mut(&id)) else {
            return;
        };
        let name = done.key.to_string();
        if let std::collections::hash_map::Entry::Vacant(entry) = batch.results.entry(name) {
            entry.insert(done.result);
            batch.dirty = true;
            self.stats.deferred_done += 1;
            self.out.note("deferred_done", &done.key, "");
        }
        self.run_deferred();
    }
}

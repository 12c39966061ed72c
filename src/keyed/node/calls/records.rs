//! Records of calls: what is copied to whoever has to know it, and how long it is kept.

use super::{Call, Phase};
use crate::keyed::node::Node;
use crate::keyed::node::action::PlatformOp;
use crate::keyed::node::admission::Pool;
use crate::keyed::node::platform::Purpose;
use crate::keyed::node::roster::slice_of;
use crate::schema::{
    Attempt, BoxId, OnceAck, OnceCopy, OnceRecord, OnceState, RequestKey, SliceId,
};

impl Node {
    /// Copies a new state of a call to whoever has to know it.
    pub(super) fn copy_state(&mut self, key: &RequestKey, state: OnceState) {
        let Some(call) = self.calls.table.get_mut(key) else {
            return;
        };
        if call.repeatable() {
            return;
        }
        call.record.state = state;
        call.touched = self.now;
        let record = call.record.clone();
        let slice = slice_of(key);
        let epoch = self.membership.epoch();
        let to = if self.membership.is_home(slice) {
            self.membership.successor(slice)
        } else {
            self.membership.slice_home(&self.cfg.domain, slice)
        };
        if let Some(to) = to.filter(|m| m.id != self.cfg.me.id) {
            self.out.send(
                &to,
                OnceCopy {
                    record,
                    epoch,
                    batch: false,
                },
            );
        }
    }

    /// Refuses the calls of a slice that have not been sent, as the slice is let go.
    pub(in crate::keyed::node) fn refuse_queued_calls(&mut self, slice: SliceId) {
        let waiting: Vec<(RequestKey, Pool, Phase)> = self
            .calls
            .table
            .values()
            .filter(|c| !c.repeatable() && slice_of(&c.record.key) == slice)
            .filter(|c| matches!(c.phase, Phase::Queued | Phase::Intent(_) | Phase::Backoff))
            .filter_map(|c| {
                let pool = Pool::Service(c.call()?.service.clone());
                Some((c.record.key.clone(), pool, c.phase.clone()))
            })
            .collect();
        for (key, pool, phase) in waiting {
            match phase {
                Phase::Queued => {
                    self.admission.remove(&pool, &key);
                }
                Phase::Intent(endpoint) => self.endpoints.on_end(&endpoint),
                Phase::Backoff | Phase::Sent(_) | Phase::Settled => {}
            }
            self.unstart_call(&key);
        }
    }

    /// Takes in a record of a call from the home of its slice, or from one who let it go.
    pub(in crate::keyed::node) fn on_once_copy(&mut self, from: &BoxId, copy: OnceCopy) {
        let key = copy.record.key.clone();
        let slice = slice_of(&key);
        let answered = matches!(copy.record.state, OnceState::Answered(_));
        // An answer is a fact whoever reports it; an intent counts only from the present home.
        let accepted = copy.batch || answered || self.accepts_copy(slice, from, copy.epoch);
        if accepted {
            if copy.batch {
                self.note_batch_record(from, &key);
            }
            self.keep_record(copy.record);
        }
        if let Some(member) = self.member(from) {
            self.out.send(
                &member,
                OnceAck {
                    key,
                    epoch: copy.epoch,
                    answered,
                    accepted,
                },
            );
        }
    }

    /// Keeps a record; what is known of a call never gets less.
    pub(super) fn keep_record(&mut self, record: OnceRecord) {
        let now = self.now;
        if record.state == OnceState::NotRun {
            let known = self.calls.table.get(&record.key);
            if known.is_some_and(|c| c.record.state == OnceState::Intent && c.request.is_none()) {
                self.calls.remove(&record.key);
            }
            return;
        }
        match self.calls.table.get_mut(&record.key) {
            Some(call) if call.phase == Phase::Settled => {
                if !matches!(call.record.state, OnceState::Answered(_)) {
                    call.record = record;
                }
                call.touched = now;
            }
            Some(_) => {}
            None => {
                self.calls.insert(Call {
                    record,
                    request: None,
                    bundle: None,
                    phase: Phase::Settled,
                    attempt: Attempt(0),
                    waiters: Vec::new(),
                    deadline: None,
                    touched: now,
                    may_have_run: false,
                });
            }
        }
    }

    /// Forgets records whose callers no longer come back.
    pub(in crate::keyed::node) fn sweep_calls(&mut self) {
        let horizon = self.bundles.retry_horizon();
        let now = self.now;
        let old: Vec<RequestKey> = self
            .calls
            .table
            .values()
            .filter(|c| c.phase == Phase::Settled && now.since(c.touched) > horizon)
            .map(|c| c.record.key.clone())
            .collect();
        for key in old {
            self.calls.remove(&key);
            if self.membership.is_home(slice_of(&key))
                && self.membership.successor(slice_of(&key)).is_none()
            {
                self.call_platform(PlatformOp::Delete(self.intent_name(&key)), Purpose::Forget);
            }
        }
    }
}

//! What is held elsewhere before a call that may run at most once is sent, so that no box sends it again.

use super::{Phase, UNKNOWN_DETAIL};
use crate::keyed::node::Node;
use crate::keyed::node::action::{Expect, PlatformOp};
use crate::keyed::node::config::{INTENT_LIMIT, RETRY_AFTER};
use crate::keyed::node::event::{PlatformAnswer, Timer};
use crate::keyed::node::platform::Purpose;
use crate::keyed::node::roster::slice_of;
use crate::schema::{
    BoxId, EndpointId, OnceAck, OnceCopy, OnceRecord, OnceState, Reason, Refusal, RequestKey,
};

impl Node {
    /// Has the intent held by the successor, or by the platform where there is none.
    pub(super) fn hold_intent(&mut self, key: &RequestKey, endpoint: EndpointId) {
        self.endpoints.on_start(&endpoint, self.now);
        let Some(call) = self.calls.table.get_mut(key) else {
            return;
        };
        call.phase = Phase::Intent(endpoint);
        let record = OnceRecord {
            state: OnceState::Intent,
            ..call.record.clone()
        };
        self.out
            .timer(Timer::Intent(key.clone()), self.now.after(INTENT_LIMIT));
        if let Some(successor) = self.membership.successor(slice_of(key)) {
            let epoch = self.membership.epoch();
            self.out.send(
                &successor,
                OnceCopy {
                    record,
                    epoch,
                    batch: false,
                },
            );
            return;
        }
        let op = PlatformOp::Put {
            name: self.intent_name(key),
            expect: Expect::Absent,
            value: serde_json::to_string(&record).unwrap_or_default(),
        };
        self.call_platform(op, Purpose::Intent(key.clone()));
    }

    pub(super) fn intent_name(&self, key: &RequestKey) -> String {
        format!("intents/{}/{key}", self.cfg.domain)
    }

    /// The platform answered to an intent.
    pub(in crate::keyed::node) fn on_intent_written(
        &mut self,
        key: &RequestKey,
        answer: &PlatformAnswer,
    ) {
        match answer {
            PlatformAnswer::Written(_) => self.intent_held(key),
            PlatformAnswer::Conflict => {
                let refusal = Refusal::unknown(Reason::OutcomeUnknown, UNKNOWN_DETAIL);
                self.settle_unknown(key, &refusal);
            }
            _ => self.intent_failed(key),
        }
    }

    /// The successor answered to a record.
    pub(in crate::keyed::node) fn on_once_ack(&mut self, from: &BoxId, ack: &OnceAck) {
        let is_successor = self
            .membership
            .successor(slice_of(&ack.key))
            .is_some_and(|m| &m.id == from);
        if ack.answered || !is_successor {
            return;
        }
        if ack.accepted {
            self.intent_held(&ack.key);
        } else {
            self.intent_failed(&ack.key);
        }
    }

    pub(super) fn intent_held(&mut self, key: &RequestKey) {
        let Some(call) = self.calls.table.get_mut(key) else {
            return;
        };
        let Phase::Intent(endpoint) = call.phase.clone() else {
            return;
        };
        call.record.state = OnceState::Intent;
        call.phase = Phase::Backoff;
        self.endpoints.on_end(&endpoint);
        self.send_call(key, endpoint);
    }

    /// The successor has not answered in time.
    pub(in crate::keyed::node) fn on_intent_overdue(&mut self, key: &RequestKey) {
        self.intent_failed(key);
    }

    pub(super) fn intent_failed(&mut self, key: &RequestKey) {
        let Some(call) = self.calls.table.get(key) else {
            return;
        };
        if let Phase::Intent(endpoint) = call.phase.clone() {
            self.endpoints.on_end(&endpoint);
            let detail =
                "the call could not be made safe against a failure; come back with the same key";
            self.refuse_call(
                key,
                &Refusal::not_run(Reason::NotDurable, RETRY_AFTER, detail),
            );
        }
    }
}

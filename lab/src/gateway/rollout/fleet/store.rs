//! The store of the emulated fleet: the object that orders the roll-out, and its status.

use std::time::Duration;

use magpiemoor::gateway::dispatch::event::Event;
use magpiemoor::gateway::dispatch::rollout::RolloutOrder;
use magpiemoor::gateway::dispatch::rollout::status::{ObjectState, RolloutStatus, StatusWrite};
use magpiemoor::gateway::dispatch::store_watchers::MAX_ANSWER_INTERVAL;

use super::{Fleet, Mail, ORDER_AFTER, ORDER_FOR, START};
use crate::gateway::rollout::Fault;
use crate::gateway::rollout::endpoints::{FAULT_AT, NEW, SERVICE};

/// How long the store takes for a call, and until a watch tells of a change.
pub(super) const STORE_CALL: Duration = Duration::from_millis(4);
/// Time between two answers of the store to the watches of a box, and how soon a store that is out
/// is asked again.
const WATCH: Duration = MAX_ANSWER_INTERVAL;
const ASKED_AGAIN: Duration = Duration::from_millis(300);
/// How long the store is out or late.
const STORE_FAULT_FOR: Duration = Duration::from_secs(4);
/// How late a write is applied whose answer is lost.
const LATE: Duration = Duration::from_millis(3_500);

impl Fleet {
    /// Whether a box can't reach the store.
    fn store_is_out_for(&self, at: usize) -> bool {
        self.store_is_out() || self.is_cut_from_store(at)
    }

    fn store_is_out(&self) -> bool {
        let begin = START.after(ORDER_AFTER + FAULT_AT);
        let lasts = self.now >= begin && self.now.since(begin) < STORE_FAULT_FOR;
        self.case.fault == Fault::StoreDown && lasts
    }

    fn store_is_late(&self) -> bool {
        let begin = START.after(ORDER_AFTER + FAULT_AT);
        let lasts = self.now >= begin && self.now.since(begin) < STORE_FAULT_FOR * 2;
        self.case.fault == Fault::StoreLate && lasts
    }

    pub(super) fn order(&mut self) {
        let order = RolloutOrder::new(
            SERVICE.parse().expect("a short name"),
            NEW.parse().expect("a short name"),
            ORDER_FOR,
            1,
        );
        self.object = Some(ObjectState {
            order,
            revision: 10,
            status: None,
            text: "{}".to_owned(),
        });
        self.tell_watchers();
    }

    /// A box begins or ceases to watch tables and endpoints.
    pub(super) fn watch_store(&mut self, at: usize, is_watching: bool) {
        let did = std::mem::replace(&mut self.boxes[at].watches_store, is_watching);
        if is_watching && !did {
            self.post(at, STORE_CALL, Mail::NoChange);
        }
    }

    /// A watch of tables and endpoints ends, and the next one begins.
    pub(super) fn answer_watch(&mut self, at: usize) {
        if !self.boxes[at].watches_store {
            return;
        }
        if self.store_is_out_for(at) {
            return self.post(at, ASKED_AGAIN, Mail::NoChange);
        }
        self.post(at, WATCH, Mail::NoChange);
        self.handle(at, Event::StoreAnswered);
    }

    fn tell_watchers(&mut self) {
        for at in 0..self.boxes.len() {
            if self.boxes[at].watches_rollouts {
                self.post(at, STORE_CALL, Mail::Objects);
            }
        }
    }

    pub(super) fn read_objects(&mut self, at: usize) {
        if self.store_is_out_for(at) {
            self.post(at, ASKED_AGAIN, Mail::Objects);
            return;
        }
        let event = Event::Rollouts {
            objects: self.object.clone().into_iter().collect(),
            removed: Vec::new(),
            is_whole: true,
        };
        self.handle(at, event);
    }

    pub(super) fn write(&mut self, at: usize, write: StatusWrite) {
        self.counts.writes += 1;
        self.last_writer = Some(at);
        let way = if self.store_is_out_for(at) {
            return;
        } else if self.store_is_late() {
            LATE
        } else {
            STORE_CALL
        };
        self.post(at, way, Mail::Write(Box::new(write)));
    }

    pub(super) fn apply(&mut self, write: &StatusWrite) {
        let Some(object) = self.object.as_mut() else {
            return;
        };
        if object.revision != write.revision {
            return;
        }
        object.revision += 1;
        object.status = Some(write.status);
        if self.counts.ended.is_none() && write.status != RolloutStatus::InProgress {
            let is_completed = write.status == RolloutStatus::Completed;
            self.counts.ended = Some((self.now, is_completed));
            if is_completed {
                self.stop_old();
            }
        }
        self.tell_watchers();
    }
}

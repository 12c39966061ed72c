//! Batches that are held by boxes of two failure domains while the platform is out.

use super::{Batch, HOLD_PATIENCE, HeldBatch, WRITE_AGAIN, batch_name, batch_value};
use crate::keyed::node::Node;
use crate::keyed::node::action::{Expect, PlatformOp};
use crate::keyed::node::config::BATCH_ITEMS;
use crate::keyed::node::event::PlatformAnswer;
use crate::keyed::node::platform::Purpose;
use crate::keyed::node::roster::SCRIBE_SLICE;
use crate::schema::{BatchId, BoxId, Hold, HoldDone, HoldReply, Kept, Member};
use std::collections::HashMap;

impl Node {
    /// A live box of another failure domain.
    pub(super) fn other_domain_box(&self) -> Option<Member> {
        let mut others: Vec<&Member> = self
            .membership
            .peers()
            .filter(|p| p.domain != self.cfg.domain && p.heard.is_some() && !p.stopping)
            .filter(|p| self.membership.peer_is_live(p, self.now))
            .map(|p| &p.member)
            .collect();
        others.sort_by(|a, b| a.id.cmp(&b.id));
        let count = others.len().max(1) as u64;
        let place = self.deferred.next_batch % count;
        others.get(place as usize).map(|m| (*m).clone())
    }

    /// Asks another failure domain to hold a batch; returns whether there is one to ask.
    pub(super) fn ask_to_hold(&mut self, id: &BatchId) -> bool {
        let Some(other) = self.other_domain_box() else {
            return false;
        };
        let Some(batch) = self.deferred.batches.get(id) else {
            return false;
        };
        let hold = Hold {
            batch: id.clone(),
            domain: self.cfg.domain.clone(),
            items: batch.items.clone(),
        };
        self.out.send(&other, hold);
        true
    }

    /// Another failure domain asks this box to hold a batch.
    pub(in crate::keyed::node) fn on_hold(&mut self, from: &BoxId, hold: Hold) {
        let full = self.deferred.held.len() * BATCH_ITEMS >= self.cfg.max_requests;
        let Some(member) = self.member(from).filter(|_| !full) else {
            return;
        };
        let entry = HeldBatch {
            domain: hold.domain,
            items: hold.items,
            since: self.now,
            tried: self.now,
        };
        self.deferred.held.insert(hold.batch.clone(), entry);
        self.out.send(&member, HoldReply { batch: hold.batch });
    }

    /// Another failure domain holds a batch.
    pub(in crate::keyed::node) fn on_hold_reply(&mut self, from: &BoxId, reply: &HoldReply) {
        let Some(batch) = self.deferred.batches.get_mut(&reply.batch) else {
            return;
        };
        let news = batch.is_kept().is_none();
        if batch.version.is_none() {
            batch.holder = Some(from.clone());
        }
        if news {
            self.accept_batch(&reply.batch, Kept::TwoDomains);
        }
    }

    /// A batch that this box holds has reached the platform.
    pub(in crate::keyed::node) fn on_hold_done(&mut self, done: &HoldDone) {
        self.deferred.held.remove(&done.batch);
    }

    /// Whether accepted work or its results are nowhere but in boxes.
    pub(in crate::keyed::node) fn has_unwritten(&self) -> bool {
        let deferred = &self.deferred;
        let unwritten = |b: &Batch| b.version.is_none() || b.dirty || b.writing;
        !deferred.gathering.is_empty()
            || !deferred.held.is_empty()
            || deferred.batches.values().any(unwritten)
    }

    /// Has another box hold all work that is nowhere but in boxes, as this one stops.
    pub(in crate::keyed::node) fn hand_over_unwritten(&mut self) {
        self.flush_deferred();
        let domain = self.cfg.domain.clone();
        let own = self
            .deferred
            .batches
            .iter()
            .filter(|(_, b)| b.version.is_none());
        let own = own.map(|(id, b)| (id.clone(), domain.clone(), b.items.clone()));
        let others = self.deferred.held.iter();
        let others = others.map(|(id, h)| (id.clone(), h.domain.clone(), h.items.clone()));
        let holds: Vec<Hold> = own
            .chain(others)
            .map(|(batch, domain, items)| Hold {
                batch,
                domain,
                items,
            })
            .collect();
        let scribe = u64::from(SCRIBE_SLICE.0);
        let near = self.membership.ranked_for(&domain, scribe, self.now);
        let near = near.into_iter().find(|m| m.id != self.cfg.me.id);
        let Some(to) = near.or_else(|| self.other_domain_box()) else {
            return;
        };
        for hold in holds {
            self.out.send(&to, hold);
        }
    }

    /// Writes batches that are held for another failure domain, once that had time to do so.
    pub(super) fn write_held(&mut self) {
        let now = self.now;
        let due: Vec<BatchId> = self
            .deferred
            .held
            .iter()
            .filter(|(_, h)| {
                now.since(h.since) >= HOLD_PATIENCE && now.since(h.tried) >= WRITE_AGAIN
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            let Some(held) = self.deferred.held.get_mut(&id) else {
                continue;
            };
            held.tried = now;
            let value = batch_value(&id, &held.items, &HashMap::new());
            let domain = held.domain.clone();
            let name = batch_name(&domain, &id);
            let op = PlatformOp::Put {
                name,
                expect: Expect::Absent,
                value,
            };
            self.call_platform(op, Purpose::HeldBatch(id));
        }
    }

    /// The platform answered to a batch held for another failure domain.
    pub(in crate::keyed::node) fn on_held_written(
        &mut self,
        id: &BatchId,
        answer: &PlatformAnswer,
    ) {
        if matches!(
            answer,
            PlatformAnswer::Written(_) | PlatformAnswer::Conflict
        ) {
            self.deferred.held.remove(id);
        }
    }
}

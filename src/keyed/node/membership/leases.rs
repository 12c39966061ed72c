//! Leases and promises: until when a box may act for its slices.
//!
//! A lease counts from when the roster was asked for. In an outage of the platform a successor's
//! promise stands in for it, counted from when it was asked for, on the asker's clock.

use super::{Membership, roster_lists};
use crate::schema::{BoxId, Epoch, Incarnation, Micros, PromiseAsk, PromiseGrant, SliceId};

impl Membership {
    /// Takes in that the own roster, asked for at `asked`, still was the one of an epoch.
    pub fn on_roster_unchanged(&mut self, epoch: Epoch, asked: Micros) {
        if self.epoch() == epoch && self.is_listed() {
            self.confirmed = self.confirmed.max(Some(asked));
        }
    }

    /// When the roster that the lease rests on was asked for.
    #[must_use]
    pub fn confirmed(&self) -> Option<Micros> {
        self.confirmed
    }

    /// The point until which this box may act for a slice, if it may at all.
    #[must_use]
    pub fn may_act_until(&self, slice: SliceId, now: Micros) -> Option<Micros> {
        let view = self.own()?;
        if !roster_lists(&view.roster, &self.me) {
            return None;
        }
        let place = view.roster.slices.get(usize::from(slice.0))?;
        let lease = self.confirmed.map(|c| c.after(self.lease));
        let promise = place
            .successor
            .as_ref()
            .and_then(|s| self.promises.get(s).copied());
        lease.max(promise).filter(|until| *until > now)
    }

    /// What this box asks of its successors: not to succeed it for one more lease.
    #[must_use]
    pub fn promise_ask(&self, now: Micros) -> Option<PromiseAsk> {
        let fresh = self
            .confirmed
            .is_some_and(|c| now.since(c) < self.lease / 2);
        (!fresh && self.is_listed()).then(|| PromiseAsk {
            asked: now,
            epoch: self.epoch(),
        })
    }

    /// Takes in a promise of another box.
    pub fn on_grant(&mut self, from: &BoxId, grant: &PromiseGrant) {
        if grant.to != self.me.id || grant.epoch != self.epoch() {
            return;
        }
        let until = grant.asked.after(grant.span.into());
        let entry = self.promises.entry(from.clone()).or_insert(until);
        *entry = until.max(*entry);
    }

    /// Promises a box of the same epoch not to succeed it for one lease.
    pub fn grant(
        &mut self,
        to: &BoxId,
        life: Incarnation,
        ask: &PromiseAsk,
        now: Micros,
    ) -> Option<PromiseGrant> {
        let view = self.own()?;
        let listed = view
            .roster
            .members
            .iter()
            .any(|m| &m.id == to && m.incarnation == life);
        if !listed || view.epoch != ask.epoch || !roster_lists(&view.roster, &self.me) {
            return None;
        }
        let until = now.after(self.lease + self.clock_bound);
        self.granted.insert((to.clone(), life), until);
        Some(PromiseGrant {
            to: to.clone(),
            asked: ask.asked,
            epoch: ask.epoch,
            span: self.lease.into(),
        })
    }

    /// Whether this box may have promised something to a life of a box that still holds.
    #[must_use]
    pub fn is_bound_to(&self, id: &BoxId, life: Incarnation, now: Micros) -> bool {
        // A process that has just started doesn't know what its earlier life promised.
        let young = now.since(self.started) <= self.lease + self.clock_bound;
        let promised = self
            .granted
            .get(&(id.clone(), life))
            .is_some_and(|until| *until > now);
        young || promised
    }
}

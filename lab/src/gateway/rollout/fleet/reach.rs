//! Faults of boxes and links beside the order: a failure domain that is cut off, a box that freezes.

use std::time::Duration;

use magpiemoor::schema::{EndpointId, Micros};

use super::{Fleet, Mail, ORDER_AFTER, START};
use crate::gateway::rollout::Fault;
use crate::gateway::rollout::endpoints::{FAULT_AT, domain_of};

/// The failure domain that is cut off from the others and from the store, and the box that freezes.
const CUT_DOMAIN: usize = 1;
const FROZEN_BOX: usize = 4;
/// When a fault begins that lasts while the roll-out ends, after the order.
const END_FAULT_AT: Duration = Duration::from_secs(9);
/// How long a domain is cut off, and a box frozen.
const CUT_FOR: Duration = Duration::from_secs(5);
const FROZEN_FOR: Duration = Duration::from_secs(4);

impl Fleet {
    /// When the fault beside the order begins.
    fn fault_begin(&self) -> Micros {
        let after = match self.case.fault {
            Fault::DomainCutAtEnd | Fault::BoxFrozenAtEnd => END_FAULT_AT,
            _ => FAULT_AT,
        };
        START.after(ORDER_AFTER + after)
    }

    /// How much longer the fault lasts, if it does now.
    fn fault_left(&self, length: Duration) -> Option<Duration> {
        let begin = self.fault_begin();
        let end = begin.after(length);
        (self.now >= begin && self.now < end).then(|| end.since(self.now))
    }

    /// How much longer a failure domain is cut off.
    fn cut_left(&self, domain: usize) -> Option<Duration> {
        let is_cut = matches!(self.case.fault, Fault::DomainCut | Fault::DomainCutAtEnd);
        let left = self.fault_left(CUT_FOR);
        left.filter(|_| is_cut && domain == CUT_DOMAIN)
    }

    /// How much longer nothing gets from one box to another.
    pub(super) fn is_cut_between(&self, from: usize, to: usize) -> bool {
        let (from, to) = (from % 3, to % 3);
        from != to && (self.cut_left(from).is_some() || self.cut_left(to).is_some())
    }

    /// How much longer a box doesn't reach an endpoint.
    pub(super) fn unreachable_for(&self, at: usize, endpoint: &EndpointId) -> Option<Duration> {
        let (own, its) = (at % 3, domain_of(endpoint));
        let left = self.cut_left(own).or_else(|| self.cut_left(its));
        left.filter(|_| own != its)
    }

    /// Whether a box doesn't reach the store because its domain is cut off.
    pub(super) fn is_cut_from_store(&self, at: usize) -> bool {
        self.cut_left(at % 3).is_some()
    }

    /// How much longer a box is frozen.
    pub(super) fn frozen_for(&self, at: usize) -> Option<Duration> {
        let is_frozen = self.case.fault == Fault::BoxFrozenAtEnd && at == FROZEN_BOX;
        let left = self.fault_left(FROZEN_FOR);
        left.filter(|_| is_frozen)
    }

    /// Whether a box is not in touch now.
    pub(super) fn is_out_of_touch(&self, at: usize) -> bool {
        self.is_cut_from_store(at) || self.frozen_for(at).is_some()
    }

    /// Keeps what comes to a frozen box until it goes on; gives back what comes to any other.
    pub(super) fn keep_if_frozen(&mut self, at: usize, mail: Mail) -> Option<Mail> {
        let Some(left) = self.frozen_for(at) else {
            return Some(mail);
        };
        self.post(at, left, mail);
        None
    }
}

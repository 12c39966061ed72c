//! The roll-outs that a box knows of, one for a service, by the store's objects or by peers.
//!
//! An order that this box reads from the store itself is not replaced by a peer's word; of two that
//! peers tell, the one that was vouched for later counts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::exposure::ExposureLimit;
use super::status::{ObjectState, RolloutStatus};
use super::{Noted, Rollout, RolloutOrder, Step, Surroundings, VOUCHED_FOR};
use crate::gateway::dispatch::roster::unpack_address;
use crate::schema::{DomainId, Micros, RolloutPhase, RolloutProgress, RolloutState, ServiceId};

/// All roll-outs that a box knows of: one for a service.
#[derive(Debug)]
pub struct Rollouts {
    limit: ExposureLimit,
    known: BTreeMap<ServiceId, Rollout>,
}

impl Rollouts {
    /// None yet; `limit` bounds the requests that a version gets before its order's time is over.
    #[must_use]
    pub fn new(limit: ExposureLimit) -> Self {
        Self {
            limit,
            known: BTreeMap::new(),
        }
    }

    /// Whether there is none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Whether anything is to be found out or done for any of them.
    #[must_use]
    pub fn is_at_rest(&self) -> bool {
        self.known.values().all(Rollout::is_finished)
    }

    /// The roll-out of a service.
    #[must_use]
    pub fn of(&self, service: &ServiceId) -> Option<&Rollout> {
        self.known.get(service)
    }

    /// The roll-out of a service, to add to its evidence.
    pub fn of_mut(&mut self, service: &ServiceId) -> Option<&mut Rollout> {
        self.known.get_mut(service)
    }

    /// Iterates over all.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.known.values()
    }

    /// Takes in objects of the store: all there are, or those that changed and those that are gone.
    pub fn on_objects(
        &mut self,
        objects: Vec<ObjectState>,
        gone: &[ServiceId],
        is_whole: bool,
        now: Micros,
    ) -> Vec<Step> {
        if is_whole {
            let named: BTreeSet<&ServiceId> = objects.iter().map(|o| &o.order.service).collect();
            self.known.retain(|service, _| named.contains(service));
        }
        for service in gone {
            self.known.remove(service);
        }
        let steps = objects
            .into_iter()
            .map(|object| self.on_object(object, now));
        steps.flatten().collect()
    }

    fn on_object(&mut self, object: ObjectState, now: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        // Whoever began it is gone, and nobody tells when that was: all boxes have started again.
        let is_begun = object.status == Some(RolloutStatus::InProgress);
        let half = if is_begun {
            object.order.duration / 2
        } else {
            Duration::ZERO
        };
        let known = self.begin(&object.order, now.before(half), now);
        known.vouched = now;
        known.writes.on_object(object.revision);
        if let Some(phase) = object.final_phase() {
            let why = "by the store".to_owned();
            known.enter(phase, why, now, &mut steps);
        }
        known.object = Some(object);
        steps
    }

    /// The roll-out of an order, which takes the place of an earlier order for the service.
    fn begin(&mut self, order: &RolloutOrder, seen_first: Micros, now: Micros) -> &mut Rollout {
        let service = order.service.clone();
        let is_known = self
            .known
            .get(&service)
            .is_some_and(|known| known.order.id == order.id);
        if !is_known {
            let new = Rollout::new(order.clone(), seen_first, now);
            self.known.insert(service.clone(), new);
        }
        // It was inserted just now if it was not there.
        self.known
            .entry(service)
            .or_insert_with(|| Rollout::new(order.clone(), seen_first, now))
    }

    /// Takes in what a box told of roll-outs. An order that this box reads from the store itself is not
    /// replaced by a peer's word.
    pub fn on_told(&mut self, told: &[RolloutState], own: &DomainId, now: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        for told in told {
            let vouched = Duration::from_millis(told.seen_ms.into());
            let known = self.known.get(&told.service);
            let is_other = known.is_some_and(|known| {
                let is_older = now.before(vouched) <= known.vouched;
                known.order.id != told.order && (known.object.is_some() || is_older)
            });
            if is_other || vouched >= VOUCHED_FOR {
                continue;
            }
            let order = RolloutOrder {
                service: told.service.clone(),
                target: told.target.clone(),
                duration: Duration::from_millis(told.duration_ms.into()),
                id: told.order,
            };
            let seen_first = now.before(Duration::from_millis(told.age_ms.into()));
            let is_new = known.is_none_or(|known| known.order.id != told.order);
            let known = self.begin(&order, seen_first, now);
            if is_new {
                known.vouched = now.before(vouched);
            }
            steps.extend(known.on_told(told, own, now));
        }
        steps
    }

    /// Takes in how far boxes of the own domain are.
    pub fn on_notes(&mut self, notes: &[RolloutProgress], now: Micros) -> Vec<Step> {
        let mut steps = Vec::new();
        for note in notes {
            let known = self.known.get_mut(&note.service);
            let Some(known) = known.filter(|known| known.order.id == note.order) else {
                continue;
            };
            known.enter(note.phase, "told by a peer".to_owned(), now, &mut steps);
            if let Some(address) = unpack_address(&note.address) {
                let far = Noted {
                    phase: note.phase,
                    is_clear: note.is_clear,
                };
                known.boxes.insert(address, far);
            }
        }
        steps
    }

    /// Looks at a roll-out, with what the box knows around it.
    pub fn evaluate(
        &mut self,
        service: &ServiceId,
        around: &Surroundings<'_>,
        now: Micros,
    ) -> Vec<Step> {
        let limit = self.limit;
        let known = self.known.get_mut(service);
        known.map_or_else(Vec::new, |known| known.evaluate(limit, around, now))
    }

    /// Forgets the orders that nobody vouches for.
    pub fn forget_old(&mut self, now: Micros) {
        self.known
            .retain(|_, known| known.object.is_some() || now.since(known.vouched) < VOUCHED_FOR);
    }

    /// Forgets what was read from the store, since another box reads it now.
    pub fn stop_watching(&mut self) {
        for known in self.known.values_mut() {
            known.object = None;
        }
    }

    /// What the boxes of a failure domain are told of a roll-out.
    #[must_use]
    pub fn told_to(
        &self,
        service: &ServiceId,
        domain: &DomainId,
        around: &Surroundings<'_>,
        now: Micros,
    ) -> Option<RolloutState> {
        let known = self.known.get(service)?;
        Some(known.told_to(domain, around, now))
    }

    /// How far this box is with a roll-out that leaves other versions, or was found bad; none of one
    /// that is finished.
    #[must_use]
    pub fn note(&self, service: &ServiceId, address: &[u8]) -> Option<RolloutProgress> {
        let known = self.known.get(service)?;
        let is_wanted = known.phase != RolloutPhase::Canary && !known.is_finished();
        is_wanted.then(|| RolloutProgress {
            service: service.clone(),
            order: known.order.id,
            phase: known.phase,
            is_clear: known.has_left,
            address: address.to_vec(),
        })
    }
}

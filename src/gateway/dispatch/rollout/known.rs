//! The set of roll-outs that a box knows, at most one per service, read from the store or reported
//! by peers.
//!
//! A peer's report doesn't replace an order that this box reads from the store itself. Of two
//! different orders that peers report, the one confirmed later replaces the other.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::exposure::ExposureLimit;
use super::status::{ObjectState, RolloutStatus};
use super::{CONFIRMATION_VALID_FOR, Effect, PeerProgress, Rollout, RolloutContext, RolloutOrder};
use crate::gateway::dispatch::roster::unpack_address;
use crate::schema::{DomainId, Micros, RolloutPhase, RolloutProgress, RolloutState, ServiceId};

/// All roll-outs that a box knows, at most one per service.
#[derive(Debug)]
pub struct Rollouts {
    limit: ExposureLimit,
    by_service: BTreeMap<ServiceId, Rollout>,
}

impl Rollouts {
    /// An empty set; `limit` bounds the requests that a version gets before its order's time is
    /// over.
    #[must_use]
    pub fn new(limit: ExposureLimit) -> Self {
        Self {
            limit,
            by_service: BTreeMap::new(),
        }
    }

    /// Whether no roll-out is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// Whether all known roll-outs are finished, so that nothing is left to decide or do.
    #[must_use]
    pub fn is_at_rest(&self) -> bool {
        self.by_service.values().all(Rollout::is_finished)
    }

    /// The roll-out of a service, if there is one.
    #[must_use]
    pub fn of(&self, service: &ServiceId) -> Option<&Rollout> {
        self.by_service.get(service)
    }

    /// Mutable access to the roll-out of a service, to add to its evidence.
    pub fn of_mut(&mut self, service: &ServiceId) -> Option<&mut Rollout> {
        self.by_service.get_mut(service)
    }

    /// Iterates over all roll-outs in the order of their services.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.by_service.values()
    }

    /// Merges objects read from the store. If `is_complete`, `objects` are all there are; else they
    /// are the changed ones, and `removed` names the services whose objects were deleted.
    pub fn on_objects(
        &mut self,
        objects: Vec<ObjectState>,
        removed: &[ServiceId],
        is_complete: bool,
        now: Micros,
    ) -> Vec<Effect> {
        if is_complete {
            let named: BTreeSet<&ServiceId> = objects.iter().map(|o| &o.order.service).collect();
            self.by_service.retain(|service, _| named.contains(service));
        }
        for service in removed {
            self.by_service.remove(service);
        }
        let effects = objects
            .into_iter()
            .map(|object| self.on_object(object, now));
        effects.flatten().collect()
    }

    fn on_object(&mut self, object: ObjectState, now: Micros) -> Vec<Effect> {
        let mut effects = Vec::new();
        // An order in progress that this box doesn't know yet was started by boxes that have
        // exited, as after a restart of all boxes, and its start time is unknown: assume that half
        // of its time has passed.
        let is_in_progress = object.status == Some(RolloutStatus::InProgress);
        let assumed_elapsed = if is_in_progress {
            object.order.duration / 2
        } else {
            Duration::ZERO
        };
        let known = self.begin(&object.order, now.before(assumed_elapsed), now);
        known.confirmed_at = now;
        known.writes.on_object(object.revision);
        if let Some(phase) = object.final_phase() {
            let why = "according to the store".to_owned();
            known.enter(phase, why, now, &mut effects);
        }
        known.object = Some(object);
        effects
    }

    /// Returns the roll-out of `order`, which replaces a different order for the service.
    fn begin(&mut self, order: &RolloutOrder, first_seen: Micros, now: Micros) -> &mut Rollout {
        let service = order.service.clone();
        let is_known = self
            .by_service
            .get(&service)
            .is_some_and(|known| known.order.id == order.id);
        if !is_known {
            let new = Rollout::new(order.clone(), first_seen, now);
            self.by_service.insert(service.clone(), new);
        }
        // The branch above has inserted it if it was not known.
        self.by_service
            .entry(service)
            .or_insert_with(|| Rollout::new(order.clone(), first_seen, now))
    }

    /// Merges the roll-outs that a peer reported. A report doesn't replace an order that this box
    /// reads from the store itself.
    pub fn on_peer_states(
        &mut self,
        states: &[RolloutState],
        own: &DomainId,
        now: Micros,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        for state in states {
            let confirmed_ago = Duration::from_millis(state.seen_ms.into());
            let known = self.by_service.get(&state.service);
            let is_other = known.is_some_and(|known| {
                let is_older = now.before(confirmed_ago) <= known.confirmed_at;
                known.order.id != state.order && (known.object.is_some() || is_older)
            });
            if is_other || confirmed_ago >= CONFIRMATION_VALID_FOR {
                continue;
            }
            let order = RolloutOrder {
                service: state.service.clone(),
                target: state.target.clone(),
                duration: Duration::from_millis(state.duration_ms.into()),
                id: state.order,
            };
            let first_seen = now.before(Duration::from_millis(state.age_ms.into()));
            let is_new = known.is_none_or(|known| known.order.id != state.order);
            let known = self.begin(&order, first_seen, now);
            if is_new {
                known.confirmed_at = now.before(confirmed_ago);
            }
            effects.extend(known.on_peer_state(state, own, now));
        }
        effects
    }

    /// Merges the progress that boxes of the same failure domain reported.
    pub fn on_peer_progress(&mut self, reports: &[RolloutProgress], now: Micros) -> Vec<Effect> {
        let mut effects = Vec::new();
        for report in reports {
            let known = self.by_service.get_mut(&report.service);
            let Some(known) = known.filter(|known| known.order.id == report.order) else {
                continue;
            };
            known.enter(
                report.phase,
                "reported by a peer".to_owned(),
                now,
                &mut effects,
            );
            if let Some(address) = unpack_address(&report.address) {
                let progress = PeerProgress {
                    phase: report.phase,
                    has_left: report.is_clear,
                };
                known.peers.insert(address, progress);
            }
        }
        effects
    }

    /// Evaluates the roll-out of a service.
    pub fn evaluate(
        &mut self,
        service: &ServiceId,
        context: &RolloutContext<'_>,
        now: Micros,
    ) -> Vec<Effect> {
        let limit = self.limit;
        let known = self.by_service.get_mut(service);
        known.map_or_else(Vec::new, |known| known.evaluate(limit, context, now))
    }

    /// Removes orders that no box confirms any more.
    pub fn forget_old(&mut self, now: Micros) {
        self.by_service.retain(|_, known| {
            known.object.is_some() || now.since(known.confirmed_at) < CONFIRMATION_VALID_FOR
        });
    }

    /// Drops the objects read from the store, because another box watches it now.
    pub fn stop_watching(&mut self) {
        for known in self.by_service.values_mut() {
            known.object = None;
        }
    }

    /// The state of a roll-out to publish to the boxes of `domain`.
    #[must_use]
    pub fn state_for(
        &self,
        service: &ServiceId,
        domain: &DomainId,
        context: &RolloutContext<'_>,
        now: Micros,
    ) -> Option<RolloutState> {
        let known = self.by_service.get(service)?;
        Some(known.state_for(domain, context, now))
    }

    /// This box's progress to publish for a roll-out that leaves the other versions or was found
    /// bad; `None` for one in the canary phase or finished.
    #[must_use]
    pub fn progress(&self, service: &ServiceId, address: &[u8]) -> Option<RolloutProgress> {
        let known = self.by_service.get(service)?;
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

//! Room for replicas: which hosts may take another mirror or snapshot without taking it from
//! requests.
//!
//! A replica takes KV memory at its host, and a snapshot also a slot. The engine copies a mirror
//! only while the host has room, and the mirror occupies the host until the run has ended. So where
//! memory is scarce, a replica is made only at a host that has room for it. A stream without a
//! replica is prefilled again after a loss.
//!
//! Keeping room for two more requests at each host, and making no replicas while requests wait, was
//! rejected: in a fleet that loses a third of its engines every few seconds, the prompts that had to
//! be prefilled again cost more than the room that was kept.
//!
//! The memory of a mirror is counted in full when its attempt starts, although it is copied only as
//! the run grows, so the check is stricter than the host at that time. What is known of engines in
//! other failure domains is incomplete. A snapshot that failed therefore excludes its host for
//! [`FULL_HOST_LIFETIME`] from the replicas of all requests of this box.
//!
//! A limit on the share of used memory over the whole domain was rejected: fewer runs were
//! preempted, but more prompts were prefilled again after losses, and fewer streams were in time.
//!
//! State: the hosts that count as full, a bounded number. Inputs: the fleet as this box knows it now.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Dispatcher;
use super::event::Tokens;
use super::fleet::{Endpoint, Usage};
use super::request::Request;
use super::table::EngineSpec;
use crate::schema::{DomainId, EndpointId, EndpointIncarnation, Micros, ServiceId};

/// How long a host that refused a snapshot counts as without room.
const FULL_HOST_LIFETIME: Duration = Duration::from_secs(3);
/// Maximum number of hosts that are remembered as without room. A box requests a few snapshots per
/// second, so it is reached only if all of them fail.
const MAX_FULL_HOSTS: usize = 128;

/// A host at which a snapshot failed.
#[derive(Clone, Debug)]
struct FullHost {
    host: EndpointIncarnation,
    expires_at: Micros,
}

/// What this box has learned about the room that replicas need and find.
#[derive(Clone, Debug, Default)]
pub struct ReplicaRoom {
    full_hosts: BTreeMap<EndpointId, FullHost>,
}

impl ReplicaRoom {
    /// Excludes a host from replicas for [`FULL_HOST_LIFETIME`].
    pub fn on_snapshot_failed(&mut self, host: &EndpointIncarnation, now: Micros) {
        self.full_hosts.retain(|_, full| now < full.expires_at);
        if self.full_hosts.len() >= MAX_FULL_HOSTS && !self.full_hosts.contains_key(&host.id) {
            let oldest = self
                .full_hosts
                .iter()
                .min_by_key(|(_, full)| full.expires_at);
            if let Some(id) = oldest.map(|(id, _)| id.clone()) {
                self.full_hosts.remove(&id);
            }
        }
        let full = FullHost {
            host: host.clone(),
            expires_at: now.after(FULL_HOST_LIFETIME),
        };
        self.full_hosts.insert(host.id.clone(), full);
    }

    /// Whether a host refused a snapshot so recently that it counts as without room.
    #[must_use]
    pub fn is_full(&self, host: &EndpointIncarnation, now: Micros) -> bool {
        let full = self.full_hosts.get(&host.id);
        full.is_some_and(|full| full.host.may_be(host) && now < full.expires_at)
    }

    /// Number of hosts that are remembered as without room.
    #[must_use]
    pub fn full_hosts(&self) -> usize {
        self.full_hosts.len()
    }
}

/// A kind of replica, by what it takes at its host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ReplicaKind {
    Mirror,
    Snapshot,
    /// A newer snapshot at the host of the previous one, whose memory is counted already.
    SnapshotUpdate,
}

/// What a replica needs of its host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReplicaNeed {
    /// KV memory that the replica takes.
    pub memory: Tokens,
    /// Slots that the replica takes.
    pub slots: u32,
}

impl ReplicaNeed {
    /// Whether a host with this load has room for the replica.
    #[must_use]
    pub fn fits(self, kv_tokens: u32, slots: u32, usage: Usage) -> bool {
        let free = Tokens(kv_tokens.saturating_sub(usage.memory));
        let free_slots = slots.saturating_sub(usage.running);
        free >= self.memory && free_slots >= self.slots
    }
}

/// Where a replica of a request may be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaRule {
    /// At any host at which no snapshot failed lately.
    Anywhere,
    /// At hosts with room for the replica.
    WithRoom(ReplicaNeed),
}

impl Dispatcher {
    /// Determines where a replica of a request at an engine may be made now.
    pub(super) fn replica_rule(
        &self,
        request: &Request,
        engine: EngineSpec,
        kind: ReplicaKind,
    ) -> ReplicaRule {
        let service = &request.service;
        let own = request.memory();
        let (memory, slots) = match kind {
            ReplicaKind::Mirror => (own, 0),
            ReplicaKind::Snapshot => (own, 1),
            ReplicaKind::SnapshotUpdate => (Tokens(0), 1),
        };
        if self.has_plentiful_memory(service, engine) {
            ReplicaRule::Anywhere
        } else {
            ReplicaRule::WithRoom(ReplicaNeed { memory, slots })
        }
    }

    /// Whether a rule allows a replica at a host.
    pub(super) fn admits_replica(
        &self,
        rule: ReplicaRule,
        engine: EngineSpec,
        host: &Endpoint,
    ) -> bool {
        if self
            .replica_room
            .is_full(&host.spec.incarnation(), self.now)
        {
            return false;
        }
        match rule {
            ReplicaRule::Anywhere => true,
            ReplicaRule::WithRoom(need) => {
                let usage = self.fleet.usage(host, self.now);
                need.fits(engine.kv_tokens, host.spec.slots, usage)
            }
        }
    }

    /// Whether less than half of the engines' memory is used in each failure domain. Domains are
    /// compared one by one, because engines whose load is not known would make the memory of the
    /// others look plentiful.
    fn has_plentiful_memory(&self, service: &ServiceId, engine: EngineSpec) -> bool {
        let mut domains: BTreeMap<&DomainId, (u64, u64)> = BTreeMap::new();
        for host in self.fleet.of_service(service) {
            if self.fleet.takes_work(host) && !host.is_avoided(self.now) {
                let (used, capacity) = domains.entry(&host.spec.domain).or_default();
                *used += u64::from(self.fleet.usage(host, self.now).memory);
                *capacity += u64::from(engine.kv_tokens);
            }
        }
        let mut domains = domains.into_values();
        domains.all(|(used, capacity)| 2 * used < capacity)
    }
}

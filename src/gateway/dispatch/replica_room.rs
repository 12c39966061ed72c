//! Room for replicas: which hosts may take another mirror or snapshot without taking it from
//! requests.
//!
//! A replica takes KV memory at its host, and a snapshot also a slot. The engine copies a mirror
//! only while the host has room, and the mirror occupies the host until the run has ended. So where
//! memory is scarce, a replica is made only at a host that still has room for [`SPARE_REQUESTS`]
//! requests of usual size afterwards. A stream without a replica is prefilled again after a loss.
//!
//! The memory of a mirror is counted in full when its attempt starts, although it is copied only as
//! the run grows, so the check is stricter than the host at that time. What is known of engines in
//! other failure domains is incomplete. A snapshot that failed therefore excludes its host for
//! [`FULL_HOST_LIFETIME`] from the replicas of all requests of this box.
//!
//! A limit on the share of used memory over the whole domain was rejected: fewer runs were
//! preempted, but more prompts were prefilled again after losses, and fewer streams were in time.
//!
//! State: the sizes of the latest streams and the hosts that count as full, both bounded. Inputs: the
//! fleet as this box knows it now.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Dispatcher;
use super::event::{RequestNumber, Tokens};
use super::fleet::{Endpoint, Usage};
use super::priority::Tier;
use super::request::Request;
use super::table::EngineSpec;
use crate::schema::{DomainId, EndpointId, EndpointIncarnation, Micros, ServiceId};

/// Requests of usual size for which a host must still have room beside a replica.
const SPARE_REQUESTS: u32 = 2;
/// Streams of which the usual size is the median.
const SIZE_SAMPLES: usize = 64;
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
    /// Service and KV memory of the latest streams, the oldest first.
    sizes: VecDeque<(ServiceId, Tokens)>,
    full_hosts: BTreeMap<EndpointId, FullHost>,
}

impl ReplicaRoom {
    /// Records the KV memory of a stream. A stream that does not state its size is left out.
    pub fn on_stream(&mut self, service: &ServiceId, memory: Tokens) {
        if memory == Tokens(0) {
            return;
        }
        if self.sizes.len() >= SIZE_SAMPLES {
            self.sizes.pop_front();
        }
        self.sizes.push_back((service.clone(), memory));
    }

    /// Median KV memory of the latest streams of a service; `None` if there were none.
    #[must_use]
    pub fn usual_size(&self, service: &ServiceId) -> Option<Tokens> {
        let sizes = self.sizes.iter().filter(|(of, _)| of == service);
        let mut sizes: Vec<Tokens> = sizes.map(|(_, memory)| *memory).collect();
        sizes.sort_unstable();
        sizes.get(sizes.len() / 2).copied()
    }

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
    /// KV memory of a request of usual size.
    pub usual: Tokens,
}

impl ReplicaNeed {
    /// Whether a host with this load has room for the replica and the spare requests.
    #[must_use]
    pub fn fits(self, kv_tokens: u32, slots: u32, usage: Usage) -> bool {
        let free = kv_tokens.saturating_sub(usage.memory);
        let spare = u64::from(self.usual.0) * u64::from(SPARE_REQUESTS);
        let has_memory = u64::from(free) >= u64::from(self.memory.0) + spare;
        let free_slots = slots.saturating_sub(usage.running);
        let has_slots = self.slots == 0 || free_slots >= self.slots + SPARE_REQUESTS;
        has_memory && has_slots
    }
}

/// Where a replica of a request may be made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReplicaRule {
    /// At any host at which no snapshot failed lately.
    Anywhere,
    /// At hosts with room for the replica and for some requests.
    WithRoom(ReplicaNeed),
    /// At no host.
    Nowhere,
}

impl ReplicaRule {
    /// The rule for a request of a tier. While requests wait for room, only the first tier gets
    /// replicas. Plentiful memory takes precedence, since the requests then wait for slots.
    #[must_use]
    pub fn new(
        is_plentiful: bool,
        requests_wait: bool,
        tier: Option<Tier>,
        need: ReplicaNeed,
    ) -> Self {
        let is_first_tier = tier.is_none_or(|tier| tier.rank() == 0);
        if is_plentiful {
            Self::Anywhere
        } else if requests_wait && !is_first_tier {
            Self::Nowhere
        } else {
            Self::WithRoom(need)
        }
    }
}

impl Dispatcher {
    /// Whether requests of a service wait in this box for room at its engines.
    pub(super) fn requests_wait(&self, service: &ServiceId) -> bool {
        self.room_waits.has_waiting(service)
    }

    /// Records the size of a stream when its first attempt starts.
    pub(super) fn record_stream_size(&mut self, number: RequestNumber) {
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        if request.route.kind.is_stream() && request.attempts == 0 {
            self.replica_room
                .on_stream(&request.service, request.memory());
        }
    }

    /// Determines where a replica of a request at an engine may be made now.
    pub(super) fn replica_rule(
        &self,
        request: &Request,
        engine: EngineSpec,
        kind: ReplicaKind,
    ) -> ReplicaRule {
        let service = &request.service;
        let own = request.memory();
        let usual = self.replica_room.usual_size(service);
        let (memory, slots) = match kind {
            ReplicaKind::Mirror => (own, 0),
            ReplicaKind::Snapshot => (own, 1),
            ReplicaKind::SnapshotUpdate => (Tokens(0), 1),
        };
        let need = ReplicaNeed {
            memory,
            slots,
            usual: usual.unwrap_or(own),
        };
        let is_plentiful = self.has_plentiful_memory(service, engine);
        let requests_wait = self.requests_wait(service);
        ReplicaRule::new(is_plentiful, requests_wait, request.tier, need)
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
            ReplicaRule::Nowhere => false,
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

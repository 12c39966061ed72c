//! Replicas of a stream's KV memory: where they are, when another is made, and which one the next
//! attempt resumes from.
//!
//! The engine copies the KV memory of an attempt to its *mirror*, the host that was named with the
//! attempt, for as long as that host is up. The host may be lost while the attempt runs; a later
//! loss of the engine would then cost a whole prefill. So each stream is checked each
//! [`CHECK_INTERVAL`]: once its mirror is no longer independent of it ([`Independence`]), the
//! engine is asked for a *snapshot* at a better host, and for a new one each
//! [`REPLICA_SNAPSHOT_INTERVAL`] so that the snapshot stays recent. The snapshot is dropped when the
//! mirror is independent again, and when the attempt ends.
//!
//! Where KV memory is scarce, replicas are made only at hosts that keep room for requests
//! ([`super::replica_room`]). A host at which a snapshot failed counts as full for a while, so the
//! snapshot is requested again at another one.
//!
//! An engine that wants a rest from this box is asked for no snapshot meanwhile.
//!
//! After a loss the next attempt resumes from the most independent replica that has not expired and
//! whose host takes work and is not avoided. All replicas are tried before the prompt is prefilled
//! again.
//!
//! State: the snapshots of active attempts and their usage counts at hosts. Inputs: the fleet as
//! this box knows it now, and engines that keep a replica for as long as the routing table says. Two
//! mirrors from the start would take twice the memory and bytes for all streams, while one stream in
//! three needs the second.

use std::time::Duration;

use super::Dispatcher;
use super::action::{Action, SnapshotRequest, Target};
use super::event::{AttemptNumber, RequestNumber, SnapshotFailure, SnapshotName};
use super::fleet::Endpoint;
use super::record::Record;
use super::replica::{Replica, ReplicaLocation, Snapshot};
use super::replica_room::ReplicaKind;
use super::request::{ActiveAttempt, Request, is_due, millis};
use crate::schema::{EndpointId, EndpointIncarnation, Micros};

/// Time between two snapshots of an attempt at the same host. 1.5 s made no difference to the score
/// (0.484 instead of 0.487) and took 34,100 probes instead of 32,700.
const REPLICA_SNAPSHOT_INTERVAL: Duration = Duration::from_secs(3);
/// Delay before another snapshot is requested after one failed.
const SNAPSHOT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Number of failed snapshots in a row after which [`SNAPSHOT_PAUSE`] applies.
const MAX_QUICK_FAILURES: u32 = 2;
/// Delay before another snapshot is requested after several failed: about as long as most of the
/// streams that fill a host still run.
const SNAPSHOT_PAUSE: Duration = Duration::from_secs(3);
/// Time between two checks of an attempt's replicas.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time that a snapshot may take. Without an answer it counts as in progress until then.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay from the start of an attempt to the first check of its replicas: the mirror's host may
/// still become reachable.
const FIRST_CHECK_DELAY: Duration = Duration::from_millis(200);

/// How independent a replica is of its attempt, from worst to best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Independence {
    /// The replica's host is lost, or appears to be.
    Lost,
    /// Both are in one failure domain, whose loss takes both.
    SameDomain,
    /// Both are outside this box's failure domain, so a network partition around this domain makes
    /// both unreachable.
    BothOutside,
    /// No loss of a single failure domain takes both.
    Safe,
}

impl Dispatcher {
    /// Selects the host of an attempt's mirror. `None` if the engine does not mirror, the request may
    /// not run again after this attempt, or no host is suitable and has room.
    pub(super) fn mirror_for(&self, request: &Request, endpoint: &Endpoint) -> Option<&Endpoint> {
        let engine = request.engine.filter(|engine| engine.mirrors)?;
        if !request.may_run_after_active() {
            return None;
        }
        let rule = self.replica_rule(request, engine, ReplicaKind::Mirror);
        let demand = self.demand_of(request);
        let has_room = |host: &Endpoint| self.admits_replica(rule, engine, host);
        self.placer
            .choose_mirror(&self.fleet, demand, endpoint, has_room, self.now)
    }

    /// Requests a snapshot of a stream if a more independent replica is possible or the snapshot is
    /// older than [`REPLICA_SNAPSHOT_INTERVAL`].
    pub(super) fn check_replicas(&mut self, number: RequestNumber) {
        let now = self.now;
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let Some(active) = request
            .active
            .as_ref()
            .filter(|_| may_take_snapshot(request))
        else {
            return;
        };
        let is_resting = self
            .fleet
            .directives
            .rest(&active.endpoint.id, now)
            .is_some();
        if !active.has_events || is_resting || !is_due(Some(active.next_replica_check), now) {
            return;
        }
        let mirror = self.independence(active.mirror.as_ref(), active);
        if mirror == Independence::Safe && active.snapshot.is_some() {
            self.discard_snapshot(number);
            return;
        }
        match self.next_snapshot_host(request, active, mirror) {
            Some(host) => self.request_snapshot(number, &host),
            None => self.schedule_check(number),
        }
    }

    /// Selects the host of the next snapshot. `None` if none is due or no suitable host has room.
    fn next_snapshot_host(
        &self,
        request: &Request,
        active: &ActiveAttempt,
        mirror: Independence,
    ) -> Option<EndpointId> {
        let snapshot = active.snapshot.as_ref();
        let independence = self.independence(snapshot.map(|s| &s.host), active);
        let is_best = independence == Independence::Safe && independence > mirror;
        let Some(snapshot) = snapshot.filter(|_| is_best) else {
            return self.better_host(request, active, mirror.max(independence));
        };
        if self.now.since(snapshot.taken_at) < REPLICA_SNAPSHOT_INTERVAL {
            return None;
        }
        if self.may_update(request, snapshot) {
            return Some(snapshot.host.id.clone());
        }
        self.better_host(request, active, mirror)
    }

    /// Whether the host of a snapshot has room for a newer one in its place.
    fn may_update(&self, request: &Request, snapshot: &Snapshot) -> bool {
        let host = self.fleet.get_incarnation(&snapshot.host);
        let Some((host, engine)) = host.zip(request.engine) else {
            return false;
        };
        let rule = self.replica_rule(request, engine, ReplicaKind::SnapshotUpdate);
        self.admits_replica(rule, engine, host)
    }

    /// Selects a host where a replica would be more independent than the best existing one.
    fn better_host(
        &self,
        request: &Request,
        active: &ActiveAttempt,
        best: Independence,
    ) -> Option<EndpointId> {
        if best == Independence::Safe {
            return None;
        }
        let engine = self.fleet.get_incarnation(&active.endpoint)?;
        let spec = request.engine?;
        let rule = self.replica_rule(request, spec, ReplicaKind::Snapshot);
        let wanted = [
            Independence::Safe,
            Independence::BothOutside,
            Independence::SameDomain,
        ];
        let better = wanted
            .into_iter()
            .filter(|independence| *independence > best);
        let mut found = better.filter_map(|independence| {
            let is_eligible = |host: &Endpoint| {
                !host.is_avoided(self.now)
                    && self.independence_at(host, active) == independence
                    && self.admits_replica(rule, spec, host)
            };
            self.placer.choose_snapshot_host(
                &self.fleet,
                self.demand_of(request),
                engine,
                is_eligible,
                self.now,
            )
        });
        found.next().map(|host| host.spec.id.clone())
    }

    /// Drops the snapshot because the mirror is independent again.
    fn discard_snapshot(&mut self, number: RequestNumber) {
        let request = self.requests.get_mut(&number);
        let Some(active) = request.and_then(|r| r.active.as_mut()) else {
            return;
        };
        let engine = active.target();
        if let Some(snapshot) = active.snapshot.take() {
            self.release_snapshot(engine, &snapshot);
        }
    }

    fn schedule_check(&mut self, number: RequestNumber) {
        let next = self.now.after(CHECK_INTERVAL);
        let request = self.requests.get_mut(&number);
        if let Some(active) = request.and_then(|r| r.active.as_mut()) {
            active.next_replica_check = next;
        }
    }

    /// How independent a host is of an attempt. Replicas of an earlier incarnation are lost.
    fn independence(
        &self,
        host: Option<&EndpointIncarnation>,
        active: &ActiveAttempt,
    ) -> Independence {
        let host = host.and_then(|host| self.fleet.get_incarnation(host));
        host.map_or(Independence::Lost, |host| {
            self.independence_at(host, active)
        })
    }

    fn independence_at(&self, host: &Endpoint, active: &ActiveAttempt) -> Independence {
        let now = self.now;
        // A single failed connection does not mean that the host has lost its replicas.
        let seems_lost = !self.fleet.takes_work(host)
            || self.fleet.is_suspected(host, now)
            || self.fleet.is_unreachable(host, now);
        if seems_lost {
            return Independence::Lost;
        }
        let own = &self.cfg.domain;
        if host.spec.domain == active.domain {
            Independence::SameDomain
        } else if active.domain != *own && host.spec.domain != *own {
            Independence::BothOutside
        } else {
            Independence::Safe
        }
    }

    fn request_snapshot(&mut self, number: RequestNumber, host: &EndpointId) {
        let now = self.now;
        let Some(spec) = self.fleet.get(host).map(|e| e.spec.clone()) else {
            return;
        };
        let holder = spec.incarnation();
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let id = request.arrival.id.clone();
        let Some(active) = request.active.as_mut() else {
            return;
        };
        active.next_replica_check = now.after(SNAPSHOT_TIMEOUT);
        let attempt = active.attempt;
        let engine = active.target();
        let memory = active.memory;
        let is_new = active.snapshot.as_ref().is_none_or(|c| c.host != holder);
        let former = if is_new { active.snapshot.take() } else { None };
        let snapshot = active.snapshot.get_or_insert(Snapshot {
            host: holder,
            name: None,
            requested_at: None,
            taken_at: now,
            memory,
        });
        snapshot.requested_at = Some(now);
        if let Some(former) = former {
            self.release_snapshot(engine.clone(), &former);
        }
        if is_new && let Some(endpoint) = self.fleet.get_mut(host) {
            endpoint.own.memory += memory;
        }
        self.actions.push(Action::TakeSnapshot(SnapshotRequest {
            request: number,
            attempt,
            run: id,
            engine,
            host: host.clone(),
            to: spec.address,
            limit: SNAPSHOT_TIMEOUT,
        }));
    }

    /// Handles the result of a snapshot request.
    pub(super) fn on_snapshot_taken(
        &mut self,
        number: RequestNumber,
        attempt: AttemptNumber,
        host: &EndpointId,
        name: Result<SnapshotName, SnapshotFailure>,
    ) {
        let now = self.now;
        let Some(request) = self.with_active(number, attempt) else {
            return;
        };
        let id = request.arrival.id.clone();
        let Some(active) = request.active.as_mut() else {
            return;
        };
        let Some(snapshot) = active.snapshot.as_mut().filter(|c| c.host.id == *host) else {
            return;
        };
        let after = snapshot.requested_at.take().map(|at| now.since(at));
        let failure = name.as_ref().err().copied();
        let is_first = snapshot.name.is_none();
        if let Ok(name) = name {
            snapshot.name = Some(name);
            snapshot.taken_at = now;
            active.next_replica_check = now;
            active.failed_snapshots = 0;
        } else {
            active.failed_snapshots += 1;
            active.next_replica_check = now.after(retry_delay(active.failed_snapshots));
            let engine = active.target();
            if let Some(snapshot) = active.snapshot.take() {
                self.replica_room.on_snapshot_failed(&snapshot.host, now);
                self.release_snapshot(engine, &snapshot);
            }
        }
        if is_first || failure.is_some() {
            self.record(Record::Copied {
                request: id,
                holder: host.to_string(),
                is_made: failure.is_none(),
                after_ms: millis(after.unwrap_or_default()),
                failure,
            });
        }
    }

    /// Removes a snapshot that is no longer needed from the usage counts and drops it at its engine.
    fn release_snapshot(&mut self, engine: Target, snapshot: &Snapshot) {
        self.uncount_snapshot(snapshot);
        self.drop_snapshot(engine, snapshot);
    }

    /// Removes a snapshot from the usage counts.
    pub(super) fn uncount_snapshot(&mut self, snapshot: &Snapshot) {
        if let Some(endpoint) = self.fleet.get_incarnation_mut(&snapshot.host) {
            endpoint.own.memory = endpoint.own.memory.saturating_sub(snapshot.memory);
        }
    }

    /// Drops the snapshot of an attempt that no other attempt resumes from.
    pub(super) fn drop_snapshot_of(&mut self, active: &ActiveAttempt) {
        if let Some(snapshot) = &active.snapshot {
            self.drop_snapshot(active.target(), snapshot);
        }
    }

    /// Tells the engine that took a snapshot to drop it.
    fn drop_snapshot(&mut self, engine: Target, snapshot: &Snapshot) {
        if let Some(name) = snapshot.name.clone() {
            self.actions.push(Action::DropSnapshot { engine, name });
        }
    }

    /// Returns the replicas of a lost attempt, the most independent first.
    pub(super) fn replicas_of(&self, request: &Request, active: &ActiveAttempt) -> Vec<Replica> {
        let Some(engine) = request.engine else {
            return Vec::new();
        };
        // The engine copies KV memory to the mirror only once the prompt is prefilled.
        let mirror = active.mirror.as_ref().filter(|_| active.has_events);
        let mirror = mirror.and_then(|host| {
            let address = self.fleet.get_incarnation(host)?.spec.address;
            Some(Replica {
                host: host.clone(),
                location: ReplicaLocation {
                    address,
                    name: None,
                },
                expires_at: self.now.after(engine.replica_kept),
            })
        });
        let snapshot = active.snapshot.as_ref().and_then(|snapshot| {
            let name = snapshot.name.clone()?;
            Some(Replica {
                host: snapshot.host.clone(),
                location: ReplicaLocation {
                    address: active.address,
                    name: Some(name),
                },
                expires_at: snapshot.taken_at.after(engine.replica_kept),
            })
        });
        let mut replicas: Vec<Replica> = mirror.into_iter().chain(snapshot).collect();
        replicas.sort_by_key(|r| std::cmp::Reverse(self.independence(Some(&r.host), active)));
        replicas
    }

    fn next_replica(&mut self, number: RequestNumber) -> Option<Replica> {
        let request = self.requests.get_mut(&number)?;
        (!request.replicas.is_empty()).then(|| request.replicas.remove(0))
    }

    /// Removes and returns the next replica that a request can resume from; unusable ones are
    /// discarded.
    pub(super) fn take_replica(&mut self, number: RequestNumber) -> Option<Replica> {
        let alone = self.runs_alone(number);
        while let Some(replica) = self.next_replica(number) {
            let request = self.requests.get(&number)?;
            if self.is_usable_replica(request, &replica, alone) {
                return Some(replica);
            }
        }
        None
    }

    /// The host of the replica that a request would resume from if its running attempt were stopped now.
    pub(super) fn next_replica_host(&self, number: RequestNumber) -> Option<EndpointId> {
        let request = self.requests.get(&number)?;
        let alone = self.runs_alone(number);
        let of_active = self.replicas_of(request, request.active.as_ref()?);
        let mut replicas = of_active.iter().chain(&request.replicas);
        let usable = replicas.find(|replica| self.is_usable_replica(request, replica, alone));
        usable.map(|replica| replica.host.id.clone())
    }

    fn is_usable_replica(&self, request: &Request, replica: &Replica, alone: bool) -> bool {
        let now = self.now;
        let host = self.fleet.get_incarnation(&replica.host);
        let is_usable = host.is_some_and(|e| {
            let is_free = !alone || self.fleet.usage(e, now).running == 0;
            let is_usable = self.fleet.may_send(e, now) && !e.is_avoided(now);
            is_free && is_usable && self.may_resume_at(request, e)
        });
        is_usable && now < replica.expires_at
    }
}

/// Whether the engine takes snapshots and the request may run again after its active attempt.
fn may_take_snapshot(request: &Request) -> bool {
    request.engine.is_some_and(|engine| engine.snapshots) && request.may_run_after_active()
}

/// Returns the delay before the next snapshot after a number of failures in a row.
fn retry_delay(failures: u32) -> Duration {
    if failures < MAX_QUICK_FAILURES {
        SNAPSHOT_RETRY_DELAY
    } else {
        SNAPSHOT_PAUSE
    }
}

/// Returns the time of the first replica check of an attempt that starts now.
pub(super) fn first_replica_check(now: Micros) -> Micros {
    now.after(FIRST_CHECK_DELAY)
}

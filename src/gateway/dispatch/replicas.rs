//! Where the replicas of a stream's KV memory lie, which one an attempt goes on from, and when
//! another one is made.
//!
//! The engine copies the memory of an attempt to its *mirror*, the host that was named with the
//! attempt, for as long as that host is there. A host may be lost while the attempt goes on, and a
//! loss of the engine itself would then cost a whole prompt. So each stream is checked each
//! [`CHECK_EVERY`]: once its mirror is no longer independent of it ([`Independence`]), the engine
//! is asked for a *snapshot* at a better host, and again each [`SNAPSHOT_AGAIN`], so that it stays
//! young. The snapshot is dropped when the mirror is independent again, and at the end.
//!
//! After a loss an attempt goes on from the most independent replica that is still kept at a host
//! that takes work and is not avoided; a stream tries all of them before its prompt is read again.
//!
//! Owns: the snapshots of active attempts, and their counts at hosts. Relies on: the fleet as of
//! now; engines that keep a replica for as long as the table says. Weighed: two mirrors from the
//! start (twice the memory and bytes for all streams, where one in three needs it).

use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::action::{Action, SnapshotRequest};
use super::event::{AttemptNumber, RequestNumber, SnapshotName};
use super::fleet::Endpoint;
use super::record::Record;
use super::replica::{Replica, ReplicaLocation, Snapshot};
use super::request::{ActiveAttempt, Request, has_come, millis};
use crate::schema::{EndpointId, EndpointIncarnation, Micros};

/// Time between two snapshots of an attempt at the same host. 1.5 s was tried: the same worth
/// (0.484 for 0.487) and 34,100 probes for 32,700.
const SNAPSHOT_AGAIN: Duration = Duration::from_secs(3);
/// Time until another snapshot is asked for after one could not be taken.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(500);
/// Time between two checks of an attempt's replicas.
const CHECK_EVERY: Duration = Duration::from_millis(100);
/// How long a snapshot may take, and counts as under way if nothing was heard.
const SNAPSHOT_LIMIT: Duration = Duration::from_millis(1_500);
/// How long an attempt must have gone on before its replicas are checked: its first host may still
/// come up.
const SETTLING: Duration = Duration::from_millis(200);

/// How independent a replica is of the attempt it backs up, from worst to best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Independence {
    /// Its host is gone, or seems to be.
    Lost,
    /// A loss of the attempt's failure domain takes the replica as well.
    SameDomain,
    /// A cut around this box's failure domain takes both.
    BothOutside,
    /// No loss of one failure domain takes the attempt and the replica.
    Safe,
}

impl Dispatcher {
    /// The host of the mirror of an attempt at an endpoint, if it can have one that may be of use.
    pub(super) fn mirror_for(&self, request: &Request, endpoint: &Endpoint) -> Option<&Endpoint> {
        let mirrors = request.engine.is_some_and(|engine| engine.mirrors);
        if !mirrors || !request.may_run_after_active() {
            return None;
        }
        self.placer
            .choose_mirror(&self.fleet, self.demand_of(request), endpoint, self.now)
    }

    /// Asks for a snapshot of a stream if no replica is independent of it, or if the snapshot is
    /// old.
    pub(super) fn check_replicas(&mut self, number: RequestNumber) {
        let now = self.now;
        let Some(request) = self.requests.get(&number) else {
            return;
        };
        let Some(active) = request
            .active
            .as_ref()
            .filter(|_| may_have_replicas(request))
        else {
            return;
        };
        if !active.has_events || !has_come(Some(active.next_replica_check), now) {
            return;
        }
        let snapshot = active.snapshot.as_ref();
        let of_mirror = self.independence(active.mirror.as_ref(), active);
        let of_snapshot = self.independence(snapshot.map(|s| &s.host), active);
        if of_mirror == Independence::Safe && snapshot.is_some() {
            self.discard_snapshot(number);
            return;
        }
        let host = match snapshot {
            Some(snapshot) if of_snapshot == Independence::Safe && of_snapshot > of_mirror => {
                let is_old = now.since(snapshot.taken) >= SNAPSHOT_AGAIN;
                is_old.then(|| snapshot.host.id.clone())
            }
            _ => self.better_host(request, active, of_mirror.max(of_snapshot)),
        };
        match host {
            Some(host) => self.ask_for_snapshot(number, &host),
            None => self.check_again(number),
        }
    }

    /// Whether an attempt has a replica that it could go on from now.
    pub(super) fn has_replica(&self, active: &ActiveAttempt) -> bool {
        let taken = active.snapshot.as_ref().filter(|s| s.name.is_some());
        let hosts = [
            active.mirror.as_ref().filter(|_| active.has_events),
            taken.map(|snapshot| &snapshot.host),
        ];
        let mut hosts = hosts.into_iter().flatten();
        hosts.any(|host| self.independence(Some(host), active) > Independence::Lost)
    }

    /// A host where a replica would be more independent than the best one there is.
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
        let wanted = [
            Independence::Safe,
            Independence::BothOutside,
            Independence::SameDomain,
        ];
        let better = wanted
            .into_iter()
            .filter(|independence| *independence > best);
        let mut found = better.filter_map(|independence| {
            let stands = |host: &Endpoint| {
                !host.is_avoided(self.now) && self.independence_at(host, active) == independence
            };
            self.placer.choose_snapshot_host(
                &self.fleet,
                self.demand_of(request),
                engine,
                stands,
                self.now,
            )
        });
        found.next().map(|host| host.spec.id.clone())
    }

    /// Drops the snapshot, since the mirror is independent again.
    fn discard_snapshot(&mut self, number: RequestNumber) {
        let request = self.requests.get_mut(&number);
        let Some(active) = request.and_then(|r| r.active.as_mut()) else {
            return;
        };
        let engine = active.address;
        if let Some(snapshot) = active.snapshot.take() {
            self.release_snapshot(engine, &snapshot);
        }
    }

    fn check_again(&mut self, number: RequestNumber) {
        let next = self.now.after(CHECK_EVERY);
        let request = self.requests.get_mut(&number);
        if let Some(active) = request.and_then(|r| r.active.as_mut()) {
            active.next_replica_check = next;
        }
    }

    /// How independent a host is of an attempt; what lay there in an earlier life is lost.
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
        // A single failed connection does not tell that its replicas are lost.
        let seems_lost = !host.takes_work()
            || self.is_left(host)
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

    fn ask_for_snapshot(&mut self, number: RequestNumber, host: &EndpointId) {
        let now = self.now;
        let Some(spec) = self.fleet.get(host).map(|e| e.spec.clone()) else {
            return;
        };
        let life = spec.incarnation();
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let id = request.arrival.id.clone();
        let Some(active) = request.active.as_mut() else {
            return;
        };
        active.next_replica_check = now.after(SNAPSHOT_LIMIT);
        let attempt = active.attempt;
        let engine = active.address;
        let memory = active.memory;
        let is_new = active.snapshot.as_ref().is_none_or(|c| c.host != life);
        let former = if is_new { active.snapshot.take() } else { None };
        let snapshot = active.snapshot.get_or_insert(Snapshot {
            host: life,
            name: None,
            asked: None,
            taken: now,
            memory,
        });
        snapshot.asked = Some(now);
        if let Some(former) = former {
            self.release_snapshot(engine, &former);
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
            limit: SNAPSHOT_LIMIT,
        }));
    }

    /// A snapshot was taken, or could not be.
    pub(super) fn on_snapshot_taken(
        &mut self,
        number: RequestNumber,
        attempt: AttemptNumber,
        host: &EndpointId,
        name: Option<SnapshotName>,
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
        let after = snapshot.asked.take().map(|at| now.since(at));
        let is_made = name.is_some();
        let is_first = snapshot.name.is_none();
        if is_made {
            snapshot.name = name;
            snapshot.taken = now;
            active.next_replica_check = now;
        } else {
            active.next_replica_check = now.after(PAUSE_AFTER_FAILURE);
            let engine = active.address;
            if let Some(snapshot) = active.snapshot.take() {
                self.release_snapshot(engine, &snapshot);
            }
        }
        if is_first || !is_made {
            self.record(Record::Copied {
                request: id,
                holder: host.to_string(),
                is_made,
                after_ms: millis(after.unwrap_or_default()),
            });
        }
    }

    /// Takes a snapshot that is not needed any more off the counts, and has it dropped.
    fn release_snapshot(&mut self, engine: SocketAddr, snapshot: &Snapshot) {
        self.uncount_snapshot(snapshot);
        self.drop_snapshot(engine, snapshot);
    }

    /// Takes a snapshot off the counts.
    pub(super) fn uncount_snapshot(&mut self, snapshot: &Snapshot) {
        if let Some(endpoint) = self.fleet.get_incarnation_mut(&snapshot.host) {
            endpoint.own.memory = endpoint.own.memory.saturating_sub(snapshot.memory);
        }
    }

    /// Has the snapshot of an attempt dropped, since nothing goes on from it.
    pub(super) fn drop_snapshot_of(&mut self, active: &ActiveAttempt) {
        if let Some(snapshot) = &active.snapshot {
            self.drop_snapshot(active.address, snapshot);
        }
    }

    /// Has a snapshot dropped by the engine that took it.
    fn drop_snapshot(&mut self, engine: SocketAddr, snapshot: &Snapshot) {
        if let Some(name) = snapshot.name.clone() {
            self.actions.push(Action::DropSnapshot { engine, name });
        }
    }

    /// The replicas of a request's attempt that was lost, the most independent one first.
    pub(super) fn replicas_of(&self, request: &Request, active: &ActiveAttempt) -> Vec<Replica> {
        let Some(engine) = request.engine else {
            return Vec::new();
        };
        // The engine copies memory only once the prompt was prefilled.
        let mirror = active.mirror.as_ref().filter(|_| active.has_events);
        let mirror = mirror.and_then(|host| {
            let address = self.fleet.get_incarnation(host)?.spec.address;
            Some(Replica {
                host: host.clone(),
                at: ReplicaLocation {
                    address,
                    name: None,
                },
                until: self.now.after(engine.replica_kept),
            })
        });
        let snapshot = active.snapshot.as_ref().and_then(|snapshot| {
            let name = snapshot.name.clone()?;
            Some(Replica {
                host: snapshot.host.clone(),
                at: ReplicaLocation {
                    address: active.address,
                    name: Some(name),
                },
                until: snapshot.taken.after(engine.replica_kept),
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

    /// Takes the next replica that a request can go on from.
    pub(super) fn take_replica(&mut self, number: RequestNumber) -> Option<Replica> {
        let now = self.now;
        let alone = self.runs_alone(number);
        while let Some(replica) = self.next_replica(number) {
            let host = self.fleet.get_incarnation(&replica.host);
            let is_usable = host.is_some_and(|e| {
                let is_free = !alone || self.fleet.usage(e, now).running == 0;
                let is_usable = is_free && e.takes_work() && !e.is_avoided(now);
                is_usable && self.may_send_to(e) && self.may_resume_at(e)
            });
            if is_usable && now < replica.until {
                return Some(replica);
            }
        }
        None
    }
}

/// Whether snapshots of a request's attempts can be asked for, and would be of use.
fn may_have_replicas(request: &Request) -> bool {
    request.engine.is_some_and(|engine| engine.snapshots) && request.may_run_after_active()
}

/// When the replicas of an attempt that begins now are checked first.
pub(super) fn first_replica_check(now: Micros) -> Micros {
    now.after(SETTLING)
}

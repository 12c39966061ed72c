//! Copies of the memory of runs: where they lie, which one a stream goes on from, and when another
//! one is made.
//!
//! An engine copies a run's memory to the host that was named with the sending, for as long as
//! that host is there. A host may be lost while the run goes on, and after that a loss of the
//! engine itself would cost a whole prompt. So each stream that runs is looked after: once no copy
//! of it stands well, the engine is asked to copy the run to a better place, and again every now
//! and then, so that the copy stays young. Copies stand best outside the run's failure domain, and
//! for a run outside of this box's domain, inside of that.

use std::net::SocketAddr;
use std::time::Duration;

use super::Dispatcher;
use super::action::Action;
use super::event::{AttemptNumber, RequestNumber, SnapshotName};
use super::fleet::Endpoint;
use super::record::Record;
use super::replica::{Replica, ReplicaLocation, Snapshot};
use super::request::{ActiveAttempt, Request, has_come, millis};
use crate::schema::{EndpointId, Micros};

/// Time between two copies of the same run to the same host.
const COPY_AGAIN: Duration = Duration::from_secs(3);
/// Time until another copy is asked for after one could not be made.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(500);
/// Time between two looks at the copies of a run.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// How long a copy that may not have been answered counts as under way.
const COPY_LIMIT: Duration = Duration::from_millis(1_500);
/// How long a run must have gone on before it is looked after: its first host may still come up.
const SETTLING: Duration = Duration::from_millis(200);

/// How well a copy stands, from worst to best.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Independence {
    /// Its host is gone, or seems to be.
    Lost,
    /// A loss of the run's failure domain takes the copy as well.
    WithRun,
    /// A cut around this box's failure domain takes both.
    BothOutside,
    /// No loss of one failure domain takes the run and the copy.
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
            .choose_mirror(&self.fleet, request.demand(), endpoint, self.now)
    }

    /// Has another copy of a stream's memory made if none stands well, or if the one is old.
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
        let growing = self.independence(active.mirror.as_ref(), active);
        let snapshot = active.snapshot.as_ref();
        let snapshot_independence = self.independence(snapshot.map(|copy| &copy.host), active);
        if growing == Independence::Safe && snapshot.is_some() {
            self.discard_snapshot(number);
            return;
        }
        let kept = snapshot.filter(|_| snapshot_independence > growing);
        let host = match kept {
            Some(copy) if snapshot_independence == Independence::Safe => {
                let is_old = now.since(copy.taken) >= COPY_AGAIN;
                is_old.then(|| copy.host.clone())
            }
            _ => self.better_host(request, active, growing.max(snapshot_independence)),
        };
        match host {
            Some(host) => self.ask_for_snapshot(number, &host),
            None => self.look_again(number),
        }
    }

    /// A host where a copy would stand better than the best one there is.
    fn better_host(
        &self,
        request: &Request,
        active: &ActiveAttempt,
        best: Independence,
    ) -> Option<EndpointId> {
        if best == Independence::Safe {
            return None;
        }
        let engine = self.fleet.get(&active.endpoint)?;
        let wanted = [
            Independence::Safe,
            Independence::BothOutside,
            Independence::WithRun,
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
                request.demand(),
                engine,
                stands,
                self.now,
            )
        });
        found.next().map(|host| host.spec.id.clone())
    }

    /// Drops the copy that was asked for, since the one that grows stands well again.
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

    fn look_again(&mut self, number: RequestNumber) {
        let next = self.now.after(LOOK_EVERY);
        let request = self.requests.get_mut(&number);
        if let Some(active) = request.and_then(|r| r.active.as_mut()) {
            active.next_replica_check = next;
        }
    }

    fn independence(&self, host: Option<&EndpointId>, active: &ActiveAttempt) -> Independence {
        let host = host.and_then(|id| self.fleet.get(id));
        host.map_or(Independence::Lost, |host| {
            self.independence_at(host, active)
        })
    }

    fn independence_at(&self, host: &Endpoint, active: &ActiveAttempt) -> Independence {
        let now = self.now;
        // A single failure of its does not tell that its copies are lost.
        let seems_lost = !host.takes_work()
            || self.fleet.is_suspected(host, now)
            || self.fleet.is_unreachable(host, now);
        if seems_lost {
            return Independence::Lost;
        }
        let own = &self.cfg.domain;
        if host.spec.domain == active.domain {
            Independence::WithRun
        } else if active.domain != *own && host.spec.domain != *own {
            Independence::BothOutside
        } else {
            Independence::Safe
        }
    }

    fn ask_for_snapshot(&mut self, number: RequestNumber, host: &EndpointId) {
        let now = self.now;
        let Some(to) = self.fleet.get(host).map(|e| e.spec.address) else {
            return;
        };
        let Some(request) = self.requests.get_mut(&number) else {
            return;
        };
        let id = request.arrival.id.clone();
        let Some(active) = request.active.as_mut() else {
            return;
        };
        active.next_replica_check = now.after(COPY_LIMIT);
        let attempt = active.attempt;
        let engine = active.address;
        let memory = active.memory;
        let is_new = active.snapshot.as_ref().is_none_or(|c| c.host != *host);
        let former = if is_new { active.snapshot.take() } else { None };
        let snapshot = active.snapshot.get_or_insert_with(|| Snapshot {
            host: host.clone(),
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
        self.actions.push(Action::TakeSnapshot {
            request: number,
            attempt,
            run: id,
            engine,
            host: host.clone(),
            to,
            limit: COPY_LIMIT,
        });
    }

    /// A copy was made, or could not be.
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
        let Some(snapshot) = active.snapshot.as_mut().filter(|c| c.host == *host) else {
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

    /// Takes a copy that is not needed any more off the counts, and has it dropped.
    fn release_snapshot(&mut self, engine: SocketAddr, snapshot: &Snapshot) {
        self.uncount_snapshot(snapshot);
        self.drop_snapshot(engine, snapshot);
    }

    /// Takes a copy off the counts.
    pub(super) fn uncount_snapshot(&mut self, snapshot: &Snapshot) {
        if let Some(endpoint) = self.fleet.get_mut(&snapshot.host) {
            endpoint.own.memory = endpoint.own.memory.saturating_sub(snapshot.memory);
        }
    }

    /// Has what was copied of a run dropped, since nothing goes on from it.
    pub(super) fn drop_snapshot_of(&mut self, active: &ActiveAttempt) {
        if let Some(snapshot) = &active.snapshot {
            self.drop_snapshot(active.address, snapshot);
        }
    }

    /// Has a copy dropped by the engine that made it.
    fn drop_snapshot(&mut self, engine: SocketAddr, snapshot: &Snapshot) {
        if let Some(name) = snapshot.name.clone() {
            self.actions.push(Action::DropSnapshot { engine, name });
        }
    }

    /// The copies of a request's run that was lost, the best one first.
    pub(super) fn replicas_of(&self, request: &Request, active: &ActiveAttempt) -> Vec<Replica> {
        let Some(engine) = request.engine else {
            return Vec::new();
        };
        // Memory is copied only once the prompt has been read.
        let growing = active.mirror.as_ref().filter(|_| active.has_events);
        let growing = growing.and_then(|host| {
            let address = self.fleet.get(host)?.spec.address;
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
        let mut copies: Vec<Replica> = growing.into_iter().chain(snapshot).collect();
        copies.sort_by_key(|copy| std::cmp::Reverse(self.independence(Some(&copy.host), active)));
        copies
    }

    /// Takes the next copy that a request can go on from.
    pub(super) fn take_replica(&mut self, number: RequestNumber) -> Option<Replica> {
        let now = self.now;
        let request = self.requests.get_mut(&number)?;
        while !request.replicas.is_empty() {
            let copy = request.replicas.remove(0);
            let host = self.fleet.get(&copy.host);
            let is_usable = host.is_some_and(|e| e.takes_work() && !e.is_avoided(now));
            if is_usable && now < copy.until {
                return Some(copy);
            }
        }
        None
    }
}

/// Whether copies of a request's runs can be asked for, and would be of use.
fn may_have_replicas(request: &Request) -> bool {
    request.engine.is_some_and(|engine| engine.snapshots) && request.may_run_after_active()
}

/// When a run that begins now is first looked after.
pub(super) fn first_replica_check(now: Micros) -> Micros {
    now.after(SETTLING)
}

//! How the list of endpoints is taken in, whole or by its changes.
//!
//! Entries come from the store or from peers, and may come late: one whose revision lies under that
//! of the entry that is known changes nothing. An endpoint that the list dropped stays gone for
//! [`DEPARTED_FOR`], whatever it says itself. An entry that can't be read names no endpoint to use:
//! an endpoint that was known takes no new work until its entry can be read again, and what runs
//! there goes on. Of entries with one address the one that changed last tells who listens there;
//! an entry of a service that the configuration doesn't name takes no address from another, since
//! other writers make entries too.
//!
//! Inputs: entries as they were read, the services of the configuration. Weighed for entries with
//! one address: the one that came last (a list that names both again brings the dead one back), the
//! later birth (not all endpoints tell theirs, and clocks are set back), the revision.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::{Endpoint, Fleet, Usage};
use crate::gateway::dispatch::event::{EndpointChange, EndpointSpec};
use crate::schema::{EndpointId, Micros, ServiceId};

/// How long an endpoint that the list dropped is remembered as gone: without that, one that was
/// leaving came back by its own word (docs/FINDINGS.md).
const DEPARTED_FOR: Duration = Duration::from_secs(60);

/// Which of the entries with one address changed last: by the store's revision, then by the order in
/// which this box came to know of the lives.
type EntryAge = (u64, u64);

fn entry_age(endpoint: &Endpoint) -> EntryAge {
    (endpoint.spec.revision, endpoint.number)
}

/// Whether two revisions are those of one entry that has not changed between.
fn is_same_entry(a: u64, b: u64) -> bool {
    a != 0 && a == b
}

impl Fleet {
    /// Takes in a whole list, with the endpoints whose entries can't be read; returns the ids that
    /// are no longer listed.
    pub fn replace(
        &mut self,
        specs: Vec<EndpointSpec>,
        unreadable: &[EndpointId],
        now: Micros,
    ) -> Vec<EndpointId> {
        self.is_known = true;
        let readable = specs.iter().map(|spec| &spec.id);
        let named: BTreeSet<EndpointId> = readable.chain(unreadable).cloned().collect();
        for spec in specs {
            self.present(spec, now);
        }
        for id in unreadable {
            self.unreadable(id, now);
        }
        let dropped = self.endpoints.values();
        let dropped = dropped.filter(|e| e.listed && !named.contains(&e.spec.id));
        let gone: Vec<EndpointId> = dropped.map(|e| e.spec.id.clone()).collect();
        for id in &gone {
            self.depart(id, now);
        }
        self.settle_addresses();
        gone
    }

    /// Takes in one change of the list.
    pub fn change(&mut self, change: EndpointChange, now: Micros) {
        self.change_all(vec![change], now);
    }

    /// Takes in changes of the list.
    pub fn change_all(&mut self, changes: Vec<EndpointChange>, now: Micros) {
        for change in changes {
            match change {
                EndpointChange::Present(spec) => self.present(spec, now),
                EndpointChange::Absent(id) => self.depart(&id, now),
                EndpointChange::Unreadable(id) => self.unreadable(&id, now),
            }
        }
        self.settle_addresses();
    }

    /// Takes in which services the configuration names.
    pub fn set_services<'a>(&mut self, services: impl Iterator<Item = &'a ServiceId>) {
        self.services = Some(services.cloned().collect());
        self.settle_addresses();
    }

    /// Takes an endpoint off the list, and remembers that for a while.
    fn depart(&mut self, id: &EndpointId, now: Micros) {
        self.departed.retain(|_, at| now.since(*at) < DEPARTED_FOR);
        self.departed.insert(id.clone(), now);
        self.absent(id);
    }

    fn present(&mut self, spec: EndpointSpec, now: Micros) {
        let known = self.endpoints.get(&spec.id);
        if known.is_some_and(|known| known.spec.revision > spec.revision) {
            return;
        }
        if spec.leaving {
            self.departed.insert(spec.id.clone(), now);
        } else {
            self.departed.remove(&spec.id);
        }
        let Some(known) = self.endpoints.get_mut(&spec.id) else {
            self.lives += 1;
            let id = spec.id.clone();
            let endpoint = Endpoint {
                number: self.lives,
                ..Endpoint::new(spec, now)
            };
            self.endpoints.insert(id, endpoint);
            return;
        };
        known.listed = true;
        known.is_readable = true;
        let before = known.spec.born;
        // What the endpoint itself said since its entry changed is newer than the entry.
        let told = spec
            .born
            .filter(|_| !is_same_entry(spec.revision, known.spec.revision));
        if before
            .zip(told)
            .is_some_and(|(before, told)| before != told)
        {
            self.begin_incarnation(spec, now);
        } else {
            known.spec = EndpointSpec {
                born: told.or(before).or(spec.born),
                ..spec
            };
        }
    }

    fn unreadable(&mut self, id: &EndpointId, now: Micros) {
        self.departed.insert(id.clone(), now);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.is_readable = false;
        }
    }

    fn absent(&mut self, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.listed = false;
        }
        self.forget_unused();
    }

    /// Forgets endpoints that are neither listed nor in use.
    pub fn forget_unused(&mut self) {
        self.endpoints
            .retain(|_, e| e.listed || e.own != Usage::default());
        self.limits.retain(|id| self.endpoints.contains_key(id));
    }

    /// Notes that another instance has an endpoint's address: the endpoint is gone for good.
    pub fn replaced(&mut self, id: &EndpointId) {
        self.absent(id);
    }

    /// Takes in an instance that the list doesn't show yet; one that it has dropped stays gone.
    pub fn succeed(&mut self, spec: EndpointSpec, now: Micros) {
        let is_new = !self.endpoints.contains_key(&spec.id);
        if is_new && !self.departed.contains_key(&spec.id) {
            self.present(spec, now);
            self.settle_addresses();
        }
    }

    /// Finds out who listens at addresses that several entries name.
    fn settle_addresses(&mut self) {
        let mut newest: HashMap<SocketAddr, EntryAge> = HashMap::new();
        let listed = self.endpoints.values().filter(|e| e.listed);
        for endpoint in listed.filter(|e| self.is_service(&e.spec.service)) {
            let age = entry_age(endpoint);
            let known = newest.entry(endpoint.spec.address).or_insert(age);
            *known = age.max(*known);
        }
        for endpoint in self.endpoints.values_mut() {
            let newest = newest.get(&endpoint.spec.address);
            endpoint.is_displaced = newest.is_some_and(|newest| entry_age(endpoint) < *newest);
        }
    }

    /// Whether the configuration names a service; without one any service may be named later.
    fn is_service(&self, service: &ServiceId) -> bool {
        self.services
            .as_ref()
            .is_none_or(|services| services.contains(service))
    }
}

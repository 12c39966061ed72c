//! How the list of endpoints is applied, as a whole or by its changes.
//!
//! Entries come from the store or from peers and may arrive late: an entry with a lower revision
//! than the known entry changes nothing. An endpoint that the list dropped stays removed for
//! [`DEPARTED_FOR`], whatever it reports itself, and one that another instance has replaced at its
//! address is not listed again ([`super::identities`]). An entry that can't be parsed adds no endpoint. An
//! endpoint that was known takes no new work until its entry can be parsed again; its running
//! requests go on. Of several entries with one address, the one that changed last names the endpoint
//! that listens there. An entry of a service that the configuration doesn't name takes no address
//! from another entry, since other writers make entries too.
//!
//! Inputs: parsed entries, and the services of the configuration. Alternatives for entries with one
//! address: the entry that arrived last (a list that names both again restores the dead endpoint),
//! and the later start time (not all endpoints report theirs, and clocks are set back).

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use super::{Endpoint, Fleet, Usage};
use crate::gateway::dispatch::event::{EndpointChange, EndpointSpec};
use crate::schema::{EndpointId, Micros, ServiceId};

/// How long the removal of an endpoint from the list is remembered: without it an endpoint that was
/// leaving was added again by its own identity answer (docs/FINDINGS.md).
const DEPARTED_FOR: Duration = Duration::from_secs(60);

/// The order of entries with one address: by the store's revision, then by the order in which this
/// box learnt of the incarnations. The greater one changed later.
type EntryAge = (u64, u64);

fn entry_age(endpoint: &Endpoint) -> EntryAge {
    (endpoint.spec.revision, endpoint.incarnation_number)
}

/// Whether an entry has not changed between two revisions that are known (not 0).
fn is_same_entry(a: u64, b: u64) -> bool {
    a != 0 && a == b
}

impl Fleet {
    /// Applies a whole list, with the endpoints whose entries can't be parsed; returns the ids that
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
            self.add_or_update(spec, now);
        }
        for id in unreadable {
            self.mark_unreadable(id, now);
        }
        let dropped = self.endpoints.values();
        let dropped = dropped.filter(|e| e.listed && !named.contains(&e.spec.id));
        let removed: Vec<EndpointId> = dropped.map(|e| e.spec.id.clone()).collect();
        for id in &removed {
            self.remove(id, now);
        }
        self.resolve_shared_addresses();
        removed
    }

    /// Applies one change of the list.
    pub fn apply_change(&mut self, change: EndpointChange, now: Micros) {
        self.apply_changes(vec![change], now);
    }

    /// Applies changes of the list.
    pub fn apply_changes(&mut self, changes: Vec<EndpointChange>, now: Micros) {
        for change in changes {
            match change {
                EndpointChange::Present(spec) => self.add_or_update(spec, now),
                EndpointChange::Absent(id) => self.remove(&id, now),
                EndpointChange::Unreadable(id) => self.mark_unreadable(&id, now),
            }
        }
        self.resolve_shared_addresses();
    }

    /// Sets the services that the configuration names.
    pub fn set_services<'a>(&mut self, services: impl Iterator<Item = &'a ServiceId>) {
        self.services = Some(services.cloned().collect());
        self.resolve_shared_addresses();
    }

    /// Removes an endpoint from the list and remembers that for [`DEPARTED_FOR`].
    fn remove(&mut self, id: &EndpointId, now: Micros) {
        self.departed.retain(|_, at| now.since(*at) < DEPARTED_FOR);
        self.departed.insert(id.clone(), now);
        self.unlist(id);
    }

    pub(super) fn add_or_update(&mut self, spec: EndpointSpec, now: Micros) {
        if self.identities.is_replaced(&spec) {
            return;
        }
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
            self.incarnation_count += 1;
            self.directives.on_listed_again(&spec.incarnation());
            let id = spec.id.clone();
            let endpoint = Endpoint {
                incarnation_number: self.incarnation_count,
                ..Endpoint::new(spec, now)
            };
            self.endpoints.insert(id, endpoint);
            return;
        };
        known.listed = true;
        known.is_readable = true;
        if !is_same_entry(spec.revision, known.spec.revision) {
            known.warm_at = now.after(spec.warm_up);
        }
        let before = known.spec.born;
        // A start time that the endpoint reported since its entry changed is newer than the entry.
        let listed_start = spec
            .born
            .filter(|_| !is_same_entry(spec.revision, known.spec.revision));
        if before
            .zip(listed_start)
            .is_some_and(|(before, listed)| before != listed)
        {
            self.begin_incarnation(spec, now);
        } else {
            // An entry that is read again tells nothing of a process that has started since.
            let is_of_earlier = is_same_entry(spec.revision, known.spec.revision)
                && before.is_some()
                && spec.born != before;
            let version = if is_of_earlier {
                known.spec.version.clone()
            } else {
                spec.version
            };
            known.spec = EndpointSpec {
                born: listed_start.or(before).or(spec.born),
                version,
                ..spec
            };
        }
    }

    fn mark_unreadable(&mut self, id: &EndpointId, now: Micros) {
        self.departed.insert(id.clone(), now);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.is_readable = false;
        }
    }

    pub(super) fn unlist(&mut self, id: &EndpointId) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.listed = false;
        }
        self.forget_unused();
    }

    /// Forgets endpoints that are neither listed nor used by this box.
    pub fn forget_unused(&mut self) {
        let known = self.endpoints.len();
        self.endpoints
            .retain(|_, e| e.listed || e.own != Usage::default());
        if self.endpoints.len() < known {
            let endpoints = &self.endpoints;
            self.speeds.retain(|id| endpoints.contains_key(id));
        }
        self.directives
            .retain_limits(|id| self.endpoints.contains_key(id));
    }

    /// Decides which endpoint listens at each address that several entries name.
    pub(super) fn resolve_shared_addresses(&mut self) {
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

    /// Whether the configuration names a service. Before the first configuration every service counts
    /// as named.
    fn is_service(&self, service: &ServiceId) -> bool {
        self.services
            .as_ref()
            .is_none_or(|services| services.contains(service))
    }
}

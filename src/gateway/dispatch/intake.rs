//! Effects of a routing table or an endpoint list that was read from the store or a peer.
//!
//! A table comes into force only if its version is greater than that of the current one, so that no
//! table ever reverts. Peers are notified of both soon, and queued requests are decided again.

use std::sync::Arc;

use super::Dispatcher;
use super::event::{EndpointChange, EndpointSpec};
use super::record::{EndpointState, Record};
use super::table::RoutingTable;
use crate::schema::EndpointId;

impl Dispatcher {
    pub(super) fn on_table(&mut self, table: Arc<RoutingTable>) {
        if self.table.is_some() && table.version() <= self.table_version() {
            return;
        }
        self.record(Record::TableInForce {
            version: table.version().0,
        });
        self.table_fetches.on_progress(table.version().0, self.now);
        self.fleet.set_services(table.services().map(|s| &s.name));
        let engines = table.services().filter(|s| s.engine.is_some());
        self.fleet
            .set_engine_services(engines.map(|s| s.name.clone()));
        self.stream_versions.on_table(&table);
        self.table = Some(table);
        self.gossip_table();
        self.release_queued();
    }

    pub(super) fn on_listed(
        &mut self,
        specs: Vec<EndpointSpec>,
        unreadable: &[EndpointId],
        at: u64,
    ) {
        self.record_endpoints_revision(at);
        let removed = self.fleet.replace(specs, unreadable, self.now);
        let removed = removed.into_iter().map(|id| (id, EndpointState::Absent));
        self.record_endpoints(at, &removed.collect::<Vec<_>>());
        self.record_ended_incarnations();
        self.observe_versions();
        self.apply_held_reports();
        self.release_queued();
        self.room_waits.sweep_soon();
    }

    pub(super) fn on_changed(&mut self, changes: Vec<EndpointChange>, at: u64) {
        self.record_endpoints_revision(at);
        let states = changes.iter().map(EndpointState::of);
        self.record_endpoints(at, &states.collect::<Vec<_>>());
        self.fleet.apply_changes(changes, self.now);
        self.record_ended_incarnations();
        self.observe_versions();
        self.apply_held_reports();
        self.room_waits.sweep_soon();
    }

    /// Records changes of the endpoint list: one by one if this box watches the store, else only
    /// their number.
    fn record_endpoints(&mut self, at: u64, changes: &[(EndpointId, EndpointState)]) {
        if self.store_watchers.is_watching() {
            for (id, state) in changes {
                self.record(Record::Endpoint {
                    endpoint: id.to_string(),
                    state: state.word().into(),
                });
            }
            return;
        }
        let count = |of| changes.iter().filter(|(_, state)| *state == of).count();
        self.record(Record::Endpoints {
            at,
            present: count(EndpointState::Present),
            leaving: count(EndpointState::Leaving),
            absent: count(EndpointState::Absent),
            unreadable: count(EndpointState::Unreadable),
        });
    }

    /// Records a newer revision of the endpoint list and schedules gossip.
    fn record_endpoints_revision(&mut self, at: u64) {
        if at > self.endpoints_revision {
            self.endpoints_revision = at;
            self.endpoint_fetches.on_progress(at, self.now);
            self.gossip_soon();
        }
    }
}

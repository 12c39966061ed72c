//! How many idle connections this box keeps to an endpoint.
//!
//! An endpoint accepts a limited number of connections from all boxes together, and resets those
//! beyond it: 984 boxes with 8 idle connections each would keep 7,872 where 1,800 are allowed. So a
//! box keeps an equal share of the connections that running requests leave, and no more than
//! [`MAX_IDLE_CONNECTIONS`]. The share is 0 if there are more boxes than such connections.
//!
//! Inputs: the limit in the routing table, the slots of the endpoint, and the number of boxes that
//! this box knows.

use super::Dispatcher;
use super::event::EndpointSpec;

/// Maximum number of idle connections to one endpoint, whatever it accepts.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Connections that are left to requests, per slot of the endpoint: one that runs and one that
/// waits.
const CONNECTIONS_PER_SLOT: u32 = 2;

/// The share of one box of the idle connections that an endpoint has room for.
fn idle_share(max_connections: u32, slots: u32, boxes: usize) -> usize {
    let for_requests = slots.saturating_mul(CONNECTIONS_PER_SLOT);
    let idle = max_connections.saturating_sub(for_requests) as usize;
    (idle / boxes.max(1)).min(MAX_IDLE_CONNECTIONS)
}

impl Dispatcher {
    /// How many idle connections this box keeps to an endpoint.
    pub(super) fn max_idle_connections(&self, spec: &EndpointSpec) -> usize {
        let service = self.table.as_ref().and_then(|t| t.service(&spec.service));
        let Some(max_connections) = service.and_then(|service| service.max_connections) else {
            return MAX_IDLE_CONNECTIONS;
        };
        let known = self.peers.roster().fleet_size(self.now);
        let boxes = known.unwrap_or_default().max(self.cfg.fleet_boxes);
        idle_share(max_connections, spec.slots, boxes)
    }
}

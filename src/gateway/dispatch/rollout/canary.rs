//! Canary endpoints: how much of a service's work goes to a version not yet known to be sound, and
//! to which of its endpoints.
//!
//! The exposure limit counts all requests from the order to its deadline, and the switch sends all
//! of them to the target for a moment. So before the switch a version gets at most
//! [`MAX_CANARY_FRACTION`] of its share, and less where that makes room for the switch
//! ([`super::exposure`]).
//!
//! A fault that occurs only under load must be observed under load. So the canary share goes to few
//! endpoints of the failure domain: as many as it fills with the load of an ordinary endpoint.
//! Where it doesn't fill even one (for example a domain with one endpoint), a single canary
//! endpoint gets the full load of an endpoint for a part of each [`PULSE_PERIOD`].
//!
//! Alternatives: a small share spread over all endpoints, where each sees a sixteenth of its load;
//! and a share that grows with what is known, where the first stage takes as long and the later
//! ones see less.

use std::collections::BTreeSet;
use std::time::Duration;

use super::RolloutOrder;
use crate::gateway::dispatch::fleet::{Endpoint, Fleet};
use crate::rendezvous;
use crate::schema::{DomainId, EndpointId};

/// Upper bound of the canary share, as a fraction of the exposure limit's share.
pub const MAX_CANARY_FRACTION: f64 = 0.72;
/// Time from the start of one load pulse to the next; an order of some seconds has several pulses.
pub const PULSE_PERIOD: Duration = Duration::from_secs(2);

/// The share of requests that canary endpoints get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CanaryShare {
    /// Share of the requests of a route that needs no larger one.
    pub ordinary: f64,
    /// Share of all requests, including those of low-traffic routes that get a larger one.
    pub of_all: f64,
}

/// The canary endpoints of a failure domain and the share of requests they get.
#[derive(Clone, Debug, Default)]
pub struct Canaries {
    endpoints: BTreeSet<EndpointId>,
    share: f64,
    /// Endpoints of other versions in this failure domain that accept work.
    other_endpoints: usize,
    has_target: bool,
}

impl Canaries {
    /// Chooses the canary endpoints for `share`, from the endpoints that accept work now.
    pub fn choose(
        &mut self,
        share: CanaryShare,
        order: &RolloutOrder,
        fleet: &Fleet,
        domain: &DomainId,
    ) {
        let of_service = fleet.of_service(&order.service);
        let usable: Vec<&Endpoint> = of_service.filter(|e| fleet.takes_work(e)).collect();
        let is_target = |e: &&Endpoint| e.spec.version == order.target;
        let is_local = |e: &&Endpoint| e.spec.domain == *domain;
        self.has_target = usable.iter().any(is_target);
        self.other_endpoints = usable
            .iter()
            .filter(|e| is_local(e) && !is_target(e))
            .count();
        self.share = share.ordinary;
        let mut targets: Vec<&EndpointId> = usable
            .iter()
            .filter(|e| is_local(e) && is_target(e))
            .map(|e| &e.spec.id)
            .collect();
        targets.sort_by_key(|id| std::cmp::Reverse(rendezvous::score(id, order.id)));
        // Rounded to the nearest count, so that no canary has many more requests than an endpoint
        // of another version: it would be slower for that alone.
        let filled = (share.of_all * self.other_endpoints as f64).round() as usize;
        let chosen = targets.into_iter().take(filled.max(1));
        self.endpoints = chosen.cloned().collect();
    }

    /// The current canary endpoints.
    #[must_use]
    pub fn endpoints(&self) -> &BTreeSet<EndpointId> {
        &self.endpoints
    }

    /// Whether any endpoint of the target, in any domain, accepts work.
    #[must_use]
    pub fn has_target(&self) -> bool {
        self.has_target
    }

    /// The probability with which a request goes to a canary endpoint at `elapsed` after the order.
    #[must_use]
    pub fn share(&self, elapsed: Duration) -> f64 {
        if self.endpoints.is_empty() {
            return 0.0;
        }
        let others = self.other_endpoints as f64;
        let filled = self.share * others;
        if filled >= 1.0 || self.other_endpoints == 0 {
            return self.share;
        }
        let time_in_period = elapsed.as_secs_f64() % PULSE_PERIOD.as_secs_f64();
        let is_pulse = time_in_period < filled * PULSE_PERIOD.as_secs_f64();
        if is_pulse { 1.0 / others } else { 0.0 }
    }
}

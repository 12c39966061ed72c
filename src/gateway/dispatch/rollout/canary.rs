//! How much of a service's work goes to a version that is not known to be sound, and to which of its
//! endpoints.
//!
//! The bound counts all requests from the order to its deadline, and the last step takes all of them
//! for a moment; so before it a version gets [`SAFE_PART`] of its share, and the rest is kept for that
//! step and for retries.
//!
//! What fails under load only must be seen under load. So the share goes to few endpoints of the
//! failure domain, as many as it fills at an ordinary load. Where it fills not even one (a domain
//! with one till), one endpoint gets all requests of an endpoint for a part of the time: pulses of
//! [`PULSE_EVERY`]. Weighed: a thin share over all endpoints (each sees a sixteenth of its load), and
//! steps that grow with what is known (the first step is as long, and the later ones see less).

use std::collections::BTreeSet;
use std::time::Duration;

use super::RolloutOrder;
use crate::gateway::dispatch::fleet::{Endpoint, Fleet};
use crate::rendezvous;
use crate::schema::{DomainId, EndpointId};

/// The part of its share that a version gets before the last step. Chosen so that 0.028 of all
/// requests and the fixed reserve are left for it; figures in docs/design/rollouts.md.
pub const SAFE_PART: f64 = 0.72;
/// Time from one pulse to the next. Chosen so that an order of some seconds has several, not
/// measured.
pub const PULSE_EVERY: Duration = Duration::from_secs(2);

/// The endpoints of a failure domain that a version is tried at, and how much they get.
#[derive(Clone, Debug, Default)]
pub struct Canaries {
    endpoints: BTreeSet<EndpointId>,
    share: f64,
    /// Endpoints of other versions in the own domain.
    others: usize,
    has_target: bool,
}

impl Canaries {
    /// Chooses endpoints anew, from those that take work now.
    pub fn choose(&mut self, share: f64, order: &RolloutOrder, fleet: &Fleet, domain: &DomainId) {
        let of_service = fleet.of_service(&order.service);
        let usable: Vec<&Endpoint> = of_service.filter(|e| e.takes_work()).collect();
        let is_target = |e: &&Endpoint| e.spec.version == order.target;
        let is_near = |e: &&Endpoint| e.spec.domain == *domain;
        self.has_target = usable.iter().any(is_target);
        self.others = usable
            .iter()
            .filter(|e| is_near(e) && !is_target(e))
            .count();
        self.share = share * SAFE_PART;
        let mut targets: Vec<&EndpointId> = usable
            .iter()
            .filter(|e| is_near(e) && is_target(e))
            .map(|e| &e.spec.id)
            .collect();
        targets.sort_by_key(|id| std::cmp::Reverse(rendezvous::score(id, order.id)));
        let filled = (self.share * self.others as f64) as usize;
        let chosen = targets.into_iter().take(filled.max(1));
        self.endpoints = chosen.cloned().collect();
    }

    /// The endpoints.
    #[must_use]
    pub fn endpoints(&self) -> &BTreeSet<EndpointId> {
        &self.endpoints
    }

    /// Whether the version has any endpoint that takes work, in any domain.
    #[must_use]
    pub fn has_target(&self) -> bool {
        self.has_target
    }

    /// The probability with which a request goes there, so long after the order.
    #[must_use]
    pub fn share(&self, elapsed: Duration) -> f64 {
        if self.endpoints.is_empty() {
            return 0.0;
        }
        let others = self.others as f64;
        let filled = self.share * others;
        if filled >= 1.0 || self.others == 0 {
            return self.share;
        }
        let in_period = elapsed.as_secs_f64() % PULSE_EVERY.as_secs_f64();
        let is_pulse = in_period < filled * PULSE_EVERY.as_secs_f64();
        if is_pulse { 1.0 / others } else { 0.0 }
    }
}

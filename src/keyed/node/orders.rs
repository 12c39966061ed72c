//! Orders to engines: a bundle that names a newer version of a model has it loaded.
//!
//! An order carries the epoch as its fence. To an engine that doesn't check it, an order goes only
//! under a lease that was confirmed a moment ago. Orders of one box keep a distance, which keeps
//! the weight loads to the rate of the weight store.

use crate::keyed::node::Node;
use crate::keyed::node::action::{Action, Order};
use crate::keyed::node::config::{ORDER_LEASE_AGE, ORDER_SPACING};
use crate::schema::{EndpointId, EndpointKind, Micros, ModelId};

/// The orders that were given.
#[derive(Debug, Default)]
pub struct Orders {
    last: Option<Micros>,
    watched: Vec<EndpointId>,
}

impl Orders {
    /// Says which endpoints this box looks after.
    pub fn watch(&mut self, endpoints: Vec<EndpointId>) {
        self.watched = endpoints;
    }
}

impl Node {
    /// Gives the next order that is due.
    pub(super) fn tend_orders(&mut self) {
        let spaced = self
            .orders
            .last
            .is_none_or(|at| self.now.since(at) >= ORDER_SPACING);
        if !spaced {
            return;
        }
        for endpoint in self.orders.watched.clone() {
            if let Some((model, version)) = self.outdated_model(&endpoint) {
                self.give_order(&endpoint, model, version);
                return;
            }
        }
    }

    /// The model that an engine has in an older version than the bundle names.
    fn outdated_model(&self, endpoint: &EndpointId) -> Option<(ModelId, u32)> {
        let bundle = self.bundles.current()?;
        let loaded = self.endpoints.get(endpoint)?.report.as_ref()?.model_version;
        let spec = bundle.endpoint(endpoint)?;
        let EndpointKind::Engine(engine) = &spec.serves else {
            return None;
        };
        let models = engine.models.iter().filter_map(|id| bundle.model(id));
        models
            .filter(|m| m.version > loaded)
            .map(|m| (m.id.clone(), m.version))
            .next()
    }

    fn give_order(&mut self, endpoint: &EndpointId, model: ModelId, version: u32) {
        let Some(state) = self.endpoints.get(endpoint) else {
            return;
        };
        let Some(confirmed) = self
            .membership
            .confirmed()
            .filter(|_| self.membership.is_listed())
        else {
            return;
        };
        let age = self.now.since(confirmed);
        let allowed = if state.checks_orders {
            self.cfg.lease
        } else {
            ORDER_LEASE_AGE
        };
        if age >= allowed || self.membership.is_behind() {
            // A fresh read of the roster confirms the lease; the order then goes with the next
            // beat.
            return self.read_roster_now();
        }
        let order = Order {
            endpoint: endpoint.clone(),
            address: state.address.clone(),
            epoch: self.membership.epoch(),
            model,
            version,
            not_after: confirmed.after(allowed),
        };
        self.orders.last = Some(self.now);
        self.stats.orders += 1;
        self.out.note(
            "order",
            endpoint,
            format!("{} version {version}", order.model),
        );
        self.out.push(Action::Order(Box::new(order)));
    }
}

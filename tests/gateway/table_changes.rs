//! Routing tables that differ from each other in any way that operators can change them.

use std::time::Duration;

use magpiemoor::gateway::dispatch::priority::Priority;
use magpiemoor::gateway::dispatch::table::{
    KeyOwner, RoutingTable, ServiceSpec, TableParts, TableVersion, Target,
};
use rand::Rng;
use rand::seq::{IndexedMutRandom, IndexedRandom};
use rand_chacha::ChaCha8Rng;

use crate::fixtures::{KEY, PAYMENTS, QUOTES, STREAMS, parts, route};

/// Key of the second organisation.
pub const OTHER_KEY: &str = "key-of-mill";
/// Names of the services, each with the one that stands in for it.
const SERVICES: [(&str, &str); 2] = [("engines", "spares"), ("till", "desk")];
/// Sizes of an engine's KV memory.
const KV_TOKENS: [u32; 2] = [55_000, 40_000];

/// Every service and route that a table may name.
fn all_parts() -> TableParts {
    let mut all = parts(0, [STREAMS, QUOTES, PAYMENTS].map(route).into());
    for (name, other) in SERVICES {
        let found = all.services.iter().find(|s| s.name.as_str() == name);
        let spec = found.expect("a service").clone();
        all.services.push(ServiceSpec {
            name: other.parse().unwrap(),
            ..spec
        });
    }
    let mill = KeyOwner {
        priority: None,
        organisation: "mill".parse().unwrap(),
    };
    let keys = all.keys.as_mut().expect("keys");
    keys.insert(OTHER_KEY.to_owned(), mill);
    all
}

/// The tables of a play: the last one, and those before it.
pub struct Tables {
    all: TableParts,
    published: Vec<TableParts>,
}

impl Default for Tables {
    fn default() -> Self {
        Self {
            all: all_parts(),
            published: Vec::new(),
        }
    }
}

impl Tables {
    /// The next table: the last one with a few changes.
    pub fn next(&mut self, rng: &mut ChaCha8Rng) -> TableParts {
        let mut next = self.published.last().unwrap_or(&self.all).clone();
        next.version = TableVersion(self.published.len() as u64 + 1);
        for _ in 0..rng.random_range(0..3) {
            self.change(&mut next, rng);
        }
        self.published.push(next.clone());
        next
    }

    /// Any earlier table.
    pub fn older(&self, rng: &mut ChaCha8Rng) -> Option<RoutingTable> {
        let parts = self.published.choose(rng)?.clone();
        RoutingTable::try_from(parts).ok()
    }

    /// A key that some table has, sometimes none.
    pub fn draw_key(rng: &mut ChaCha8Rng) -> Option<String> {
        let key = if rng.random_bool(0.6) { KEY } else { OTHER_KEY };
        rng.random_bool(0.95).then(|| key.to_owned())
    }

    /// The KV memory that an engine has by any table.
    pub fn least_memory() -> u32 {
        KV_TOKENS.into_iter().min().unwrap_or_default()
    }

    fn change(&self, next: &mut TableParts, rng: &mut ChaCha8Rng) {
        match rng.random_range(0..8) {
            0 => self.toggle_route(next, rng),
            1 => move_route(next, rng),
            2 => change_times(next, rng),
            3 => change_priorities(next, rng),
            4 => self.toggle_key(next, rng),
            5 => self.toggle_service(next, rng),
            6 => self.change_engine(next, rng),
            _ => next.limits.idle = Duration::from_secs(rng.random_range(1..20)),
        }
    }

    /// Restores all routes, or drops one.
    fn toggle_route(&self, next: &mut TableParts, rng: &mut ChaCha8Rng) {
        if next.routes.len() < self.all.routes.len() {
            next.routes.clone_from(&self.all.routes);
        } else {
            next.routes.remove(rng.random_range(0..next.routes.len()));
        }
    }

    /// Restores all keys, or revokes one.
    fn toggle_key(&self, next: &mut TableParts, rng: &mut ChaCha8Rng) {
        let keys = next.keys.get_or_insert_default();
        let key = if rng.random() { KEY } else { OTHER_KEY };
        if keys.len() < 2 || keys.remove(key).is_none() {
            next.keys.clone_from(&self.all.keys);
        }
    }

    fn toggle_service(&self, next: &mut TableParts, rng: &mut ChaCha8Rng) {
        let service = self.all.services.choose(rng).expect("services").clone();
        let known = next.services.len();
        next.services.retain(|s| s.name != service.name);
        if next.services.len() == known {
            next.services.push(service);
        }
    }

    /// Turns a service with engines into a plain one or back, or changes its engines' memory.
    fn change_engine(&self, next: &mut TableParts, rng: &mut ChaCha8Rng) {
        let Some(service) = next.services.choose_mut(rng) else {
            return;
        };
        let found = self.all.services.iter().find(|s| s.name == service.name);
        let engine = found.and_then(|s| s.engine);
        let is_plain = rng.random_bool(0.5);
        service.engine = engine.filter(|_| !is_plain).map(|mut engine| {
            engine.kv_tokens = *KV_TOKENS.choose(rng).expect("sizes");
            engine
        });
    }
}

fn move_route(next: &mut TableParts, rng: &mut ChaCha8Rng) {
    let Some(route) = next.routes.choose_mut(rng) else {
        return;
    };
    let (first, second) = SERVICES[usize::from(route.name != STREAMS)];
    let mut weights = [rng.random_range(0..3), rng.random_range(0..3)];
    weights[rng.random_range(0..2)] += 1;
    let targets = [first, second].into_iter().zip(weights);
    route.targets = targets
        .map(|(service, weight)| Target {
            service: service.parse().unwrap(),
            weight,
        })
        .collect();
}

fn change_times(next: &mut TableParts, rng: &mut ChaCha8Rng) {
    if let Some(route) = next.routes.choose_mut(rng) {
        route.timeout = Duration::from_millis(rng.random_range(300..25_000));
    }
}

fn change_priorities(next: &mut TableParts, rng: &mut ChaCha8Rng) {
    let mut draw = || Priority::try_from(rng.random_range(0..10)).ok();
    for owner in next.keys.iter_mut().flat_map(|keys| keys.values_mut()) {
        owner.priority = draw();
    }
    for route in &mut next.routes {
        route.priority = draw();
    }
}

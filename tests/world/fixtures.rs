//! Small fleets to start from.

use std::sync::Arc;
use std::time::Duration;

use magpiemoor::keyed::bundle::parts::{join, split};
use magpiemoor::keyed::bundle::sign::unsigned;
use magpiemoor::keyed::node::config::NodeConfig;
use magpiemoor::keyed::settings::{Recovery, Routing};
use magpiemoor::schema::{
    BoxId, BundlePointer, BundleSource, BundleVersion, CallSpec, EndpointKind, EndpointSpec,
    EngineSpec, Incarnation, Member, Millis, ModelSpec, OrganisationSpec, PeerSeed, Policy,
    Priority, ServiceCalls, ServiceSpec, Weights,
};

use super::endpoints::{Engine, Service};
use super::{Slot, World};

/// The failure domains of small fleets.
pub const DOMAINS: [&str; 2] = ["north", "south"];

/// A key that falls into a failure domain.
pub fn key_in(domain: &str, name: &str) -> String {
    format!("{domain}~{name}")
}

/// Boxes are named by their failure domain: `north-0`, `north-1`, ...
pub fn fleet(seed: u64, boxes_per_domain: usize, engines_per_domain: usize) -> World {
    let mut world = World::empty(seed);
    let names: Vec<(String, &str)> = DOMAINS
        .iter()
        .flat_map(|d| (0..boxes_per_domain).map(move |i| (format!("{d}-{i}"), *d)))
        .collect();
    for (name, domain) in &names {
        let seeds = names
            .iter()
            .filter(|(n, _)| n != name)
            .map(|(n, d)| PeerSeed {
                id: n.parse().unwrap(),
                domain: d.parse().unwrap(),
                address: n.clone(),
            });
        let slot = Slot {
            cfg: config(name, domain, seeds.collect()),
            node: None,
            frozen: false,
            offset: 0,
            life: 0,
            held_back: Vec::new(),
            timers: std::collections::BTreeMap::new(),
            bundle_version: 0,
        };
        world.boxes.insert(name.parse().unwrap(), slot);
    }
    for domain in DOMAINS {
        for i in 0..engines_per_domain {
            let engine = Engine {
                domain: domain.to_owned(),
                alive: true,
                checks_orders: i != 0,
                model_version: 1,
                ..Engine::default()
            };
            world.engines.insert(format!("{domain}-engine-{i}"), engine);
        }
        let service = Service {
            domain: domain.to_owned(),
            alive: true,
            ..Service::default()
        };
        world.services.insert(format!("{domain}-till"), service);
    }
    world.roll(1);
    world
}

/// The same, started and settled.
pub fn running(seed: u64, boxes_per_domain: usize, engines_per_domain: usize) -> World {
    let mut world = fleet(seed, boxes_per_domain, engines_per_domain);
    for id in world.box_ids() {
        world.start_box(&id);
    }
    let ready = world.run_until(Duration::from_secs(30), |w| w.is_settled());
    assert!(ready, "the fleet did not settle");
    world
}

fn config(name: &str, domain: &str, seeds: Vec<PeerSeed>) -> NodeConfig {
    NodeConfig {
        me: Member {
            id: name.parse().unwrap(),
            incarnation: Incarnation(0),
            address: name.to_owned(),
        },
        domain: domain.parse().unwrap(),
        domains: DOMAINS.iter().map(|d| d.parse().unwrap()).collect(),
        seeds,
        lease: Duration::from_secs(3),
        heartbeat: Duration::from_millis(200),
        clock_bound: Duration::from_millis(200),
        max_requests: 200,
        max_tokens_held: 50_000,
        stop_grace: Duration::from_secs(20),
        recovery: Recovery::Resume,
        routing: Routing::Cost,
    }
}

/// The bundle source of a small fleet.
pub fn source(world: &World, version: u64) -> BundleSource {
    let engines = world.engines.iter().map(|(name, engine)| EndpointSpec {
        id: name.parse().unwrap(),
        domain: engine.domain.parse().unwrap(),
        address: world.address_of(name),
        checks_orders: engine.checks_orders,
        serves: EndpointKind::Engine(EngineSpec {
            models: vec!["drafter".parse().unwrap()],
            adapters: Vec::new(),
            slots: 8,
        }),
    });
    let services = world.services.iter().map(|(name, service)| EndpointSpec {
        id: name.parse().unwrap(),
        domain: service.domain.parse().unwrap(),
        address: world.address_of(name),
        checks_orders: false,
        serves: EndpointKind::Service(ServiceSpec {
            service: "till".parse().unwrap(),
            slots: 32,
        }),
    });
    let call = |name: &str, repeatable| CallSpec {
        name: name.parse().unwrap(),
        repeatable,
        max_ms: Millis(2_000),
    };
    BundleSource {
        version: BundleVersion(version),
        models: vec![ModelSpec {
            id: "drafter".parse().unwrap(),
            context: 8_192,
            max_tokens: 4_096,
            version: u32::try_from(version).unwrap(),
            adapters: Vec::new(),
        }],
        services: vec![ServiceCalls {
            id: "till".parse().unwrap(),
            calls: vec![call("redeem", false), call("balance", true)],
        }],
        organisations: vec![OrganisationSpec {
            id: "shop".parse().unwrap(),
            weight: 1,
            priority: Priority::Interactive,
            models: vec!["drafter".parse().unwrap()],
            services: vec!["till".parse().unwrap()],
        }],
        endpoints: engines.chain(services).collect(),
        policy: Policy {
            weights: Weights {
                resume_second: 10.0,
                extra_second: 1.0,
            },
            retry_horizon: Millis(60_000),
            retry_percent: 20,
            queue_limit: 32,
        },
    }
}

impl World {
    /// Makes a bundle version known, without accepting it.
    pub fn prepare_bundle(&mut self, version: u64) -> BundlePointer {
        let signed = unsigned(split(&source(self, version)));
        let bundle = join(&signed).unwrap();
        let mark = bundle.mark().clone();
        self.bundles
            .insert(mark.version, (Arc::new(bundle), Arc::new(signed)));
        BundlePointer {
            bundle: mark,
            mark: format!("mark-{version}"),
            rolled_by: "test".parse().unwrap(),
        }
    }

    /// Accepts a bundle version.
    pub fn roll(&mut self, version: u64) {
        let pointer = self.prepare_bundle(version);
        self.platform
            .put("bundle/current", serde_json::to_string(&pointer).unwrap());
        self.wake_watches();
    }

    /// Whether every box that runs is ready and all slices of its failure domain are open.
    pub fn is_settled(&self) -> bool {
        DOMAINS.iter().all(|domain| {
            let nodes: Vec<_> = self
                .boxes
                .values()
                .filter(|s| s.cfg.domain.as_str() == *domain)
                .filter_map(|s| s.node.as_ref())
                .collect();
            let open: usize = nodes.iter().map(|n| n.open_slices()).sum();
            let slices = usize::from(magpiemoor::keyed::node::roster::SLICES);
            let name = format!("rosters/{domain}");
            let epoch = self
                .platform
                .objects
                .get(&name)
                .map_or(0, |(version, _)| *version);
            let joined = nodes.iter().all(|n| {
                n.is_ready() && n.membership().is_listed() && n.membership().epoch().0 == epoch
            });
            nodes.is_empty() || (open == slices && joined)
        })
    }

    /// The box that has opened the slice of a key.
    pub fn home_of_call(&self, key: &str) -> BoxId {
        let domain = key.split('~').next().unwrap().parse().unwrap();
        let node = self
            .boxes
            .values()
            .find_map(|s| s.node.as_ref().filter(|_| s.cfg.domain == domain));
        let member = node.and_then(|n| n.membership().call_home(&domain, &key.parse().unwrap()));
        member.expect("the roster is known").id
    }

    /// The box that produces a generation, by the nodes' notes.
    pub fn producer_of(&self, key: &str) -> BoxId {
        let mut notes = self.notes.iter().rev();
        let begun = ["generation_started", "takeover"];
        notes
            .find(|n| begun.contains(&n.2) && n.3 == key)
            .expect("it was started")
            .1
            .clone()
    }

    /// The engine that runs a generation, by the nodes' notes.
    pub fn engine_of(&self, key: &str) -> String {
        let note = self
            .notes
            .iter()
            .rev()
            .find(|n| n.2 == "run_started" && n.3 == key);
        note.expect("it was started")
            .4
            .split(' ')
            .next()
            .unwrap()
            .to_owned()
    }

    /// The boxes of a failure domain other than one.
    pub fn others(&self, domain: &str, not: &BoxId) -> Vec<BoxId> {
        let boxes = self
            .boxes
            .iter()
            .filter(|(id, s)| s.cfg.domain.as_str() == domain && *id != not);
        boxes.map(|(id, _)| id.clone()).collect()
    }

    pub fn assert_sound(&self) {
        assert!(self.violations.is_empty(), "{:#?}", self.violations);
    }
}

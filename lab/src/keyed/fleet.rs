//! Describes a small fleet, and turns the description into settings and a signed bundle.

use std::path::Path;

use magpiemoor::keyed::bundle::SignedBundle;
use magpiemoor::keyed::bundle::parts::split;
use magpiemoor::keyed::bundle::sign::SigningKey;
use magpiemoor::keyed::bundle::sign::{new_key, public_hex, sign, unsigned};
use magpiemoor::schema::{
    BundleSource, BundleVersion, CallSpec, EndpointKind, EndpointSpec, EngineSpec, Millis,
    ModelSpec, OrganisationSpec, Policy, Priority, ServiceCalls, ServiceSpec, Weights,
};
use serde_json::json;

use crate::ports::free_ports;

/// The model that all engines of a fleet serve.
pub const MODEL: &str = "drafter";
/// The plain service of a fleet.
pub const SERVICE: &str = "till";
/// Its call that may not be repeated.
pub const ONCE_CALL: &str = "redeem";
/// Its call that may be repeated.
pub const REPEATABLE_CALL: &str = "balance";
/// The name of the key that signs a fleet's bundles.
pub const KEY_ID: &str = "lab";

/// A box of a fleet and its addresses.
#[derive(Clone, Debug)]
pub struct BoxPlan {
    /// Its name.
    pub id: String,
    /// Its failure domain.
    pub domain: String,
    /// Where callers connect.
    pub callers: String,
    /// Where other boxes connect.
    pub peers: String,
    /// Where operators connect.
    pub operators: String,
}

/// An endpoint of a fleet and its address.
#[derive(Clone, Debug)]
pub struct EndpointPlan {
    /// Its name.
    pub id: String,
    /// Its failure domain.
    pub domain: String,
    /// Its address.
    pub address: String,
    /// Requests that it serves at once.
    pub slots: u32,
}

/// A fleet.
#[derive(Debug)]
pub struct Fleet {
    /// The failure domains.
    pub domains: Vec<String>,
    /// The boxes.
    pub boxes: Vec<BoxPlan>,
    /// The engines.
    pub engines: Vec<EndpointPlan>,
    /// The endpoints of the plain service.
    pub services: Vec<EndpointPlan>,
    /// The platform's address.
    pub platform: String,
    /// Organisations with their weights.
    pub organisations: Vec<(String, u32)>,
    /// What a second of resume latency and of extra work cost.
    pub weights: (f64, f64),
    /// Requests of a class that may wait at a box.
    pub queue_limit: u32,
    /// Settings that all boxes have beyond their own.
    pub extra_settings: serde_json::Value,
    /// The key that signs its bundles.
    pub key: SigningKey,
}

/// How large a fleet is.
#[derive(Clone, Debug)]
pub struct Size {
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Boxes in each failure domain.
    pub boxes: usize,
    /// Engines, spread over the failure domains.
    pub engines: usize,
    /// Slots of an engine.
    pub slots: u32,
    /// Endpoints of the plain service, spread over the failure domains.
    pub services: usize,
}

impl Fleet {
    /// Plans a fleet on free ports of the loopback address.
    ///
    /// # Errors
    ///
    /// That there are no free ports.
    pub fn plan(size: &Size) -> std::io::Result<Self> {
        let boxes = size.boxes * size.domains.len();
        let mut ports = free_ports(boxes * 3 + size.engines + size.services + 1)?.into_iter();
        let mut address = || format!("127.0.0.1:{}", ports.next().unwrap_or(0));
        let domain_of = |i: usize| size.domains[i % size.domains.len()].clone();
        let plan = |prefix: &str, i: usize, slots: u32, address: String| EndpointPlan {
            id: format!("{prefix}-{i}"),
            domain: domain_of(i),
            address,
            slots,
        };
        Ok(Self {
            domains: size.domains.clone(),
            boxes: (0..boxes)
                .map(|i| BoxPlan {
                    id: format!("box-{i}"),
                    domain: domain_of(i),
                    callers: address(),
                    peers: address(),
                    operators: address(),
                })
                .collect(),
            engines: (0..size.engines)
                .map(|i| plan("engine", i, size.slots, address()))
                .collect(),
            services: (0..size.services)
                .map(|i| plan(SERVICE, i, 64, address()))
                .collect(),
            platform: address(),
            organisations: vec![("shop".to_owned(), 1)],
            weights: (10.0, 1.0),
            queue_limit: 256,
            extra_settings: json!({}),
            key: new_key(),
        })
    }

    /// The bundle source in a version.
    ///
    /// # Panics
    ///
    /// If a name of the plan can't be one in a bundle, which is a mistake in this program.
    #[must_use]
    pub fn source(&self, version: u64) -> BundleSource {
        let model = || MODEL.parse().expect("a valid name");
        let service = || SERVICE.parse().expect("a valid name");
        let call = |name: &str, repeatable| CallSpec {
            name: name.parse().expect("a valid name"),
            repeatable,
            max_ms: Millis(3_000),
        };
        let endpoint = |plan: &EndpointPlan, serves| EndpointSpec {
            id: plan.id.parse().expect("a valid name"),
            domain: plan.domain.parse().expect("a valid name"),
            address: plan.address.clone(),
            checks_orders: true,
            serves,
        };
        let engines = self.engines.iter().map(|plan| {
            let spec = EngineSpec {
                models: vec![model()],
                adapters: Vec::new(),
                slots: plan.slots,
            };
            endpoint(plan, EndpointKind::Engine(spec))
        });
        let services = self.services.iter().map(|plan| {
            let spec = ServiceSpec {
                service: service(),
                slots: plan.slots,
            };
            endpoint(plan, EndpointKind::Service(spec))
        });
        let organisations = self
            .organisations
            .iter()
            .map(|(name, weight)| OrganisationSpec {
                id: name.parse().expect("a valid name"),
                weight: *weight,
                priority: Priority::Interactive,
                models: vec![model()],
                services: vec![service()],
            });
        BundleSource {
            version: BundleVersion(version),
            models: vec![ModelSpec {
                id: model(),
                context: 32_768,
                max_tokens: 8_192,
                version: 1,
                adapters: Vec::new(),
            }],
            services: vec![ServiceCalls {
                id: service(),
                calls: vec![call(ONCE_CALL, false), call(REPEATABLE_CALL, true)],
            }],
            organisations: organisations.collect(),
            endpoints: engines.chain(services).collect(),
            policy: Policy {
                weights: Weights {
                    resume_second: self.weights.0,
                    extra_second: self.weights.1,
                },
                retry_horizon: Millis(600_000),
                retry_percent: 10,
                queue_limit: self.queue_limit,
            },
        }
    }

    /// Signs a bundle source with the fleet's key.
    ///
    /// # Panics
    ///
    /// If the key's name can't be one, which is a mistake in this program.
    #[must_use]
    pub fn signed(&self, source: &BundleSource) -> SignedBundle {
        let mut signed = unsigned(split(source));
        sign(
            &mut signed.manifest,
            &KEY_ID.parse().expect("a valid name"),
            &self.key,
        );
        signed
    }

    /// The settings of a box.
    #[must_use]
    pub fn settings(&self, plan: &BoxPlan) -> serde_json::Value {
        let seeds: Vec<_> = self
            .boxes
            .iter()
            .filter(|b| b.id != plan.id)
            .map(|b| json!({ "id": b.id, "domain": b.domain, "address": b.peers }))
            .collect();
        let mut settings = json!({
            "box_id": plan.id,
            "domain": plan.domain,
            "domains": self.domains,
            "callers": plan.callers,
            "peers_address": plan.peers,
            "operators": plan.operators,
            "platform": self.platform,
            "seeds": seeds,
            "trusted_keys": [{ "id": KEY_ID, "public": public_hex(&self.key) }],
        });
        if let (Some(fields), Some(extra)) =
            (settings.as_object_mut(), self.extra_settings.as_object())
        {
            fields.extend(extra.clone());
        }
        settings
    }

    /// Writes a box's settings file.
    ///
    /// # Errors
    ///
    /// What the system says.
    pub fn write_settings(&self, plan: &BoxPlan, path: &Path) -> std::io::Result<()> {
        std::fs::write(path, serde_json::to_string_pretty(&self.settings(plan))?)
    }
}

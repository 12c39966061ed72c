//! Bundles: the versioned declarations that say what is served, for whom, and where.
//!
//! Operators write one source file. It is split into parts that are stored by content hash, so
//! that a change moves only the parts it touches; a manifest names the parts and is signed.

pub mod check;
pub mod objects;
pub mod parts;
pub mod sign;

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::schema::{
    BundleMark, BundleSource, BundleVersion, CallName, CallSpec, EndpointId, EndpointKind,
    EndpointSpec, ModelId, ModelSpec, OrganisationId, OrganisationSpec, PartHash, Policy,
    ServiceId, SignedManifest,
};

pub use sign::TrustedKeys;

/// Something in a bundle that can't be used.
#[derive(Clone, Debug, PartialEq)]
pub struct BundleError {
    /// Where in the bundle it stands.
    pub place: String,
    /// The value found there.
    pub value: String,
    /// What to do about it.
    pub remedy: String,
}

impl BundleError {
    /// Makes an error about one place of a bundle.
    #[must_use]
    pub fn new(place: &str, value: &str, remedy: &str) -> Self {
        Self {
            place: place.to_owned(),
            value: value.to_owned(),
            remedy: remedy.to_owned(),
        }
    }
}

impl fmt::Display for BundleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} = {:?}: {}", self.place, self.value, self.remedy)
    }
}

impl std::error::Error for BundleError {}

/// A bundle as it was signed: the manifest and the texts of its parts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SignedBundle {
    /// The manifest with its signatures.
    pub manifest: SignedManifest,
    /// The parts' texts by their hash.
    pub parts: BTreeMap<String, String>,
}

/// A checked bundle, indexed for serving.
#[derive(Clone, Debug)]
pub struct Bundle {
    mark: BundleMark,
    models: BTreeMap<ModelId, ModelSpec>,
    calls: BTreeMap<(ServiceId, CallName), CallSpec>,
    organisations: BTreeMap<OrganisationId, OrganisationSpec>,
    endpoints: BTreeMap<EndpointId, EndpointSpec>,
    by_model: BTreeMap<ModelId, Vec<EndpointId>>,
    by_service: BTreeMap<ServiceId, Vec<EndpointId>>,
    policy: Policy,
}

/// The endpoints of each model and of each service.
type EndpointsByUse = (
    BTreeMap<ModelId, Vec<EndpointId>>,
    BTreeMap<ServiceId, Vec<EndpointId>>,
);

fn endpoints_by_use(endpoints: &[EndpointSpec]) -> EndpointsByUse {
    let (mut by_model, mut by_service) = EndpointsByUse::default();
    for endpoint in endpoints {
        let id = &endpoint.id;
        match &endpoint.serves {
            EndpointKind::Engine(engine) => {
                for model in &engine.models {
                    by_model.entry(model.clone()).or_default().push(id.clone());
                }
            }
            EndpointKind::Service(service) => {
                let service = service.service.clone();
                by_service.entry(service).or_default().push(id.clone());
            }
        }
    }
    (by_model, by_service)
}

impl Bundle {
    /// Indexes a checked source under the hash of its manifest.
    fn index(source: BundleSource, hash: PartHash) -> Self {
        let (by_model, by_service) = endpoints_by_use(&source.endpoints);
        let mut calls = BTreeMap::new();
        for service in source.services {
            for call in service.calls {
                calls.insert((service.id.clone(), call.name.clone()), call);
            }
        }
        Self {
            mark: BundleMark {
                version: source.version,
                hash,
            },
            models: source
                .models
                .into_iter()
                .map(|m| (m.id.clone(), m))
                .collect(),
            calls,
            organisations: source
                .organisations
                .into_iter()
                .map(|o| (o.id.clone(), o))
                .collect(),
            endpoints: source
                .endpoints
                .into_iter()
                .map(|e| (e.id.clone(), e))
                .collect(),
            by_model,
            by_service,
            policy: source.policy,
        }
    }

    /// The bundle's version and the hash of its manifest.
    #[must_use]
    pub fn mark(&self) -> &BundleMark {
        &self.mark
    }

    /// The bundle's version.
    #[must_use]
    pub fn version(&self) -> BundleVersion {
        self.mark.version
    }

    /// How requests are served.
    #[must_use]
    pub fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Looks up a model.
    #[must_use]
    pub fn model(&self, id: &ModelId) -> Option<&ModelSpec> {
        self.models.get(id)
    }

    /// Looks up a call of a plain service.
    #[must_use]
    pub fn call(&self, service: &ServiceId, call: &CallName) -> Option<&CallSpec> {
        self.calls.get(&(service.clone(), call.clone()))
    }

    /// Looks up an organisation.
    #[must_use]
    pub fn organisation(&self, id: &OrganisationId) -> Option<&OrganisationSpec> {
        self.organisations.get(id)
    }

    /// Looks up an endpoint.
    #[must_use]
    pub fn endpoint(&self, id: &EndpointId) -> Option<&EndpointSpec> {
        self.endpoints.get(id)
    }

    /// All endpoints.
    pub fn endpoints(&self) -> impl Iterator<Item = &EndpointSpec> {
        self.endpoints.values()
    }

    /// The engines that serve a model.
    #[must_use]
    pub fn engines_for(&self, model: &ModelId) -> &[EndpointId] {
        self.by_model.get(model).map_or(&[], Vec::as_slice)
    }

    /// The endpoints that answer a plain service's calls.
    #[must_use]
    pub fn endpoints_for(&self, service: &ServiceId) -> &[EndpointId] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }
}

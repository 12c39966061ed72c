//! Checks a bundle source; every error is found at once.

use std::collections::HashSet;
use std::fmt::Display;
use std::hash::Hash;
use std::net::SocketAddr;

use crate::keyed::bundle::BundleError;
use crate::schema::{BundleSource, EndpointKind, EndpointSpec, OrganisationSpec};

/// The greatest share that an organisation may have.
const MAX_WEIGHT: u32 = 1_000_000;

/// Parses a bundle source: JSON with comments.
///
/// # Errors
///
/// What is wrong with the text, or everything that is wrong with what it says.
pub fn parse(text: &str) -> Result<BundleSource, Vec<BundleError>> {
    let options = jsonc_parser::ParseOptions::default();
    let source: BundleSource = jsonc_parser::parse_to_serde_value(text, &options).map_err(|e| {
        let remedy = format!("{e}; see docs/BUNDLES.md for the form of a bundle");
        vec![BundleError::new("file", "", &remedy)]
    })?;
    let errors = check(&source);
    if errors.is_empty() {
        Ok(source)
    } else {
        Err(errors)
    }
}

/// Returns everything that is wrong with a source.
#[must_use]
pub fn check(source: &BundleSource) -> Vec<BundleError> {
    let mut check = Check {
        source,
        errors: Vec::new(),
    };
    check.unique("models", source.models.iter().map(|m| &m.id));
    check.unique("services", source.services.iter().map(|s| &s.id));
    check.unique("organisations", source.organisations.iter().map(|o| &o.id));
    check.unique("endpoints", source.endpoints.iter().map(|e| &e.id));
    if source.version.0 == 0 {
        check.fail(
            "version",
            "0",
            "start with 1 and raise it with every change",
        );
    }
    check.models();
    for organisation in &source.organisations {
        check.organisation(organisation);
    }
    for endpoint in &source.endpoints {
        check.endpoint(endpoint);
    }
    check.policy();
    check.errors
}

struct Check<'a> {
    source: &'a BundleSource,
    errors: Vec<BundleError>,
}

impl Check<'_> {
    fn fail(&mut self, place: &str, value: &str, remedy: &str) {
        self.errors.push(BundleError::new(place, value, remedy));
    }

    fn unique<'a, T: Eq + Hash + Display + 'a>(
        &mut self,
        place: &str,
        ids: impl Iterator<Item = &'a T>,
    ) {
        let mut seen = HashSet::new();
        for id in ids {
            if !seen.insert(id) {
                self.fail(place, &id.to_string(), "give every entry an id of its own");
            }
        }
    }

    fn models(&mut self) {
        for model in &self.source.models {
            let place = format!("models.{}", model.id.as_str());
            if model.max_tokens == 0 || model.max_tokens > model.context {
                let remedy = format!("give max_tokens from 1 to the context of {}", model.context);
                self.fail(&place, &model.max_tokens.to_string(), &remedy);
            }
            let served = self.source.endpoints.iter().any(|e| match &e.serves {
                EndpointKind::Engine(engine) => engine.models.contains(&model.id),
                EndpointKind::Service(_) => false,
            });
            if !served {
                self.fail(
                    &place,
                    model.id.as_str(),
                    "name an engine that serves the model, or drop it",
                );
            }
        }
    }

    fn organisation(&mut self, organisation: &OrganisationSpec) {
        let place = format!("organisations.{}", organisation.id.as_str());
        if organisation.weight == 0 || organisation.weight > MAX_WEIGHT {
            let remedy = format!("give a weight from 1 to {MAX_WEIGHT}");
            self.fail(&place, &organisation.weight.to_string(), &remedy);
        }
        for model in &organisation.models {
            if !self.source.models.iter().any(|m| &m.id == model) {
                self.fail(
                    &place,
                    model.as_str(),
                    "no such model; add it to models or drop it here",
                );
            }
        }
        for service in &organisation.services {
            if !self.source.services.iter().any(|s| &s.id == service) {
                self.fail(
                    &place,
                    service.as_str(),
                    "no such service; add it to services or drop it here",
                );
            }
        }
    }

    fn endpoint(&mut self, endpoint: &EndpointSpec) {
        let place = format!("endpoints.{}", endpoint.id.as_str());
        if endpoint.address.parse::<SocketAddr>().is_err() {
            self.fail(&place, &endpoint.address, "give an IP number and a port");
        }
        let slots = match &endpoint.serves {
            EndpointKind::Engine(engine) => {
                for model in &engine.models {
                    if !self.source.models.iter().any(|m| &m.id == model) {
                        self.fail(
                            &place,
                            model.as_str(),
                            "no such model; add it to models or drop it here",
                        );
                    }
                }
                engine.slots
            }
            EndpointKind::Service(service) => {
                if !self.source.services.iter().any(|s| s.id == service.service) {
                    self.fail(
                        &place,
                        service.service.as_str(),
                        "no such service; add it to services",
                    );
                }
                service.slots
            }
        };
        if slots == 0 {
            self.fail(
                &place,
                "0",
                "give the number of requests it serves at once as slots",
            );
        }
    }

    fn policy(&mut self) {
        let policy = &self.source.policy;
        for (name, weight) in [
            ("resume_second", policy.weights.resume_second),
            ("extra_second", policy.weights.extra_second),
        ] {
            if !weight.is_finite() || weight <= 0.0 {
                let place = format!("policy.weights.{name}");
                self.fail(&place, &weight.to_string(), "give a number above 0");
            }
        }
        if policy.retry_percent > 100 {
            self.fail(
                "policy.retry_percent",
                &policy.retry_percent.to_string(),
                "give 0 to 100",
            );
        }
        if policy.queue_limit == 0 {
            self.fail("policy.queue_limit", "0", "let at least one request wait");
        }
    }
}

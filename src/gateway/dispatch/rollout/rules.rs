//! Rules on the endpoint versions that a request may use during a roll-out.

use std::collections::BTreeSet;

use crate::gateway::dispatch::fleet::Endpoint;
use crate::schema::{EndpointId, VersionId};

/// Restricts the endpoints at which an attempt may be placed.
#[derive(Clone, Copy, Debug, Default)]
pub enum VersionRule<'a> {
    /// All endpoints.
    #[default]
    Any,
    /// Endpoints of this version.
    Only(&'a VersionId),
    /// Endpoints of any other version.
    Except(&'a VersionId),
    /// The listed endpoints.
    Among(&'a BTreeSet<EndpointId>),
}

impl VersionRule<'_> {
    /// Whether the rule allows an endpoint.
    fn admits(self, endpoint: &Endpoint) -> bool {
        match self {
            Self::Any => true,
            Self::Only(version) => endpoint.spec.version == *version,
            Self::Except(version) => endpoint.spec.version != *version,
            Self::Among(ids) => ids.contains(&endpoint.spec.id),
        }
    }
}

/// The rules for one request. Replicas need none of their own: they are always placed at the version of
/// the attempt's endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct VersionRules<'a> {
    attempts: VersionRule<'a>,
    /// Versions that no stream may begin at yet.
    newcomers: Option<&'a BTreeSet<VersionId>>,
}

impl<'a> VersionRules<'a> {
    /// The rules of a request that may use the endpoints that `attempts` admits.
    #[must_use]
    pub fn new(attempts: VersionRule<'a>) -> Self {
        Self {
            attempts,
            newcomers: None,
        }
    }

    /// The rules of a stream that begins while some versions are newcomers.
    #[must_use]
    pub fn without(newcomers: Option<&'a BTreeSet<VersionId>>) -> Self {
        Self {
            attempts: VersionRule::Any,
            newcomers,
        }
    }

    /// Whether an attempt may be placed at an endpoint.
    #[must_use]
    pub fn admits(&self, endpoint: &Endpoint) -> bool {
        let is_newcomer = self
            .newcomers
            .is_some_and(|newcomers| newcomers.contains(&endpoint.spec.version));
        self.attempts.admits(endpoint) && !is_newcomer
    }
}

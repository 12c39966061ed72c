//! Rules on the endpoint versions that a request may use during a roll-out.

use std::collections::BTreeSet;

use crate::gateway::dispatch::fleet::Endpoint;
use crate::schema::{EndpointId, VersionId};

/// Restricts the endpoints at which an attempt or a replica may be placed.
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
    #[must_use]
    pub fn admits(self, endpoint: &Endpoint) -> bool {
        match self {
            Self::Any => true,
            Self::Only(version) => endpoint.spec.version == *version,
            Self::Except(version) => endpoint.spec.version != *version,
            Self::Among(ids) => ids.contains(&endpoint.spec.id),
        }
    }
}

/// The rules for one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct VersionRules<'a> {
    /// Where attempts may be placed.
    pub attempts: VersionRule<'a>,
    /// Where replicas of the request's attempts may be placed.
    pub replicas: VersionRule<'a>,
}

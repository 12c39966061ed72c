//! Which endpoints a request may use while its service moves.

use std::collections::BTreeSet;

use crate::gateway::dispatch::fleet::Endpoint;
use crate::schema::{EndpointId, VersionId};

/// Which endpoints an attempt or a replica may be placed at.
#[derive(Clone, Copy, Debug, Default)]
pub enum VersionRule<'a> {
    /// Any.
    #[default]
    Any,
    /// Those of a version.
    Only(&'a VersionId),
    /// Those of other versions than one.
    Except(&'a VersionId),
    /// These.
    Among(&'a BTreeSet<EndpointId>),
}

impl VersionRule<'_> {
    /// Whether an endpoint may be used.
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

/// Which endpoints a request may use.
#[derive(Clone, Copy, Debug, Default)]
pub struct VersionRules<'a> {
    /// For attempts.
    pub attempts: VersionRule<'a>,
    /// For replicas of them.
    pub replicas: VersionRule<'a>,
}

//! The routing table: one version of the operators' configuration, checked and indexed.
//!
//! A table never changes once it is made. Each request keeps the route that it began with, and a
//! box only ever moves on to a table with a greater version ([`super::Dispatcher::handle`]),
//! wherever it was read: from the store, or from a peer. A configuration with a fault is refused
//! whole, and the table before it stays in force.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use crate::schema::{OrganisationId, ServiceId};

/// The version of a routing table; only greater ones come into force.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct TableVersion(pub u64);

impl fmt::Display for TableVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteKind {
    /// It may run any number of times.
    Repeatable,
    /// It runs at most once for each try of its caller.
    Once,
    /// Its answer is a stream of events.
    Stream {
        /// Whether another endpoint may go on after an event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    #[must_use]
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Repeatable => true,
            Self::Once => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service and its part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the route's targets.
    pub weight: u32,
}

/// Where requests of a host below a path go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host, in lower case.
    pub host: String,
    /// The start of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// How often its requests may run.
    pub kind: RouteKind,
    /// How long a request may be held.
    pub timeout: Duration,
    /// The time within which an answer is in time.
    pub objective: Duration,
    /// The services that answer it; never empty.
    pub targets: Vec<Target>,
    /// How many endpoints one request may be sent to.
    pub attempts: u32,
    /// Whether no key is needed.
    pub anonymous: bool,
}

impl Route {
    /// Picks a target by weight; `draw` is a number from 0 to 1.
    #[must_use]
    pub fn pick_target(&self, draw: f64) -> &ServiceId {
        let total: u32 = self.targets.iter().map(|t| t.weight).sum();
        let mut left = draw * f64::from(total);
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return &target.service;
            }
        }
        &self.targets[self.targets.len() - 1].service
    }
}

/// What is known of a service's model engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// The tokens that an engine's KV memory holds.
    pub kv_tokens: u32,
    /// Whether an engine mirrors an attempt's KV memory to another as it grows.
    pub mirrors: bool,
    /// Whether an engine takes a snapshot of an attempt's KV memory when it is asked to.
    pub snapshots: bool,
    /// How long a replica is kept after its last part.
    pub replica_kept: Duration,
}

/// A service that routes lead to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceId,
    /// The path of its health check.
    pub health_path: String,
    /// Its model engines, if it has them.
    pub engine: Option<EngineSpec>,
}

/// An organisation as a key names it.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyOwner {
    /// The organisation.
    pub organisation: OrganisationId,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallerLimits {
    /// The greatest head of a request in bytes.
    pub head_bytes: usize,
    /// The greatest body of a request in bytes.
    pub body_bytes: usize,
    /// How long a connection may rest.
    pub idle: Duration,
}

/// Why a request matches no route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoMatch {
    /// No route has its host and path.
    Route,
    /// No organisation holds its key.
    Key,
}

/// Why a configuration can't be used.
#[derive(Clone, Debug, PartialEq)]
pub struct TableError {
    /// What is wrong, with the remedy.
    pub message: String,
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for TableError {}

/// What a table is made from.
#[derive(Clone, Debug, PartialEq)]
pub struct TableParts {
    /// The version.
    pub version: TableVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<ServiceSpec>,
    /// Holders by key, or `None` where no route needs a key.
    pub keys: Option<HashMap<String, KeyOwner>>,
    /// Bounds on requests.
    pub limits: CallerLimits,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    version: TableVersion,
    routes: HashMap<String, Vec<Arc<Route>>>,
    services: HashMap<ServiceId, ServiceSpec>,
    keys: Option<HashMap<String, KeyOwner>>,
    limits: CallerLimits,
}

impl TryFrom<TableParts> for RoutingTable {
    type Error = TableError;

    fn try_from(parts: TableParts) -> Result<Self, TableError> {
        let mut routes: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in parts.routes {
            check_route(&route)?;
            routes
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for of_host in routes.values_mut() {
            of_host.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let services = parts.services.into_iter();
        Ok(Self {
            version: parts.version,
            routes,
            services: services.map(|s| (s.name.clone(), s)).collect(),
            keys: parts.keys,
            limits: parts.limits,
        })
    }
}

fn check_route(route: &Route) -> Result<(), TableError> {
    let fault = if route.targets.iter().all(|t| t.weight == 0) {
        "has no service with a weight; name one"
    } else if !route.path_prefix.starts_with('/') {
        "has a path that doesn't begin with a slash; add it"
    } else if route.attempts == 0 {
        "allows no attempt; allow one or more"
    } else {
        return Ok(());
    };
    Err(TableError {
        message: format!("route {} {fault}", route.name),
    })
}

impl RoutingTable {
    /// The version.
    #[must_use]
    pub fn version(&self) -> TableVersion {
        self.version
    }

    /// Bounds on requests.
    #[must_use]
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Finds the route with the longest prefix of the path.
    ///
    /// # Errors
    ///
    /// If no route of the host begins the path.
    pub fn route(&self, host: &str, path: &str) -> Result<Arc<Route>, NoMatch> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        self.routes
            .get(&name.to_ascii_lowercase())
            .and_then(|routes| routes.iter().find(|r| path.starts_with(&r.path_prefix)))
            .cloned()
            .ok_or(NoMatch::Route)
    }

    /// Finds who holds a key; `None` where the route needs none.
    ///
    /// # Errors
    ///
    /// If a key is needed and nobody holds this one.
    pub fn key_owner(&self, route: &Route, key: Option<&str>) -> Result<Option<KeyOwner>, NoMatch> {
        let Some(keys) = &self.keys else {
            return Ok(None);
        };
        let owner = key.and_then(|key| keys.get(key)).cloned();
        if owner.is_none() && !route.anonymous {
            return Err(NoMatch::Key);
        }
        Ok(owner)
    }

    /// Finds a service.
    #[must_use]
    pub fn service(&self, name: &ServiceId) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// Iterates over all services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }
}

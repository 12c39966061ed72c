//! How the service of a case is set up.

use std::time::Duration;

use magpiemoor::gateway::dispatch::table::{
    CallerLimits, EngineSpec, Route, RouteKind, RoutingTable, ServiceSpec, TableParts,
    TableVersion, Target,
};

use super::Case;
use crate::gateway::crashes::servers::SERVICE;

/// The host that callers ask.
pub(super) const HOST: &str = "h";

/// A service with one route.
pub(super) fn table(case: &Case) -> RoutingTable {
    let (timeout, objective, attempts) = if case.engines {
        (25_000, 4_500, 5)
    } else {
        (1_200, 150, 3)
    };
    let route = Route {
        name: "route".to_owned(),
        host: HOST.to_owned(),
        path_prefix: "/".to_owned(),
        kind: if case.engines {
            RouteKind::Stream { resumable: true }
        } else {
            RouteKind::Repeatable
        },
        timeout: Duration::from_millis(timeout),
        objective: Duration::from_millis(objective),
        targets: vec![Target {
            service: SERVICE.parse().expect("a short name"),
            weight: 1,
        }],
        attempts,
        anonymous: true,
        priority: None,
    };
    let engine = EngineSpec {
        kv_tokens: 88_000,
        mirrors: true,
        snapshots: true,
        replica_kept: Duration::from_secs(4),
    };
    RoutingTable::try_from(TableParts {
        version: TableVersion(1),
        routes: vec![route],
        services: vec![ServiceSpec {
            name: SERVICE.parse().expect("a short name"),
            health_path: "/healthz".to_owned(),
            max_connections: None,
            engine: case.engines.then_some(engine),
        }],
        keys: None,
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            idle: Duration::from_secs(15),
        },
        ignored: Vec::new(),
    })
    .expect("a sound table")
}

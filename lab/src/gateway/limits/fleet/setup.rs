//! Configuration of the service.

use std::time::Duration;

use magpiemoor::gateway::dispatch::table::{
    CallerLimits, Route, RouteKind, RoutingTable, ServiceSpec, TableParts, TableVersion, Target,
};

/// Host that calls name.
pub(super) const HOST: &str = "h";
/// Service that calls are routed to.
pub(super) const SERVICE: &str = "served";
/// Latency objective of a call.
pub(super) const OBJECTIVE: Duration = Duration::from_millis(150);

/// Returns a routing table with one plain service and one route, whose calls may be repeated.
pub(super) fn table() -> RoutingTable {
    let route = Route {
        name: "route".to_owned(),
        host: HOST.to_owned(),
        path_prefix: "/".to_owned(),
        kind: RouteKind::Repeatable,
        timeout: Duration::from_millis(1_200),
        objective: OBJECTIVE,
        targets: vec![Target {
            service: SERVICE.parse().expect("a short name"),
            weight: 1,
        }],
        attempts: 3,
        anonymous: true,
        priority: None,
    };
    RoutingTable::try_from(TableParts {
        version: TableVersion(1),
        routes: vec![route],
        services: vec![ServiceSpec {
            name: SERVICE.parse().expect("a short name"),
            health_path: "/healthz".to_owned(),
            max_connections: None,
            engine: None,
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

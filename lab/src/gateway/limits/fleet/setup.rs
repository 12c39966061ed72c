//! Configuration of the boxes and of the service.

use std::net::SocketAddr;
use std::time::Duration;

use magpiemoor::gateway::dispatch::DispatchConfig;
use magpiemoor::gateway::dispatch::retry_budget::RetryPolicy;
use magpiemoor::gateway::dispatch::rollout::exposure::ExposureLimit;
use magpiemoor::gateway::dispatch::table::{
    CallerLimits, Route, RouteKind, RoutingTable, ServiceSpec, TableParts, TableVersion, Target,
};
use magpiemoor::schema::{DomainId, Incarnation};

use super::Case;

/// Host that calls name.
pub(super) const HOST: &str = "h";
/// Service that calls are routed to.
pub(super) const SERVICE: &str = "served";
/// Latency objective of a call.
pub(super) const OBJECTIVE: Duration = Duration::from_millis(150);

/// Returns the address of a box.
pub(super) fn address(number: usize) -> SocketAddr {
    let (high, low) = ((number / 250) as u8, (number % 250) as u8 + 1);
    ([10, 1, high, low], 7_200).into()
}

/// Returns the name of a failure domain.
pub(super) fn domain_name(number: usize) -> DomainId {
    format!("domain-{number}").parse().expect("a short name")
}

/// Returns the configuration of a box; boxes are assigned to the domains in turn.
pub(super) fn config(number: usize, case: &Case) -> DispatchConfig {
    DispatchConfig {
        me: format!("box-{number:03}").parse().expect("a short name"),
        incarnation: Incarnation(1),
        domain: domain_name(number % case.domains),
        address: address(number),
        seeds: (0..case.domains.min(case.boxes)).map(address).collect(),
        first_start: true,
        gossip: Duration::from_millis(300),
        fleet_boxes: case.boxes,
        retries: RetryPolicy {
            ratio: 0.8,
            reserve: 150.0,
            window: Duration::from_secs(10),
        },
        exposure: ExposureLimit {
            share: 0.1,
            reserve: 50.0,
        },
        duty: None,
    }
}

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

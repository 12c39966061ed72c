//! How the boxes and the service of a case are set up.

use std::net::SocketAddr;
use std::time::Duration;

use magpiemoor::gateway::dispatch::DispatchConfig;
use magpiemoor::gateway::dispatch::retry_budget::RetryPolicy;
use magpiemoor::gateway::dispatch::rollout::exposure::ExposureLimit;
use magpiemoor::gateway::dispatch::table::{
    CallerLimits, EngineSpec, Route, RouteKind, RoutingTable, ServiceSpec, TableParts,
    TableVersion, Target,
};
use magpiemoor::schema::{DomainId, Incarnation};

use super::{Case, DOMAINS};
use crate::gateway::crashes::servers::SERVICE;

/// The host that callers ask.
pub(super) const HOST: &str = "h";

/// The address of a box.
pub(super) fn address(number: usize) -> SocketAddr {
    let (high, low) = ((number / 250) as u8, (number % 250) as u8 + 1);
    ([10, 1, high, low], 7_200).into()
}

/// The name of a failure domain.
pub(super) fn domain_name(number: usize) -> DomainId {
    format!("domain-{number}").parse().expect("a short name")
}

/// The configuration of a box; one in three belongs to each failure domain.
pub(super) fn config(number: usize, case: &Case) -> DispatchConfig {
    DispatchConfig {
        me: format!("box-{number:03}").parse().expect("a short name"),
        incarnation: Incarnation(1),
        domain: domain_name(number % DOMAINS),
        address: address(number),
        seeds: (0..DOMAINS.min(case.boxes)).map(address).collect(),
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

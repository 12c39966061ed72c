//! How the boxes and the service of a case are set up.

use std::net::SocketAddr;
use std::time::Duration;

use magpiemoor::gateway::dispatch::DispatchConfig;
use magpiemoor::gateway::dispatch::retry_budget::RetryPolicy;
use magpiemoor::gateway::dispatch::rollout::canary::MAX_CANARY_FRACTION;
use magpiemoor::gateway::dispatch::rollout::exposure::ExposureLimit;
use magpiemoor::gateway::dispatch::table::{
    CallerLimits, EngineSpec, Route, RouteKind, RoutingTable, ServiceSpec, TableParts,
    TableVersion, Target,
};
use magpiemoor::schema::Incarnation;

use crate::gateway::rollout::endpoints::SERVICE;
use crate::gateway::rollout::score::{EXPOSURE_SHARE, EXPOSURE_SLACK};
use crate::gateway::rollout::{Case, Decider};

/// The address of a box.
pub(super) fn address(number: usize) -> SocketAddr {
    (
        [10, 1, (number / 250) as u8, (number % 250) as u8 + 1],
        7_200,
    )
        .into()
}

/// The configuration of a box; one in three belongs to each failure domain.
pub(super) fn config(number: usize, case: &Case) -> DispatchConfig {
    let seeds = (0..3.min(case.boxes)).map(address).collect();
    let share = match case.decider {
        Decider::AllAtOnce => 1.0 / MAX_CANARY_FRACTION,
        _ => EXPOSURE_SHARE,
    };
    DispatchConfig {
        me: format!("box-{number:03}").parse().expect("a short name"),
        incarnation: Incarnation(1),
        domain: format!("domain-{}", number % 3)
            .parse()
            .expect("a short name"),
        address: address(number),
        seeds,
        first_start: true,
        gossip: Duration::from_millis(300),
        fleet_boxes: case.boxes,
        retries: RetryPolicy {
            ratio: 0.8,
            reserve: 150.0,
            window: Duration::from_secs(10),
        },
        exposure: ExposureLimit {
            share,
            reserve: EXPOSURE_SLACK,
        },
        duty: None,
    }
}

/// A service with two routes.
pub(super) fn table(case: &Case) -> RoutingTable {
    let kind = |place: usize| match (case.engines, place) {
        (true, _) => RouteKind::Stream { resumable: true },
        (false, 0) => RouteKind::Once,
        (false, _) => RouteKind::Repeatable,
    };
    let route = |place: usize| Route {
        name: format!("route-{place}"),
        host: "h".to_owned(),
        path_prefix: format!("/{place}/"),
        kind: kind(place),
        timeout: Duration::from_millis(if case.engines { 25_000 } else { 1_200 }),
        objective: Duration::from_millis(if case.engines { 4_500 } else { 150 }),
        targets: vec![Target {
            service: SERVICE.parse().expect("a short name"),
            weight: 1,
        }],
        attempts: if case.engines { 5 } else { 2 },
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
        routes: vec![route(0), route(1)],
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

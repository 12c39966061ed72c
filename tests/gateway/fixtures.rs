//! A dispatcher on a simulated clock, with a routing table, endpoints and requests for tests of its
//! decisions.
//!
//! [`World`] hands events to the dispatcher and keeps the actions that the last event caused.

#![allow(dead_code)] // Each test binary uses only some of these items.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use magpiemoor::gateway::dispatch::action::{Action, Attempt, Command};
use magpiemoor::gateway::dispatch::event::{
    Arrival, AttemptNumber, EndpointChange, EndpointSpec, Event, Outcome, ProbeResult,
    RequestNumber, Tokens,
};
use magpiemoor::gateway::dispatch::record::Record;
use magpiemoor::gateway::dispatch::refusal::RefusalReason;
use magpiemoor::gateway::dispatch::retry_budget::RetryPolicy;
use magpiemoor::gateway::dispatch::rollout::exposure::ExposureLimit;
use magpiemoor::gateway::dispatch::table::{
    CallerLimits, EngineSpec, KeyOwner, Route, RouteKind, RoutingTable, ServiceSpec, TableParts,
    TableVersion, Target,
};
use magpiemoor::gateway::dispatch::{DispatchConfig, Dispatcher};
use magpiemoor::schema::{BoxState, EndpointId, Fingerprint, Incarnation, Micros};

/// Path prefix of the route for streams.
pub const STREAMS: &str = "/streams/";
/// Path prefix of the route for calls that may run more than once.
pub const QUOTES: &str = "/quotes/";
/// Path prefix of the route for calls that run at most once.
pub const PAYMENTS: &str = "/payments/";
/// Key of `shop`, the only organisation.
pub const KEY: &str = "key-of-shop";

/// A dispatcher, its simulated clock and the actions of the last event.
pub struct World {
    pub dispatcher: Dispatcher,
    pub now: Micros,
    pub actions: Vec<Action>,
    next: u64,
}

/// A retry policy whose limit the tests never reach.
pub const GENEROUS: RetryPolicy = RetryPolicy {
    ratio: 1.0,
    reserve: 1_000.0,
    window: Duration::from_secs(10),
};

pub fn config(retries: RetryPolicy) -> DispatchConfig {
    DispatchConfig {
        me: "box-1".parse().unwrap(),
        incarnation: Incarnation(1),
        domain: "north".parse().unwrap(),
        address: "127.0.0.1:7200".parse().unwrap(),
        seeds: vec!["127.0.0.2:7200".parse().unwrap()],
        first_start: true,
        gossip: Duration::from_millis(300),
        fleet_boxes: 1,
        retries,
        exposure: ExposureLimit {
            share: 0.1,
            reserve: 50.0,
        },
        duty: None,
    }
}

pub fn table(version: u64) -> RoutingTable {
    table_of(version, &[STREAMS, QUOTES, PAYMENTS])
}

/// A routing table with only the given routes.
pub fn table_of(version: u64, paths: &[&str]) -> RoutingTable {
    table_with(version, paths.iter().map(|path| route(path)).collect())
}

/// A routing table that splits calls equally between two services.
pub fn split_table(first: &str, second: &str) -> RoutingTable {
    let target = |service: &str| Target {
        service: service.parse().unwrap(),
        weight: 1,
    };
    let mut split = route(QUOTES);
    split.targets = vec![target(first), target(second)];
    table_with(1, vec![split])
}

fn table_with(version: u64, routes: Vec<Route>) -> RoutingTable {
    RoutingTable::try_from(parts(version, routes)).unwrap()
}

/// The parts of a routing table with the services of [`endpoints`].
pub fn parts(version: u64, routes: Vec<Route>) -> TableParts {
    TableParts {
        version: TableVersion(version),
        routes,
        services: vec![
            ServiceSpec {
                name: "engines".parse().unwrap(),
                health_path: "/healthz".to_owned(),
                max_connections: None,
                engine: Some(EngineSpec {
                    kv_tokens: 55_000,
                    mirrors: true,
                    snapshots: true,
                    replica_kept: Duration::from_secs(4),
                }),
            },
            ServiceSpec {
                name: "till".parse().unwrap(),
                health_path: "/healthz".to_owned(),
                max_connections: Some(64),
                engine: None,
            },
        ],
        keys: Some(HashMap::from([(
            KEY.to_owned(),
            KeyOwner {
                priority: None,
                organisation: "shop".parse().unwrap(),
            },
        )])),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            idle: Duration::from_secs(15),
        },
        ignored: Vec::new(),
    }
}

pub fn route(path: &str) -> Route {
    let (kind, service) = match path {
        STREAMS => (RouteKind::Stream { resumable: true }, "engines"),
        QUOTES => (RouteKind::Repeatable, "till"),
        _ => (RouteKind::Once, "till"),
    };
    let is_stream = path == STREAMS;
    Route {
        name: path.to_owned(),
        host: "shop.example".to_owned(),
        path_prefix: path.to_owned(),
        kind,
        timeout: Duration::from_millis(if is_stream { 25_000 } else { 800 }),
        objective: Duration::from_millis(if is_stream { 4_500 } else { 100 }),
        targets: vec![Target {
            service: service.parse().unwrap(),
            weight: 1,
        }],
        attempts: if is_stream { 5 } else { 2 },
        anonymous: false,
        priority: None,
    }
}

pub fn endpoint(id: &str, service: &str, domain: &str, port: u16) -> EndpointSpec {
    EndpointSpec {
        id: id.parse().unwrap(),
        born: None,
        revision: 0,
        service: service.parse().unwrap(),
        version: "v1".parse().unwrap(),
        address: format!("127.0.0.1:{port}").parse().unwrap(),
        domain: domain.parse().unwrap(),
        slots: 8,
        leaving: false,
        warm_up: Duration::ZERO,
    }
}

/// Two engines and one till in each of two failure domains.
pub fn endpoints() -> Vec<EndpointSpec> {
    vec![
        endpoint("engine-n1", "engines", "north", 9_001),
        endpoint("engine-n2", "engines", "north", 9_002),
        endpoint("engine-s1", "engines", "south", 9_003),
        endpoint("engine-s2", "engines", "south", 9_004),
        endpoint("till-n1", "till", "north", 9_101),
        endpoint("till-s1", "till", "south", 9_102),
    ]
}

impl World {
    /// A box without a routing table or endpoints, in a fleet that starts for the first time.
    pub fn empty(retries: RetryPolicy) -> Self {
        Self::with(config(retries))
    }

    /// A box without a routing table or endpoints; `first_start` is false if the fleet has run
    /// before.
    pub fn starting(first_start: bool) -> Self {
        Self::with(DispatchConfig {
            first_start,
            ..config(GENEROUS)
        })
    }

    pub fn with(cfg: DispatchConfig) -> Self {
        let now = Micros(1_000_000);
        Self {
            dispatcher: Dispatcher::new(cfg, 7, now),
            now,
            actions: Vec::new(),
            next: 0,
        }
    }

    /// A box with a routing table and endpoints.
    pub fn ready() -> Self {
        let mut world = Self::empty(GENEROUS);
        world.handle(Event::Table(Arc::new(table(1))));
        world.handle(listed(endpoints()));
        world
    }

    pub fn handle(&mut self, event: Event) -> &[Action] {
        self.actions = self.dispatcher.handle(self.now, event);
        &self.actions
    }

    pub fn pass(&mut self, millis: u64) {
        self.now = self.now.after(Duration::from_millis(millis));
    }

    /// Advances the clock, handles each tick that falls due, and returns the actions of all of
    /// them.
    pub fn run(&mut self, millis: u64) -> Vec<Action> {
        let end = self.now.after(Duration::from_millis(millis));
        let mut done = Vec::new();
        while self.now < end {
            let next = self.dispatcher.next_tick();
            self.now = next.max(self.now.after(Duration::from_millis(1))).min(end);
            done.extend(self.dispatcher.handle(self.now, Event::Tick));
        }
        done
    }

    pub fn arrival(&mut self, path: &str) -> Arrival {
        self.next += 1;
        let is_stream = path == STREAMS;
        Arrival {
            id: format!("request-{}", self.next),
            host: "shop.example".to_owned(),
            path: format!("{path}x"),
            key: Some(KEY.to_owned()),
            timeout: Some(Duration::from_millis(if is_stream {
                25_000
            } else {
                1_500
            })),
            after_event: None,
            resumes: None,
            parts: vec![format!("part-{}", self.next)],
            prompt: Tokens(if is_stream { 5_000 } else { 0 }),
            output: Tokens(if is_stream { 700 } else { 0 }),
            content: Fingerprint(self.next),
        }
    }

    /// Hands a new request to the dispatcher; returns its number and its first attempt, if one
    /// starts.
    pub fn arrive(&mut self, path: &str) -> (RequestNumber, Option<Attempt>) {
        let arrival = self.arrival(path);
        self.arrive_as(arrival)
    }

    pub fn arrive_as(&mut self, arrival: Arrival) -> (RequestNumber, Option<Attempt>) {
        let request = RequestNumber(self.next);
        self.handle(Event::Arrived { request, arrival });
        (request, first_attempt(&self.actions))
    }

    pub fn end(
        &mut self,
        request: RequestNumber,
        attempt: AttemptNumber,
        outcome: Outcome,
    ) -> &[Action] {
        self.handle(Event::Ended {
            request,
            attempt,
            outcome,
        })
    }

    pub fn progress(&mut self, request: RequestNumber, attempt: AttemptNumber, last_event: u64) {
        self.handle(Event::Progress {
            request,
            attempt,
            last_event,
        });
    }

    /// A probe of an endpoint that is reached or lost.
    pub fn probed(&mut self, endpoint: &EndpointId, is_answered: bool) -> &[Action] {
        self.probed_with(endpoint, ProbeResult::of_reach(is_answered))
    }

    pub fn probed_with(&mut self, endpoint: &EndpointId, result: ProbeResult) -> &[Action] {
        self.handle(Event::Probed {
            endpoint: endpoint.clone(),
            result,
            born: None,
        })
    }
}

pub fn first_attempt(actions: &[Action]) -> Option<Attempt> {
    actions.iter().find_map(|action| match action {
        Action::Command {
            command: Command::Send(attempt),
            ..
        } => Some((**attempt).clone()),
        _ => None,
    })
}

pub fn refusal(actions: &[Action]) -> Option<RefusalReason> {
    actions.iter().find_map(|action| match action {
        Action::Command {
            command: Command::Refuse(refusal),
            ..
        } => Some(refusal.reason),
        _ => None,
    })
}

pub fn probes(actions: &[Action]) -> Vec<EndpointId> {
    let probed = actions.iter().filter_map(|action| match action {
        Action::Probe { endpoint, .. } => Some(endpoint.clone()),
        _ => None,
    });
    probed.collect()
}

pub fn commands(actions: &[Action]) -> Vec<&Command> {
    let issued = actions.iter().filter_map(|action| match action {
        Action::Command { command, .. } => Some(command),
        _ => None,
    });
    issued.collect()
}

pub fn records(actions: &[Action]) -> Vec<&Record> {
    let written = actions.iter().filter_map(|action| match action {
        Action::Record(record) => Some(record),
        _ => None,
    });
    written.collect()
}

/// Failure domain of an endpoint of [`endpoints`], by its id.
pub fn domain_of(id: &EndpointId) -> &'static str {
    if id.contains("-n") { "north" } else { "south" }
}

/// Gossip state of a box that has the first routing table and no running requests.
pub fn box_state(from: &str, domain: &str, address: &str) -> BoxState {
    BoxState {
        from: from.parse().unwrap(),
        incarnation: Incarnation(1),
        domain: domain.parse().unwrap(),
        address: address.to_owned(),
        table_version: 1,
        stopping: false,
        usage: Vec::new(),
        lost: Vec::new(),
        domain_usage: Vec::new(),
        totals: Vec::new(),
        beat: 0,
        members_of: "north".parse().unwrap(),
        members: Vec::new(),
        peers: Vec::new(),
        domains: Vec::new(),
        endpoints_at: 0,
        readers: Vec::new(),
        rollouts: Vec::new(),
    }
}

/// The event after a complete list of endpoints was read.
pub fn listed(specs: Vec<EndpointSpec>) -> Event {
    Event::EndpointsListed {
        specs,
        unreadable: Vec::new(),
        at: 1,
    }
}

/// The event after changes of the list of endpoints were read.
pub fn changed(changes: Vec<EndpointChange>) -> Event {
    Event::EndpointsChanged { changes, at: 2 }
}

//! What a new routing table does to requests in progress.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use fixtures::{
    GENEROUS, STREAMS, World, box_state, changed, endpoint, endpoints, first_attempt, listed,
    parts, refusal, route,
};
use magpiemoor::gateway::dispatch::action::{Action, Command};
use magpiemoor::gateway::dispatch::event::{EndpointChange, EndpointSpec, Event, Fault, Outcome};
use magpiemoor::gateway::dispatch::priority::Priority;
use magpiemoor::gateway::dispatch::refusal::RefusalReason;
use magpiemoor::gateway::dispatch::table::{RoutingTable, TableParts};
use rstest::rstest;

/// Time in which a request that waits for room starts once an engine has it.
const SEARCHED_WITHIN_MS: u64 = 300;

/// A change of the first table.
type Change = fn(&mut TableParts);

fn unchanged(_: &mut TableParts) {}

fn without_routes(parts: &mut TableParts) {
    parts.routes.clear();
}

fn without_services(parts: &mut TableParts) {
    parts.services.clear();
}

fn with_plain_services(parts: &mut TableParts) {
    for service in &mut parts.services {
        service.engine = None;
    }
}

fn with_small_engines(parts: &mut TableParts) {
    for engine in parts.services.iter_mut().filter_map(|s| s.engine.as_mut()) {
        engine.kv_tokens = 1_000;
    }
}

fn without_keys(parts: &mut TableParts) {
    parts.keys = Some(std::collections::HashMap::new());
}

fn with_priorities(parts: &mut TableParts) {
    for route in &mut parts.routes {
        route.priority = Some(Priority::LOWEST);
    }
}

fn with_short_times(parts: &mut TableParts) {
    for route in &mut parts.routes {
        route.timeout = Duration::from_millis(300);
    }
}

fn changed_table(version: u64, change: Change) -> Event {
    let paths = [STREAMS, fixtures::QUOTES, fixtures::PAYMENTS];
    let mut parts = parts(version, paths.map(route).into());
    change(&mut parts);
    Event::Table(Arc::new(RoutingTable::try_from(parts).unwrap()))
}

/// A box with one engine that runs one stream at a time.
fn with_one_slot() -> World {
    let mut world = World::empty(GENEROUS);
    world.handle(changed_table(1, unchanged));
    world.handle(listed(vec![EndpointSpec {
        slots: 1,
        ..endpoint("engine-n1", "engines", "north", 9_001)
    }]));
    world
}

/// Streams that waited for room at a service that a new table dropped or changed started only when
/// they were late.
#[rstest]
fn a_stream_that_waits_for_room_starts_by_its_own_route_after_a_new_table(
    #[values(
        unchanged,
        without_routes,
        without_services,
        with_plain_services,
        with_small_engines,
        without_keys,
        with_priorities,
        with_short_times
    )]
    change: Change,
) {
    let mut world = with_one_slot();
    let (running, attempt) = world.arrive(STREAMS);
    let attempt = attempt.expect("room for the first stream").attempt;
    let (_, waits) = world.arrive(STREAMS);
    assert_eq!(waits, None);
    world.run(400);
    world.handle(changed_table(2, change));
    world.run(400);
    world.end(running, attempt, Outcome::StreamEnded);
    let ended = [world.actions.clone(), world.run(SEARCHED_WITHIN_MS)].concat();
    assert!(first_attempt(&ended).is_some(), "{ended:?}");
}

/// A stream on its way ended with the service of the table that admitted it.
#[rstest]
fn a_stream_that_has_begun_goes_on_elsewhere_after_a_new_table(
    #[values(
        unchanged,
        without_routes,
        without_services,
        with_plain_services,
        with_small_engines,
        without_keys,
        with_priorities,
        with_short_times
    )]
    change: Change,
) {
    let mut world = World::empty(GENEROUS);
    world.handle(changed_table(1, unchanged));
    world.handle(listed(endpoints()));
    let (number, attempt) = world.arrive(STREAMS);
    let first = attempt.expect("room for the stream");
    world.progress(number, first.attempt, 7);
    world.handle(changed_table(2, change));
    world.end(number, first.attempt, Outcome::Broken(Fault::Closed));
    let next = [world.actions.clone(), world.run(SEARCHED_WITHIN_MS)].concat();
    let next = first_attempt(&next).expect("another attempt");
    assert_eq!(next.after_event, Some(7));
    assert_ne!(next.endpoint, first.endpoint);
    assert!(next.time_left > Duration::from_secs(24), "{next:?}");
}

/// A stream that waited for room at a service without endpoints was held until its deadline.
#[rstest]
fn a_stream_whose_service_and_endpoints_are_gone_is_refused_as_not_run(
    #[values(unchanged, without_services, with_plain_services)] change: Change,
) {
    let mut world = with_one_slot();
    let (running, attempt) = world.arrive(STREAMS);
    let attempt = attempt.expect("room for the first stream").attempt;
    world.arrive(STREAMS);
    world.handle(changed_table(2, change));
    let gone = EndpointChange::Absent("engine-n1".parse().unwrap());
    world.handle(changed(vec![gone]));
    world.end(running, attempt, Outcome::StreamEnded);
    let actions = world.run(1_500);
    assert_eq!(refusal(&actions), Some(RefusalReason::NoEndpoint));
}

/// A request that arrived before the first table was given its whole time again when it came.
#[test]
fn the_deadline_of_a_request_counts_from_its_arrival_before_the_first_table() {
    let mut world = World::empty(GENEROUS);
    world.handle(listed(endpoints()));
    let arrival = world.arrival(STREAMS);
    world.arrive_as(arrival);
    world.run(300);
    world.handle(changed_table(1, unchanged));
    let attempt = first_attempt(&world.actions).expect("an attempt");
    assert_eq!(attempt.time_left, Duration::from_millis(24_700));
}

/// On a box with many events, requests were checked as rarely as it gossips, and ended late.
#[rstest]
fn a_request_ends_at_its_deadline_while_other_events_come_without_a_pause(
    #[values(800, 900, 1_000)] timeout_ms: u64,
) {
    let timeout = Duration::from_millis(timeout_ms);
    let mut world = World::ready();
    world.handle(Event::Peer(box_state("box-2", "north", "127.0.0.2:7200")));
    // Boxes gossip more often in their first second.
    world.run(1_500);
    let (busy, attempt) = world.arrive(STREAMS);
    let attempt = attempt.expect("room for the stream").attempt;
    let mut arrival = world.arrival(STREAMS);
    arrival.timeout = Some(timeout);
    let deadline = world.now.after(timeout);
    let (late, _) = world.arrive_as(arrival);
    let mut ended = None;
    for event in 1..150 {
        world.pass(10);
        world.progress(busy, attempt, event);
        let actions = if world.dispatcher.next_tick() <= world.now {
            world.handle(Event::Tick).to_vec()
        } else {
            world.actions.clone()
        };
        let is_refusal = |a: &Action| matches!(a, Action::Command { request, command: Command::Refuse(_) } if *request == late);
        if actions.iter().any(is_refusal) {
            ended.get_or_insert(world.now);
        }
    }
    let ended = ended.expect("a refusal");
    let after = ended.since(deadline);
    assert!(after <= Duration::from_millis(40), "{after:?} late");
}

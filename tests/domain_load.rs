//! The load of engines in other failure domains, from its report to placement, on a simulated clock.

#[path = "gateway/fixtures.rs"]
mod fixtures;
#[path = "gateway/fleet.rs"]
mod fleet;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fixtures::{GENEROUS, STREAMS, World, box_state, listed};
use fleet::Fleet;
use magpiemoor::gateway::dispatch::action::{Action, Attempt};
use magpiemoor::gateway::dispatch::event::{EndpointSpec, Event, RequestNumber};
use magpiemoor::gateway::dispatch::store_watchers::MAX_ANSWER_INTERVAL;
use magpiemoor::schema::{BoxState, EndpointId, EndpointUsage, EngineLoadReport, UsageUpdate};
use rstest::rstest;

/// Engines of the domains `south` and `west` in turn; the own domain has none left.
fn remote_engines(count: u16) -> Vec<EndpointSpec> {
    let engine = |n| {
        let domain = if n % 2 == 0 { "south" } else { "west" };
        EndpointSpec {
            slots: 32,
            ..fixtures::endpoint(&format!("engine-{n}"), "engines", domain, 9_000 + n)
        }
    };
    (0..count).map(engine).collect()
}

fn world_with(engines: &[EndpointSpec]) -> World {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(fixtures::table(1))));
    world.handle(listed(engines.to_vec()));
    world
}

fn usage(engine: &EndpointSpec, running: u32) -> EndpointUsage {
    EndpointUsage {
        endpoint: engine.incarnation(),
        running,
        reading: 0,
        memory: 5_632 * running.min(9),
    }
}

/// The report of a domain whose boxes run this many streams at engines.
fn report(domain: &str, sent_at: u64, loads: &[(&EndpointSpec, u32)]) -> EngineLoadReport {
    let engines: Vec<EndpointSpec> = loads.iter().map(|(engine, _)| (*engine).clone()).collect();
    let mut sender = world_with(&engines);
    let usage = loads
        .iter()
        .map(|(engine, running)| usage(engine, *running));
    sender.handle(Event::PeerUsage(UsageUpdate {
        from: "box-2".parse().unwrap(),
        usage: usage.collect(),
        answers: Vec::new(),
        totals: Vec::new(),
        samples: Vec::new(),
        rollouts: Vec::new(),
    }));
    EngineLoadReport {
        domain: domain.parse().unwrap(),
        sent_at,
        age_ms: 0,
        is_forwarded: true,
        engines: sender.dispatcher.fleet().engine_loads(sender.now),
    }
}

fn running(world: &World, engine: &EndpointId) -> u32 {
    let fleet = world.dispatcher.fleet();
    fleet.usage(fleet.get(engine).unwrap(), world.now).running
}

fn stream(world: &mut World, part: &str) -> Attempt {
    let mut arrival = world.arrival(STREAMS);
    arrival.parts = vec![part.to_owned()];
    world.arrive_as(arrival).1.unwrap()
}

/// Guards against boxes that all choose the engines which the same report shows as idle. Where all
/// engines look alike, 27 independent draws of 9 of 80 engines put up to 9 streams on one of them.
#[rstest]
#[case::uneven(|n| n % 6, 2.2)]
#[case::few_idle(|n| if n % 10 == 0 { 0 } else { 4 }, 2.0)]
#[case::alike_and_busy(|_| 3, 2.0)]
#[case::alike_and_nearly_idle(|_| 1, 2.5)]
fn boxes_with_the_same_report_spread_their_streams(
    #[case] load: fn(u32) -> u32,
    #[case] bound: f64,
) {
    let engines = remote_engines(80);
    let loads = engines.iter().zip(0..).map(|(e, n)| (e, load(n)));
    let report = report("west", 1, &loads.collect::<Vec<_>>());
    let mut found: BTreeMap<EndpointId, u32> = BTreeMap::new();
    for (engine, n) in engines.iter().zip(0..) {
        found.insert(engine.id.clone(), load(n));
    }
    for number in 0..27 {
        let mut world = world_with(&engines);
        world.handle(Event::PeerLoad(report.clone()));
        for n in 0..9 {
            let attempt = stream(&mut world, &format!("part-{number}-{n}"));
            *found.get_mut(&attempt.endpoint).unwrap() += 1;
        }
    }
    let most = found.values().max().copied().unwrap();
    let mean = f64::from(found.values().sum::<u32>()) / 80.0;
    assert!(f64::from(most) <= bound * mean, "{most}, mean {mean}");
}

/// Guards against a request that waits at a full engine since the free one is not in its sample.
#[test]
fn the_only_engine_with_room_is_found() {
    let engines = remote_engines(40);
    let loads = engines
        .iter()
        .zip(0..)
        .map(|(e, n)| (e, if n == 17 { 0 } else { 32 }));
    let report = report("west", 1, &loads.collect::<Vec<_>>());
    for number in 0..20 {
        let mut world = world_with(&engines);
        world.handle(Event::PeerLoad(report.clone()));
        let attempt = stream(&mut world, &format!("part-{number}"));
        assert_eq!(attempt.endpoint.as_str(), "engine-17");
    }
}

/// Guards against a sample that a prompt search does not know: the prompt would be prefilled again.
#[test]
fn a_prompt_search_asks_the_engine_that_was_chosen_from_the_sample() {
    let engines = remote_engines(80);
    for number in 0..20 {
        let part = format!("part-{number}");
        let chosen = stream(&mut world_with(&engines), &part).endpoint;
        let mut other = world_with(&engines);
        let mut arrival = other.arrival(STREAMS);
        arrival.parts = vec![part];
        arrival.after_event = Some(70);
        other.arrive_as(arrival);
        let asked = other.actions.iter().any(|action| {
            matches!(action, Action::Locate { among, .. } if among.iter().any(|(id, _)| *id == chosen))
        });
        assert!(asked, "{chosen}");
    }
}

/// Guards against load that counts twice, counts for ever, or reverts to an older report.
#[test]
fn the_newest_report_of_a_domain_counts_until_it_expires() {
    let engines = remote_engines(2);
    let (engine, id) = (&engines[0], &engines[0].id);
    let mut world = world_with(&engines);
    world.pass(10_000);
    // What a single box of the domain has told is contained in the report of its domain.
    world.handle(Event::Peer(BoxState {
        usage: vec![usage(engine, 2)],
        ..box_state("box-9", "west", "127.0.0.9:7200")
    }));
    assert_eq!(running(&world, id), 2);
    let unknown = fixtures::endpoint("engine-x", "engines", "south", 9_500);
    world.handle(Event::PeerLoad(report(
        "west",
        500,
        &[(engine, 5), (&unknown, 8)],
    )));
    assert_eq!(running(&world, id), 5);
    world.handle(Event::PeerLoad(report("west", 400, &[(engine, 9)])));
    world.handle(Event::PeerLoad(report("north", 900, &[(engine, 9)])));
    assert_eq!(
        running(&world, id),
        5,
        "an older report, and one of the own domain"
    );
    world.handle(Event::PeerLoad(report("south", 300, &[(engine, 1)])));
    assert_eq!(running(&world, id), 6, "the sum of both domains");
    let (request, attempt) = world.arrive(STREAMS);
    let attempt = attempt.unwrap();
    let before = running(&world, &attempt.endpoint);
    world.handle(Event::PeerLoad(report("west", 600, &[(engine, 5)])));
    assert_eq!(
        running(&world, &attempt.endpoint),
        before,
        "own streams count once"
    );
    let late = EngineLoadReport {
        age_ms: 2_500,
        ..report("west", 700, &[])
    };
    world.handle(Event::PeerLoad(late));
    // No report came for a second, so another box with another clock sends now.
    let by_another = EngineLoadReport {
        age_ms: 2_500,
        ..report("west", 50, &[])
    };
    world.handle(Event::PeerLoad(report("west", 60, &[(engine, 7)])));
    assert_eq!(running(&world, id), 8);
    world.pass(1_000);
    world.handle(Event::PeerLoad(by_another));
    world.handle(Event::CallerDisconnected(request));
    assert_eq!(running(&world, id), 1);
    world.pass(600);
    assert_eq!(
        running(&world, id),
        3,
        "box-9 counts again once the report has expired"
    );
    world.pass(6_000);
    assert_eq!(running(&world, id), 0);
}

/// Guards against reports that stop with the box that sends them.
#[test]
fn another_watcher_reports_when_the_reporting_box_dies() {
    let mut fleet = Fleet::starting(&[8, 8], GENEROUS, 3);
    fleet.run(Duration::from_secs(3));
    let mut arrivals = World::empty(GENEROUS);
    for at in 0..8 {
        let request = RequestNumber(at as u64);
        let arrival = arrivals.arrival(STREAMS);
        fleet.handle(at, Event::Arrived { request, arrival });
    }
    // The streams make no progress; the attempts are replaced until the deadline.
    fleet.run(Duration::from_secs(2));
    let informed = |fleet: &Fleet| {
        let others = fleet.boxes.iter().skip(8);
        let known = others.map(|b| b.dispatcher.fleet().domains_with_load(fleet.now));
        known.sum::<usize>()
    };
    assert_eq!(informed(&fleet), 8);
    let reports = std::mem::take(&mut fleet.load_reports);
    let direct = reports.iter().filter(|(_, is_forwarded)| !is_forwarded);
    let direct: Vec<usize> = direct.map(|(from, _)| *from).collect();
    assert!((7..=20).contains(&direct.len()), "{direct:?}");
    let dead = direct[0];
    assert!(dead < 8 && direct.iter().all(|from| *from == dead));
    fleet.lose_power(Duration::from_secs(60), |at| at == dead);
    // The last answer of the store to the dead box is at most one interval old.
    fleet.run(MAX_ANSWER_INTERVAL.saturating_sub(Duration::from_millis(100)));
    assert_eq!(fleet.load_reports, [], "no other box takes over yet");
    fleet.run(Duration::from_millis(2_200));
    assert_ne!(fleet.load_reports, [], "another box has taken over");
    fleet.run(Duration::from_secs(5));
    assert_eq!(informed(&fleet), 8);
    assert!(fleet.load_reports.iter().all(|(from, _)| *from != dead));
}

//! Learned speeds of endpoints and their use in placement, on a simulated clock.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fixtures::{GENEROUS, QUOTES, STREAMS, World, box_state, endpoint, listed, records, table};
use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::{Arrival, EndpointSpec, Event, Outcome, Tokens};
use magpiemoor::gateway::dispatch::record::Record;
use magpiemoor::schema::{EndpointId, SpeedUpdate};
use rstest::rstest;

const UNEVEN: [f64; 3] = [0.7, 0.7, 1.7];
const USUAL: f64 = 5.0;

fn number(id: &EndpointId) -> usize {
    id.trim_start_matches(|c: char| !c.is_ascii_digit())
        .parse()
        .unwrap()
}

fn uneven(id: &EndpointId) -> f64 {
    UNEVEN[number(id) % 3]
}

fn specs(engines: u16) -> Vec<EndpointSpec> {
    let engines =
        (0..engines).map(|n| endpoint(&format!("engine-{n}"), "engines", "north", 9_000 + n));
    let tills = (0..3).map(|n| endpoint(&format!("till-{n}"), "till", "north", 9_500 + n));
    engines.chain(tills).collect()
}

/// A box with engines and three tills in its domain, and a peer there.
fn world(engines: u16) -> World {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(table(1))));
    world.handle(listed(specs(engines)));
    world.handle(Event::Peer(box_state("box-2", "north", "127.0.0.9:7200")));
    world
}

/// Sends streams at one moment; each engine prefills and decodes its own, one after the other, at
/// `speed` times the usual rate. Returns the actions until the next ones may be sent.
fn streams(world: &mut World, count: usize, speed: impl Fn(&EndpointId) -> f64) -> Vec<Action> {
    let mut due: BTreeMap<EndpointId, f64> = BTreeMap::new();
    let mut events = Vec::new();
    for _ in 0..count {
        let (request, attempt) = world.arrive(STREAMS);
        let attempt = attempt.unwrap();
        let speed = speed(&attempt.endpoint);
        let first = due.entry(attempt.endpoint).or_default();
        *first += 1_000.0 / speed;
        events.push((*first as u64, request, attempt.attempt, 1));
        events.push((*first as u64, request, attempt.attempt, 2));
        events.push((
            (*first + 16.0 * 25.0 / speed) as u64,
            request,
            attempt.attempt,
            18,
        ));
    }
    events.sort_unstable();
    let start = world.now;
    for (at, request, attempt, event) in events {
        world.now = start.after(Duration::from_millis(at));
        world.progress(request, attempt, event);
        if event == 18 {
            world.end(request, attempt, Outcome::StreamEnded);
        }
    }
    world.run(2_500)
}

fn learn(world: &mut World, rounds: usize, speed: impl Fn(&EndpointId) -> f64) -> Vec<SpeedUpdate> {
    let engines = world.dispatcher.fleet().iter();
    let count = engines
        .filter(|e| e.spec.service.as_str() == "engines")
        .count();
    let updates = (0..rounds).flat_map(|_| streams(world, count, &speed));
    let updates = updates.filter_map(|action| match action {
        Action::PublishSpeeds { update, .. } => Some(update),
        _ => None,
    });
    updates.collect()
}

fn rate(world: &World, engine: &str) -> f64 {
    let fleet = world.dispatcher.fleet();
    let spec = &fleet.get(&engine.parse().unwrap()).unwrap().spec;
    fleet.speeds.prefill(spec).0
}

/// The engines that streams with prompts of a length are sent to which arrive at one moment. All must
/// find room.
fn burst(world: &mut World, count: usize, prompt: u32) -> Vec<EndpointId> {
    let place = |n| {
        let arrival = Arrival {
            parts: vec![format!("burst-{n}")],
            prompt: Tokens(prompt),
            ..world.arrival(STREAMS)
        };
        world.arrive_as(arrival).1.unwrap().endpoint
    };
    (0..count).map(place).collect()
}

/// Slow engines that count as usual ones get half as many streams again as they can serve in time.
#[test]
fn engines_of_different_speeds_are_told_apart_and_get_their_share() {
    let mut world = world(6);
    learn(&mut world, 4, uneven);
    for n in 0..6 {
        let (learned, real) = (rate(&world, &format!("engine-{n}")), USUAL * UNEVEN[n % 3]);
        assert!(
            (learned / real - 1.0).abs() < 0.05,
            "engine-{n}: {learned}, {real}"
        );
    }
    let mut streams: BTreeMap<bool, u32> = BTreeMap::new();
    for engine in burst(&mut world, 12, 5_000) {
        *streams.entry(uneven(&engine) > 1.0).or_default() += 1;
    }
    // Two of six engines do 0.55 of the work.
    assert!((6..=8).contains(&streams[&true]), "{streams:?}");
}

/// Noise must not change a choice where engines are equal.
#[test]
fn even_engines_with_noise_are_chosen_as_before() {
    let mut learned = world(6);
    let mut drawn = 0;
    for _ in 0..60 {
        drawn += 1;
        let noise = if drawn % 6 == 0 {
            0.4
        } else {
            0.92 + 0.02 * f64::from(drawn % 7)
        };
        streams(&mut learned, 1, |_| noise);
    }
    assert_eq!(
        burst(&mut learned, 30, 4_000),
        burst(&mut world(6), 30, 4_000)
    );
}

/// Operators must see that learned speeds are in use, and not once for each comparison.
#[test]
fn an_uneven_service_is_recorded_once() {
    let mut world = world(6);
    let actions: Vec<Action> = (0..6)
        .flat_map(|_| streams(&mut world, 6, uneven))
        .collect();
    let found = records(&actions).into_iter();
    let found = found.filter(|r| matches!(r, Record::EngineSpeeds { .. }));
    let texts: Vec<String> = found.map(Record::sentence).collect();
    assert_eq!(
        texts,
        ["2 of 6 engines of engines differ from 3.5 tokens/ms"]
    );
}

/// A box that sees an engine once in minutes knows its speed from its peers.
#[test]
fn observations_of_peers_are_used_and_bounded() {
    let mut peer = world(18);
    let updates = learn(&mut peer, 4, uneven);
    assert!(
        updates.iter().all(|u| u.engines.len() <= 16),
        "bounded messages"
    );
    let mut world = world(18);
    for update in updates {
        world.handle(Event::PeerSpeeds(update));
    }
    world.run(300);
    assert!((rate(&world, "engine-2") / rate(&world, "engine-0") - 17.0 / 7.0).abs() < 0.2);
}

/// A box that claims absurd rates must not draw all requests to an engine, or away from it.
#[test]
fn a_misleading_report_is_bounded() {
    let mut peer = world(6);
    let update = learn(&mut peer, 4, uneven).pop().unwrap();
    let mut world = world(6);
    let mut misleading = update;
    for (n, engine) in misleading.engines.iter_mut().enumerate() {
        engine.prefill_count = u32::MAX;
        engine.prefill = [5_000, 5_000, 1, u32::MAX, 0, 5_000][n];
    }
    world.handle(Event::PeerSpeeds(misleading));
    world.run(300);
    for n in 0..6 {
        assert!((1.0..=25.0).contains(&rate(&world, &format!("engine-{n}"))));
    }
}

#[test]
fn a_new_engine_or_incarnation_starts_at_the_median() {
    let mut world = world(6);
    learn(&mut world, 4, uneven);
    let mut listing = specs(7);
    listing[2].born = Some(magpiemoor::schema::StartTime(2));
    listing[2].revision = 2;
    world.handle(listed(listing.clone()));
    listing[2].born = Some(magpiemoor::schema::StartTime(3));
    listing[2].revision = 3;
    world.handle(listed(listing));
    assert!((rate(&world, "engine-6") - 3.5).abs() < 0.1);
    assert!((rate(&world, "engine-2") - 3.5).abs() < 0.1);
    // What was observed of engines that are gone is forgotten, and then the usual rate counts.
    world.handle(listed(specs(0)));
    world.handle(listed(specs(7)));
    world.run(300);
    assert!((rate(&world, "engine-2") - USUAL).abs() < f64::EPSILON);
}

/// A first event behind another prompt would make the engine look half as fast as it is.
#[test]
fn a_first_event_behind_another_prompt_is_no_observation() {
    let mut world = world(1);
    for _ in 0..4 {
        let (first, attempt) = world.arrive(STREAMS);
        let (second, later) = world.arrive(STREAMS);
        world.pass(2_000);
        world.progress(first, attempt.unwrap().attempt, 1);
        world.progress(second, later.unwrap().attempt, 1);
        world.handle(Event::CallerDisconnected(first));
        world.handle(Event::CallerDisconnected(second));
        let published = world.run(2_500);
        assert!(
            !published
                .iter()
                .any(|a| matches!(a, Action::PublishSpeeds { .. }))
        );
    }
}

/// Calls at a till, one after the other, each with the time of its answer.
fn calls(world: &mut World, count: usize, millis: impl Fn(&EndpointId) -> u64) -> Vec<EndpointId> {
    let call = |_| {
        let (request, attempt) = world.arrive(QUOTES);
        let attempt = attempt.unwrap();
        world.pass(millis(&attempt.endpoint));
        world.end(request, attempt.attempt, Outcome::Answered { status: 200 });
        attempt.endpoint
    };
    (0..count).map(call).collect()
}

/// A machine that a neighbour slows down for some hundred ms is left meanwhile, and used again after.
#[rstest]
#[case::by_own_answers(false)]
#[case::by_answers_of_a_peer(true)]
fn a_server_that_is_slow_now_gets_fewer_calls(#[case] from_peer: bool) {
    let mut world = world(0);
    let slow: EndpointId = "till-1".parse().unwrap();
    calls(&mut world, 60, |_| 20);
    world.run(300);
    let noisy = |id: &EndpointId| if *id == slow { 50 } else { 20 };
    if from_peer {
        let mut peer = self::world(0);
        calls(&mut peer, 60, |_| 20);
        peer.run(300);
        calls(&mut peer, 12, noisy);
        for action in peer.run(30) {
            if let Action::PublishSpeeds { update, .. } = action {
                world.handle(Event::PeerSpeeds(update.clone()));
                world.handle(Event::PeerSpeeds(update));
            }
        }
    } else {
        calls(&mut world, 8, noisy);
    }
    let meanwhile = calls(&mut world, 6, noisy);
    assert!(!meanwhile.contains(&slow), "{meanwhile:?}");
    world.run(400);
    assert!(calls(&mut world, 30, |_| 20).contains(&slow));
}

/// Without a memory longer than a noisy neighbour's time, a slow machine would be tried again all the time.
#[test]
fn a_server_that_is_always_slower_gets_fewer_calls() {
    let mut world = world(0);
    let machine = |id: &EndpointId| if number(id) == 1 { 50 } else { 20 };
    for _ in 0..60 {
        calls(&mut world, 1, machine);
        world.run(400);
    }
    let later = calls(&mut world, 12, machine);
    assert!(later.iter().all(|id| number(id) != 1), "{later:?}");
}

/// Calls of one service differ in their work; that is no difference of their servers.
#[test]
fn servers_whose_calls_differ_are_chosen_as_before() {
    let mut varied = world(0);
    for n in 0..90 {
        calls(&mut varied, 1, |_| [5, 10, 15, 20, 30, 60, 120][n * 5 % 7]);
    }
    varied.run(2_000);
    let place = |world: &mut World| -> Vec<EndpointId> {
        let arrive = |n| {
            let arrival = Arrival {
                parts: vec![format!("call-{n}")],
                ..world.arrival(QUOTES)
            };
            world.arrive_as(arrival).1.unwrap().endpoint
        };
        (0..20).map(arrive).collect()
    };
    assert_eq!(place(&mut varied), place(&mut world(0)));
}

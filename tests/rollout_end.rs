//! How a service leaves the old version at the end of a roll-out, and what remains of a finished one.

#[path = "gateway/fixtures.rs"]
mod fixtures;
#[path = "gateway/tills.rs"]
mod tills;

use std::time::Duration;

use fixtures::{GENEROUS, QUOTES, STREAMS, World, box_state, endpoint, listed, table};
use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::{EndpointSpec, Event, Outcome};
use magpiemoor::gateway::dispatch::rollout::RolloutOrder;
use magpiemoor::gateway::dispatch::rollout::status::RolloutStatus;
use magpiemoor::schema::{BoxState, RolloutPhase, RolloutState};
use rstest::rstest;
use tills::{
    LONG_PAUSE, call, object, order, phase, published_states, read, till, with_tills, writes,
};

#[test]
fn an_order_that_is_finished_moves_nothing() {
    let mut world = with_tills();
    read(
        &mut world,
        object(order("v2", 6), 10, Some(RolloutStatus::Completed)),
    );
    let (sent, done) = call(&mut world, 1_000, 0);
    assert_eq!(sent.get("v1"), None);
    assert_eq!(writes(&done), []);
}

/// What the own domain was told of how far boxes are.
fn told_notes(actions: &[Action]) -> usize {
    let news = actions.iter().filter_map(|action| match action {
        Action::GossipUsage { update: news, .. } => Some(news.rollouts.len()),
        _ => None,
    });
    news.sum()
}

/// Objects of finished orders stay in the store for weeks.
#[rstest]
#[case::completed(RolloutStatus::Completed)]
#[case::rolled_back(RolloutStatus::RolledBack)]
fn a_finished_order_is_told_without_answers_and_needs_no_ticks(#[case] status: RolloutStatus) {
    let mut world = with_tills();
    world.handle(Event::Peer(box_state("box-3", "north", "127.0.0.8:7200")));
    world.handle(Event::Peer(box_state("box-2", "south", "127.0.0.9:7200")));
    read(&mut world, object(order("v2", 12), 10, None));
    let (_, done) = call(&mut world, 2_000, 0);
    let told = published_states(&done);
    assert!(told.iter().any(|state| !state.tallies.is_empty()));
    read(&mut world, object(order("v2", 12), 11, Some(status)));
    let (_, done) = call(&mut world, 1_000, 0);
    let told = published_states(&done);
    assert!(!told.is_empty());
    assert!(told.iter().all(|state| state.tallies.is_empty()));
    assert_eq!(told_notes(&done), 0);
    let is_idle = (0..1_000).any(|_| {
        world.run(1);
        world.dispatcher.next_tick() > world.now.after(LONG_PAUSE)
    });
    assert!(is_idle);
}

/// A box before tills with an order that switches, and which another box of its domain holds up.
fn switching() -> World {
    let mut world = with_tills();
    read(&mut world, object(order("v2", 12), 10, None));
    call(&mut world, 10_000, 0);
    world.handle(Event::Peer(box_state("box-3", "north", "127.0.0.8:7200")));
    let has_switched = (0..2_000).any(|_| {
        world.run(1);
        phase(&world) == Some(RolloutPhase::Switch)
    });
    assert!(has_switched);
    world
}

/// Has no till of the new version take work, and sends a request; returns the version that got it.
fn place_without_target(world: &mut World) -> Option<String> {
    let leaving = |number| EndpointSpec {
        leaving: true,
        ..till("v2", number)
    };
    let tills = [till("v1", 1), till("v1", 2), leaving(3), leaving(4)];
    world.handle(listed(tills.into()));
    let (request, sent) = world.arrive(QUOTES);
    let attempt = sent?;
    let spec = &world.dispatcher.fleet().get(&attempt.endpoint)?.spec;
    let version = spec.version.to_string();
    let outcome = Outcome::Answered { status: 200 };
    world.end(request, attempt.attempt, outcome);
    Some(version)
}

/// Whether the own domain was told lately that this box has left the old version.
fn has_said_it_left(actions: &[Action]) -> bool {
    let news = actions.iter().filter_map(|action| match action {
        Action::GossipUsage { update: news, .. } => Some(&news.rollouts),
        _ => None,
    });
    news.flatten().any(|note| note.is_clear)
}

#[test]
fn a_box_that_needs_the_old_version_uses_it_and_does_not_say_that_it_left() {
    let mut world = switching();
    assert_eq!(place_without_target(&mut world).as_deref(), Some("v1"));
    assert!(!has_said_it_left(&world.run(300)));
}

#[test]
fn a_box_that_said_that_it_left_the_old_version_does_not_go_back() {
    let mut world = switching();
    assert!(has_said_it_left(&world.run(300)));
    assert_eq!(phase(&world), Some(RolloutPhase::Switch));
    assert_eq!(place_without_target(&mut world), None);
}

#[test]
fn a_stream_goes_on_at_the_target_shortly_before_the_end() {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(std::sync::Arc::new(table(1))));
    let engine = |id: &str, domain: &str, port, version: &str| EndpointSpec {
        version: version.parse().unwrap(),
        ..endpoint(id, "engines", domain, port)
    };
    let engines = vec![
        engine("engine-n1", "north", 9_001, "v1"),
        engine("engine-s1", "south", 9_002, "v1"),
        engine("engine-n2", "north", 9_003, "v2"),
        engine("engine-s2", "south", 9_004, "v2"),
    ];
    world.handle(listed(engines[..2].to_vec()));
    world.run(5_000);
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    world.progress(request, first.attempt, 1);
    world.handle(listed(engines));
    let order = RolloutOrder::new(
        "engines".parse().unwrap(),
        "v2".parse().unwrap(),
        Duration::from_secs(6),
        5,
    );
    let state = RolloutState {
        service: order.service.clone(),
        order: order.id,
        target: order.target.clone(),
        duration_ms: 6_000,
        age_ms: 3_000,
        seen_ms: 0,
        phase: RolloutPhase::Switch,
        tallies: Vec::new(),
    };
    world.handle(Event::Peer(BoxState {
        rollouts: vec![state],
        ..box_state("box-2", "south", "127.0.0.9:7200")
    }));
    let mut next = None;
    for event in 2..60 {
        world.progress(request, first.attempt, event);
        let done = world.run(100);
        let snapshot = done.iter().find_map(|action| match action {
            Action::TakeSnapshot(asked) => Some(asked.host.clone()),
            _ => None,
        });
        if let Some(host) = snapshot {
            assert!(host.ends_with('2'), "a host that stays: {host}");
            world.handle(Event::SnapshotTaken {
                request,
                attempt: first.attempt,
                host,
                name: Some(magpiemoor::gateway::dispatch::event::SnapshotName(
                    "s".to_owned(),
                )),
            });
        }
        next = fixtures::first_attempt(&done);
        if next.is_some() {
            assert!((19..25).contains(&event), "after {event} events");
            break;
        }
    }
    let next = next.expect("it does not stay until the old version stops");
    assert!(next.endpoint.ends_with('2') && next.resume_from.is_some());
}

//! The end of a roll-out: how a box stops using the old version, and what it keeps of a finished order.

#[path = "gateway/fixtures.rs"]
mod fixtures;
#[path = "gateway/tills.rs"]
mod tills;

use std::time::Duration;

use fixtures::{GENEROUS, QUOTES, STREAMS, World, box_state, endpoint, listed, table};
use magpiemoor::gateway::dispatch::action::{Action, Attempt};
use magpiemoor::gateway::dispatch::event::{EndpointSpec, Event, Outcome, RequestNumber};
use magpiemoor::gateway::dispatch::rollout::RolloutOrder;
use magpiemoor::gateway::dispatch::rollout::status::RolloutStatus;
use magpiemoor::schema::{BoxState, RolloutPhase, RolloutState};
use rstest::rstest;
use tills::{
    LONG_PAUSE, call, object, order, phase, published_states, read, till, with_tills, writes,
};

#[test]
fn a_completed_order_keeps_its_target_and_writes_nothing() {
    let mut world = with_tills();
    read(
        &mut world,
        object(order("v2", 6), 10, Some(RolloutStatus::Completed)),
    );
    let (sent, done) = call(&mut world, 1_000, 0);
    assert_eq!(sent.get("v1"), None);
    assert_eq!(writes(&done), []);
}

/// Number of roll-out progress reports published within the box's own failure domain.
fn published_progress(actions: &[Action]) -> usize {
    let updates = actions.iter().filter_map(|action| match action {
        Action::GossipUsage {
            update: updates, ..
        } => Some(updates.rollouts.len()),
        _ => None,
    });
    updates.sum()
}

/// Objects of finished orders stay in the store for weeks, so they must not cause samples or ticks.
#[rstest]
#[case::completed(RolloutStatus::Completed)]
#[case::rolled_back(RolloutStatus::RolledBack)]
fn a_finished_order_is_published_without_samples_and_needs_no_ticks(#[case] status: RolloutStatus) {
    let mut world = with_tills();
    world.handle(Event::Peer(box_state("box-3", "north", "127.0.0.8:7200")));
    world.handle(Event::Peer(box_state("box-2", "south", "127.0.0.9:7200")));
    read(&mut world, object(order("v2", 12), 10, None));
    let (_, done) = call(&mut world, 2_000, 0);
    let published = published_states(&done);
    assert!(published.iter().any(|state| !state.tallies.is_empty()));
    read(&mut world, object(order("v2", 12), 11, Some(status)));
    let (_, done) = call(&mut world, 1_000, 0);
    let published = published_states(&done);
    assert!(!published.is_empty());
    assert!(published.iter().all(|state| state.tallies.is_empty()));
    assert_eq!(published_progress(&done), 0);
    let is_idle = (0..1_000).any(|_| {
        world.run(1);
        world.dispatcher.next_tick() > world.now.after(LONG_PAUSE)
    });
    assert!(is_idle);
}

/// A box whose order is in the switch phase and stays there, because another box of its failure domain has
/// not reported that it left the old version.
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

/// Marks all endpoints of the new version as leaving and sends a request. Returns the version that got it.
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

/// Whether one of these actions reports to the own failure domain that this box has left the old version.
fn has_reported_leaving(actions: &[Action]) -> bool {
    let updates = actions.iter().filter_map(|action| match action {
        Action::GossipUsage {
            update: updates, ..
        } => Some(&updates.rollouts),
        _ => None,
    });
    updates.flatten().any(|report| report.is_clear)
}

#[test]
fn a_box_that_needs_the_old_version_uses_it_and_does_not_report_leaving() {
    let mut world = switching();
    assert_eq!(place_without_target(&mut world).as_deref(), Some("v1"));
    assert!(!has_reported_leaving(&world.run(300)));
}

#[test]
fn a_box_that_reported_leaving_the_old_version_does_not_use_it_again() {
    let mut world = switching();
    assert!(has_reported_leaving(&world.run(300)));
    assert_eq!(phase(&world), Some(RolloutPhase::Switch));
    assert_eq!(place_without_target(&mut world), None);
}

/// A stream at an engine of the old version, one second into the switch of an order of six: whether its
/// caller has an event already.
fn stream_in_a_switch(has_event: bool) -> (World, RequestNumber, Attempt) {
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
    if has_event {
        world.progress(request, first.attempt, 1);
    }
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
    // A box of the own failure domain, to which leaving is reported.
    world.handle(Event::Peer(box_state("box-3", "north", "127.0.0.8:7200")));
    (world, request, first)
}

#[test]
fn an_attempt_without_an_event_moves_to_the_target_shortly_before_the_order_ends() {
    let (mut world, _, _) = stream_in_a_switch(false);
    let moved = (0..60).find_map(|step| {
        let done = world.run(100);
        fixtures::first_attempt(&done).map(|next| (step, next))
    });
    let (step, next) = moved.expect("the attempt did not move before the old version stopped");
    assert!((17..24).contains(&step), "after {step} steps of 100 ms");
    assert!(next.endpoint.ends_with('2'), "{}", next.endpoint);
}

/// What two versions write doesn't fit together, so a roll-out waits for the streams that have begun.
#[test]
fn a_stream_that_has_begun_stays_at_its_version_and_the_roll_out_waits_for_it() {
    let (mut world, request, first) = stream_in_a_switch(true);
    for event in 2..60 {
        world.progress(request, first.attempt, event);
        let done = world.run(100);
        let snapshots = done.iter().filter_map(|action| match action {
            Action::TakeSnapshot(asked) => Some(asked.host.clone()),
            _ => None,
        });
        for host in snapshots {
            assert!(host.ends_with('1'), "a replica at the target: {host}");
        }
        assert_eq!(fixtures::first_attempt(&done), None, "after {event} events");
        assert!(!has_reported_leaving(&done), "after {event} events");
    }
    world.end(request, first.attempt, Outcome::StreamEnded);
    assert!(has_reported_leaving(&world.run(700)));
}

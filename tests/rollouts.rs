//! Roll-out orders on a simulated clock, for a single box that reads the order's object from the store.
//! `rollout_end.rs` covers the end of a roll-out, `rollout_fleets.rs` covers whole fleets.

#[path = "gateway/fixtures.rs"]
mod fixtures;
#[path = "gateway/tills.rs"]
mod tills;

use fixtures::{QUOTES, World, box_state, listed, records};
use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::Event;
use magpiemoor::gateway::dispatch::record::Record;
use magpiemoor::gateway::dispatch::rollout::status::{RolloutStatus, StatusWrite};
use magpiemoor::schema::{BoxState, RolloutPhase, RolloutState};
use rstest::rstest;
use tills::{
    LONG_PAUSE, call, object, order, phase, published_states, read, till, with_tills, writes,
};

/// At sites without roll-outs, each start of a watcher reads an empty list. It must not trigger a message to
/// peers or an earlier tick.
#[test]
fn an_empty_list_of_orders_publishes_nothing() {
    let mut world = with_tills();
    world.run(10_000);
    // Right after a message to peers, the next tick is more than `LONG_PAUSE` away.
    let is_next_tick_late =
        |world: &World| world.dispatcher.next_tick() > world.now.after(LONG_PAUSE);
    let is_settled = (0..1_000).any(|_| {
        world.run(1);
        is_next_tick_late(&world)
    });
    assert!(is_settled);
    let due = world.dispatcher.next_tick();
    world.handle(Event::Rollouts {
        objects: Vec::new(),
        removed: Vec::new(),
        is_whole: true,
    });
    assert!(world.actions.is_empty(), "{:?}", world.actions);
    assert_eq!(world.dispatcher.next_tick(), due);
}

#[test]
fn without_an_order_all_versions_get_requests() {
    let mut world = with_tills();
    let (sent, done) = call(&mut world, 2_000, 0);
    assert!(sent["v1"] > 50 && sent["v2"] > 50, "{sent:?}");
    assert_eq!(writes(&done), []);
}

/// Number of answer samples published to peers.
fn published_samples(actions: &[Action]) -> usize {
    let updates = actions.iter().filter_map(|action| match action {
        Action::GossipUsage {
            update: updates, ..
        } => Some(updates.samples.len()),
        _ => None,
    });
    updates.sum()
}

/// An attempt that gets no connection is no evidence about a version. An attempt that got one is.
#[rstest]
#[case::without(false)]
#[case::with(true)]
fn an_attempt_counts_once_it_has_a_connection(#[case] is_connected: bool) {
    let mut world = with_tills();
    world.handle(Event::Peer(box_state("box-3", "north", "127.0.0.8:7200")));
    read(&mut world, object(order("v2", 12), 10, None));
    call(&mut world, 1_000, 0);
    world.run(100);
    let (request, sent) = world.arrive(QUOTES);
    let attempt = sent.unwrap();
    assert!(attempt.reports_connection);
    if is_connected {
        world.handle(Event::Connected {
            request,
            attempt: attempt.attempt,
        });
    }
    let done = world.run(100);
    assert_eq!(published_samples(&done) > 0, is_connected);
}

#[test]
fn a_version_gets_its_share_then_all_and_the_store_gets_its_status() {
    let mut world = with_tills();
    let done = read(&mut world, object(order("v2", 12), 10, None));
    assert_eq!(phase(&world), Some(RolloutPhase::Canary));
    let (sent, more) = call(&mut world, 10_500, 0);
    let all = sent.values().sum::<u32>();
    let new = sent.get("v2").copied().unwrap_or_default();
    assert!(
        new > 10 && f64::from(new) < 0.1 * f64::from(all),
        "{sent:?}"
    );
    let first = writes(&done)
        .into_iter()
        .chain(writes(&more))
        .next()
        .unwrap();
    assert_eq!(
        (first.status, first.revision),
        (RolloutStatus::InProgress, 10)
    );
    read(
        &mut world,
        object(order("v2", 12), 11, Some(RolloutStatus::InProgress)),
    );
    let (sent, done) = call(&mut world, 1_400, 0);
    let exposed = new + sent["v2"];
    assert!(exposed <= 170, "{exposed} of 1,200");
    let last = writes(&done).into_iter().next_back().unwrap();
    assert_eq!((last.status, last.revision), (RolloutStatus::Completed, 11));
    assert_eq!(phase(&world), Some(RolloutPhase::Committed));
    let (sent, _) = call(&mut world, 500, 0);
    assert_eq!(sent.get("v1"), None);
}

#[test]
fn a_bad_version_is_rolled_back_and_its_status_is_written_until_the_store_confirms() {
    let mut world = with_tills();
    read(&mut world, object(order("v2", 12), 10, None));
    let (_, done) = call(&mut world, 6_000, 6);
    assert_eq!(phase(&world), Some(RolloutPhase::Bad));
    let rolled_back = |write: &&StatusWrite| write.status == RolloutStatus::RolledBack;
    let written = writes(&done);
    let rollback_writes = written.iter().filter(rolled_back).count();
    assert!(
        rollback_writes > 1,
        "the status is written again until the object shows it"
    );
    let (sent, _) = call(&mut world, 1_000, 6);
    assert_eq!(sent.get("v2"), None);
    read(
        &mut world,
        object(order("v2", 12), 11, Some(RolloutStatus::RolledBack)),
    );
    let (sent, done) = call(&mut world, 2_000, 0);
    assert_eq!(phase(&world), Some(RolloutPhase::RolledBack));
    assert_eq!(writes(&done), []);
    assert_eq!(
        sent.get("v2"),
        None,
        "the version gets no requests while the object exists"
    );
}

#[test]
fn a_write_refused_for_its_revision_waits_for_the_newer_object() {
    let mut world = with_tills();
    read(&mut world, object(order("v2", 12), 10, None));
    let first = writes(&world.run(300));
    assert_eq!(first.len(), 1, "expected one write at a time: {first:?}");
    read(&mut world, object(order("v2", 12), 14, None));
    let second = writes(&world.run(300));
    assert_eq!(second[0].revision, 14);
}

/// Durations are sent to peers as milliseconds in 32 bits. A longer one is sent as the greatest value, not
/// wrapped to a shorter one.
#[test]
fn an_order_longer_than_32_bits_of_ms_is_not_published_as_a_shorter_one() {
    let mut world = with_tills();
    world.handle(Event::Peer(box_state("box-2", "south", "127.0.0.9:7200")));
    read(&mut world, object(order("v2", 5_000_000), 10, None));
    let published = published_states(&world.run(1_000));
    assert!(!published.is_empty());
    assert!(published.iter().all(|state| state.duration_ms == u32::MAX));
}

#[test]
fn a_decision_reported_by_a_peer_is_never_reverted() {
    let mut world = with_tills();
    read(&mut world, object(order("v2", 12), 10, None));
    let peer_report = |phase| {
        let state = RolloutState {
            service: "till".parse().unwrap(),
            order: order("v2", 12).id,
            target: "v2".parse().unwrap(),
            duration_ms: 12_000,
            age_ms: 100,
            seen_ms: 0,
            phase,
            tallies: Vec::new(),
        };
        Event::Peer(BoxState {
            rollouts: vec![state],
            ..box_state("box-2", "south", "127.0.0.9:7200")
        })
    };
    world.handle(peer_report(RolloutPhase::Bad));
    assert_eq!(phase(&world), Some(RolloutPhase::Bad));
    world.handle(peer_report(RolloutPhase::Switch));
    assert_eq!(phase(&world), Some(RolloutPhase::Bad));
    let phases = records(&world.actions).into_iter();
    assert_eq!(
        phases
            .filter(|r| matches!(r, Record::Rollout { .. }))
            .count(),
        0
    );
}

#[test]
fn a_second_order_for_the_service_replaces_the_first() {
    let mut world = with_tills();
    read(&mut world, object(order("v2", 12), 10, None));
    call(&mut world, 6_000, 6);
    assert_eq!(phase(&world), Some(RolloutPhase::Bad));
    read(&mut world, object(order("v1", 12), 20, None));
    assert_eq!(phase(&world), Some(RolloutPhase::Canary));
    let service = "till".parse().unwrap();
    let known = world.dispatcher.rollouts().of(&service).unwrap();
    assert_eq!(known.order().target.as_str(), "v1");
}

#[test]
fn an_order_whose_object_is_removed_is_dropped() {
    let mut world = with_tills();
    read(&mut world, object(order("v2", 12), 10, None));
    world.handle(Event::Rollouts {
        objects: Vec::new(),
        removed: vec!["till".parse().unwrap()],
        is_whole: false,
    });
    assert_eq!(phase(&world), None);
    let (sent, _) = call(&mut world, 1_000, 0);
    assert!(sent["v2"] > 20, "{sent:?}");
}

#[test]
fn a_target_without_endpoints_loses_no_request() {
    let mut world = with_tills();
    read(&mut world, object(order("v9", 6), 10, None));
    let (sent, done) = call(&mut world, 8_000, 0);
    assert!(sent.values().sum::<u32>() >= 800);
    assert_eq!(
        phase(&world),
        Some(RolloutPhase::Canary),
        "the canary phase goes on after the order's duration"
    );
    assert!(
        writes(&done)
            .iter()
            .all(|w| w.status == RolloutStatus::InProgress)
    );
}

#[test]
fn the_target_serves_when_no_other_version_has_endpoints() {
    let mut world = with_tills();
    read(&mut world, object(order("v2", 12), 10, None));
    world.run(100);
    world.handle(listed(vec![till("v2", 3), till("v2", 4)]));
    let (sent, _) = call(&mut world, 500, 0);
    assert_eq!(sent["v2"], 50);
}

#[test]
fn orders_known_from_peers_alone_expire() {
    let mut world = World::ready();
    let state = RolloutState {
        service: "engines".parse().unwrap(),
        order: 7,
        target: "v2".parse().unwrap(),
        duration_ms: 12_000,
        age_ms: 100,
        seen_ms: 100,
        phase: RolloutPhase::Canary,
        tallies: Vec::new(),
    };
    world.handle(Event::Peer(BoxState {
        rollouts: vec![state],
        ..box_state("box-2", "north", "127.0.0.9:7200")
    }));
    assert!(!world.dispatcher.rollouts().is_empty());
    world.run(31_000);
    assert!(world.dispatcher.rollouts().is_empty());
}

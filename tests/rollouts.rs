//! Orders of roll-outs on made-up time: one box with the store's object in its hands. How they end is in
//! `rollout_end.rs`, whole fleets are in `rollout_fleets.rs`.

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

/// Sites without roll-outs read an empty list each time that a watcher begins.
#[test]
fn an_empty_list_of_orders_has_nobody_told() {
    let mut world = with_tills();
    world.run(10_000);
    // Just after a message to peers the next one is not due for long.
    let is_due_later = |world: &World| world.dispatcher.next_tick() > world.now.after(LONG_PAUSE);
    let is_settled = (0..1_000).any(|_| {
        world.run(1);
        is_due_later(&world)
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
fn without_an_order_versions_are_served_alike() {
    let mut world = with_tills();
    let (sent, done) = call(&mut world, 2_000, 0);
    assert!(sent["v1"] > 50 && sent["v2"] > 50, "{sent:?}");
    assert_eq!(writes(&done), []);
}

/// Answers that peers were told of.
fn told_answers(actions: &[Action]) -> usize {
    let news = actions.iter().filter_map(|action| match action {
        Action::GossipUsage { update: news, .. } => Some(news.samples.len()),
        _ => None,
    });
    news.sum()
}

/// An attempt that gets no connection says nothing of a version; one that got one does.
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
    assert_eq!(told_answers(&done) > 0, is_connected);
}

#[test]
fn a_version_gets_its_share_then_all_and_the_store_says_so() {
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
fn a_bad_version_is_left_by_itself_and_the_store_is_told_when_it_answers() {
    let mut world = with_tills();
    read(&mut world, object(order("v2", 12), 10, None));
    let (_, done) = call(&mut world, 6_000, 6);
    assert_eq!(phase(&world), Some(RolloutPhase::Bad));
    let rolled_back = |write: &&StatusWrite| write.status == RolloutStatus::RolledBack;
    let tries = writes(&done);
    let tries = tries.iter().filter(rolled_back).count();
    assert!(tries > 1, "it is written until the object says so");
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
        "it stays left for as long as the object is there"
    );
}

#[test]
fn a_write_that_met_another_revision_waits_for_the_object() {
    let mut world = with_tills();
    read(&mut world, object(order("v2", 12), 10, None));
    let first = writes(&world.run(300));
    assert_eq!(first.len(), 1, "one write at a time: {first:?}");
    read(&mut world, object(order("v2", 12), 14, None));
    let second = writes(&world.run(300));
    assert_eq!(second[0].revision, 14);
}

/// Times go to peers as milliseconds in 32 bits.
#[test]
fn an_order_for_months_is_told_as_no_shorter_one() {
    let mut world = with_tills();
    world.handle(Event::Peer(box_state("box-2", "south", "127.0.0.9:7200")));
    read(&mut world, object(order("v2", 5_000_000), 10, None));
    let told = published_states(&world.run(1_000));
    assert!(!told.is_empty());
    assert!(told.iter().all(|state| state.duration_ms == u32::MAX));
}

#[test]
fn a_decision_once_told_never_goes_back() {
    let mut world = with_tills();
    read(&mut world, object(order("v2", 12), 10, None));
    let told = |phase| {
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
    world.handle(told(RolloutPhase::Bad));
    assert_eq!(phase(&world), Some(RolloutPhase::Bad));
    world.handle(told(RolloutPhase::Switch));
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
fn a_second_order_for_the_service_takes_the_place_of_the_first() {
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
fn an_order_whose_object_is_gone_is_forgotten() {
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
fn a_target_without_endpoints_costs_no_request() {
    let mut world = with_tills();
    read(&mut world, object(order("v9", 6), 10, None));
    let (sent, done) = call(&mut world, 8_000, 0);
    assert!(sent.values().sum::<u32>() >= 800);
    assert_eq!(
        phase(&world),
        Some(RolloutPhase::Canary),
        "beyond its time, too"
    );
    assert!(
        writes(&done)
            .iter()
            .all(|w| w.status == RolloutStatus::InProgress)
    );
}

#[test]
fn where_only_the_target_is_left_it_serves() {
    let mut world = with_tills();
    read(&mut world, object(order("v2", 12), 10, None));
    world.run(100);
    world.handle(listed(vec![till("v2", 3), till("v2", 4)]));
    let (sent, _) = call(&mut world, 500, 0);
    assert_eq!(sent["v2"], 50);
}

#[test]
fn orders_that_nobody_vouches_for_are_forgotten() {
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

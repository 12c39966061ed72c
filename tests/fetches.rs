//! From whom a newer table or list is fetched, on made-up time.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::net::SocketAddr;
use std::sync::Arc;

use fixtures::{GENEROUS, World, box_state, listed, table};
use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::Event;
use magpiemoor::gateway::dispatch::fetches::{FetchKind, FetchOutcome};
use magpiemoor::schema::BoxState;
use rstest::rstest;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, number], 7_200))
}

fn peer(number: u8, domain: &str, version: u64) -> BoxState {
    BoxState {
        table_version: version,
        ..box_state(
            &format!("box-{number}"),
            domain,
            &address(number).to_string(),
        )
    }
}

/// Hears of the state of a box; returns whom the table is asked of.
fn hear(world: &mut World, number: u8, domain: &str, version: u64) -> Vec<SocketAddr> {
    let state = peer(number, domain, version);
    world.handle(Event::Peer(state));
    asked(&world.actions)
}

fn asked(actions: &[Action]) -> Vec<SocketAddr> {
    let tables = actions.iter().filter_map(|action| match action {
        Action::FetchState {
            from,
            kind: FetchKind::Table,
            ..
        } => Some(*from),
        _ => None,
    });
    tables.collect()
}

fn store_reads(actions: &[Action]) -> usize {
    let reads = actions.iter().filter(|a| matches!(a, Action::ReadTable));
    reads.count()
}

fn end(world: &mut World, from: SocketAddr, outcome: FetchOutcome) {
    world.handle(Event::Fetched {
        kind: FetchKind::Table,
        from,
        outcome,
    });
}

/// A box that has a table of version 1, and peers that it has heard.
fn ready_with(peers: &[(u8, &str, u64)]) -> World {
    let mut world = World::ready();
    for (number, domain, version) in peers {
        world.handle(Event::Peer(peer(*number, domain, *version)));
    }
    world
}

#[rstest]
#[case::busy(FetchOutcome::Busy)]
#[case::failed(FetchOutcome::Failed)]
fn another_peer_is_asked_soon_without_being_told_again(#[case] outcome: FetchOutcome) {
    let mut world = ready_with(&[(2, "north", 9), (3, "north", 9)]);
    let first = address(2);
    end(&mut world, first, outcome);
    let done = world.run(60);
    assert_eq!(asked(&done), vec![address(3)]);
}

#[test]
fn a_peer_that_was_busy_is_asked_again_where_nobody_else_has_it() {
    let mut world = ready_with(&[(2, "north", 9)]);
    end(&mut world, address(2), FetchOutcome::Busy);
    let done = world.run(400);
    assert_eq!(asked(&done), vec![address(2)]);
}

#[test]
fn a_peer_that_failed_is_left_alone_while_others_are_asked() {
    let mut world = ready_with(&[(2, "north", 9), (3, "north", 9)]);
    end(&mut world, address(2), FetchOutcome::Failed);
    for _ in 0..8 {
        let done = world.run(200);
        for from in asked(&done) {
            assert_eq!(from, address(3));
            end(&mut world, from, FetchOutcome::Busy);
        }
    }
}

#[test]
fn the_newest_table_is_asked_for_first_and_the_own_domain_before_others() {
    let mut world = World::ready();
    // The first question is under way while the others tell.
    assert_eq!(hear(&mut world, 2, "south", 5), vec![address(2)]);
    for (number, domain, version) in [(3, "north", 7), (4, "south", 9), (5, "north", 9)] {
        assert_eq!(hear(&mut world, number, domain, version), Vec::new());
    }
    world.handle(Event::Table(Arc::new(table(5))));
    end(&mut world, address(2), FetchOutcome::Complete);
    assert_eq!(asked(&world.run(150)), vec![address(5)]);
}

#[test]
fn a_peer_that_was_heard_just_now_is_asked_before_those_that_may_be_gone() {
    let mut world = ready_with(&[(2, "north", 9), (3, "north", 9), (4, "north", 9)]);
    // A second in which the box runs: one that stands still takes nobody for older.
    world.run(1_000);
    hear(&mut world, 5, "south", 9);
    end(&mut world, address(2), FetchOutcome::Failed);
    assert_eq!(asked(&world.run(60)), vec![address(5)]);
}

#[test]
fn an_older_table_is_taken_while_those_with_the_newest_are_busy() {
    let mut world = ready_with(&[(2, "north", 9), (3, "north", 7)]);
    end(&mut world, address(2), FetchOutcome::Busy);
    assert_eq!(asked(&world.run(60)), vec![address(3)]);
}

#[test]
fn a_question_that_takes_long_is_not_the_only_one() {
    let mut world = ready_with(&[(2, "north", 9)]);
    let mut askings = 0;
    // The peers go on telling, or they would count as gone.
    for _ in 0..10 {
        let done = world.run(300);
        askings += asked(&done).len();
        askings += hear(&mut world, 3, "north", 9).len();
    }
    assert_eq!(askings, 1);
}

#[test]
fn a_table_that_no_peer_brings_is_read_from_the_store() {
    let mut world = ready_with(&[(2, "north", 9)]);
    end(&mut world, address(2), FetchOutcome::Failed);
    assert_eq!(store_reads(&world.run(990)), 0);
    assert_eq!(store_reads(&world.run(20)), 1);
    world.handle(Event::Table(Arc::new(table(9))));
    assert_eq!(store_reads(&world.run(5_000)), 0, "it is in force");
}

#[test]
fn the_store_is_read_ever_more_rarely() {
    let mut world = World::ready();
    let mut reads = 0;
    for _ in 0..100 {
        world.handle(Event::Peer(peer(2, "north", 9)));
        reads += store_reads(&world.run(300));
    }
    assert!((4..=9).contains(&reads), "{reads} reads in 30 s");
}

#[test]
fn nothing_is_done_for_a_table_whose_holders_are_gone() {
    let mut world = ready_with(&[(2, "north", 9)]);
    end(&mut world, address(2), FetchOutcome::Failed);
    // A last question is waited for.
    world.run(6_000);
    let done = world.run(10_000);
    assert_eq!(asked(&done), Vec::new());
    assert_eq!(store_reads(&done), 0);
}

#[test]
fn a_peer_that_tells_of_an_older_table_is_told_at_once() {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(table(4))));
    world.handle(listed(Vec::new()));
    world.handle(Event::Peer(peer(2, "north", 4)));
    world.run(20);
    world.handle(Event::Peer(peer(2, "north", 3)));
    let told = world
        .actions
        .iter()
        .any(|action| matches!(action, Action::Gossip { to, .. } if *to == vec![address(2)]));
    assert!(told);
    world.handle(Event::Peer(peer(2, "north", 4)));
    assert!(world.actions.is_empty(), "{:?}", world.actions);
}

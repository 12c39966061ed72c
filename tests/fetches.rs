//! From which peer a newer table or list is fetched, on a simulated clock.

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

/// Receives the state of a box; returns the peers from which the table is requested.
fn receive_state(world: &mut World, number: u8, domain: &str, version: u64) -> Vec<SocketAddr> {
    let state = peer(number, domain, version);
    world.handle(Event::Peer(state));
    requested_peers(&world.actions)
}

fn requested_peers(actions: &[Action]) -> Vec<SocketAddr> {
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

fn end_fetch(world: &mut World, from: SocketAddr, outcome: FetchOutcome) {
    world.handle(Event::Fetched {
        kind: FetchKind::Table,
        from,
        outcome,
    });
}

/// A box that has version 1 of the table and has received the states of these peers.
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
fn another_peer_is_tried_soon_without_a_new_report(#[case] outcome: FetchOutcome) {
    let mut world = ready_with(&[(2, "north", 9), (3, "north", 9)]);
    let first = address(2);
    end_fetch(&mut world, first, outcome);
    let done = world.run(60);
    assert_eq!(requested_peers(&done), vec![address(3)]);
}

#[test]
fn a_busy_peer_is_retried_if_no_other_has_the_table() {
    let mut world = ready_with(&[(2, "north", 9)]);
    end_fetch(&mut world, address(2), FetchOutcome::Busy);
    let done = world.run(400);
    assert_eq!(requested_peers(&done), vec![address(2)]);
}

#[test]
fn a_peer_that_failed_is_skipped_while_others_are_tried() {
    let mut world = ready_with(&[(2, "north", 9), (3, "north", 9)]);
    end_fetch(&mut world, address(2), FetchOutcome::Failed);
    for _ in 0..8 {
        let done = world.run(200);
        for from in requested_peers(&done) {
            assert_eq!(from, address(3));
            end_fetch(&mut world, from, FetchOutcome::Busy);
        }
    }
}

#[test]
fn the_newest_table_is_requested_first_and_from_the_own_domain_before_others() {
    let mut world = World::ready();
    // The first request is in flight while the others report their versions.
    assert_eq!(receive_state(&mut world, 2, "south", 5), vec![address(2)]);
    for (number, domain, version) in [(3, "north", 7), (4, "south", 9), (5, "north", 9)] {
        assert_eq!(
            receive_state(&mut world, number, domain, version),
            Vec::new()
        );
    }
    world.handle(Event::Table(Arc::new(table(5))));
    end_fetch(&mut world, address(2), FetchOutcome::Complete);
    assert_eq!(requested_peers(&world.run(150)), vec![address(5)]);
}

#[test]
fn a_recently_seen_peer_is_tried_before_those_that_may_be_lost() {
    let mut world = ready_with(&[(2, "north", 9), (3, "north", 9), (4, "north", 9)]);
    // The box runs for a second: while a box is paused, its peers' states don't age.
    world.run(1_000);
    receive_state(&mut world, 5, "south", 9);
    end_fetch(&mut world, address(2), FetchOutcome::Failed);
    assert_eq!(requested_peers(&world.run(60)), vec![address(5)]);
}

#[test]
fn an_older_table_is_taken_while_those_with_the_newest_are_busy() {
    let mut world = ready_with(&[(2, "north", 9), (3, "north", 7)]);
    end_fetch(&mut world, address(2), FetchOutcome::Busy);
    assert_eq!(requested_peers(&world.run(60)), vec![address(3)]);
}

#[test]
fn a_slow_request_is_not_the_only_one() {
    let mut world = ready_with(&[(2, "north", 9)]);
    let mut requests = 0;
    // The peers keep reporting, since they would otherwise count as lost.
    for _ in 0..10 {
        let done = world.run(300);
        requests += requested_peers(&done).len();
        requests += receive_state(&mut world, 3, "north", 9).len();
    }
    assert_eq!(requests, 1);
}

#[test]
fn a_table_that_no_peer_sends_is_read_from_the_store() {
    let mut world = ready_with(&[(2, "north", 9)]);
    end_fetch(&mut world, address(2), FetchOutcome::Failed);
    assert_eq!(store_reads(&world.run(990)), 0);
    assert_eq!(store_reads(&world.run(20)), 1);
    world.handle(Event::Table(Arc::new(table(9))));
    assert_eq!(store_reads(&world.run(5_000)), 0, "it is in force");
}

#[test]
fn the_store_is_read_at_growing_intervals() {
    let mut world = World::ready();
    let mut reads = 0;
    for _ in 0..100 {
        world.handle(Event::Peer(peer(2, "north", 9)));
        reads += store_reads(&world.run(300));
    }
    assert!((4..=9).contains(&reads), "{reads} reads in 30 s");
}

#[test]
fn nothing_is_fetched_for_a_table_whose_holders_are_lost() {
    let mut world = ready_with(&[(2, "north", 9)]);
    end_fetch(&mut world, address(2), FetchOutcome::Failed);
    // The box waits for the last request to end.
    world.run(6_000);
    let done = world.run(10_000);
    assert_eq!(requested_peers(&done), Vec::new());
    assert_eq!(store_reads(&done), 0);
}

#[test]
fn a_peer_that_reports_an_older_table_is_notified_at_once() {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(table(4))));
    world.handle(listed(Vec::new()));
    world.handle(Event::Peer(peer(2, "north", 4)));
    world.run(20);
    world.handle(Event::Peer(peer(2, "north", 3)));
    let is_gossiped = world
        .actions
        .iter()
        .any(|action| matches!(action, Action::Gossip { to, .. } if *to == vec![address(2)]));
    assert!(is_gossiped);
    world.handle(Event::Peer(peer(2, "north", 4)));
    assert!(world.actions.is_empty(), "{:?}", world.actions);
}

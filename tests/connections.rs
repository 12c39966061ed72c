//! Idle connections to endpoints, which accept a number of connections from all boxes together.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::sync::Arc;

use fixtures::{GENEROUS, QUOTES, STREAMS, World, config, endpoints, listed, table};
use magpiemoor::gateway::dispatch::DispatchConfig;
use magpiemoor::gateway::dispatch::event::Event;
use rstest::rstest;

/// Boxes kept eight idle connections each, whatever the endpoint accepts. The tills accept 64 connections and run 8 calls.
#[rstest]
#[case::few_boxes(QUOTES, 6, 8)]
#[case::share(QUOTES, 12, 4)]
#[case::last_share(QUOTES, 48, 1)]
#[case::more_boxes_than_connections(QUOTES, 49, 0)]
#[case::no_limit_known(STREAMS, 1_000, 8)]
fn a_box_keeps_its_share_of_the_idle_connections(
    #[case] path: &str,
    #[case] boxes: usize,
    #[case] share: usize,
) {
    let mut world = World::with(DispatchConfig {
        fleet_boxes: boxes,
        ..config(GENEROUS)
    });
    world.handle(Event::Table(Arc::new(table(1))));
    world.handle(listed(endpoints()));
    let (_, sent) = world.arrive(path);
    assert_eq!(sent.unwrap().max_idle_connections, share);
}

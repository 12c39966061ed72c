//! Callers that lost their box before the first event of their stream, on a simulated clock.
//!
//! The engine may still run such a stream, so a restarted box searches the engines for the prompt
//! before it starts an attempt.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::sync::Arc;

use fixtures::{GENEROUS, QUOTES, STREAMS, World, config, first_attempt, listed, table};
use magpiemoor::gateway::dispatch::Dispatcher;
use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::Event;
use rstest::rstest;

/// A box that has just started and has a routing table and endpoints.
fn started(first_start: bool) -> World {
    let mut world = World::empty(GENEROUS);
    let mut cfg = config(GENEROUS);
    cfg.first_start = first_start;
    world.dispatcher = Dispatcher::new(cfg, 7, world.now);
    world.handle(Event::Table(Arc::new(table(1))));
    world.handle(listed(fixtures::endpoints()));
    world
}

fn is_search(actions: &[Action]) -> bool {
    let mut actions = actions.iter();
    actions.any(|action| matches!(action, Action::Locate { .. }))
}

#[rstest]
#[case::first_start(true, 100, STREAMS, false)]
#[case::restart(false, 100, STREAMS, true)]
#[case::long_after_a_restart(false, 6_000, STREAMS, false)]
#[case::a_call(false, 100, QUOTES, false)]
fn a_restarted_box_searches_the_engines_for_prompts_of_streams(
    #[case] first_start: bool,
    #[case] after_ms: u64,
    #[case] path: &str,
    #[case] searches: bool,
) {
    let mut world = started(first_start);
    world.run(after_ms);
    let (request, attempt) = world.arrive(path);
    assert_eq!(is_search(&world.actions), searches);
    assert_eq!(attempt.is_none(), searches);
    if searches {
        let engine = "engine-s1".parse().unwrap();
        world.handle(Event::Located {
            request,
            endpoint: Some(engine),
        });
        let attempt = first_attempt(&world.actions).unwrap();
        assert_eq!(attempt.endpoint.as_str(), "engine-s1");
    }
}

//! Which requests a box admits, queues or refuses, on a simulated clock.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use fixtures::{
    GENEROUS, KEY, PAYMENTS, QUOTES, STREAMS, World, endpoint, endpoints, first_attempt, listed,
    refusal, split_table, table, table_of,
};
use magpiemoor::gateway::dispatch::event::{Event, Outcome};
use magpiemoor::gateway::dispatch::refusal::RefusalReason;
use magpiemoor::gateway::dispatch::table::TableVersion;
use rstest::rstest;

#[rstest]
#[case::no_route("/elsewhere/", Some(KEY), RefusalReason::NoRoute)]
#[case::no_key(QUOTES, None, RefusalReason::UnknownKey)]
#[case::unknown_key(QUOTES, Some("stolen"), RefusalReason::UnknownKey)]
fn a_request_that_the_table_does_not_allow_is_refused(
    #[case] path: &str,
    #[case] key: Option<&str>,
    #[case] reason: RefusalReason,
) {
    let mut world = World::ready();
    let mut arrival = world.arrival(path);
    arrival.key = key.map(str::to_owned);
    world.arrive_as(arrival);
    assert_eq!(refusal(&world.actions), Some(reason));
}

#[test]
fn a_box_without_a_configuration_never_says_that_a_route_is_missing() {
    let mut world = World::empty(GENEROUS);
    world.arrive("/elsewhere/");
    assert_eq!(refusal(&world.actions), None);
    let done = world.run(450);
    assert_eq!(refusal(&done), Some(RefusalReason::NoConfiguration));
    assert!(!world.dispatcher.is_ready());
}

#[test]
fn what_comes_to_a_box_that_has_just_started_is_served_once_it_knows_routes_and_endpoints() {
    let mut world = World::empty(GENEROUS);
    let (_, sent) = world.arrive(QUOTES);
    assert!(sent.is_none());
    world.run(100);
    world.handle(Event::Table(Arc::new(table(1))));
    assert!(
        first_attempt(&world.actions).is_none(),
        "no endpoint is known"
    );
    assert_eq!(refusal(&world.actions), None);
    world.handle(listed(endpoints()));
    assert!(first_attempt(&world.actions).is_some());
    assert_eq!(refusal(&world.run(450)), None);
}

#[test]
fn a_queued_request_is_removed_when_its_caller_disconnects() {
    let mut world = World::empty(GENEROUS);
    let (request, _) = world.arrive(PAYMENTS);
    assert_eq!(world.dispatcher.active(), 1);
    world.handle(Event::CallerDisconnected(request));
    assert_eq!(world.dispatcher.active(), 0);
    world.handle(Event::Table(Arc::new(table(1))));
    world.handle(listed(endpoints()));
    assert!(first_attempt(&world.actions).is_none());
}

#[test]
fn a_box_without_configuration_queues_a_bounded_number_of_requests() {
    let mut world = World::empty(GENEROUS);
    let refused = (0..600).filter(|_| {
        world.arrive(QUOTES);
        refusal(&world.actions) == Some(RefusalReason::NoConfiguration)
    });
    assert_eq!(refused.count(), 100);
}

#[test]
fn a_table_is_only_replaced_by_a_newer_one() {
    let mut world = World::ready();
    world.handle(Event::Table(Arc::new(table_of(5, &[QUOTES]))));
    world.handle(Event::Table(Arc::new(table(4))));
    assert_eq!(world.dispatcher.table_version(), TableVersion(5));
    world.arrive(STREAMS);
    assert_eq!(refusal(&world.actions), Some(RefusalReason::NoRoute));
}

#[test]
fn the_longest_prefix_of_a_host_wins_and_the_port_does_not_matter() {
    let mut table_parts = table_of(1, &[QUOTES]);
    assert!(table_parts.route("SHOP.example:8080", "/quotes/a").is_ok());
    assert!(table_parts.route("other.example", "/quotes/a").is_err());
    table_parts = table(2);
    assert_eq!(
        table_parts.route("shop.example", "/quotes/a").unwrap().name,
        QUOTES
    );
}

#[test]
fn a_box_that_is_stopping_refuses_streams_that_it_could_not_finish() {
    let mut world = World::ready();
    world.handle(Event::Stop {
        grace: Duration::from_secs(8),
    });
    assert!(!world.dispatcher.is_ready());
    let (_, early) = world.arrive(STREAMS);
    assert!(early.is_some());
    world.pass(4_000);
    let (_, late) = world.arrive(STREAMS);
    assert!(late.is_none());
    assert_eq!(refusal(&world.actions), Some(RefusalReason::StoppingNotRun));
    let (_, call) = world.arrive(QUOTES);
    assert!(call.is_some());
}

#[test]
fn a_box_that_is_stopping_refuses_streams_that_take_longer_lately_than_it_has_left() {
    let mut world = World::ready();
    let (request, first) = world.arrive(STREAMS);
    let attempt = first.unwrap().attempt;
    for event in 1..=70 {
        world.pass(100);
        world.progress(request, attempt, event);
    }
    world.end(request, attempt, Outcome::StreamEnded);
    world.handle(Event::Stop {
        grace: Duration::from_millis(7_500),
    });
    let (_, early) = world.arrive(STREAMS);
    assert!(early.is_some());
    world.pass(700);
    let (_, late) = world.arrive(STREAMS);
    assert!(late.is_none());
    assert_eq!(refusal(&world.actions), Some(RefusalReason::StoppingNotRun));
}

#[test]
fn a_split_route_leads_to_the_service_that_has_endpoints() {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(split_table("engines", "till"))));
    world.handle(listed(vec![endpoint("till-n1", "till", "north", 9_101)]));
    for _ in 0..20 {
        let (_, sent) = world.arrive(QUOTES);
        assert_eq!(sent.unwrap().endpoint.as_str(), "till-n1");
    }
}

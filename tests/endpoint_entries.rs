//! Endpoint list entries that describe no usable endpoint, on a simulated clock.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::time::Duration;

use fixtures::{PAYMENTS, QUOTES, STREAMS, World, changed, commands, endpoint, endpoints};
use magpiemoor::gateway::dispatch::action::Command;
use magpiemoor::gateway::dispatch::event::{EndpointChange, EndpointSpec, Event, Outcome};
use magpiemoor::schema::EndpointId;
use rstest::rstest;

fn takes_work(world: &World, id: &str) -> bool {
    let fleet = world.dispatcher.fleet();
    let endpoint = fleet.get(&id.parse().unwrap());
    endpoint.is_some_and(|e| fleet.takes_work(e))
}

/// Makes the entry of an endpoint unreadable, in a change or in a whole list.
fn turn_unreadable(world: &mut World, id: &str, in_list: bool) {
    let id = id.parse().unwrap();
    if !in_list {
        world.handle(changed(vec![EndpointChange::Unreadable(id)]));
        return;
    }
    let readable = endpoints().into_iter().filter(|e| e.id != id);
    world.handle(Event::EndpointsListed {
        specs: readable.collect(),
        unreadable: vec![id],
        at: 2,
    });
}

#[rstest]
#[case::in_a_change(false)]
#[case::in_a_whole_list(true)]
fn an_endpoint_whose_entry_turns_unreadable_gets_no_new_work_but_finishes_what_it_has(
    #[case] in_list: bool,
) {
    let mut world = World::ready();
    let (request, first) = world.arrive(PAYMENTS);
    let first = first.unwrap();
    turn_unreadable(&mut world, &first.endpoint, in_list);
    for _ in 0..5 {
        let (_, sent) = world.arrive(PAYMENTS);
        assert_ne!(sent.unwrap().endpoint, first.endpoint);
    }
    world.end(request, first.attempt, Outcome::Answered { status: 200 });
    assert!(commands(&world.actions).contains(&&Command::Deliver));
    let spec = endpoints().into_iter().find(|e| e.id == first.endpoint);
    world.handle(changed(vec![EndpointChange::Present(spec.unwrap())]));
    assert!(
        takes_work(&world, &first.endpoint),
        "the entry is readable again"
    );
}

#[rstest]
#[case::in_a_change(false)]
#[case::in_a_whole_list(true)]
fn a_stream_continues_at_an_endpoint_whose_entry_turns_unreadable(#[case] in_list: bool) {
    let mut world = World::ready();
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    turn_unreadable(&mut world, &first.endpoint, in_list);
    for event in 1..20 {
        world.progress(request, first.attempt, event);
        assert!(commands(&world.run(50)).is_empty());
    }
}

#[test]
fn an_unreadable_entry_of_an_unknown_endpoint_is_ignored() {
    let mut world = World::ready();
    let id = "engine-x9".parse().unwrap();
    world.handle(changed(vec![EndpointChange::Unreadable(id)]));
    assert!(!takes_work(&world, "engine-x9"));
    assert!(takes_work(&world, "engine-n1"));
}

/// An entry at the address of an engine of the fixtures.
fn at_address_of(id: &str, name: &str, service: &str, revision: u64) -> EndpointSpec {
    let spec = endpoints().into_iter().find(|e| e.id.as_str() == id);
    EndpointSpec {
        id: name.parse().unwrap(),
        service: service.parse().unwrap(),
        revision,
        ..spec.unwrap()
    }
}

#[test]
fn of_two_entries_with_one_address_the_one_that_changed_last_counts() {
    let mut world = World::ready();
    let old = at_address_of("engine-n1", "engine-n1", "engines", 4);
    let new = at_address_of("engine-n1", "engine-z1", "engines", 9);
    let both = [new, old].map(EndpointChange::Present).to_vec();
    for _ in 0..2 {
        world.handle(changed(both.clone()));
        assert!(takes_work(&world, "engine-z1"));
        assert!(
            !takes_work(&world, "engine-n1"),
            "a list may contain the old entry for long"
        );
    }
    let removed = EndpointChange::Absent("engine-z1".parse().unwrap());
    world.handle(changed(vec![removed]));
    assert!(takes_work(&world, "engine-n1"));
}

#[test]
fn an_entry_of_a_service_that_nobody_named_takes_no_address_from_another() {
    let mut world = World::ready();
    let foreign = at_address_of("engine-n1", "foreign", "nobody-knows-it", 99);
    world.handle(changed(vec![EndpointChange::Present(foreign)]));
    assert!(takes_work(&world, "engine-n1"));
}

/// Calls of a caller that sends one after the other, with the endpoints that served them.
fn serve_calls(world: &mut World, count: usize) -> Vec<EndpointId> {
    let mut used = Vec::new();
    for _ in 0..count {
        let (request, sent) = world.arrive(QUOTES);
        let sent = sent.unwrap();
        world.end(request, sent.attempt, Outcome::Answered { status: 200 });
        used.push(sent.endpoint);
    }
    used
}

/// A server that has just started says for how long it stays slow; until then the others of its domain come first.
#[test]
fn an_endpoint_that_is_still_slow_from_its_start_comes_after_others_of_its_domain() {
    let mut world = World::ready();
    let mut cold = endpoint("till-n1", "till", "north", 9_101);
    cold.warm_up = Duration::from_secs(2);
    cold.revision = 2;
    let warm = endpoint("till-n2", "till", "north", 9_103);
    world.handle(changed(vec![
        EndpointChange::Present(cold.clone()),
        EndpointChange::Present(warm),
    ]));
    let used = serve_calls(&mut world, 20);
    assert!(used.iter().all(|id| &**id == "till-n2"), "{used:?}");
    world.pass(1_000);
    // The same entry again doesn't begin the time anew.
    world.handle(changed(vec![EndpointChange::Present(cold)]));
    world.pass(1_000);
    let used = serve_calls(&mut world, 20);
    assert!(used.iter().any(|id| &**id == "till-n1"), "{used:?}");
}

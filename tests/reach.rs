//! Readiness of boxes that reach no endpoint of a service or receive nothing from other failure
//! domains, on a simulated clock.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::sync::Arc;

use fixtures::{GENEROUS, PAYMENTS, World, box_state, endpoint, first_attempt, listed, table};
use magpiemoor::gateway::dispatch::event::{Event, Outcome};

fn receive_from(world: &mut World, from: &str, domain: &str) {
    world.handle(Event::Peer(box_state(from, domain, "127.0.0.9:7200")));
}

/// A box in `north` with one till in each of `domains`, which has received a message from a box in
/// `south`.
fn with_tills(domains: &[&str]) -> World {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(table(1))));
    let tills = domains
        .iter()
        .zip(9_101..)
        .map(|(domain, port)| endpoint(&format!("till-{domain}-{port}"), "till", domain, port));
    world.handle(listed(tills.collect()));
    receive_from(&mut world, "box-2", "south");
    world
}

/// Sends six calls, of which no attempt can connect.
fn fail_to_connect(world: &mut World) {
    for _ in 0..6 {
        let (request, mut sent) = world.arrive(PAYMENTS);
        while let Some(now) = sent {
            world.end(request, now.attempt, Outcome::NotSent);
            sent = first_attempt(&world.actions);
        }
        world.run(20);
    }
}

#[test]
fn a_box_that_reaches_no_endpoint_of_a_service_and_hears_no_other_domain_is_not_ready() {
    let mut world = with_tills(&["south", "south"]);
    world.run(700);
    assert!(
        world.dispatcher.is_ready(),
        "a lack of messages alone does not make a box unready"
    );
    fail_to_connect(&mut world);
    world.run(300);
    assert!(!world.dispatcher.is_ready());
    world.run(60_000);
    assert!(!world.dispatcher.is_ready(), "still cut off after 60 s");
    receive_from(&mut world, "box-2", "south");
    world.run(30);
    assert!(world.dispatcher.is_ready());
}

#[test]
fn a_box_that_receives_messages_from_other_domains_stays_ready() {
    let mut world = with_tills(&["south"]);
    fail_to_connect(&mut world);
    receive_from(&mut world, "box-2", "south");
    world.run(300);
    assert!(world.dispatcher.is_ready());
}

#[test]
fn a_box_with_an_endpoint_of_its_own_domain_stays_ready() {
    let mut world = with_tills(&["south", "north"]);
    fail_to_connect(&mut world);
    world.run(1_500);
    assert!(world.dispatcher.is_ready());
}

#[test]
fn a_box_that_never_knew_another_domain_stays_ready() {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(table(1))));
    world.handle(listed(vec![endpoint("till-s1", "till", "south", 9_101)]));
    receive_from(&mut world, "box-2", "north");
    fail_to_connect(&mut world);
    world.run(1_500);
    assert!(world.dispatcher.is_ready());
}

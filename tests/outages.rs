//! Which engines a box suspects after several engines of a failure domain were lost at once, on a
//! simulated clock.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::time::Duration;

use fixtures::endpoint;
use magpiemoor::gateway::dispatch::event::{EndpointChange, EndpointSpec};
use magpiemoor::gateway::dispatch::fleet::Fleet;
use magpiemoor::schema::{DomainId, EndpointId, Micros};

const START: Micros = Micros(1_000_000);

fn after(ms: u64) -> Micros {
    START.after(Duration::from_millis(ms))
}

fn engine(name: &str, port: u16) -> EndpointSpec {
    endpoint(name, "engines", "north", port)
}

fn id(name: &str) -> EndpointId {
    name.parse().unwrap()
}

/// Four engines in failure domain `north`, two of which were lost at [`START`].
fn with_two_lost() -> Fleet {
    let mut fleet = Fleet::default();
    let specs = (1..=4).map(|n| engine(&format!("engine-{n}"), 9_000 + n));
    fleet.replace(specs.collect(), &[], Micros(1));
    fleet.on_failure(&id("engine-1"), START);
    fleet.on_failure(&id("engine-2"), START);
    fleet
}

fn identity_requests(fleet: &mut Fleet, at: Micros) -> usize {
    let north: DomainId = "north".parse().unwrap();
    fleet.take_due_identity_requests(&north, at).len()
}

fn is_suspected(fleet: &Fleet, name: &str, at: Micros) -> bool {
    fleet.is_suspected(fleet.get(&id(name)).unwrap(), at)
}

#[test]
fn further_losses_do_not_delay_the_identity_requests() {
    let mut fleet = with_two_lost();
    assert_eq!(
        identity_requests(&mut fleet, after(1_300)),
        0,
        "new engines may still be starting"
    );
    fleet.on_failure(&id("engine-3"), after(1_000));
    assert_eq!(identity_requests(&mut fleet, after(1_450)), 4);
}

#[test]
fn an_engine_that_started_during_an_outage_is_not_suspected() {
    let mut fleet = with_two_lost();
    let successor = engine("engine-1b", 9_001);
    fleet.apply_change(EndpointChange::Present(successor), after(1_500));
    fleet.on_failure(&id("engine-3"), after(1_600));
    fleet.on_failure(&id("engine-4"), after(1_700));
    assert!(!is_suspected(&fleet, "engine-1b", after(1_800)));
    assert!(is_suspected(&fleet, "engine-3", after(1_800)));
}

#[test]
fn losses_of_engines_that_started_during_an_outage_are_another_outage() {
    let mut fleet = with_two_lost();
    for (n, port) in [(5, 9_005), (6, 9_006), (7, 9_007)] {
        let spec = engine(&format!("engine-{n}"), port);
        fleet.apply_change(EndpointChange::Present(spec), after(1_500));
    }
    fleet.on_failure(&id("engine-5"), after(2_000));
    assert!(!is_suspected(&fleet, "engine-7", after(2_010)));
    fleet.on_failure(&id("engine-6"), after(2_020));
    assert!(is_suspected(&fleet, "engine-7", after(2_030)));
}

#[test]
fn an_outage_ends_after_some_time_and_later_losses_are_another_one() {
    let mut fleet = with_two_lost();
    assert!(!is_suspected(&fleet, "engine-4", after(4_600)));
    fleet.on_failure(&id("engine-1"), after(10_000));
    fleet.on_failure(&id("engine-2"), after(10_010));
    assert!(is_suspected(&fleet, "engine-4", after(10_020)));
}

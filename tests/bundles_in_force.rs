//! An accepted bundle comes into force on every box within seconds, and no box returns to an earlier
//! version.

mod world;

use std::time::Duration;

use magpiemoor::schema::BoxId;
use rstest::rstest;
use world::World;
use world::callers::generation;
use world::fixtures::{key_in, running};

/// The longest simulated time until a bundle is in force on every box.
const IN_FORCE: Duration = Duration::from_secs(18);

fn all_have(world: &World, version: u64) -> bool {
    let mut running = world.boxes.iter().filter(|(_, s)| s.node.is_some());
    running.all(|(id, _)| world.bundle_version(id) == version)
}

#[rstest]
fn a_bundle_is_in_force_everywhere(#[values(1, 2, 3)] seed: u64) {
    let mut world = running(seed, 3, 1);
    world.roll(2);
    let from = world.now;
    assert!(world.run_until(IN_FORCE, |w| all_have(w, 2)));
    let took = world.now.since(from);
    assert!(
        took < Duration::from_secs(3),
        "bundle in force everywhere after {took:?} of simulated time, expected less than 3 s"
    );
    world.assert_sound();
}

#[test]
fn a_domain_learns_of_a_bundle_through_its_peers_only() {
    let mut world = running(1, 3, 1);
    world.cut("north", "platform");
    world.run(Duration::from_secs(2));
    world.roll(2);
    assert!(world.run_until(IN_FORCE, |w| all_have(w, 2)));
    world.assert_sound();
}

#[test]
fn a_domain_that_was_cut_off_for_an_hour_catches_up() {
    let mut world = running(1, 2, 1);
    world.cut("north", "platform");
    world.cut("north", "south");
    world.run(Duration::from_secs(5));
    world.roll(2);
    world.roll(3);
    world.run(Duration::from_secs(3_600));
    assert!(!all_have(&world, 3));
    world.cuts.clear();
    assert!(world.run_until(IN_FORCE, |w| all_have(w, 3)));
    world.assert_sound();
}

#[rstest]
fn a_stale_read_is_served(#[values(1, 2)] seed: u64) {
    let mut world = running(seed, 3, 1);
    world.roll(2);
    assert!(world.run_until(IN_FORCE, |w| all_have(w, 2)));
    world.platform.stale = true;
    let id: BoxId = "north-1".parse().unwrap();
    world.kill_box(&id);
    world.start_box(&id);
    world.run(Duration::from_secs(30));
    world.platform.stale = false;
    assert!(world.run_until(IN_FORCE, |w| all_have(w, 2)));
    world.assert_sound();
}

#[test]
fn a_box_that_starts_during_an_outage_has_its_peers_version() {
    let mut world = running(1, 3, 1);
    world.roll(2);
    assert!(world.run_until(IN_FORCE, |w| all_have(w, 2)));
    world.platform_out();
    let id: BoxId = "north-1".parse().unwrap();
    world.kill_box(&id);
    world.start_box(&id);
    assert!(world.run_until(IN_FORCE, |w| w.bundle_version(&id) == 2));
    assert!(world.run_until(IN_FORCE, |w| w.node(&id).unwrap().is_ready()));
}

#[test]
fn a_running_request_keeps_to_its_version() {
    let mut world = running(1, 3, 2);
    let key = key_in("north", "answer");
    world.send_request("north-0", generation(&key, 200));
    assert!(world.run_until(IN_FORCE, |w| !w.callers.get(&key).tokens.is_empty()));
    // The new bundle lacks the engine that serves the request.
    let engine = world.engine_of(&key);
    let kept = world.engines.remove(&engine).unwrap();
    world.roll(2);
    world.engines.insert(engine, kept);
    assert!(world.run_until(IN_FORCE, |w| all_have(w, 2)));
    assert!(world.run_until(IN_FORCE, |w| w.callers.get(&key).finish.is_some()));
    assert_eq!(world.noted("run_failed"), 0);
    world.assert_sound();
}

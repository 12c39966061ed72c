//! A box with endpoints of the service `till` in two versions, and the store's object of a
//! roll-out.

#![allow(dead_code)] // Each test binary uses only some of these items.

use std::collections::BTreeMap;
use std::time::Duration;

use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::{EndpointSpec, Event, Outcome};
use magpiemoor::gateway::dispatch::rollout::status::{ObjectState, RolloutStatus, StatusWrite};
use magpiemoor::gateway::dispatch::rollout::{Rollout, RolloutOrder};
use magpiemoor::schema::{RolloutPhase, RolloutState};

use super::fixtures::{self, GENEROUS, QUOTES, World, endpoint, listed, table};

/// Longer than the time for which updates are collected before they are published to peers.
pub const LONG_PAUSE: Duration = Duration::from_millis(50);

/// An endpoint of the service `till` in the given version.
pub fn till(version: &str, number: u16) -> EndpointSpec {
    EndpointSpec {
        version: version.parse().unwrap(),
        ..endpoint(
            &format!("till-{version}-n{number}"),
            "till",
            "north",
            9_100 + number,
        )
    }
}

/// A box that watches the store and has two tills of version v1 and two of v2.
pub fn with_tills() -> World {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(std::sync::Arc::new(table(1))));
    let tills = [till("v1", 1), till("v1", 2), till("v2", 3), till("v2", 4)];
    world.handle(listed(tills.into()));
    world.run(1_000);
    assert!(world.dispatcher.is_ready());
    world
}

pub fn order(target: &str, seconds: u64) -> RolloutOrder {
    RolloutOrder::new(
        "till".parse().unwrap(),
        target.parse().unwrap(),
        Duration::from_secs(seconds),
        5,
    )
}

pub fn object(order: RolloutOrder, revision: u64, status: Option<RolloutStatus>) -> ObjectState {
    ObjectState {
        order,
        revision,
        status,
        text: "{}".to_owned(),
    }
}

/// Hands the object, as read from the store, to the box; returns the resulting actions.
pub fn read(world: &mut World, object: ObjectState) -> Vec<Action> {
    world.handle(Event::Rollouts {
        objects: vec![object],
        removed: Vec::new(),
        is_whole: true,
    });
    world.actions.clone()
}

pub fn writes(actions: &[Action]) -> Vec<StatusWrite> {
    let written = actions.iter().filter_map(|action| match action {
        Action::WriteRollout(write) => Some(write.clone()),
        _ => None,
    });
    written.collect()
}

pub fn phase(world: &World) -> Option<RolloutPhase> {
    let service = "till".parse().unwrap();
    world.dispatcher.rollouts().of(&service).map(Rollout::phase)
}

/// Sends one call every 10 ms for `millis`. Of every ten calls `new_fails` fail if they are sent to
/// v2. Returns the number of attempts by version, and all actions.
pub fn call(
    world: &mut World,
    millis: u64,
    new_fails: u32,
) -> (BTreeMap<String, u32>, Vec<Action>) {
    let mut sent_to: BTreeMap<String, u32> = BTreeMap::new();
    let mut done = Vec::new();
    for number in 0..millis / 10 {
        let (request, mut sent) = world.arrive(QUOTES);
        done.extend(world.actions.clone());
        while let Some(attempt) = sent {
            let fleet = world.dispatcher.fleet();
            let version = fleet
                .get(&attempt.endpoint)
                .unwrap()
                .spec
                .version
                .to_string();
            let is_new = version == "v2";
            *sent_to.entry(version).or_default() += 1;
            let fails = is_new && (number as u32 % 10) < new_fails;
            let status = if fails { 500 } else { 200 };
            world.pass(3);
            world.end(request, attempt.attempt, Outcome::Answered { status });
            done.extend(world.actions.clone());
            sent = fixtures::first_attempt(&world.actions);
        }
        done.extend(world.run(7));
    }
    (sent_to, done)
}

/// States of roll-outs that were published to peers.
pub fn published_states(actions: &[Action]) -> Vec<RolloutState> {
    let states = actions.iter().filter_map(|action| match action {
        Action::Gossip { state, .. } => Some(state.rollouts.clone()),
        _ => None,
    });
    states.flatten().collect()
}

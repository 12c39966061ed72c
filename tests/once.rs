//! A call that may not be repeated runs at most once, and "not run" is true.

mod world;

use std::time::Duration;

use magpiemoor::schema::{BoxId, Ran, Reason};
use rstest::rstest;
use world::World;
use world::callers::{call, redeem};
use world::fixtures::{fleet, key_in, running};

const LIMIT: Duration = Duration::from_secs(10);

fn is_settled(world: &World, key: &str) -> bool {
    let caller = world.callers.get(key);
    caller.answer.is_some() || caller.refusal.is_some()
}

/// Sends a call and lets it come to an event of its home.
fn sent(seed: u64, until: &str) -> (World, String) {
    let mut world = running(seed, 3, 1);
    let key = key_in("north", "redeem");
    world.send_request("north-0", redeem(&key));
    if until != "nothing" {
        assert!(world.run_until(LIMIT, |w| w.noted(until) > 0));
    }
    (world, key)
}

/// The caller repeats the call at `at` until it has a final word.
fn repeat_until_settled(world: &mut World, at: &str, key: &str) {
    for _ in 0..60 {
        world.come_back(at, key);
        world.run(Duration::from_millis(500));
        let caller = world.callers.get(key);
        let again = caller
            .refusal
            .as_ref()
            .is_none_or(|r| r.retry_after.is_some());
        if caller.answer.is_some() || !again {
            break;
        }
    }
    world.assert_sound();
    assert!(world.runs_of(key) <= 1);
}

#[test]
fn a_call_runs_and_a_repeated_one_gets_the_stored_answer() {
    let (mut world, key) = sent(1, "call_answered");
    assert!(world.run_until(LIMIT, |w| is_settled(w, &key)));
    for at in ["north-1", "north-2", "south-0", "south-1"] {
        world.callers.table.get_mut(&key).unwrap().answer = None;
        world.come_back(at, &key);
        assert!(
            world.run_until(LIMIT, |w| w.callers.get(&key).answer.is_some()),
            "at {at}"
        );
    }
    assert_eq!(world.runs_of(&key), 1);
    world.assert_sound();
}

#[test]
fn a_call_repeated_while_it_runs_waits_for_its_answer() {
    let (mut world, key) = sent(1, "call_sent");
    world.come_back("north-2", &key);
    assert!(world.run_until(LIMIT, |w| w.callers.get(&key).answer.is_some()));
    assert_eq!(world.runs_of(&key), 1);
    world.assert_sound();
}

#[test]
fn a_key_used_for_another_call_is_refused() {
    let (mut world, key) = sent(1, "call_answered");
    let mut other = redeem(&key);
    other.body_hash += 1;
    world.callers.table.get_mut(&key).unwrap().answer = None;
    world.send_request("north-1", other);
    assert!(world.run_until(LIMIT, |w| w.callers.get(&key).refusal.is_some()));
    assert_eq!(
        world.callers.get(&key).refusal.as_ref().unwrap().reason,
        Reason::KeyReused
    );
}

#[rstest]
#[case::before_anything("nothing")]
#[case::when_it_was_sent("call_sent")]
#[case::when_it_was_answered("call_answered")]
fn the_home_is_killed(#[case] until: &str, #[values(1, 2, 3)] seed: u64) {
    let (mut world, key) = sent(seed, until);
    let home = world.home_of_call(&key);
    world.kill_box(&home);
    let back = world.others("north", &home)[0].to_string();
    repeat_until_settled(&mut world, &back, &key);
}

#[rstest]
fn the_home_is_killed_between_intent_and_send(#[values(1, 2, 3, 4)] seed: u64) {
    let (mut world, key) = sent(seed, "nothing");
    let home = world.home_of_call(&key);
    // The intent travels for less than two hops; the call leaves after that.
    world.run(Duration::from_micros(1_200 + 200 * seed));
    world.kill_box(&home);
    let back = world.others("north", &home)[0].to_string();
    repeat_until_settled(&mut world, &back, &key);
}

#[rstest]
fn the_answer_is_lost(#[values(1, 2)] seed: u64) {
    let mut world = running(seed, 3, 1);
    let key = key_in("north", "redeem");
    for service in world.services.values_mut() {
        service.lose_answers = true;
    }
    world.send_request("north-0", redeem(&key));
    assert!(world.run_until(LIMIT, |w| is_settled(w, &key)));
    let refusal = world.callers.get(&key).refusal.clone().unwrap();
    assert_eq!(
        (refusal.ran, refusal.reason),
        (Ran::Unknown, Reason::OutcomeUnknown)
    );
    repeat_until_settled(&mut world, "north-1", &key);
    assert_eq!(
        world.callers.get(&key).refusal.as_ref().unwrap().reason,
        Reason::OutcomeUnknown
    );
    assert_eq!(world.runs_of(&key), 1);
}

#[rstest]
fn the_home_freezes_with_the_call_about_to_be_sent(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let (mut world, key) = sent(seed, "nothing");
    let home = world.home_of_call(&key);
    world.run(Duration::from_micros(300 * seed));
    world.freeze_box(&home);
    world.run(Duration::from_secs(8));
    let back = world.others("north", &home)[0].to_string();
    world.come_back(&back, &key);
    world.run(Duration::from_secs(1));
    world.thaw_box(&home);
    world.run(Duration::from_secs(1));
    repeat_until_settled(&mut world, &back, &key);
}

#[rstest]
fn a_frozen_home_that_wakes_after_its_lease_sends_nothing(#[values(1, 2, 3)] seed: u64) {
    let mut world = running(seed, 3, 1);
    let key = key_in("north", "redeem");
    let home = world.home_of_call(&key);
    let others = world.others("north", &home);
    world.send_request(others[0].as_str(), redeem(&key));
    // Frozen between the decision to send and the wire.
    while world.noted("call_sent") == 0 {
        world.run(Duration::from_micros(5));
    }
    world.freeze_box(&home);
    world.run(Duration::from_secs(10));
    assert_eq!(world.runs_of(&key), 0);
    world.thaw_box(&home);
    world.run(Duration::from_secs(1));
    assert_eq!(world.runs_of(&key), 0, "it started a call after its lease");
    world.assert_sound();
}

#[rstest]
#[case::home_and_successor_gone(true)]
#[case::home_gone(false)]
fn a_slice_whose_records_were_lost_answers_unknown(#[case] both: bool) {
    let (mut world, key) = sent(1, "call_answered");
    world.run(Duration::from_secs(1));
    let home = world.home_of_call(&key);
    let slice = magpiemoor::keyed::node::roster::slice_of(&key.parse().unwrap());
    let successor: BoxId = world
        .node(&home)
        .unwrap()
        .membership()
        .successor(slice)
        .unwrap()
        .id;
    world.kill_box(&home);
    if both {
        world.kill_box(&successor);
    }
    let back = world
        .others("north", &home)
        .into_iter()
        .find(|b| *b != successor)
        .unwrap();
    world.callers.table.get_mut(&key).unwrap().answer = None;
    repeat_until_settled(&mut world, back.as_str(), &key);
    let caller = world.callers.get(&key);
    if both {
        assert_eq!(
            caller.refusal.as_ref().unwrap().reason,
            Reason::OutcomeUnknown
        );
    } else {
        assert!(caller.answer.is_some());
    }
    assert_eq!(world.runs_of(&key), 1);
    // A call that can't have been made before runs all the same.
    let fresh = key_in("north", "redeem");
    let mut request = redeem(&format!("{fresh}-2"));
    request.first = true;
    let key = request.key.to_string();
    world.send_request(back.as_str(), request);
    assert!(world.run_until(LIMIT, |w| is_settled(w, &key)));
}

#[rstest]
fn domains_are_cut_off(#[values(1, 2)] seed: u64) {
    let mut world = running(seed, 3, 1);
    world.cut("north", "south");
    world.run(Duration::from_secs(6));
    let key = key_in("south", "redeem");
    let mut request = redeem(&key);
    request.first = true;
    world.send_request("north-0", request);
    assert!(world.run_until(Duration::from_millis(100), |w| is_settled(w, &key)));
    let refusal = world.callers.get(&key).refusal.clone().unwrap();
    assert_eq!(
        (refusal.ran, refusal.reason),
        (Ran::No, Reason::HomeUnreachable)
    );
    assert!(refusal.retry_after.is_some());
    world.cuts.clear();
    world.run(Duration::from_secs(3));
    world.come_back("north-0", &key);
    assert!(world.run_until(LIMIT, |w| w.callers.get(&key).answer.is_some()));
    world.assert_sound();
}

#[rstest]
fn the_platform_is_out_through_all_of_it(#[values(1, 2, 3)] seed: u64) {
    let mut world = running(seed, 3, 1);
    world.platform_out();
    world.run(Duration::from_secs(20));
    let key = key_in("north", "redeem");
    world.send_request("north-0", redeem(&key));
    assert!(
        world.run_until(LIMIT, |w| w.callers.get(&key).answer.is_some()),
        "a promise stands in for the lease"
    );
    let home = world.home_of_call(&key);
    world.kill_box(&home);
    let back = world.others("north", &home)[0].to_string();
    world.callers.table.get_mut(&key).unwrap().answer = None;
    world.come_back(&back, &key);
    world.run(Duration::from_secs(5));
    assert!(is_settled(&world, &key));
    world.platform.outage = false;
    world.run(Duration::from_secs(10));
    repeat_until_settled(&mut world, &back, &key);
    assert_eq!(world.runs_of(&key), 1);
}

#[rstest]
fn a_home_that_is_cut_off_with_its_successor_keeps_its_slices(#[values(1, 2, 3)] seed: u64) {
    // The trap: a third box reaches the platform and raises the epoch, while home and successor
    // keep each other's promise.
    let (mut world, key) = sent(seed, "call_answered");
    let home = world.home_of_call(&key);
    let slice = magpiemoor::keyed::node::roster::slice_of(&key.parse().unwrap());
    let successor: BoxId = world
        .node(&home)
        .unwrap()
        .membership()
        .successor(slice)
        .unwrap()
        .id;
    let third = world
        .others("north", &home)
        .into_iter()
        .find(|b| *b != successor)
        .unwrap();
    for side in [&home, &successor] {
        world.cut(side, &third);
        world.cut(side, "platform");
        world.cut(side, "south");
    }
    world.run(Duration::from_secs(15));
    let again = key_in("north", "again");
    let mut both = Vec::new();
    for n in 0..40 {
        let key = format!("{again}-{n}");
        world.send_request(home.as_str(), redeem(&key));
        world.run(Duration::from_millis(50));
        world.callers.table.get_mut(&key).unwrap().waits = false;
        world.come_back(third.as_str(), &key);
        world.run(Duration::from_millis(50));
        both.push(world.runs_of(&key));
    }
    assert!(both.iter().all(|runs| *runs <= 1));
    assert!(both.contains(&1), "what is cut off goes on serving");
    world.cuts.clear();
    world.run(Duration::from_secs(10));
    world.assert_sound();
}

#[rstest]
fn a_replaced_box_is_not_the_old_one(#[values(1, 2, 3)] seed: u64) {
    let (mut world, key) = sent(seed, "call_answered");
    world.run(Duration::from_secs(1));
    let home = world.home_of_call(&key);
    world.kill_box(&home);
    world.start_box(&home);
    world.run(Duration::from_millis(300));
    world.callers.table.get_mut(&key).unwrap().answer = None;
    repeat_until_settled(&mut world, home.as_str(), &key);
    assert_eq!(world.runs_of(&key), 1);
}

#[rstest]
fn a_box_that_joins_takes_slices_over_without_a_second_run(#[values(1, 2, 3)] seed: u64) {
    let mut world = fleet(seed, 3, 1);
    let late: BoxId = "north-2".parse().unwrap();
    for id in world.box_ids().into_iter().filter(|id| *id != late) {
        world.start_box(&id);
    }
    assert!(world.run_until(Duration::from_secs(30), |w| w.is_settled()));
    let keys: Vec<String> = (0..30)
        .map(|n| key_in("north", &format!("redeem-{n}")))
        .collect();
    for key in &keys {
        world.send_request("north-0", redeem(key));
    }
    world.run(Duration::from_secs(2));
    world.start_box(&late);
    for _ in 0..20 {
        world.run(Duration::from_millis(250));
        for key in &keys {
            world.come_back("north-1", key);
        }
    }
    world.run(Duration::from_secs(5));
    assert!(keys.iter().all(|key| world.runs_of(key) == 1));
    assert!(
        keys.iter()
            .all(|key| world.callers.get(key).answer.is_some())
    );
    assert!(world.is_settled());
    world.assert_sound();
}

#[test]
fn a_domain_with_one_box_keeps_intents_on_the_platform() {
    let mut world = running(1, 1, 1);
    let key = key_in("north", "redeem");
    world.send_request("north-0", redeem(&key));
    assert!(world.run_until(LIMIT, |w| w.callers.get(&key).answer.is_some()));
    assert!(
        world
            .platform
            .objects
            .contains_key(&format!("intents/north/{key}"))
    );
    world.platform_out();
    let later = key_in("north", "later");
    world.send_request("north-0", redeem(&later));
    assert!(world.run_until(LIMIT, |w| is_settled(w, &later)));
    assert_eq!(
        world.callers.get(&later).refusal.as_ref().unwrap().ran,
        Ran::No
    );
    assert_eq!(world.runs_of(&later), 0);
    world.assert_sound();
}

#[test]
fn a_call_that_may_be_repeated_is_tried_elsewhere() {
    let mut world = running(1, 3, 1);
    world.services.get_mut("north-till").unwrap().alive = false;
    let key = key_in("north", "balance");
    world.send_request("north-0", call(&key, "balance", true));
    assert!(world.run_until(LIMIT, |w| is_settled(w, &key)));
    assert!(world.callers.get(&key).answer.is_some());
}

#[rstest]
fn a_call_that_is_handed_to_a_dead_home_still_ends(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    // Found by the explorer: a box handed the call on to a home that had just died, and the
    // caller's box never heard of it again.
    let mut world = running(seed, 3, 1);
    let key = key_in("north", "redeem");
    let home = world.home_of_call(&key);
    world.kill_box(&home);
    world.run(Duration::from_micros(300 * seed));
    world.send_request("south-2", redeem(&key));
    assert!(world.run_until(LIMIT, |w| is_settled(w, &key)));
    world.assert_sound();
}

/// A box that froze while it was its domain's only one has no successor that could withdraw.
#[rstest]
fn the_slices_of_a_box_that_froze_alone_are_opened_after_its_lease(
    #[values(1, 2, 3)] seed: u64,
    #[values("nothing", "call_sent", "call_answered")] until: &str,
) {
    let mut world = fleet(seed, 3, 1);
    let alone: BoxId = "north-0".parse().unwrap();
    world.start_box(&alone);
    assert!(world.run_until(LIMIT, |w| w.is_settled()));
    let key = key_in("north", "redeem");
    if until != "nothing" {
        world.send_request(alone.as_str(), redeem(&key));
        assert!(world.run_until(LIMIT, |w| w.noted(until) > 0));
    }
    world.freeze_box(&alone);
    for id in world.others("north", &alone) {
        world.start_box(&id);
    }
    world.run(Duration::from_secs(8));
    if until == "nothing" {
        world.send_request("north-1", redeem(&key));
    } else {
        world.callers.table.get_mut(&key).unwrap().answer = None;
    }
    let others = world.others("north", &alone);
    let nodes = others.iter().filter_map(|id| world.node(id));
    let open: usize = nodes.map(magpiemoor::keyed::node::Node::open_slices).sum();
    assert_eq!(open, usize::from(magpiemoor::keyed::node::roster::SLICES));
    repeat_until_settled(&mut world, "north-1", &key);
    let caller = world.callers.get(&key);
    let refusal = caller.refusal.as_ref();
    let is_final = refusal.is_none_or(|r| r.retry_after.is_none());
    assert!(is_final, "no final word but {refusal:?}");
    world.thaw_box(&alone);
    world.run(Duration::from_secs(10));
    world.assert_sound();
    assert!(world.runs_of(&key) <= 1);
}

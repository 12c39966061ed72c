//! No token is missing or repeated, and no two generations are mixed, whatever fails in between.

mod world;

use std::time::Duration;

use magpiemoor::schema::{BoxId, Finish, Reason};
use rstest::rstest;
use world::World;
use world::callers::generation;
use world::endpoints::Trouble;
use world::fixtures::{key_in, running};

const LIMIT: Duration = Duration::from_secs(20);

fn tokens(world: &World, key: &str) -> usize {
    world.callers.get(key).tokens.len()
}

fn is_whole(world: &World, key: &str) -> bool {
    world.callers.get(key).finish.is_some()
}

/// Starts a generation and lets it come to `at` tokens.
fn begun(seed: u64, at: usize) -> (World, String) {
    let mut world = running(seed, 3, 2);
    let key = key_in("north", "answer");
    world.send_request("north-0", generation(&key, 60));
    let started = |w: &World| w.notes.iter().any(|n| n.2 == "run_started" && n.3 == key);
    assert!(world.run_until(LIMIT, |w| started(w) && tokens(w, &key) >= at));
    (world, key)
}

/// Lets callers come back at `at` until the answer is whole.
fn finish_at(world: &mut World, at: &str, key: &str) {
    let whole = world.run_until(LIMIT, |w| {
        let caller = w.callers.get(key);
        if caller.finish.is_none()
            && !caller.waits
            && caller
                .refusal
                .as_ref()
                .is_none_or(|r| r.retry_after.is_some())
        {
            w.come_back(at, key);
        }
        is_whole(w, key)
    });
    assert!(whole, "{:?}", world.callers.get(key).refusal);
    world.assert_sound();
}

#[test]
fn an_answer_comes_whole() {
    let (mut world, key) = begun(1, 1);
    assert!(world.run_until(LIMIT, |w| is_whole(w, &key)));
    assert_eq!(world.callers.get(&key).finish, Some(Finish::Length));
    world.assert_sound();
}

#[rstest]
#[case::before_the_first_token(0)]
#[case::after_the_first_token(1)]
#[case::in_the_middle(30)]
#[case::before_the_last_token(59)]
fn an_engine_dies(#[case] at: usize, #[values(1, 2, 3)] seed: u64) {
    let (mut world, key) = begun(seed, at);
    let engine = world.engine_of(&key);
    world.kill_engine(&engine);
    assert!(world.run_until(LIMIT, |w| is_whole(w, &key)));
    world.assert_sound();
}

#[test]
fn an_engine_dies_after_the_last_token_and_before_the_end_mark() {
    let (mut world, key) = begun(1, 59);
    let engine = world.engine_of(&key);
    // Only the end mark is still on its way when the last token has been produced.
    assert!(world.run_until(LIMIT, |w| w.engines[&engine].produced == 60));
    world.kill_engine(&engine);
    assert!(world.run_until(LIMIT, |w| is_whole(w, &key)));
    world.assert_sound();
}

#[rstest]
fn all_engines_of_a_domain_die_one_after_the_other(#[values(1, 2)] seed: u64) {
    let (mut world, key) = begun(seed, 10);
    for _ in 0..2 {
        let engine = world.engine_of(&key);
        world.kill_engine(&engine);
        world.run(Duration::from_millis(100));
    }
    assert!(world.run_until(LIMIT, |w| is_whole(w, &key)));
    world.assert_sound();
}

#[rstest]
#[case::stalled(|w: &mut World, e: &str| w.engine_mut(e).trouble = Trouble::Stalled)]
#[case::frozen(|w: &mut World, e: &str| w.engine_mut(e).trouble = Trouble::Frozen)]
fn an_engine_falls_silent(#[case] fault: fn(&mut World, &str), #[values(1, 30)] at: usize) {
    let (mut world, key) = begun(1, at);
    let engine = world.engine_of(&key);
    fault(&mut world, &engine);
    assert!(world.run_until(LIMIT, |w| is_whole(w, &key)));
    assert!(world.noted("run_suspected") > 0);
    world.assert_sound();
}

#[rstest]
fn output_of_an_old_run_comes_late(#[values(1, 2, 3)] seed: u64) {
    let (mut world, key) = begun(seed, 20);
    let engine = world.engine_of(&key);
    world.engine_mut(&engine).trouble = Trouble::Stalled;
    assert!(world.run_until(LIMIT, |w| w.noted("run_suspected") > 0));
    // The old engine goes on in the very moment in which the new one is about to.
    world.engine_mut(&engine).trouble = Trouble::None;
    assert!(world.run_until(LIMIT, |w| is_whole(w, &key)));
    world.assert_sound();
}

#[rstest]
fn the_engine_that_was_to_go_on_is_dead_too(#[values(1, 20)] at: usize) {
    // Found by the explorer: with a silent run left, the loss of the new one was not made good.
    let (mut world, key) = begun(1, at);
    let engine = world.engine_of(&key);
    world.engine_mut(&engine).trouble = Trouble::Frozen;
    let others: Vec<String> = world
        .engines
        .keys()
        .filter(|e| **e != engine)
        .cloned()
        .collect();
    for other in &others {
        world.kill_engine(other);
    }
    assert!(world.run_until(LIMIT, |w| w.noted("run_failed") > 0));
    world.run(Duration::from_secs(1));
    world.engine_mut(&others[0]).alive = true;
    assert!(world.run_until(LIMIT, |w| is_whole(w, &key)));
    world.assert_sound();
}

#[test]
fn doubled_output_is_dropped() {
    let (mut world, key) = begun(1, 1);
    let engine = world.engine_of(&key);
    world.engine_mut(&engine).duplicates = 1;
    assert!(world.run_until(LIMIT, |w| is_whole(w, &key)));
    world.assert_sound();
}

#[rstest]
#[case::before_the_first_token(0)]
#[case::after_the_first_token(1)]
#[case::in_the_middle(30)]
#[case::before_the_last_token(59)]
fn the_home_dies(#[case] at: usize, #[values(1, 2, 3)] seed: u64) {
    let (mut world, key) = begun(seed, at);
    let home = world.producer_of(&key);
    world.kill_box(&home);
    let back = world.others("north", &home)[0].to_string();
    finish_at(&mut world, &back, &key);
}

#[rstest]
fn the_home_dies_and_its_engine_too(#[values(1, 2, 3)] seed: u64) {
    let (mut world, key) = begun(seed, 30);
    let engine = world.engine_of(&key);
    let home = world.producer_of(&key);
    world.kill_engine(&engine);
    world.kill_box(&home);
    let back = world.others("north", &home)[0].to_string();
    finish_at(&mut world, &back, &key);
}

#[rstest]
fn a_frozen_home_wakes_after_it_was_replaced(#[values(1, 2, 3, 4)] seed: u64) {
    let (mut world, key) = begun(seed, 30);
    let home = world.producer_of(&key);
    world.freeze_box(&home);
    let back = world.others("north", &home)[0].to_string();
    world.callers.table.get_mut(&key).unwrap().waits = false;
    world.run(Duration::from_secs(2));
    world.come_back(&back, &key);
    world.run(Duration::from_millis(100));
    world.thaw_box(&home);
    finish_at(&mut world, &back, &key);
}

#[rstest]
fn the_caller_comes_back_while_its_home_still_runs(
    #[values("north-1", "north-2", "south-0")] at: &str,
) {
    let (mut world, key) = begun(1, 20);
    world.caller_leaves(&key);
    world.run(Duration::from_millis(200));
    finish_at(&mut world, at, &key);
    assert_eq!(world.noted("generation_started"), 1);
}

#[rstest]
fn home_and_copy_holder_die_together(#[values(1, 2, 3)] seed: u64) {
    let (mut world, key) = begun(seed, 30);
    let home = world.producer_of(&key);
    let ranked = world.node(&home).unwrap().membership().ranked(
        &"north".parse().unwrap(),
        &key.parse().unwrap(),
        magpiemoor::schema::Micros(world.now.0 + world.boxes[&home].offset),
    );
    let holder: BoxId = ranked.into_iter().find(|m| m.id != home).unwrap().id;
    world.kill_box(&home);
    world.kill_box(&holder);
    world.run(Duration::from_secs(2));
    let left: Vec<BoxId> = world
        .others("north", &home)
        .into_iter()
        .filter(|b| *b != holder)
        .collect();
    world.come_back(left[0].as_str(), &key);
    let told = world.run_until(LIMIT, |w| !w.callers.get(&key).waits);
    assert!(told);
    let refusal = world
        .callers
        .get(&key)
        .refusal
        .clone()
        .expect("the answer is lost");
    assert_eq!(refusal.reason, Reason::StartOver);
    world.assert_sound();
}

#[test]
fn a_cursor_of_another_answer_is_refused() {
    let (mut world, key) = begun(1, 20);
    world.caller_leaves(&key);
    let other = key_in("north", "other");
    world.send_request("north-1", generation(&other, 60));
    assert!(world.run_until(LIMIT, |w| tokens(w, &other) >= 25));
    let strange = world.callers.get(&other).cursor;
    world.callers.table.get_mut(&key).unwrap().cursor = strange;
    world.come_back("north-2", &key);
    assert!(world.run_until(LIMIT, |w| w.callers.get(&key).refusal.is_some()));
    assert_eq!(
        world.callers.get(&key).refusal.as_ref().unwrap().reason,
        Reason::StartOver
    );
}

#[rstest]
fn a_domain_is_cut_off_and_goes_on_serving(#[values(1, 2)] seed: u64) {
    let (mut world, key) = begun(seed, 20);
    world.cut("north", "south");
    world.cut("north", "platform");
    assert!(world.run_until(LIMIT, |w| is_whole(w, &key)));
    let later = key_in("north", "later");
    world.run(Duration::from_secs(10));
    world.send_request("north-1", generation(&later, 30));
    assert!(world.run_until(LIMIT, |w| is_whole(w, &later)));
    // A key of the other domain is served here too, since a generation may run anywhere.
    let strange = key_in("south", "strange");
    world.send_request("north-1", generation(&strange, 30));
    assert!(world.run_until(LIMIT, |w| is_whole(w, &strange)));
    world.assert_sound();
}

#[rstest]
fn output_that_was_lost_between_boxes_comes_again(#[values(1, 2, 3)] seed: u64) {
    let mut world = running(seed, 3, 2);
    let key = key_in("north", "answer");
    world.send_request("south-0", generation(&key, 100));
    assert!(world.run_until(LIMIT, |w| tokens(w, &key) > 10));
    let home = world.producer_of(&key).to_string();
    world.cut("south-0", &home);
    world.run(Duration::from_millis(150));
    world.cuts.clear();
    assert!(world.run_until(LIMIT, |w| is_whole(w, &key)));
    world.assert_sound();
}

#[rstest]
fn a_home_that_pauses_for_a_moment_loses_no_answer(
    #[values(1, 2, 3, 4)] seed: u64,
    #[values(700, 850, 1_000, 1_300)] pause_ms: u64,
) {
    // Found by the measurements: a box that wakes takes the others to be silent, and released
    // tokens that no one else had.
    let mut world = running(seed, 3, 2);
    let key = key_in("north", "answer");
    world.send_request("south-0", generation(&key, 300));
    assert!(world.run_until(LIMIT, |w| tokens(w, &key) > 10));
    let home = world.producer_of(&key);
    let engine = world.engine_of(&key);
    world.freeze_box(&home);
    world.run(Duration::from_millis(100));
    // What it sent until now waits for the home; who takes over goes on with other tokens.
    world.kill_engine(&engine);
    world.run(Duration::from_millis(pause_ms - 100));
    world.thaw_box(&home);
    world.run(Duration::from_millis(150));
    // The caller comes back elsewhere with all that it was given.
    world.caller_leaves(&key);
    world.come_back("south-1", &key);
    assert!(world.run_until(LIMIT, |w| is_whole(w, &key)
        || w.callers.get(&key).refusal.is_some()));
    assert!(
        is_whole(&world, &key),
        "{:?}",
        world.callers.get(&key).refusal
    );
    world.assert_sound();
}

#[rstest]
fn no_token_is_released_that_only_the_home_has(#[values(1, 2, 3)] seed: u64) {
    // The caller is at a box of the other domain, which isn't the one that is frozen.
    let mut world = running(seed, 3, 2);
    let key = key_in("north", "answer");
    world.send_request("south-0", generation(&key, 100));
    assert!(world.run_until(LIMIT, |w| tokens(w, &key) >= 10));
    let home = world.producer_of(&key);
    let now = magpiemoor::schema::Micros(world.now.0 + world.boxes[&home].offset);
    let membership = world.node(&home).unwrap().membership();
    let ranked = membership.ranked(&"north".parse().unwrap(), &key.parse().unwrap(), now);
    let holder = ranked.into_iter().find(|m| m.id != home).unwrap().id;
    world.freeze_box(&holder);
    // One token may have been held already.
    let before = tokens(&world, &key);
    world.run(Duration::from_millis(500));
    assert!(tokens(&world, &key) <= before + 1);
    assert!(world.engines.values().map(|e| e.produced).sum::<u64>() > before as u64 + 20);
    world.thaw_box(&holder);
    assert!(world.run_until(LIMIT, |w| is_whole(w, &key)));
    world.assert_sound();
}

#[rstest]
fn a_silent_engine_is_noticed_by_its_usual_gaps(#[values(30, 45)] at: usize) {
    // Found by the measurements: the wake-up stayed at the time to the first token, seconds away.
    let (mut world, key) = begun(1, at);
    let engine = world.engine_of(&key);
    world.engine_mut(&engine).trouble = Trouble::Stalled;
    let before = tokens(&world, &key);
    world.run(Duration::from_millis(1_700));
    assert!(tokens(&world, &key) > before + 1, "no other engine went on");
}

#[test]
fn a_box_that_is_not_heard_joins_again_ever_more_rarely() {
    // Found by the explorer: it was taken out and joined again with every second heartbeat.
    let mut world = running(1, 3, 2);
    world.cut("north-0", "north-1");
    world.cut("north-0", "north-2");
    world.run(Duration::from_secs(60));
    let removals = world.noted("removed_from_roster");
    assert!(
        (1..=16).contains(&removals),
        "{removals} removals in a minute"
    );
}

//! The duty to report usage, held by one of several boxes: seeded schedules of faults on made-up time,
//! judged by what the platform sees.

#[path = "gateway/duty_world.rs"]
mod duty_world;

use std::time::Duration;

use duty_world::{HolderKind, Schedule, Violation, World};
use magpiemoor::clock::UnixMillis;
use magpiemoor::gateway::dispatch::duty::Holder;
use magpiemoor::gateway::dispatch::duty::usage_counts::{LocalCounts, ReportedCounts, Window};
use magpiemoor::schema::{Incarnation, Micros};
use rstest::rstest;

const LENGTH: Duration = Duration::from_secs(5);

fn holder(id: &str, life: u64) -> Holder {
    Holder {
        id: id.parse().unwrap(),
        incarnation: Incarnation(life),
        address: "127.0.0.1:7200".parse().unwrap(),
    }
}

/// Seeds of schedules that are played each time; many more by hand with `DUTY_SEEDS`.
fn seeds() -> u64 {
    let wanted = std::env::var("DUTY_SEEDS").ok();
    wanted.and_then(|seeds| seeds.parse().ok()).unwrap_or(200)
}

/// Whatever fails, no two holders use one token, no smaller one is sent after a greater one by a box
/// that runs and hears, and no window is reported in two ways.
#[test]
fn one_box_at_a_time_acts_and_windows_are_reported_in_one_way() {
    for seed in 0..seeds() {
        let schedule = if seed % 4 == 0 {
            Schedule::one_suspended(seed)
        } else {
            Schedule::random(seed)
        };
        let played = World::run(schedule, HolderKind::Real);
        assert_eq!(played.violations, [], "seed {seed}: {played:?}");
    }
}

/// Without a fault all windows are reported, in time and with what began in them.
#[test]
fn without_a_fault_every_window_is_reported_right_and_in_time() {
    for seed in 0..20 {
        let played = World::run(Schedule::without_faults(seed), HolderKind::Real);
        assert_eq!(played.violations, [], "seed {seed}: {played:?}");
        assert_eq!(played.incorrect, 0, "seed {seed}: {played:?}");
        assert!(played.correct >= 8, "seed {seed}: {played:?}");
    }
}

/// With faults most windows are.
#[test]
fn with_faults_nearly_all_windows_are_reported_right_and_in_time() {
    let (mut right, mut wrong) = (0, 0);
    for seed in 0..100 {
        let played = World::run(Schedule::one_kill(seed), HolderKind::Real);
        right += played.correct;
        wrong += played.incorrect;
    }
    assert!(wrong * 50 <= right + wrong, "{wrong} wrong, {right} right");
}

/// The judge is one: holders that are wrong on purpose fail it where they should.
#[rstest]
#[case::by_wall_clock(HolderKind::ByWallClock, Violation::LowerToken)]
#[case::token_from_memory(HolderKind::TokenFromMemory, Violation::SharedToken)]
#[case::counted_again(HolderKind::CountsAgain, Violation::TwoReports)]
fn holders_that_are_wrong_on_purpose_are_found(
    #[case] holding: HolderKind,
    #[case] broken: Violation,
) {
    let found = (0..200).any(|seed| {
        let drawn = World::run(Schedule::random(seed), holding);
        let slept = World::run(Schedule::one_suspended(seed), holding);
        drawn.violations.contains(&broken) || slept.violations.contains(&broken)
    });
    assert!(found);
}

#[test]
fn counts_of_all_lives_are_added_and_messages_may_come_twice() {
    let mut reported = ReportedCounts::default();
    let day = UnixMillis(50_000);
    let organisation = "shop".parse().unwrap();
    for (life, requests) in [(1, 3), (2, 4)] {
        let mut counts = LocalCounts::new(LENGTH);
        for _ in 0..requests {
            counts.count(&organisation, day);
        }
        let update = counts.update(&holder("box-1", life), day);
        reported.on_update(&update, Micros(1));
        reported.on_update(&update, Micros(2));
    }
    assert_eq!(reported.totals(Window(10))[&organisation], 7);
    assert!(reported.totals(Window(11)).is_empty());
}

/// A window is whole once all boxes have told of it, or have not been heard for long.
#[test]
fn a_window_waits_for_all_boxes_that_are_heard() {
    let mut reported = ReportedCounts::default();
    let counts = LocalCounts::new(LENGTH);
    let report = |reported: &mut ReportedCounts, id: &str, day: u64, at: u64| {
        let update = counts.update(&holder(id, 1), UnixMillis(day));
        reported.on_update(&update, Micros(at * 1_000));
    };
    report(&mut reported, "box-1", 50_000, 0);
    report(&mut reported, "box-2", 50_000, 0);
    let end = Window(10).end(LENGTH);
    assert_eq!(end, UnixMillis(55_000));
    report(&mut reported, "box-1", 55_100, 5_100);
    assert!(!reported.is_complete(end, &[], Micros(5_200_000)));
    report(&mut reported, "box-2", 55_000, 5_300);
    assert!(reported.is_complete(end, &[], Micros(5_300_000)));
    report(&mut reported, "box-1", 60_100, 10_000);
    let end = Window(11).end(LENGTH);
    assert!(!reported.is_complete(end, &[], Micros(11_000_000)));
    report(&mut reported, "box-1", 61_100, 11_400);
    assert!(reported.is_complete(end, &[], Micros(11_400_000)));
}

//! The duty to report usage, held by one of several boxes: seeded fault schedules on a simulated clock,
//! checked against what the platform receives.

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

fn holder(id: &str, incarnation: u64) -> Holder {
    Holder {
        id: id.parse().unwrap(),
        incarnation: Incarnation(incarnation),
        address: "127.0.0.1:7200".parse().unwrap(),
    }
}

/// Seeds of schedules that each run takes; set `DUTY_SEEDS` to run more.
fn seeds() -> u64 {
    let wanted = std::env::var("DUTY_SEEDS").ok();
    wanted.and_then(|seeds| seeds.parse().ok()).unwrap_or(200)
}

/// Under any fault, no two holders use one token, no box that runs and receives messages sends a smaller
/// token after a greater one, and no window is reported with two different contents.
#[test]
fn one_box_at_a_time_acts_and_windows_are_reported_in_one_way() {
    for seed in 0..seeds() {
        let schedule = if seed % 4 == 0 {
            Schedule::one_suspended(seed)
        } else {
            Schedule::random(seed)
        };
        let outcome = World::run(schedule, HolderKind::Real);
        assert_eq!(outcome.violations, [], "seed {seed}: {outcome:?}");
    }
}

/// Without a fault all windows are reported, in time and with the requests that began in them.
#[test]
fn without_a_fault_every_window_is_reported_correctly_and_in_time() {
    for seed in 0..20 {
        let outcome = World::run(Schedule::without_faults(seed), HolderKind::Real);
        assert_eq!(outcome.violations, [], "seed {seed}: {outcome:?}");
        assert_eq!(outcome.incorrect, 0, "seed {seed}: {outcome:?}");
        assert!(outcome.correct >= 8, "seed {seed}: {outcome:?}");
    }
}

/// With faults most windows are reported correctly and in time.
#[test]
fn with_faults_nearly_all_windows_are_reported_correctly_and_in_time() {
    let (mut correct, mut incorrect) = (0, 0);
    for seed in 0..100 {
        let outcome = World::run(Schedule::one_kill(seed), HolderKind::Real);
        correct += outcome.correct;
        incorrect += outcome.incorrect;
    }
    assert!(
        incorrect * 50 <= correct + incorrect,
        "{incorrect} incorrect, {correct} correct"
    );
}

/// Validates the checker: faulty holders must fail the checks meant for their faults.
#[rstest]
#[case::by_wall_clock(HolderKind::ByWallClock, Violation::LowerToken)]
#[case::token_from_memory(HolderKind::TokenFromMemory, Violation::SharedToken)]
#[case::counted_again(HolderKind::CountsAgain, Violation::TwoReports)]
fn the_checker_detects_faulty_holders(#[case] kind: HolderKind, #[case] violation: Violation) {
    let found = (0..200).any(|seed| {
        let random = World::run(Schedule::random(seed), kind);
        let suspended = World::run(Schedule::one_suspended(seed), kind);
        random.violations.contains(&violation) || suspended.violations.contains(&violation)
    });
    assert!(found);
}

#[test]
fn counts_of_all_incarnations_are_added_and_messages_may_arrive_twice() {
    let mut reported = ReportedCounts::default();
    let day = UnixMillis(50_000);
    let organisation = "shop".parse().unwrap();
    for (incarnation, requests) in [(1, 3), (2, 4)] {
        let mut counts = LocalCounts::new(LENGTH);
        for _ in 0..requests {
            counts.count(&organisation, day);
        }
        let update = counts.update(&holder("box-1", incarnation), day);
        reported.on_update(&update, Micros(1));
        reported.on_update(&update, Micros(2));
    }
    assert_eq!(reported.totals(Window(10))[&organisation], 7);
    assert!(reported.totals(Window(11)).is_empty());
}

/// A window is complete once all boxes have reported it, or those that haven't were not seen for long.
#[test]
fn a_window_waits_for_all_boxes_that_were_seen_recently() {
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

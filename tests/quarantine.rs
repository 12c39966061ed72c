//! Which requests are to blame for endpoints whose processes end while they run.

use std::time::Duration;

use magpiemoor::gateway::dispatch::quarantine::{
    CRASH_RETENTION, Crash, EVALUATION_DELAY, Quarantine,
};
use magpiemoor::schema::{CrashUpdate, Fingerprint, Micros};
use rstest::rstest;

const GUILTY: Fingerprint = Fingerprint(1);
const INNOCENT: Fingerprint = Fingerprint(2);
const START: Micros = Micros(10_000_000_000);

fn at(seconds: u64) -> Micros {
    START.after(Duration::from_secs(seconds))
}

/// Records a crash and evaluates the quarantine; returns whether the request is now quarantined.
fn record(quarantine: &mut Quarantine, request: Fingerprint, crash: &Crash) -> bool {
    let evaluated_at = crash.at.after(EVALUATION_DELAY);
    quarantine.on_crash(request, crash.clone(), crash.at);
    quarantine.evaluate(evaluated_at).contains(&request)
}

/// The crash of the engine with this number, without concurrent requests.
fn crash(engine: u64, now: Micros) -> Crash {
    Crash {
        endpoint: format!("engine-{engine}").parse().unwrap(),
        at: now,
        last_event: 0,
        ran: Duration::ZERO,
        beside: 0,
        is_passed: false,
        fell_with_domain: false,
    }
}

/// Lets these requests run concurrently at engines that end, one after the other.
fn crash_together(quarantine: &mut Quarantine, requests: &[Fingerprint], engines: u64) {
    for engine in 1..=engines {
        for request in requests {
            let beside = requests.len() as u32 - 1;
            let crash = Crash {
                beside,
                ..crash(engine, at(engine))
            };
            quarantine.on_crash(*request, crash, at(engine));
        }
        quarantine.evaluate(at(engine).after(EVALUATION_DELAY));
    }
}

#[test]
fn three_crashes_of_a_request_that_ran_alone_quarantine_it() {
    let mut quarantine = Quarantine::default();
    for engine in 1..=2 {
        assert!(!record(&mut quarantine, GUILTY, &crash(engine, at(engine))));
    }
    assert!(record(&mut quarantine, GUILTY, &crash(3, at(3))));
    assert!(quarantine.is_quarantined(GUILTY));
}

#[test]
fn one_engine_counts_once_however_many_boxes_report_it() {
    let mut quarantine = Quarantine::default();
    for millis in 0..4 {
        let now = START.after(Duration::from_millis(100 * millis));
        quarantine.on_crash(GUILTY, crash(1, now), now);
    }
    assert_eq!(quarantine.crashes_of(GUILTY), 1);
}

/// Guards against counting two crashes as one: a server that restarted under the same id ended again
/// before its start time was known (seed 108 of `magpiemoor-lab crashes` with 9 boxes).
#[test]
fn an_engine_that_is_back_under_its_id_counts_again() {
    let mut quarantine = Quarantine::default();
    for second in 1..=3 {
        quarantine.on_crash(GUILTY, crash(1, at(second * 3)), at(second * 3));
    }
    assert_eq!(quarantine.crashes_of(GUILTY), 3);
}

/// The crash of an engine that this box knows under this incarnation.
fn crash_of(incarnation: &str, beside: u32, now: Micros) -> Crash {
    Crash {
        endpoint: incarnation.parse().unwrap(),
        beside,
        ..crash(0, now)
    }
}

/// Guards against blaming an innocent request that seemed to have run alone: the box that sent the
/// crashing request did not know yet that the engine had restarted under its id.
#[test]
fn reports_under_two_incarnations_are_about_one_ending() {
    let mut quarantine = Quarantine::default();
    quarantine.on_crash(GUILTY, crash_of("engine-1@1000", 0, at(1)), at(1));
    for (engine, beside) in [("engine-1@2000", 0), ("engine-2", 1), ("engine-3", 1)] {
        let seconds = engine.as_bytes()[7] - b'0';
        let crash = crash_of(engine, beside, at(seconds.into()));
        assert!(!record(&mut quarantine, INNOCENT, &crash));
    }
}

/// Guards against clearing a request by one that had crashed the previous process of the engine.
#[test]
fn two_endings_under_one_incarnation_are_told_apart() {
    let mut quarantine = Quarantine::default();
    for engine in 1..=3 {
        record(&mut quarantine, GUILTY, &crash(engine, at(engine)));
    }
    assert!(quarantine.is_quarantined(GUILTY));
    record(&mut quarantine, INNOCENT, &crash(1, at(5)));
    assert_eq!(quarantine.crashes_of(INNOCENT), 1);
}

/// Guards against taking endpoints that crashing requests ended for an outage of their domain: a loss
/// is noticed again by each attempt until the endpoint is replaced.
#[test]
fn a_loss_that_is_noticed_late_is_explained_by_the_request_that_ran_there() {
    let mut quarantine = Quarantine::default();
    let crash = crash(1, at(1));
    quarantine.on_crash(GUILTY, crash.clone(), at(1));
    let engine = &crash.endpoint.id;
    assert!(quarantine.may_have_crashed(GUILTY, engine, at(4)));
    assert!(!quarantine.may_have_crashed(GUILTY, engine, at(20)));
}

/// Guards against a verdict on what a box has heard in part: of the crashes before its start it had not
/// heard of the crashing request that had run beside.
#[test]
fn a_box_that_has_just_started_blames_no_request_for_earlier_crashes() {
    let mut quarantine = Quarantine::new(at(4));
    for engine in 1..=3 {
        assert!(!record(
            &mut quarantine,
            INNOCENT,
            &crash(engine, at(engine))
        ));
    }
    assert!(record(&mut quarantine, INNOCENT, &crash(5, at(5))));
}

#[test]
fn of_two_concurrent_requests_the_one_that_is_served_is_innocent() {
    let mut quarantine = Quarantine::default();
    crash_together(&mut quarantine, &[GUILTY, INNOCENT], 3);
    assert!(!quarantine.is_quarantined(GUILTY) && !quarantine.is_quarantined(INNOCENT));
    quarantine.on_served(INNOCENT, at(5));
    assert_eq!(quarantine.crashes_of(INNOCENT), 0);
    assert!(record(&mut quarantine, GUILTY, &crash(4, at(6))));
}

#[test]
fn a_crash_concurrent_with_a_quarantined_request_blames_no_other() {
    let mut quarantine = Quarantine::default();
    crash_together(&mut quarantine, &[GUILTY, INNOCENT], 2);
    assert!(record(&mut quarantine, GUILTY, &crash(3, at(3))));
    assert_eq!(quarantine.crashes_of(INNOCENT), 0);
}

#[test]
fn an_unreported_concurrent_request_may_be_to_blame() {
    let mut quarantine = Quarantine::default();
    for engine in 1..=4 {
        let crash = Crash {
            beside: 1,
            ..crash(engine, at(engine))
        };
        assert!(!record(&mut quarantine, INNOCENT, &crash));
    }
}

/// The concurrent requests at boxes of other domains are reported with a delay.
#[test]
fn a_request_is_evaluated_once_other_boxes_have_reported() {
    let mut quarantine = Quarantine::default();
    for engine in 1..=2 {
        record(&mut quarantine, INNOCENT, &crash(engine, at(engine)));
    }
    quarantine.on_crash(INNOCENT, crash(3, at(3)), at(3));
    assert!(quarantine.evaluate(at(3)).is_empty());
    let mut elsewhere = Quarantine::default();
    crash_together(&mut elsewhere, &[GUILTY], 3);
    let update = elsewhere.update_for_state(at(3));
    let soon = at(3).after(Duration::from_millis(60));
    quarantine.on_peer_update(&update, false, soon);
    assert!(quarantine.evaluate(at(4)).is_empty());
    assert!(!quarantine.is_quarantined(INNOCENT));
}

#[test]
fn requests_that_failed_with_their_domain_are_not_to_blame() {
    let mut quarantine = Quarantine::default();
    for engine in 1..=4 {
        let crash = Crash {
            fell_with_domain: true,
            ..crash(engine, at(engine))
        };
        assert!(!record(&mut quarantine, INNOCENT, &crash));
    }
    assert_eq!(quarantine.crashes_of(INNOCENT), 0);
}

#[test]
fn a_stream_that_got_past_the_point_is_not_to_blame() {
    let mut quarantine = Quarantine::default();
    for engine in 1..=2 {
        quarantine.on_crash(INNOCENT, crash(engine, at(engine)), at(engine));
    }
    quarantine.on_progress(INNOCENT, 40, Duration::from_millis(1_200), at(4));
    assert_eq!(quarantine.crashes_of(INNOCENT), 0);
}

/// A request that crashes its engine 60 ms after its start gives an event or two each time, which must
/// not count as progress.
#[test]
fn a_few_events_more_are_not_past_the_point() {
    let mut quarantine = Quarantine::default();
    for engine in 1..=3 {
        let last_event = engine * 2;
        let ran = Duration::from_millis(60);
        quarantine.on_progress(GUILTY, last_event, ran, at(engine));
        let crash = Crash {
            last_event,
            ran,
            ..crash(engine, at(engine))
        };
        record(&mut quarantine, GUILTY, &crash);
    }
    assert!(quarantine.is_quarantined(GUILTY));
}

#[test]
fn crashes_at_different_points_do_not_blame_the_request() {
    let mut quarantine = Quarantine::default();
    for engine in 1..=4 {
        let crash = Crash {
            last_event: engine * 20,
            ran: Duration::from_secs(5 - engine),
            ..crash(engine, at(engine))
        };
        assert!(!record(&mut quarantine, INNOCENT, &crash));
    }
    assert_eq!(quarantine.crashes_of(INNOCENT), 1);
}

/// The crash of an engine after so many events and so much time since the first of them.
fn crash_at(engine: u64, last_event: u64, ran_ms: u64) -> Crash {
    Crash {
        last_event,
        ran: Duration::from_millis(ran_ms),
        beside: 1,
        ..crash(engine, at(engine))
    }
}

/// Guards against blaming a stream that moved from one crashing request to the next: five engines ended
/// under it while it went on from event 26 to event 81.
#[test]
fn five_crashes_at_different_points_do_not_blame_the_request() {
    let mut quarantine = Quarantine::default();
    let points = [(26, 800), (40, 466), (75, 1_302), (81, 226), (81, 0)];
    for (engine, (last_event, ran_ms)) in (1..).zip(points) {
        let crash = crash_at(engine, last_event, ran_ms);
        assert!(!record(&mut quarantine, INNOCENT, &crash));
    }
}

/// Guards against taking three ends for one point of a stream because each came less than a second
/// after its first event at that engine.
#[test]
fn crashes_at_other_events_and_other_times_are_at_different_points() {
    let mut quarantine = Quarantine::default();
    for (engine, (last_event, ran_ms)) in (1..).zip([(16, 509), (45, 928), (71, 800)]) {
        let crash = Crash {
            beside: 0,
            ..crash_at(engine, last_event, ran_ms)
        };
        assert!(!record(&mut quarantine, INNOCENT, &crash));
    }
}

#[test]
fn five_crashes_quarantine_in_any_case() {
    let mut quarantine = Quarantine::default();
    crash_together(&mut quarantine, &[GUILTY, Fingerprint(3)], 4);
    assert!(!quarantine.is_quarantined(GUILTY));
    crash_together(&mut quarantine, &[GUILTY], 5);
    assert!(quarantine.is_quarantined(GUILTY));
}

#[test]
fn a_request_is_removed_after_its_retention_time() {
    let mut quarantine = Quarantine::default();
    crash_together(&mut quarantine, &[GUILTY], 3);
    let before = at(2).after(CRASH_RETENTION);
    assert!(quarantine.forget_old(before).is_empty());
    let after = at(4).after(CRASH_RETENTION);
    assert_eq!(quarantine.forget_old(after), [(GUILTY, true)]);
    assert!(!quarantine.is_quarantined(GUILTY));
}

#[test]
fn one_hundred_thousand_different_requests_take_no_more_room_and_push_no_verdict_out() {
    let mut quarantine = Quarantine::default();
    crash_together(&mut quarantine, &[GUILTY], 3);
    for number in 0..100_000 {
        let request = Fingerprint(1_000 + number);
        quarantine.on_crash(request, crash(number, at(10)), at(10));
    }
    assert!(quarantine.is_quarantined(GUILTY));
    assert!(
        quarantine.suspect_count() <= 2_000,
        "{}",
        quarantine.suspect_count()
    );
}

fn all_updates(quarantine: &mut Quarantine, now: Micros) -> CrashUpdate {
    let mut all = CrashUpdate::default();
    while quarantine.has_unpublished() {
        let update = quarantine.take_unpublished(now);
        all.crashes.extend(update.crashes);
        all.served.extend(update.served);
        all.quarantined.extend(update.quarantined);
    }
    all
}

#[test]
fn boxes_combine_their_crash_reports() {
    let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
    one.on_crash(GUILTY, crash(1, at(1)), at(1));
    other.on_crash(GUILTY, crash(2, at(2)), at(2));
    one.on_peer_update(&all_updates(&mut other, at(2)), true, at(2));
    assert!(record(&mut one, GUILTY, &crash(3, at(3))));
    let added = other.on_peer_update(&all_updates(&mut one, at(3)), true, at(3));
    assert_eq!(added, [GUILTY]);
    assert!(one.is_recorded_here(GUILTY) && !other.is_recorded_here(GUILTY));
}

/// A box that has just started knows of no concurrent requests, so it can't reach the verdict itself.
#[rstest]
#[case::by_another_box(false)]
#[case::by_the_platform(true)]
fn a_verdict_is_adopted(#[case] by_platform: bool) {
    let mut known = Quarantine::default();
    crash_together(&mut known, &[GUILTY], 3);
    let update = known.verdicts(at(5));
    let mut started = Quarantine::default();
    let added = if by_platform {
        started.on_stored(&update.quarantined, at(5))
    } else {
        started.on_peer_update(&update, true, at(5))
    };
    assert_eq!(added, [GUILTY]);
    assert!(started.is_quarantined(GUILTY));
    let later = at(10).after(CRASH_RETENTION);
    assert_eq!(
        started.forget_old(later),
        [(GUILTY, false)],
        "another box updates the store"
    );
}

#[test]
fn a_verdict_older_than_a_served_request_is_not_adopted() {
    let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
    crash_together(&mut one, &[GUILTY], 3);
    other.on_crash(GUILTY, crash(9, at(1)), at(1));
    other.on_served(GUILTY, at(8));
    assert!(
        other
            .on_peer_update(&one.verdicts(at(9)), true, at(9))
            .is_empty()
    );
    let released = all_updates(&mut other, at(9));
    one.on_peer_update(&released, true, at(9));
    assert!(!one.is_quarantined(GUILTY));
}

/// A report ages by its transit time with each hop between boxes; that must not make it an update.
#[test]
fn reports_between_boxes_stop_when_nothing_is_new() {
    let (mut one, mut other) = (Quarantine::default(), Quarantine::default());
    one.on_crash(INNOCENT, crash(1, at(1)), at(1));
    one.on_served(INNOCENT, at(2));
    for round in 0..50 {
        let now = at(2).after(Duration::from_millis(10 * round));
        let update = one.update_for_state(now);
        other.on_peer_update(&update, false, now.after(Duration::from_millis(2)));
        let update = other.update_for_state(now);
        one.on_peer_update(&update, false, now.after(Duration::from_millis(4)));
    }
    all_updates(&mut other, at(3));
    let late = at(20);
    assert_eq!(one.update_for_state(late), CrashUpdate::default());
    assert_eq!(other.update_for_state(late), CrashUpdate::default());
}

#[test]
fn a_datagram_holds_a_part_of_many_crashes() {
    let mut quarantine = Quarantine::default();
    for number in 0..500 {
        quarantine.on_crash(Fingerprint(number), crash(number, at(1)), at(1));
    }
    let update = quarantine.update_for_state(at(1));
    assert!(update.crashes.len() <= 24, "{}", update.crashes.len());
    let unpublished = quarantine.take_unpublished(at(1));
    assert!(unpublished.crashes.len() <= 24 && quarantine.has_unpublished());
}

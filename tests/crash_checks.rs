//! How a box verifies that an endpoint's process ended while it ran a request, and what follows for requests.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use fixtures::{QUOTES, STREAMS, World, endpoint, first_attempt, listed, refusal};
use magpiemoor::gateway::dispatch::action::{Action, Attempt};
use magpiemoor::gateway::dispatch::event::{
    Arrival, AttemptNumber, Event, Fault, Outcome, RequestNumber,
};
use magpiemoor::gateway::dispatch::refusal::RefusalReason;
use magpiemoor::schema::{CrashUpdate, EndpointIncarnation, Fingerprint, RequestAge};
use rstest::rstest;

const BROKEN: Outcome = Outcome::Broken(Fault::Closed);

/// A box with six engines in its own failure domain.
fn world() -> World {
    let mut world = World::ready();
    let engines = (0..6).map(|n| endpoint(&format!("engine-{n}"), "engines", "north", 9_200 + n));
    let tills = (0..3).map(|n| endpoint(&format!("till-{n}"), "till", "north", 9_300 + n));
    world.handle(listed(engines.chain(tills).collect()));
    world
}

fn checks(actions: &[Action]) -> Vec<EndpointIncarnation> {
    let checks = actions.iter().filter_map(|action| match action {
        Action::CheckExited { endpoint, .. } => Some(endpoint.clone()),
        _ => None,
    });
    checks.collect()
}

/// The arrival of the same request, as a caller that retries sends it.
fn resent(world: &mut World, path: &str, content: Fingerprint) -> Arrival {
    Arrival {
        content,
        ..world.arrival(path)
    }
}

/// Disconnects a running attempt, with or without the end of its endpoint's process; returns the next attempt.
fn disconnect_attempt(
    world: &mut World,
    request: RequestNumber,
    attempt: &Attempt,
    has_exited: bool,
) -> (Vec<Action>, Option<Attempt>) {
    let mut done = world.end(request, attempt.attempt, BROKEN).to_vec();
    for endpoint in checks(&done) {
        let checked = Event::Checked {
            endpoint,
            has_exited,
        };
        done.extend(world.handle(checked).to_vec());
    }
    done.extend(world.run(250));
    let next = first_attempt(&done);
    (done, next)
}

/// Lets a request crash this many engines, each while it runs alone; returns the last actions.
fn crash_engines(world: &mut World, content: Fingerprint, engines: usize) -> Vec<Action> {
    let arrival = resent(world, STREAMS, content);
    let (request, first) = world.arrive_as(arrival);
    let mut attempt = first.unwrap();
    for number in 1..=engines {
        let (done, next) = disconnect_attempt(world, request, &attempt, true);
        if number == engines {
            return done;
        }
        attempt = next.unwrap();
    }
    Vec::new()
}

#[test]
fn the_third_engine_that_ends_is_the_last() {
    let mut world = world();
    let done = crash_engines(&mut world, Fingerprint(7), 3);
    assert_eq!(first_attempt(&done), None);
    assert_eq!(refusal(&done), Some(RefusalReason::Quarantined));
    let arrival = resent(&mut world, STREAMS, Fingerprint(7));
    let (_, attempt) = world.arrive_as(arrival);
    assert_eq!(attempt, None);
    assert_eq!(refusal(&world.actions), Some(RefusalReason::Quarantined));
}

/// Guards against several crashes before the first is recorded: five real processes ended within 5 ms.
#[test]
fn engines_that_end_at_once_are_no_more_than_three() {
    let mut world = world();
    let arrival = resent(&mut world, STREAMS, Fingerprint(7));
    let (request, first) = world.arrive_as(arrival);
    let done = world.end(request, first.unwrap().attempt, BROKEN).to_vec();
    let second = first_attempt(&done).unwrap();
    let done = world.end(request, second.attempt, BROKEN).to_vec();
    let third = first_attempt(&done).unwrap();
    let done = world.end(request, third.attempt, BROKEN).to_vec();
    assert_eq!(first_attempt(&done), None, "it waits for the verdict");
}

#[test]
fn another_request_is_still_served() {
    let mut world = world();
    crash_engines(&mut world, Fingerprint(7), 3);
    assert!(world.arrive(STREAMS).1.is_some());
}

/// A broken connection alone is no crash: servers also reset connections when they are full, and cut
/// answers off.
#[test]
fn an_endpoint_that_listens_has_not_ended() {
    let mut world = world();
    let arrival = resent(&mut world, STREAMS, Fingerprint(7));
    let (request, first) = world.arrive_as(arrival);
    let mut attempt = first.unwrap();
    for _ in 0..4 {
        attempt = disconnect_attempt(&mut world, request, &attempt, false)
            .1
            .unwrap();
    }
    assert_eq!(world.dispatcher.quarantine().crashes_of(fingerprint(7)), 0);
}

#[test]
fn an_endpoint_is_checked_once_for_all_attempts_that_broke() {
    let mut world = world();
    world.handle(listed(vec![endpoint("only", "engines", "north", 9_200)]));
    let (one, first) = world.arrive(STREAMS);
    let (other, second) = world.arrive(STREAMS);
    let first = checks(world.end(one, first.unwrap().attempt, BROKEN));
    let second = checks(world.end(other, second.unwrap().attempt, BROKEN));
    assert_eq!((first.len(), second.len()), (1, 0));
}

/// The fingerprint that the keys of the only organisation give for this content.
fn fingerprint(content: u64) -> Fingerprint {
    Fingerprint(content).for_organisation(Some(&"shop".parse().unwrap()))
}

#[test]
fn a_request_after_two_crashes_runs_alone_on_its_endpoint() {
    let mut world = world();
    let (_, concurrent) = world.arrive(STREAMS);
    let arrival = resent(&mut world, STREAMS, Fingerprint(7));
    let (request, first) = world.arrive_as(arrival);
    let second = disconnect_attempt(&mut world, request, &first.unwrap(), true).1;
    let third = disconnect_attempt(&mut world, request, &second.unwrap(), true).1;
    let alone = third.unwrap().endpoint;
    assert_ne!(alone, concurrent.unwrap().endpoint);
    let fleet = world.dispatcher.fleet();
    let usage = fleet.own_usage(&alone).unwrap();
    assert_eq!(usage.running, 8, "all slots count as taken");
    for _ in 0..8 {
        let (_, other) = world.arrive(STREAMS);
        assert_ne!(other.unwrap().endpoint, alone);
    }
}

#[test]
fn slots_are_free_again_after_a_request_that_ran_alone() {
    let mut world = world();
    let arrival = resent(&mut world, STREAMS, Fingerprint(7));
    let (request, first) = world.arrive_as(arrival);
    let second = disconnect_attempt(&mut world, request, &first.unwrap(), true).1;
    let third = disconnect_attempt(&mut world, request, &second.unwrap(), true).1;
    let third = third.unwrap();
    world.progress(request, third.attempt, 1);
    world.end(request, third.attempt, Outcome::StreamEnded);
    let usage = world.dispatcher.fleet().own_usage(&third.endpoint).unwrap();
    assert_eq!(usage.running, 0);
    assert_eq!(world.dispatcher.quarantine().crashes_of(fingerprint(7)), 0);
}

#[test]
fn a_request_quarantined_by_a_peer_is_stopped_before_it_crashes_another_engine() {
    let mut world = world();
    let arrival = resent(&mut world, STREAMS, Fingerprint(7));
    let (_, attempt) = world.arrive_as(arrival);
    assert!(attempt.is_some());
    let update = CrashUpdate {
        quarantined: vec![RequestAge {
            request: fingerprint(7),
            age_ms: 5,
        }],
        ..CrashUpdate::default()
    };
    let done = world.handle(Event::PeerCrashes {
        domain: None,
        update,
    });
    assert_eq!(refusal(done), Some(RefusalReason::Quarantined));
}

#[rstest]
#[case::that_ended(true, Some(RefusalReason::Quarantined))]
#[case::that_goes_on(false, None)]
fn a_call_waits_for_the_verdict_of_its_third_server(
    #[case] has_exited: bool,
    #[case] expected: Option<RefusalReason>,
) {
    let mut world = world();
    for _ in 0..2 {
        let arrival = resent(&mut world, QUOTES, Fingerprint(9));
        let (request, first) = world.arrive_as(arrival);
        let attempt = first.unwrap();
        world.end(request, attempt.attempt, BROKEN);
        let incarnation = attempt.endpoint.into();
        world.handle(Event::Checked {
            endpoint: incarnation,
            has_exited: true,
        });
        world.handle(Event::CallerDisconnected(request));
        world.run(250);
    }
    let arrival = resent(&mut world, QUOTES, Fingerprint(9));
    let (request, third) = world.arrive_as(arrival);
    let attempt = third.unwrap();
    let at_once = world.end(request, attempt.attempt, BROKEN).to_vec();
    assert_eq!(first_attempt(&at_once), None);
    let mut after = Vec::new();
    for endpoint in checks(&at_once) {
        after.extend(
            world
                .handle(Event::Checked {
                    endpoint,
                    has_exited,
                })
                .to_vec(),
        );
    }
    after.extend(world.run(250));
    assert_eq!(refusal(&after), expected);
    assert_eq!(first_attempt(&after).is_some(), expected.is_none());
}

#[test]
fn a_verdict_is_stored_once() {
    let mut world = world();
    let done = crash_engines(&mut world, Fingerprint(7), 3);
    let kept = done
        .iter()
        .filter(|action| matches!(action, Action::SaveQuarantine { .. }));
    let kept: Vec<_> = kept.collect();
    let expected = Action::SaveQuarantine {
        request: fingerprint(7),
        is_quarantined: true,
    };
    assert_eq!(kept, [&expected]);
}

#[rstest]
#[case::a_fleet_that_starts_for_the_first_time(true, 0)]
#[case::a_fleet_that_has_run(false, 1)]
fn stored_verdicts_are_read_unless_the_fleet_starts_for_the_first_time(
    #[case] first_start: bool,
    #[case] expected: usize,
) {
    let mut world = World::starting(first_start);
    let done = world.run(2_000);
    let watches = done.contains(&Action::WatchStore(true));
    let reads = done.iter().filter(|a| **a == Action::ReadQuarantine);
    assert!(watches);
    assert_eq!(reads.count(), expected);
}

#[test]
fn stored_verdicts_are_enforced_and_gossiped() {
    let mut world = world();
    let kept = vec![RequestAge {
        request: fingerprint(7),
        age_ms: 60_000,
    }];
    world.handle(Event::QuarantineRead(kept));
    let done = world.run(400);
    let is_gossiped = done.iter().any(|action| match action {
        Action::Gossip { crashes, .. } => !crashes.quarantined.is_empty(),
        _ => false,
    });
    assert!(is_gossiped);
    let arrival = resent(&mut world, STREAMS, Fingerprint(7));
    world.arrive_as(arrival);
    assert_eq!(refusal(&world.actions), Some(RefusalReason::Quarantined));
}

/// Attempts are numbered from 1 in each try, so an attempt's number says nothing about crashes.
#[test]
fn a_verdict_outlasts_the_try_that_led_to_it() {
    let mut world = world();
    for _ in 0..3 {
        let arrival = resent(&mut world, STREAMS, Fingerprint(7));
        let (request, first) = world.arrive_as(arrival);
        let attempt = first.unwrap();
        assert_eq!(attempt.attempt, AttemptNumber(1));
        disconnect_attempt(&mut world, request, &attempt, true);
        world.handle(Event::CallerDisconnected(request));
    }
    world.pass(60_000);
    let arrival = resent(&mut world, STREAMS, Fingerprint(7));
    assert_eq!(world.arrive_as(arrival).1, None);
}

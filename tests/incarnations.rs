//! Endpoints that restart under the same id, on a simulated clock.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::sync::Arc;

use fixtures::{
    GENEROUS, PAYMENTS, STREAMS, World, box_state, changed, commands, endpoint, endpoints,
    first_attempt, listed, probes, records, table,
};
use magpiemoor::gateway::dispatch::action::{Action, Attempt, Command};
use magpiemoor::gateway::dispatch::event::{
    EndpointChange, EndpointSpec, Event, Fault, Outcome, ProbeResult, RequestNumber,
};
use magpiemoor::gateway::dispatch::fleet::Endpoint;
use magpiemoor::gateway::dispatch::fleet::health::EndpointHealth;
use magpiemoor::gateway::dispatch::record::Record;
use magpiemoor::schema::{
    BoxState, EndpointAnswers, EndpointId, EndpointIncarnation, EndpointUsage, StartTime,
    UsageUpdate,
};
use rstest::rstest;

const CLOSED: Outcome = Outcome::Broken(Fault::Closed);
/// When all endpoints started first.
const FIRST: u64 = 1_000;

/// The list entry of an endpoint of the fixtures.
fn entry(id: &str, born: Option<u64>, revision: u64) -> EndpointSpec {
    let spec = endpoints().into_iter().find(|e| e.id.as_str() == id);
    EndpointSpec {
        born: born.map(StartTime),
        revision,
        ..spec.unwrap()
    }
}

/// A box with endpoints that report their start time.
fn with_start_times() -> World {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(table(1))));
    let specs = endpoints().into_iter().zip(1..);
    let specs = specs.map(|(spec, revision)| entry(&spec.id, Some(FIRST), revision));
    world.handle(listed(specs.collect()));
    world
}

/// Delivers an entry of the endpoint with another start time.
fn restarted(world: &mut World, id: &str, born: u64, revision: u64) {
    let change = EndpointChange::Present(entry(id, Some(born), revision));
    world.handle(changed(vec![change]));
}

fn found<'a>(world: &'a World, id: &str) -> &'a Endpoint {
    world.dispatcher.fleet().get(&id.parse().unwrap()).unwrap()
}

fn start_time_of(world: &World, id: &str) -> Option<u64> {
    found(world, id).spec.born.map(|born| born.0)
}

/// The endpoint whose address an attempt names for its mirror.
fn mirror_of(attempt: &Attempt) -> EndpointId {
    let host = endpoints()
        .into_iter()
        .find(|e| Some(e.address) == attempt.mirror_to);
    host.unwrap().id
}

/// A stream that has received its first event.
fn begun_stream(world: &mut World) -> (RequestNumber, Attempt) {
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    world.progress(request, first.attempt, 1);
    (request, first)
}

fn snapshots(actions: &[Action]) -> Vec<EndpointId> {
    let requested = actions.iter().filter_map(|action| match action {
        Action::TakeSnapshot(requested) => Some(requested.host.clone()),
        _ => None,
    });
    requested.collect()
}

fn identity_requests(actions: &[Action]) -> Vec<EndpointId> {
    let requested = actions.iter().filter_map(|action| match action {
        Action::RequestIdentity { spec, .. } => Some(spec.id.clone()),
        _ => None,
    });
    requested.collect()
}

#[test]
fn a_mirror_is_lost_when_its_host_restarts_between_two_reads_of_the_list() {
    let mut world = with_start_times();
    let (request, first) = begun_stream(&mut world);
    let host = mirror_of(&first);
    restarted(&mut world, &host, 2_000, 50);
    let is_closed =
        |action: &Action| *action == Action::CloseIdleConnections(first.mirror_to.unwrap());
    assert!(world.actions.iter().any(is_closed));
    world.end(request, first.attempt, CLOSED);
    let second = first_attempt(&world.actions).unwrap();
    assert_eq!(
        second.resume_from, None,
        "the restarted host holds no earlier snapshot"
    );
}

#[test]
fn another_replica_is_made_when_the_host_of_a_mirror_restarts() {
    let mut world = with_start_times();
    let (request, first) = begun_stream(&mut world);
    let host = mirror_of(&first);
    restarted(&mut world, &host, 2_000, 50);
    let mut requested = Vec::new();
    for event in 2..8 {
        requested.extend(snapshots(&world.run(100)));
        world.progress(request, first.attempt, event);
    }
    assert_eq!(requested.len(), 1, "{requested:?}");
    assert_ne!(requested[0], first.endpoint);
}

#[test]
fn a_snapshot_is_taken_again_when_its_host_restarts() {
    let mut world = with_start_times();
    let (request, first) = begun_stream(&mut world);
    let removed = mirror_of(&first);
    world.handle(changed(vec![EndpointChange::Absent(removed)]));
    let host = snapshots(&world.run(300)).remove(0);
    world.handle(Event::SnapshotTaken {
        request,
        attempt: first.attempt,
        host: host.clone(),
        name: Ok(magpiemoor::gateway::dispatch::event::SnapshotName(
            "s".to_owned(),
        )),
    });
    restarted(&mut world, &host, 2_000, 50);
    world.progress(request, first.attempt, 2);
    assert!(!snapshots(&world.run(150)).is_empty());
}

#[rstest]
#[case::later(2_000)]
#[case::earlier_by_a_clock_that_was_set_back(500)]
fn the_start_time_of_a_newer_entry_counts_whichever_way_the_clock_went(#[case] start_time: u64) {
    let mut world = with_start_times();
    restarted(&mut world, "engine-n1", start_time, 50);
    assert_eq!(start_time_of(&world, "engine-n1"), Some(start_time));
    let is_restart = |record: &&Record| matches!(record, Record::Reborn { endpoint, .. } if endpoint == "engine-n1");
    assert_eq!(
        records(&world.actions)
            .into_iter()
            .filter(is_restart)
            .count(),
        1
    );
}

#[test]
fn a_late_entry_from_before_the_restart_changes_nothing() {
    let mut world = with_start_times();
    restarted(&mut world, "engine-n1", 2_000, 50);
    let mut stale = entry("engine-n1", Some(FIRST), 30);
    stale.leaving = true;
    world.handle(changed(vec![EndpointChange::Present(stale)]));
    assert_eq!(start_time_of(&world, "engine-n1"), Some(2_000));
    let fleet = world.dispatcher.fleet();
    assert!(fleet.takes_work(found(&world, "engine-n1")));
}

#[test]
fn peer_reports_about_an_older_incarnation_are_dropped() {
    let mut world = with_start_times();
    restarted(&mut world, "engine-n1", 2_000, 50);
    let old: EndpointIncarnation = format!("engine-n1@{FIRST}").parse().unwrap();
    let usage = EndpointUsage {
        endpoint: old.clone(),
        running: 3,
        reading: 9_000,
        memory: 9_000,
    };
    let answers = EndpointAnswers {
        endpoint: old.clone(),
        served: 0,
        errors: 0,
        broken: 9,
    };
    world.handle(Event::PeerUsage(UsageUpdate {
        from: "box-2".parse().unwrap(),
        usage: vec![usage],
        answers: vec![answers],
        totals: Vec::new(),
        samples: Vec::new(),
        rollouts: Vec::new(),
    }));
    world.handle(Event::Peer(BoxState {
        lost: vec![old],
        ..box_state("box-2", "north", "127.0.0.9:7200")
    }));
    let endpoint = found(&world, "engine-n1");
    let usage = world.dispatcher.fleet().usage(endpoint, world.now);
    assert_eq!((usage.running, usage.prefill), (0, 0));
    assert!(!endpoint.is_avoided(world.now));
    assert_eq!(endpoint.health, EndpointHealth::default());
    assert_eq!(start_time_of(&world, "engine-n1"), Some(2_000));
}

#[test]
fn a_peer_report_without_a_start_time_is_accepted() {
    let mut world = with_start_times();
    let update = |running| {
        let usage = EndpointUsage {
            endpoint: "engine-n1".parse().unwrap(),
            running,
            reading: 0,
            memory: 5_000,
        };
        Event::PeerUsage(UsageUpdate {
            from: "box-2".parse().unwrap(),
            usage: vec![usage],
            answers: Vec::new(),
            totals: Vec::new(),
            samples: Vec::new(),
            rollouts: Vec::new(),
        })
    };
    world.handle(update(2));
    let endpoint = found(&world, "engine-n1");
    assert_eq!(
        world.dispatcher.fleet().usage(endpoint, world.now).running,
        2
    );
}

#[test]
fn an_endpoint_whose_entry_never_lapsed_is_trusted_from_its_start_on() {
    let mut world = with_start_times();
    let more = (3..7).map(|n| {
        let spec = endpoint(&format!("engine-n{n}"), "engines", "north", 9_200 + n);
        EndpointChange::Present(EndpointSpec {
            born: Some(StartTime(FIRST)),
            revision: 20 + u64::from(n),
            ..spec
        })
    });
    world.handle(changed(more.collect()));
    for _ in 0..3 {
        world.pass(10);
        let (request, sent) = world.arrive(STREAMS);
        world.end(request, sent.unwrap().attempt, CLOSED);
    }
    let is_suspected = |world: &World, id: &str| {
        let fleet = world.dispatcher.fleet();
        fleet.is_suspected(found(world, id), world.now)
    };
    let suspected = [
        "engine-n1",
        "engine-n2",
        "engine-n3",
        "engine-n4",
        "engine-n5",
        "engine-n6",
    ];
    let suspected = suspected.into_iter().find(|id| is_suspected(&world, id));
    let id = suspected.expect("the domain is suspected").to_owned();
    let port = found(&world, &id).spec.address.port();
    let spec = EndpointSpec {
        born: Some(StartTime(2_000)),
        revision: 60,
        ..endpoint(&id, "engines", "north", port)
    };
    world.handle(changed(vec![EndpointChange::Present(spec)]));
    assert!(!is_suspected(&world, &id));
    assert!(!found(&world, &id).is_avoided(world.now));
}

#[test]
fn a_stalled_stream_of_an_ended_incarnation_is_moved_though_the_next_one_sends_events() {
    let mut world = with_start_times();
    let (request, first) = begun_stream(&mut world);
    restarted(&mut world, &first.endpoint, 2_000, 50);
    // Another stream runs in the next incarnation and receives events all the time.
    let mut others = Vec::new();
    while others.is_empty() {
        let (other, sent) = world.arrive(STREAMS);
        let sent = sent.unwrap();
        if sent.endpoint == first.endpoint {
            others.push((other, sent.attempt));
        }
    }
    let mut moved = None;
    for event in 1..8 {
        world.progress(others[0].0, others[0].1, event);
        let done = world.run(50);
        assert!(!probes(&done).contains(&first.endpoint));
        let stops = |action: &Action| matches!(action, Action::Command { request: r, command: Command::StopAttempt(_) } if *r == request);
        if done.iter().any(stops) {
            moved = Some(event * 50);
            break;
        }
    }
    let moved = moved.expect("moved before the connection breaks");
    assert!((200..=300).contains(&moved), "{moved} ms");
}

#[test]
fn a_stream_that_sends_events_belongs_to_the_current_incarnation() {
    let mut world = with_start_times();
    let (request, first) = begun_stream(&mut world);
    restarted(&mut world, &first.endpoint, 2_000, 50);
    for event in 2..12 {
        world.progress(request, first.attempt, event);
        let done = world.run(100);
        assert!(commands(&done).is_empty(), "{done:?}");
    }
    assert_eq!(found(&world, &first.endpoint).own.running, 1);
    world.end(request, first.attempt, Outcome::StreamEnded);
    assert_eq!(found(&world, &first.endpoint).own.running, 0);
}

#[test]
fn before_its_first_event_a_stream_has_the_time_of_its_prompt() {
    let mut world = with_start_times();
    let (_, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    restarted(&mut world, &first.endpoint, 2_000, 50);
    assert!(commands(&world.run(1_600)).is_empty());
    assert!(commands(&world.run(200)).contains(&&Command::StopAttempt(first.attempt)));
}

#[test]
fn a_call_of_an_ended_incarnation_is_left_to_its_connection() {
    let mut world = with_start_times();
    let (request, first) = world.arrive(PAYMENTS);
    let first = first.unwrap();
    restarted(&mut world, &first.endpoint, 2_000, 50);
    assert!(commands(&world.run(500)).is_empty());
    world.end(request, first.attempt, Outcome::Answered { status: 200 });
    assert!(commands(&world.actions).contains(&&Command::Deliver));
    let endpoint = found(&world, &first.endpoint);
    assert_eq!(endpoint.own.running, 0);
    assert_eq!(
        endpoint.health,
        EndpointHealth::default(),
        "it ran in the previous incarnation"
    );
}

#[test]
fn the_health_of_a_restarted_plain_server_is_judged_again() {
    let mut world = with_start_times();
    let (request, first) = world.arrive(PAYMENTS);
    let first = first.unwrap();
    world.end(request, first.attempt, CLOSED);
    assert!(found(&world, &first.endpoint).is_avoided(world.now));
    restarted(&mut world, &first.endpoint, 2_000, 50);
    assert!(!found(&world, &first.endpoint).is_avoided(world.now));
    assert_eq!(
        found(&world, &first.endpoint).health,
        EndpointHealth::default()
    );
}

#[test]
fn a_request_may_go_to_an_endpoint_again_once_that_has_restarted() {
    let mut world = with_start_times();
    let only = ["engine-n2", "engine-s1", "engine-s2"];
    let removed = only.map(|id| EndpointChange::Absent(id.parse().unwrap()));
    world.handle(changed(removed.into()));
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    world.end(request, first.attempt, Outcome::NotSent);
    assert!(first_attempt(&world.actions).is_none());
    restarted(&mut world, &first.endpoint, 2_000, 50);
    let second = first_attempt(&world.run(100)).unwrap();
    assert_eq!(second.endpoint, first.endpoint);
}

#[test]
fn an_answer_with_another_start_time_reports_a_restart_before_the_list() {
    let mut world = with_start_times();
    let (request, first) = begun_stream(&mut world);
    assert_eq!(probes(&world.run(250)), vec![first.endpoint.clone()]);
    world.handle(Event::Probed {
        endpoint: first.endpoint.clone(),
        result: ProbeResult::Answered,
        born: Some(StartTime(2_000)),
    });
    assert_eq!(start_time_of(&world, &first.endpoint), Some(2_000));
    // The attempt of the previous incarnation is unresponsive already, and moves with the next tick.
    let done = world.run(30);
    assert!(commands(&done).contains(&&Command::StopAttempt(first.attempt)));
    let second = first_attempt(&done).unwrap();
    assert!(
        second.resume_from.is_some(),
        "the host of its mirror is available: {request}"
    );
    // The same entry, listed again, does not restore the older start time.
    let revision = found(&world, &first.endpoint).spec.revision;
    let again = entry(&first.endpoint, Some(FIRST), revision);
    world.handle(changed(vec![EndpointChange::Present(again)]));
    assert_eq!(start_time_of(&world, &first.endpoint), Some(2_000));
}

#[test]
fn an_answer_requested_before_the_restart_is_late() {
    let mut world = with_start_times();
    let (_, first) = begun_stream(&mut world);
    world.run(250);
    restarted(&mut world, &first.endpoint, 2_000, 50);
    world.handle(Event::Probed {
        endpoint: first.endpoint.clone(),
        result: ProbeResult::Answered,
        born: Some(StartTime(FIRST)),
    });
    assert_eq!(start_time_of(&world, &first.endpoint), Some(2_000));
}

#[test]
fn an_engine_that_reports_another_start_time_holds_no_earlier_replica() {
    let mut world = with_start_times();
    let (request, first) = begun_stream(&mut world);
    let host = mirror_of(&first);
    let requests_identity = |world: &mut World| {
        for event in 2..40 {
            world.progress(request, first.attempt, event);
            let requested = identity_requests(&world.run(100));
            if requested.contains(&host) {
                return true;
            }
        }
        false
    };
    // A peer lost the host of the mirror, so the host may have restarted.
    let incarnation = found(&world, &host).spec.incarnation();
    world.handle(Event::Peer(BoxState {
        lost: vec![incarnation],
        ..box_state("box-2", "north", "127.0.0.9:7200")
    }));
    assert!(requests_identity(&mut world), "it holds a replica");
    world.handle(Event::IdentityReported {
        endpoint: host.clone(),
        instance: host.clone(),
        born: Some(StartTime(2_000)),
    });
    assert_eq!(start_time_of(&world, &host), Some(2_000));
    world.end(request, first.attempt, CLOSED);
    let second = first_attempt(&world.actions).unwrap();
    assert!(
        second
            .resume_from
            .is_none_or(|from| Some(from.address) != first.mirror_to)
    );
}

#[test]
fn endpoints_without_a_start_time_are_identified_by_their_ids() {
    let mut world = World::ready();
    let (request, first) = begun_stream(&mut world);
    let host = mirror_of(&first);
    let again = EndpointChange::Present(entry(&host, None, 50));
    world.handle(changed(vec![again]));
    world.end(request, first.attempt, CLOSED);
    let second = first_attempt(&world.actions).unwrap();
    assert_eq!(Some(second.address), first.mirror_to);
    assert!(second.resume_from.is_some());
}

#[test]
fn the_first_reported_start_time_ends_no_incarnation() {
    let mut world = World::ready();
    let (request, first) = begun_stream(&mut world);
    let host = mirror_of(&first);
    restarted(&mut world, &host, 2_000, 50);
    world.end(request, first.attempt, CLOSED);
    let second = first_attempt(&world.actions).unwrap();
    assert_eq!(Some(second.address), first.mirror_to);
}

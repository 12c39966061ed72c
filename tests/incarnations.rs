//! Endpoints that start again under the id that they had, on made-up time.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::sync::Arc;

use fixtures::{
    GENEROUS, PAYMENTS, STREAMS, World, box_state, changed, commands, endpoint, endpoints,
    first_attempt, listed, probes, records, table,
};
use magpiemoor::gateway::dispatch::action::{Action, Attempt, Command};
use magpiemoor::gateway::dispatch::event::{
    EndpointChange, EndpointSpec, Event, Fault, Outcome, RequestNumber,
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

/// An endpoint of the fixtures as an entry tells it.
fn entry(id: &str, born: Option<u64>, revision: u64) -> EndpointSpec {
    let spec = endpoints().into_iter().find(|e| e.id.as_str() == id);
    EndpointSpec {
        born: born.map(StartTime),
        revision,
        ..spec.unwrap()
    }
}

/// A box before endpoints that tell when they started.
fn with_births() -> World {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(table(1))));
    let specs = endpoints().into_iter().zip(1..);
    let specs = specs.map(|(spec, revision)| entry(&spec.id, Some(FIRST), revision));
    world.handle(listed(specs.collect()));
    world
}

/// The entry of an endpoint tells another birth.
fn reborn(world: &mut World, id: &str, born: u64, revision: u64) {
    let change = EndpointChange::Present(entry(id, Some(born), revision));
    world.handle(changed(vec![change]));
}

fn found<'a>(world: &'a World, id: &str) -> &'a Endpoint {
    world.dispatcher.fleet().get(&id.parse().unwrap()).unwrap()
}

fn born(world: &World, id: &str) -> Option<u64> {
    found(world, id).spec.born.map(|born| born.0)
}

/// The endpoint whose address an attempt names for its mirror.
fn mirror_of(attempt: &Attempt) -> EndpointId {
    let host = endpoints()
        .into_iter()
        .find(|e| Some(e.address) == attempt.mirror_to);
    host.unwrap().id
}

/// A stream that has had its first event.
fn begun(world: &mut World) -> (RequestNumber, Attempt) {
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    world.progress(request, first.attempt, 1);
    (request, first)
}

fn snapshots(actions: &[Action]) -> Vec<EndpointId> {
    let asked = actions.iter().filter_map(|action| match action {
        Action::TakeSnapshot(asked) => Some(asked.host.clone()),
        _ => None,
    });
    asked.collect()
}

fn asked_who_they_are(actions: &[Action]) -> Vec<EndpointId> {
    let asked = actions.iter().filter_map(|action| match action {
        Action::RequestIdentity { spec, .. } => Some(spec.id.clone()),
        _ => None,
    });
    asked.collect()
}

#[test]
fn a_mirror_is_lost_when_its_host_is_reborn_between_two_reads_of_the_list() {
    let mut world = with_births();
    let (request, first) = begun(&mut world);
    let host = mirror_of(&first);
    reborn(&mut world, &host, 2_000, 50);
    let is_closed =
        |action: &Action| *action == Action::CloseIdleConnections(first.mirror_to.unwrap());
    assert!(world.actions.iter().any(is_closed));
    world.end(request, first.attempt, CLOSED);
    let second = first_attempt(&world.actions).unwrap();
    assert_eq!(second.resume_from, None, "the host holds nothing of before");
}

#[test]
fn another_replica_is_made_when_the_host_of_a_mirror_is_reborn() {
    let mut world = with_births();
    let (request, first) = begun(&mut world);
    let host = mirror_of(&first);
    reborn(&mut world, &host, 2_000, 50);
    let mut asked = Vec::new();
    for event in 2..8 {
        asked.extend(snapshots(&world.run(100)));
        world.progress(request, first.attempt, event);
    }
    assert_eq!(asked.len(), 1, "{asked:?}");
    assert_ne!(asked[0], first.endpoint);
}

#[test]
fn a_snapshot_is_taken_anew_when_its_host_is_reborn() {
    let mut world = with_births();
    let (request, first) = begun(&mut world);
    let gone = mirror_of(&first);
    world.handle(changed(vec![EndpointChange::Absent(gone)]));
    let host = snapshots(&world.run(300)).remove(0);
    world.handle(Event::SnapshotTaken {
        request,
        attempt: first.attempt,
        host: host.clone(),
        name: Some(magpiemoor::gateway::dispatch::event::SnapshotName(
            "s".to_owned(),
        )),
    });
    reborn(&mut world, &host, 2_000, 50);
    world.progress(request, first.attempt, 2);
    assert!(!snapshots(&world.run(150)).is_empty());
}

#[rstest]
#[case::later(2_000)]
#[case::earlier_by_a_clock_that_was_set_back(500)]
fn a_birth_of_a_newer_entry_counts_whichever_way_the_clock_went(#[case] told: u64) {
    let mut world = with_births();
    reborn(&mut world, "engine-n1", told, 50);
    assert_eq!(born(&world, "engine-n1"), Some(told));
    let reborn = |record: &&Record| matches!(record, Record::Reborn { endpoint, .. } if endpoint == "engine-n1");
    assert_eq!(
        records(&world.actions).into_iter().filter(reborn).count(),
        1
    );
}

#[test]
fn an_entry_from_before_the_birth_that_comes_late_changes_nothing() {
    let mut world = with_births();
    reborn(&mut world, "engine-n1", 2_000, 50);
    let mut stale = entry("engine-n1", Some(FIRST), 30);
    stale.leaving = true;
    world.handle(changed(vec![EndpointChange::Present(stale)]));
    assert_eq!(born(&world, "engine-n1"), Some(2_000));
    assert!(found(&world, "engine-n1").takes_work());
}

#[test]
fn what_a_peer_tells_of_an_older_life_is_dropped() {
    let mut world = with_births();
    reborn(&mut world, "engine-n1", 2_000, 50);
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
    assert_eq!(born(&world, "engine-n1"), Some(2_000));
}

#[test]
fn a_peer_that_tells_no_birth_is_believed() {
    let mut world = with_births();
    let news = |running| {
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
    world.handle(news(2));
    let endpoint = found(&world, "engine-n1");
    assert_eq!(
        world.dispatcher.fleet().usage(endpoint, world.now).running,
        2
    );
}

#[test]
fn an_endpoint_whose_entry_never_lapsed_is_trusted_from_its_birth_on() {
    let mut world = with_births();
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
    let id = suspected.expect("the domain was lost").to_owned();
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
fn a_silent_stream_of_an_ended_life_is_moved_though_the_next_life_is_heard() {
    let mut world = with_births();
    let (request, first) = begun(&mut world);
    reborn(&mut world, &first.endpoint, 2_000, 50);
    // Another stream runs in the next life, and is heard all the time.
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
    let moved = moved.expect("it does not wait for the connection to break");
    assert!((200..=300).contains(&moved), "{moved} ms");
}

#[test]
fn a_stream_that_goes_on_was_begun_in_the_present_life() {
    let mut world = with_births();
    let (request, first) = begun(&mut world);
    reborn(&mut world, &first.endpoint, 2_000, 50);
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
    let mut world = with_births();
    let (_, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    reborn(&mut world, &first.endpoint, 2_000, 50);
    assert!(commands(&world.run(1_600)).is_empty());
    assert!(commands(&world.run(200)).contains(&&Command::StopAttempt(first.attempt)));
}

#[test]
fn a_call_of_an_ended_life_is_left_to_its_connection() {
    let mut world = with_births();
    let (request, first) = world.arrive(PAYMENTS);
    let first = first.unwrap();
    reborn(&mut world, &first.endpoint, 2_000, 50);
    assert!(commands(&world.run(500)).is_empty());
    world.end(request, first.attempt, Outcome::Answered { status: 200 });
    assert!(commands(&world.actions).contains(&&Command::Deliver));
    let endpoint = found(&world, &first.endpoint);
    assert_eq!(endpoint.own.running, 0);
    assert_eq!(
        endpoint.health,
        EndpointHealth::default(),
        "it was the life before"
    );
}

#[test]
fn a_plain_server_that_is_reborn_is_judged_anew() {
    let mut world = with_births();
    let (request, first) = world.arrive(PAYMENTS);
    let first = first.unwrap();
    world.end(request, first.attempt, CLOSED);
    assert!(found(&world, &first.endpoint).is_avoided(world.now));
    reborn(&mut world, &first.endpoint, 2_000, 50);
    assert!(!found(&world, &first.endpoint).is_avoided(world.now));
    assert_eq!(
        found(&world, &first.endpoint).health,
        EndpointHealth::default()
    );
}

#[test]
fn a_request_may_go_to_an_endpoint_again_once_that_is_reborn() {
    let mut world = with_births();
    let only = ["engine-n2", "engine-s1", "engine-s2"];
    let gone = only.map(|id| EndpointChange::Absent(id.parse().unwrap()));
    world.handle(changed(gone.into()));
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    world.end(request, first.attempt, Outcome::NotSent);
    assert!(first_attempt(&world.actions).is_none());
    reborn(&mut world, &first.endpoint, 2_000, 50);
    let second = first_attempt(&world.run(100)).unwrap();
    assert_eq!(second.endpoint, first.endpoint);
}

#[test]
fn an_answer_with_another_birth_tells_before_the_list_does() {
    let mut world = with_births();
    let (request, first) = begun(&mut world);
    assert_eq!(probes(&world.run(250)), vec![first.endpoint.clone()]);
    world.handle(Event::Probed {
        endpoint: first.endpoint.clone(),
        is_answered: true,
        born: Some(StartTime(2_000)),
    });
    assert_eq!(born(&world, &first.endpoint), Some(2_000));
    // The attempt of the life before is silent already, and moves with the next tick.
    let done = world.run(30);
    assert!(commands(&done).contains(&&Command::StopAttempt(first.attempt)));
    let second = first_attempt(&done).unwrap();
    assert!(
        second.resume_from.is_some(),
        "its mirror's host lives: {request}"
    );
    // The same entry, listed again, does not bring the older birth back.
    let revision = found(&world, &first.endpoint).spec.revision;
    let again = entry(&first.endpoint, Some(FIRST), revision);
    world.handle(changed(vec![EndpointChange::Present(again)]));
    assert_eq!(born(&world, &first.endpoint), Some(2_000));
}

#[test]
fn an_answer_that_was_asked_for_before_the_birth_is_late() {
    let mut world = with_births();
    let (_, first) = begun(&mut world);
    world.run(250);
    reborn(&mut world, &first.endpoint, 2_000, 50);
    world.handle(Event::Probed {
        endpoint: first.endpoint.clone(),
        is_answered: true,
        born: Some(StartTime(FIRST)),
    });
    assert_eq!(born(&world, &first.endpoint), Some(2_000));
}

#[test]
fn an_engine_that_says_its_name_with_another_birth_holds_nothing_of_before() {
    let mut world = with_births();
    let (request, first) = begun(&mut world);
    let host = mirror_of(&first);
    let world_asks = |world: &mut World| {
        for event in 2..40 {
            world.progress(request, first.attempt, event);
            let asked = asked_who_they_are(&world.run(100));
            if asked.contains(&host) {
                return true;
            }
        }
        false
    };
    // A peer lost the host of the mirror, so it may be in its next life.
    let life = found(&world, &host).spec.incarnation();
    world.handle(Event::Peer(BoxState {
        lost: vec![life],
        ..box_state("box-2", "north", "127.0.0.9:7200")
    }));
    assert!(world_asks(&mut world), "it holds a replica");
    world.handle(Event::IdentityReported {
        endpoint: host.clone(),
        instance: host.clone(),
        born: Some(StartTime(2_000)),
    });
    assert_eq!(born(&world, &host), Some(2_000));
    world.end(request, first.attempt, CLOSED);
    let second = first_attempt(&world.actions).unwrap();
    assert!(
        second
            .resume_from
            .is_none_or(|from| Some(from.address) != first.mirror_to)
    );
}

#[test]
fn endpoints_that_tell_no_birth_go_by_their_ids() {
    let mut world = World::ready();
    let (request, first) = begun(&mut world);
    let host = mirror_of(&first);
    let again = EndpointChange::Present(entry(&host, None, 50));
    world.handle(changed(vec![again]));
    world.end(request, first.attempt, CLOSED);
    let second = first_attempt(&world.actions).unwrap();
    assert_eq!(Some(second.address), first.mirror_to);
    assert!(second.resume_from.is_some());
}

#[test]
fn a_birth_that_is_told_for_the_first_time_ends_no_life() {
    let mut world = World::ready();
    let (request, first) = begun(&mut world);
    let host = mirror_of(&first);
    reborn(&mut world, &host, 2_000, 50);
    world.end(request, first.attempt, CLOSED);
    let second = first_attempt(&world.actions).unwrap();
    assert_eq!(Some(second.address), first.mirror_to);
}

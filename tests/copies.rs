//! Copies of the memory of running streams, on a simulated clock.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::sync::Arc;

use fixtures::{
    GENEROUS, STREAMS, World, changed, domain_of, endpoint, endpoints, first_attempt, listed,
    records, table,
};
use magpiemoor::gateway::dispatch::action::{Action, Attempt};
use magpiemoor::gateway::dispatch::event::{
    EndpointChange, Event, Fault, NotRunCause, Outcome, RequestNumber, SnapshotFailure,
    SnapshotName,
};
use magpiemoor::gateway::dispatch::record::Record;
use magpiemoor::schema::EndpointId;
use rstest::rstest;

const CLOSED: Outcome = Outcome::Broken(Fault::Closed);

/// The endpoint with an address of these tests.
fn at_port(port: u16) -> EndpointId {
    let found = endpoints().into_iter().find(|e| e.address.port() == port);
    found.expect("an endpoint has this port").id
}

/// The holders that engines were requested to copy runs to.
fn wanted(actions: &[Action]) -> Vec<EndpointId> {
    let holders = actions.iter().filter_map(|action| match action {
        Action::TakeSnapshot(wanted) => Some(wanted.host.clone()),
        _ => None,
    });
    holders.collect()
}

fn dropped(actions: &[Action]) -> usize {
    let is_drop = |action: &&Action| matches!(action, Action::DropSnapshot { .. });
    actions.iter().filter(is_drop).count()
}

fn removed(id: &EndpointId) -> Event {
    changed(vec![EndpointChange::Absent(id.clone())])
}

/// Streams for `millis`, one event each 25 ms; returns the actions of that time.
fn stream(world: &mut World, request: RequestNumber, run: &Attempt, millis: u64) -> Vec<Action> {
    let mut done = Vec::new();
    for step in 0..millis / 25 {
        world.progress(request, run.attempt, 100 + step);
        done.extend(world.run(25));
    }
    done
}

/// A running stream, and the holder that its engine copies it to.
fn streaming() -> (World, RequestNumber, Attempt, EndpointId) {
    let mut world = World::ready();
    let (request, run) = world.arrive(STREAMS);
    let run = run.unwrap();
    world.progress(request, run.attempt, 1);
    let holder = at_port(run.mirror_to.unwrap().port());
    (world, request, run, holder)
}

fn copied(request: RequestNumber, run: &Attempt, holder: &EndpointId, name: Option<&str>) -> Event {
    Event::SnapshotTaken {
        request,
        attempt: run.attempt,
        host: holder.clone(),
        name: name
            .map(|name| SnapshotName(name.to_owned()))
            .ok_or(SnapshotFailure::Refused),
    }
}

/// A stream whose first holder was removed, and the holder of the copy that replaces it.
fn with_another_copy() -> (World, RequestNumber, Attempt, EndpointId) {
    let (mut world, request, run, holder) = streaming();
    world.handle(removed(&holder));
    let done = stream(&mut world, request, &run, 400);
    let second = wanted(&done).remove(0);
    world.handle(copied(request, &run, &second, Some("copy-1")));
    (world, request, run, second)
}

#[test]
fn a_well_placed_copy_is_kept() {
    let (mut world, request, run, _) = streaming();
    let done = stream(&mut world, request, &run, 3_000);
    assert_eq!(wanted(&done), Vec::<EndpointId>::new());
}

#[test]
fn a_run_whose_holder_is_lost_is_copied_elsewhere_outside_its_domain() {
    let (mut world, request, run, holder) = streaming();
    world.handle(removed(&holder));
    let done = stream(&mut world, request, &run, 400);
    let holders = wanted(&done);
    assert_eq!(holders.len(), 1, "one copy at a time");
    assert_ne!(holders[0], holder);
    assert_ne!(domain_of(&holders[0]), domain_of(&run.endpoint));
}

#[test]
fn a_run_that_has_read_nothing_yet_is_not_copied() {
    let mut world = World::ready();
    let (_, run) = world.arrive(STREAMS);
    let holder = at_port(run.unwrap().mirror_to.unwrap().port());
    world.handle(removed(&holder));
    assert_eq!(wanted(&world.run(300)), Vec::<EndpointId>::new());
}

#[test]
fn a_stream_resumes_from_the_requested_copy() {
    let (mut world, request, run, second) = with_another_copy();
    world.end(request, run.attempt, CLOSED);
    let next = first_attempt(&world.actions).unwrap();
    assert_eq!(next.endpoint, second);
    let from = next.resume_from.unwrap();
    assert_eq!(
        from.address, run.address,
        "it is named by the engine that made it"
    );
    assert_eq!(from.name, Some(SnapshotName("copy-1".to_owned())));
}

#[rstest]
#[case::could_not_connect(Outcome::NotSent)]
#[case::had_no_copy(Outcome::NotRun(NotRunCause::NoRoom))]
#[case::other_instance(Outcome::NotRun(NotRunCause::OtherInstance(None)))]
fn when_one_copy_is_no_use_the_next_one_is_tried(#[case] outcome: Outcome) {
    // The run and its first copy end up in the same domain, so another copy is made.
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(table(1))));
    let local = endpoints()
        .into_iter()
        .filter(|e| domain_of(&e.id) == "north");
    world.handle(listed(local.collect()));
    let (request, run) = world.arrive(STREAMS);
    let run = run.unwrap();
    let first = at_port(run.mirror_to.unwrap().port());
    world.progress(request, run.attempt, 1);
    world.handle(listed(endpoints()));
    let done = stream(&mut world, request, &run, 400);
    let second = wanted(&done).remove(0);
    assert_eq!(domain_of(&second), "south");
    world.handle(copied(request, &run, &second, Some("copy-1")));
    world.end(request, run.attempt, CLOSED);
    let next = first_attempt(&world.actions).unwrap();
    assert_eq!(next.endpoint, second, "the better placed copy comes first");
    world.end(request, next.attempt, outcome);
    let last = first_attempt(&world.actions).unwrap();
    assert_eq!(last.endpoint, first);
    assert!(last.resume_from.is_some());
}

#[test]
fn a_copy_that_could_not_be_made_is_asked_for_again_after_a_pause() {
    let (mut world, request, run, holder) = streaming();
    world.handle(removed(&holder));
    let done = stream(&mut world, request, &run, 300);
    let second = wanted(&done).remove(0);
    world.handle(copied(request, &run, &second, None));
    assert!(wanted(&stream(&mut world, request, &run, 400)).is_empty());
    assert_eq!(wanted(&stream(&mut world, request, &run, 300)).len(), 1);
}

#[test]
fn a_copy_is_refreshed_while_the_run_continues() {
    let (mut world, request, run, second) = with_another_copy();
    let mut requested = 0;
    for _ in 0..160 {
        let done = stream(&mut world, request, &run, 25);
        for holder in wanted(&done) {
            assert_eq!(holder, second);
            requested += 1;
            world.handle(copied(request, &run, &second, Some("copy-1")));
        }
    }
    assert_eq!(requested, 1, "in four seconds");
}

#[test]
fn a_run_outside_of_the_own_domain_gets_a_copy_inside_once_it_can() {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(table(1))));
    let remote = vec![
        endpoint("engine-s1", "engines", "south", 9_003),
        endpoint("engine-w1", "engines", "west", 9_005),
    ];
    world.handle(listed(remote.clone()));
    let (request, run) = world.arrive(STREAMS);
    let run = run.unwrap();
    world.progress(request, run.attempt, 1);
    assert!(wanted(&stream(&mut world, request, &run, 500)).is_empty());
    let local = endpoint("engine-n1", "engines", "north", 9_001);
    world.handle(changed(vec![EndpointChange::Present(local.clone())]));
    let done = stream(&mut world, request, &run, 300);
    assert_eq!(wanted(&done), vec![local.id]);
}

#[test]
fn a_stream_does_not_resume_from_an_old_copy() {
    let (mut world, request, run, second) = with_another_copy();
    // Every further copy fails, and the first one becomes old.
    let mut next = run.attempt;
    world.pass(4_500);
    world.progress(request, next, 900);
    world.end(request, next, CLOSED);
    let sent = first_attempt(&world.actions).unwrap();
    assert_eq!(sent.resume_from, None, "{second} no longer holds the copy");
    next = sent.attempt;
    world.end(request, next, CLOSED);
}

#[test]
fn a_copy_is_dropped_once_the_growing_one_is_well_placed_again() {
    let (mut world, request, run, holder) = streaming();
    let spec = endpoints().into_iter().find(|e| e.id == holder).unwrap();
    world.handle(removed(&holder));
    let done = stream(&mut world, request, &run, 300);
    let second = wanted(&done).remove(0);
    world.handle(copied(request, &run, &second, Some("copy-1")));
    world.handle(changed(vec![EndpointChange::Present(spec)]));
    let done = stream(&mut world, request, &run, 300);
    assert_eq!(dropped(&done), 1);
    assert!(wanted(&done).is_empty());
}

#[test]
fn a_holder_that_failed_once_is_not_assumed_lost() {
    let (mut world, request, run, holder) = streaming();
    let (other, sent) = world.arrive(STREAMS);
    let mut sent = sent.unwrap();
    // Another request meets the holder and its connection breaks.
    while sent.endpoint != holder {
        world.end(other, sent.attempt, Outcome::NotRun(NotRunCause::NoRoom));
        sent = first_attempt(&world.actions).unwrap();
    }
    world.end(other, sent.attempt, CLOSED);
    let done = stream(&mut world, request, &run, 600);
    assert_eq!(wanted(&done), Vec::<EndpointId>::new());
}

#[test]
fn a_copy_is_dropped_when_its_stream_has_ended() {
    let (mut world, request, run, _) = with_another_copy();
    world.end(request, run.attempt, Outcome::StreamEnded);
    assert_eq!(dropped(&world.actions), 1);
}

#[test]
fn a_copy_is_dropped_when_its_caller_disconnects() {
    let (mut world, request, _, _) = with_another_copy();
    world.handle(Event::CallerDisconnected(request));
    assert_eq!(dropped(&world.actions), 1);
}

#[test]
fn what_a_copy_takes_is_counted_at_its_holder_until_the_run_ends() {
    let (mut world, request, run, second) = with_another_copy();
    let memory = |world: &World| world.dispatcher.fleet().get(&second).unwrap().own.memory;
    assert_eq!(memory(&world), 5_700);
    world.end(request, run.attempt, Outcome::StreamEnded);
    assert_eq!(memory(&world), 0);
}

#[test]
fn a_lost_run_resumes_from_the_copy_of_the_previous_run() {
    let (mut world, request, run, second) = with_another_copy();
    world.end(request, run.attempt, CLOSED);
    let resumed = first_attempt(&world.actions).unwrap();
    assert_eq!(resumed.endpoint, second);
    // The run is lost before its first event: nothing of it was copied, so the prompt is read.
    world.end(request, resumed.attempt, CLOSED);
    let third = first_attempt(&world.actions).unwrap();
    assert_eq!(third.resume_from, None);
}

#[test]
fn a_copy_leaves_a_record() {
    let (mut world, request, run, holder) = streaming();
    world.handle(removed(&holder));
    let done = stream(&mut world, request, &run, 300);
    let second = wanted(&done).remove(0);
    world.handle(copied(request, &run, &second, Some("copy-1")));
    let is_copied = |record: &&Record| matches!(record, Record::Copied { is_made: true, .. });
    assert_eq!(
        records(&world.actions)
            .into_iter()
            .filter(is_copied)
            .count(),
        1
    );
}

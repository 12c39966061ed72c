//! What a stopping box does with each request that it holds, on a simulated clock.
//!
//! A request that a stop leaves without an answer makes its caller wait until its connection breaks,
//! and tells it nothing; one that is handed back late has lost the time in which another box could
//! have served it.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use fixtures::{
    GENEROUS, PAYMENTS, QUOTES, STREAMS, World, box_state, changed, endpoint, first_attempt,
    listed, parts, records, route, table,
};
use magpiemoor::gateway::dispatch::action::{Action, Command};
use magpiemoor::gateway::dispatch::event::{
    Arrival, AttemptNumber, EndpointChange, Event, Fault, NotRunCause, Outcome, RequestNumber,
};
use magpiemoor::gateway::dispatch::record::Record;
use magpiemoor::gateway::dispatch::refusal::Refusal;
use magpiemoor::gateway::dispatch::retry_budget::RetryPolicy;
use magpiemoor::gateway::dispatch::table::{RoutingTable, TableParts};
use rstest::rstest;

/// Time that the box has from the signal to its exit.
const GRACE: Duration = Duration::from_millis(7_750);
const FIRST: AttemptNumber = AttemptNumber(1);
const NO_ROOM: Outcome = Outcome::NotRun(NotRunCause::NoRoom);
const CLOSED: Outcome = Outcome::Broken(Fault::Closed);

/// A table with all routes, whose engines make no replicas.
fn without_replicas() -> TableParts {
    let routes = [STREAMS, QUOTES, PAYMENTS].map(route);
    let mut parts = parts(1, routes.into());
    let engine = parts.services[0].engine.as_mut().unwrap();
    (engine.mirrors, engine.snapshots) = (false, false);
    parts
}

/// A box before one engine that runs so many streams at once, and one till.
fn with_slots(slots: u32) -> World {
    with_slots_and(slots, GENEROUS)
}

fn with_slots_and(slots: u32, retries: RetryPolicy) -> World {
    let mut world = World::empty(retries);
    let table = RoutingTable::try_from(without_replicas()).unwrap();
    world.handle(Event::Table(Arc::new(table)));
    let mut engine = endpoint("engine-n1", "engines", "north", 9_001);
    engine.slots = slots;
    let till = endpoint("till-n1", "till", "north", 9_101);
    world.handle(listed(vec![engine, till]));
    world
}

fn stop(world: &mut World) -> Vec<Action> {
    world.handle(Event::Stop { grace: GRACE });
    std::mem::take(&mut world.actions)
}

/// The refusals among some actions.
fn refusals(actions: &[Action]) -> BTreeMap<RequestNumber, Refusal> {
    let refused = actions.iter().filter_map(|action| match action {
        Action::Command {
            request,
            command: Command::Refuse(refusal),
        } => Some((*request, *refusal)),
        _ => None,
    });
    refused.collect()
}

/// The requests that got another attempt.
fn sent(actions: &[Action]) -> Vec<RequestNumber> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Command {
            request,
            command: Command::Send(_),
        } => Some(*request),
        _ => None,
    });
    sent.collect()
}

/// Streams that each take so long, one after the other, so that the box knows how long they take and
/// at what rate engines get room.
fn serve_streams(world: &mut World, count: usize, takes_ms: u64) {
    for _ in 0..count {
        let (request, first) = world.arrive(STREAMS);
        let attempt = first.unwrap().attempt;
        world.run(takes_ms / 2);
        world.progress(request, attempt, 1);
        world.run(takes_ms / 2);
        world.end(request, attempt, Outcome::StreamEnded);
    }
}

fn holders(actions: &[Action]) -> Vec<(&str, Option<usize>)> {
    let records = records(actions).into_iter();
    let held = records.filter_map(|record| match record {
        Record::Held { holder, place, .. } => Some((holder.as_ref(), *place)),
        _ => None,
    });
    held.collect()
}

/// The users' day on which streams waited for room at boxes that were restarted: they got neither an
/// answer nor a refusal.
#[test]
fn a_stream_that_waits_for_room_and_cannot_end_in_time_is_handed_back_when_the_stop_begins() {
    let mut world = with_slots(1);
    serve_streams(&mut world, 3, 6_000);
    world.arrive(STREAMS);
    let (waiting, first) = world.arrive(STREAMS);
    assert_eq!(first, None);
    let done = stop(&mut world);
    let refusal = refusals(&done)
        .remove(&waiting)
        .expect("handed back at once");
    assert!(refusal.retry_after.is_some(), "not run, and may come back");
}

/// The estimated wait, and not only the run, has to fit into the time that is left.
#[test]
fn a_stream_that_waits_behind_others_is_handed_back_though_its_run_alone_would_fit() {
    let mut world = with_slots(1);
    serve_streams(&mut world, 3, 4_000);
    world.arrive(STREAMS);
    let (near, _) = world.arrive(STREAMS);
    let (far, _) = world.arrive(STREAMS);
    let refused = refusals(&stop(&mut world));
    assert!(refused.contains_key(&far), "two runs are before it");
    assert!(refused.contains_key(&near) || refused.len() == 1);
}

/// Streams that can be served must not lose their turn to a stop.
#[test]
fn a_stream_that_waits_for_room_is_served_if_it_can_end_in_time() {
    let mut world = with_slots(1);
    serve_streams(&mut world, 40, 1_000);
    let (running, _) = world.arrive(STREAMS);
    let (waiting, _) = world.arrive(STREAMS);
    world.run(500);
    assert_eq!(refusals(&stop(&mut world)).len(), 0);
    world.run(300);
    world.end(running, FIRST, Outcome::StreamEnded);
    let started = [sent(&world.actions), sent(&world.run(300))].concat();
    assert_eq!(started, [waiting]);
}

/// The time that an estimate promised may pass without room.
#[test]
fn a_stream_that_found_no_room_is_handed_back_once_it_can_no_longer_end_in_time() {
    let mut world = with_slots(1);
    serve_streams(&mut world, 40, 1_000);
    world.arrive(STREAMS);
    let (waiting, _) = world.arrive(STREAMS);
    assert_eq!(refusals(&stop(&mut world)).len(), 0);
    let refused = refusals(&world.run(GRACE.as_millis() as u64 - 900));
    assert!(refused.contains_key(&waiting), "{refused:?}");
}

/// How a request comes to wait for something else than room.
#[derive(Clone, Copy, Debug)]
enum Wait {
    Configuration,
    Endpoint,
    Budget,
    Version,
    Prompt,
}

/// Brings a stream to wait, `before` the end of the time that the box has left to stop.
fn wait_for(wait: Wait, before: Duration) -> (World, RequestNumber) {
    let stopped = |mut world: World| {
        world.handle(Event::Stop { grace: before });
        world
    };
    match wait {
        Wait::Configuration => {
            let mut world = stopped(World::empty(GENEROUS));
            let (number, _) = world.arrive(STREAMS);
            (world, number)
        }
        Wait::Endpoint => {
            let mut world = with_slots(1);
            let gone = "engine-n1".parse().unwrap();
            world.handle(changed(vec![EndpointChange::Absent(gone)]));
            let (number, first) = world.arrive(STREAMS);
            assert_eq!(first, None);
            (stopped(world), number)
        }
        Wait::Budget => {
            let none = RetryPolicy {
                ratio: 0.0,
                reserve: 0.0,
                ..GENEROUS
            };
            let mut world = with_slots_and(1, none);
            let (number, _) = world.arrive(STREAMS);
            world.progress(number, FIRST, 1);
            world.end(number, FIRST, CLOSED);
            (stopped(world), number)
        }
        Wait::Version => {
            let mut world = with_versions();
            let arrival = Arrival {
                after_event: Some(3),
                resumes: Some("request-of-another-box".to_owned()),
                ..world.arrival(STREAMS)
            };
            let (number, first) = world.arrive_as(arrival);
            assert_eq!(first, None);
            (stopped(world), number)
        }
        Wait::Prompt => {
            let mut world = with_slots(1);
            let arrival = Arrival {
                after_event: Some(3),
                ..world.arrival(STREAMS)
            };
            let (number, first) = world.arrive_as(arrival);
            assert_eq!(first, None);
            (stopped(world), number)
        }
    }
}

/// A box that knows a peer, before engines of two versions.
fn with_versions() -> World {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(table(1))));
    world.handle(Event::Peer(box_state("box-2", "north", "127.0.0.3:7200")));
    let mut second = endpoint("engine-2", "engines", "north", 9_002);
    second.version = "v2".parse().unwrap();
    world.handle(listed(vec![
        endpoint("engine-1", "engines", "north", 9_001),
        second,
    ]));
    world
}

/// Whatever a request waits for, and whether or not a peer answers, the end of the stop comes first.
#[rstest]
fn a_request_that_waits_when_the_time_is_over_is_handed_back(
    #[values(
        Wait::Configuration,
        Wait::Endpoint,
        Wait::Budget,
        Wait::Version,
        Wait::Prompt
    )]
    wait: Wait,
    #[values(20, 60)] left_ms: u64,
) {
    let left = Duration::from_millis(left_ms);
    let (mut world, number) = wait_for(wait, left);
    let mut done = std::mem::take(&mut world.actions);
    done.extend(world.run(left_ms + 30));
    assert!(refusals(&done).contains_key(&number), "{wait:?}");
    assert_eq!(world.dispatcher.active(), 0);
}

/// A second attempt that begins late in the grace period would be cut.
#[test]
fn no_attempt_starts_from_the_prompt_that_cannot_end_in_time() {
    let mut world = with_slots(8);
    let (number, _) = world.arrive(STREAMS);
    stop(&mut world);
    world.run(5_000);
    world.end(number, FIRST, NO_ROOM);
    assert_eq!(sent(&world.actions), []);
    let refusal = refusals(&world.actions).remove(&number).unwrap();
    assert!(refusal.retry_after.is_some(), "it has not run");
}

/// A stream that its caller has a part of goes on elsewhere sooner than it would get room here.
#[test]
fn a_stream_that_lost_its_engine_and_replicas_late_in_a_stop_is_cut_at_once() {
    let mut world = with_slots(8);
    let (number, _) = world.arrive(STREAMS);
    stop(&mut world);
    world.run(1_000);
    world.progress(number, FIRST, 1);
    world.run(5_500);
    world.end(number, FIRST, CLOSED);
    assert_eq!(sent(&world.actions), []);
    let refusal = refusals(&world.actions).remove(&number).unwrap();
    assert_eq!(refusal.retry_after, None, "it has run");
}

/// With a replica the stream goes on within milliseconds, which no other box can do.
#[test]
fn a_stream_with_a_replica_goes_on_at_a_stopping_box() {
    let mut world = World::ready();
    let (number, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    stop(&mut world);
    world.run(5_000);
    world.progress(number, first.attempt, 40);
    world.end(number, first.attempt, CLOSED);
    let second = first_attempt(&world.actions).expect("another attempt");
    assert!(second.resume_from.is_some());
}

/// What runs at an endpoint when the time is over.
#[derive(Clone, Copy, Debug)]
enum Running {
    /// A stream that has begun.
    Stream,
    /// A stream without an event.
    Prompt,
    /// A call.
    Call,
}

/// The connection of a caller must not close without a status while one can be written.
#[rstest]
fn what_still_runs_when_the_time_is_over_is_ended_without_a_promise(
    #[values(Running::Stream, Running::Prompt, Running::Call)] running: Running,
) {
    let mut world = with_slots(8);
    let lead = GRACE.as_millis() as u64 - 200;
    let number = if let Running::Call = running {
        stop(&mut world);
        world.run(lead);
        world.arrive(PAYMENTS).0
    } else {
        let number = world.arrive(STREAMS).0;
        stop(&mut world);
        if let Running::Stream = running {
            world.progress(number, FIRST, 1);
        }
        assert_eq!(refusals(&world.run(lead)).len(), 0);
        number
    };
    let refusal = refusals(&world.run(230)).remove(&number).unwrap();
    assert_eq!(refusal.retry_after, None, "it may have run");
    assert_eq!(world.dispatcher.active(), 0);
}

/// A call on a kept connection may come in the last moment.
#[test]
fn a_call_is_served_as_long_as_it_can_end_in_time() {
    let mut world = with_slots(8);
    stop(&mut world);
    world.run(7_000);
    let (_, early) = world.arrive(QUOTES);
    assert!(early.is_some());
    world.run(700);
    let (late, attempt) = world.arrive(QUOTES);
    assert_eq!(attempt, None);
    assert!(refusals(&world.actions).contains_key(&late));
}

/// Without these lines nobody can tell what a request waited for that a stop handed back.
#[test]
fn the_log_tells_what_each_request_waits_for_when_a_stop_begins() {
    let mut world = with_slots(1);
    serve_streams(&mut world, 40, 1_000);
    world.arrive(STREAMS);
    world.arrive(STREAMS);
    world.arrive(STREAMS);
    let done = stop(&mut world);
    let expected = [("attempt", None), ("room", Some(0)), ("room", Some(1))];
    assert_eq!(holders(&done), expected);
}

//! What happens to running attempts at endpoints that say nothing, on a simulated clock.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use fixtures::{
    GENEROUS, PAYMENTS, QUOTES, STREAMS, World, changed, commands, domain_of, endpoint, endpoints,
    first_attempt, listed, parts, probes, refusal, route, table,
};
use magpiemoor::gateway::dispatch::action::{Action, Attempt, Command};
use magpiemoor::gateway::dispatch::event::{
    EndpointChange, EndpointSpec, Event, Outcome, ProbeResult, RequestNumber,
};
use magpiemoor::gateway::dispatch::retry_budget::RetryPolicy;
use magpiemoor::gateway::dispatch::table::RoutingTable;
use magpiemoor::schema::{EndpointId, StartTime};
use rstest::rstest;

/// A budget that grants no retry.
const SPENT: RetryPolicy = RetryPolicy {
    ratio: 0.0,
    reserve: 0.0,
    window: Duration::from_secs(10),
};
/// Silence of a sound engine, ms.
const SOUND_SILENCE: u64 = 1_500;

fn world_with(retries: RetryPolicy, attempts: u32, engines: usize) -> World {
    let mut world = World::empty(retries);
    let mut streams = route(STREAMS);
    streams.attempts = attempts;
    let routes = vec![streams, route(QUOTES), route(PAYMENTS)];
    let table = RoutingTable::try_from(parts(1, routes)).unwrap();
    world.handle(Event::Table(Arc::new(table)));
    let mut specs = endpoints();
    specs.retain(|spec| spec.service.as_str() != "engines");
    let names = ["n1", "s1", "n2", "s2", "n3", "s3"];
    for (port, name) in (9_001..).zip(&names[..engines]) {
        let domain = if name.starts_with('n') {
            "north"
        } else {
            "south"
        };
        specs.push(endpoint(&format!("engine-{name}"), "engines", domain, port));
    }
    world.handle(listed(specs));
    world
}

/// A stream that has begun.
fn begin(world: &mut World) -> (RequestNumber, Attempt) {
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    world.progress(request, first.attempt, 1);
    (request, first)
}

/// Lets the time pass until probes of silent engines have timed out; `is_silent` tells which engines are
/// silent, the others answer at once. Returns all actions.
fn play(world: &mut World, millis: u64, is_silent: impl Fn(&EndpointId) -> bool) -> Vec<Action> {
    let mut done = Vec::new();
    let mut pending: Vec<(u64, EndpointId)> = Vec::new();
    for at in (0..millis).step_by(25) {
        let mut now = world.run(25);
        let (due, later): (Vec<_>, Vec<_>) = pending.into_iter().partition(|(due, _)| *due <= at);
        pending = later;
        for (_, id) in due {
            now.extend(world.probed_with(&id, ProbeResult::Silent).to_vec());
        }
        for action in &now {
            let Action::Probe {
                endpoint, limit, ..
            } = action
            else {
                continue;
            };
            if is_silent(endpoint) {
                let limit = u64::try_from(limit.as_millis()).unwrap();
                pending.push((at + limit, endpoint.clone()));
            } else {
                let answered = world.probed_with(endpoint, ProbeResult::Answered);
                done.extend(answered.to_vec());
            }
        }
        done.extend(now);
    }
    done
}

fn stops(actions: &[Action]) -> usize {
    let commands = commands(actions).into_iter();
    commands
        .filter(|command| matches!(command, Command::StopAttempt(_)))
        .count()
}

#[test]
fn a_stream_leaves_a_silent_engine_at_once_if_another_one_answers() {
    let mut world = world_with(GENEROUS, 5, 4);
    let (_, first) = begin(&mut world);
    let silent = first.endpoint.clone();
    let done = play(&mut world, 450, |id| *id == silent);
    let second = first_attempt(&done).unwrap();
    assert_eq!(stops(&done), 1);
    assert_eq!(Some(second.address), first.mirror_to);
}

#[rstest]
#[case::no_attempt_is_left(GENEROUS, 1, 4)]
#[case::the_budget_is_spent(SPENT, 5, 4)]
#[case::there_is_no_other_engine(GENEROUS, 5, 1)]
fn an_attempt_without_a_certain_successor_stays(
    #[case] retries: RetryPolicy,
    #[case] attempts: u32,
    #[case] engines: usize,
    #[values(ProbeResult::Silent, ProbeResult::Unreachable)] result: ProbeResult,
) {
    let mut world = world_with(retries, attempts, engines);
    let (request, first) = begin(&mut world);
    let mut done = world.run(200);
    for _ in 0..10 {
        world.pass(150);
        done.extend(world.probed_with(&first.endpoint, result).to_vec());
        done.extend(world.run(300));
    }
    assert_eq!(stops(&done), 0);
    assert_eq!(refusal(&done), None);
    world.progress(request, first.attempt, 2);
    world.end(request, first.attempt, Outcome::StreamEnded);
    assert_eq!(commands(&world.actions), vec![&Command::Finish]);
}

/// A stream that leaves a silent engine must not wait in the queue for room.
#[test]
fn an_attempt_stays_at_a_silent_engine_while_no_other_has_room() {
    let mut world = world_with(GENEROUS, 5, 2);
    let mut without_replicas = parts(2, vec![route(STREAMS)]);
    let engine = without_replicas.services[0].engine.as_mut().unwrap();
    (engine.mirrors, engine.snapshots) = (false, false);
    let table = RoutingTable::try_from(without_replicas).unwrap();
    world.handle(Event::Table(Arc::new(table)));
    let mut streams = Vec::new();
    while let (request, Some(first)) = world.arrive(STREAMS) {
        world.progress(request, first.attempt, 1);
        streams.push((request, first));
    }
    let silent = streams[0].1.endpoint.clone();
    let mut done = Vec::new();
    for _ in 0..SOUND_SILENCE / 200 {
        done.extend(world.run(200));
        for (request, first) in streams.iter().filter(|(_, a)| a.endpoint != silent) {
            world.progress(*request, first.attempt, 1);
        }
        done.extend(world.probed_with(&silent, ProbeResult::Silent).to_vec());
    }
    assert!(probes(&done).contains(&silent));
    assert_eq!(stops(&done), 0);
}

#[test]
fn a_stream_of_a_restarted_engine_stays_while_the_budget_is_spent() {
    let mut world = world_with(SPENT, 5, 4);
    let mut specs = endpoints();
    for spec in &mut specs {
        spec.born = Some(StartTime(1_000));
        spec.revision = 1;
    }
    world.handle(listed(specs.clone()));
    let (_, first) = begin(&mut world);
    let of_attempt = specs.into_iter().find(|spec| spec.id == first.endpoint);
    let restarted = EndpointSpec {
        born: Some(StartTime(2_000)),
        revision: 2,
        ..of_attempt.unwrap()
    };
    world.handle(changed(vec![EndpointChange::Present(restarted)]));
    let done = world.run(2_000);
    assert_eq!(stops(&done), 0);
    assert_eq!(refusal(&done), None);
}

#[test]
fn no_stream_moves_and_no_retry_is_spent_while_all_engines_are_silent() {
    let mut world = world_with(GENEROUS, 5, 6);
    let streams: Vec<_> = (0..6).map(|_| begin(&mut world)).collect();
    let done = play(&mut world, SOUND_SILENCE, |_| true);
    assert_eq!(stops(&done), 0);
    for (request, first) in streams {
        world.progress(request, first.attempt, 2);
        world.end(request, first.attempt, Outcome::StreamEnded);
        assert_eq!(commands(&world.actions), vec![&Command::Finish]);
    }
}

#[test]
fn a_stream_leaves_an_engine_that_is_silent_for_longer_than_a_sound_one() {
    let mut world = world_with(GENEROUS, 5, 4);
    let streams: Vec<_> = (0..4).map(|_| begin(&mut world)).collect();
    let silent: Vec<_> = streams.iter().map(|(_, a)| a.endpoint.clone()).collect();
    let left = silent[0].clone();
    assert_eq!(stops(&play(&mut world, SOUND_SILENCE, |_| true)), 0);
    for (request, first) in streams.iter().filter(|(_, a)| a.endpoint != left) {
        world.progress(*request, first.attempt, 2);
    }
    let done = play(&mut world, 1_000, |id| *id == left);
    assert!(stops(&done) > 0);
}

#[test]
fn an_engine_out_of_contact_is_left_at_once() {
    let mut world = world_with(GENEROUS, 5, 4);
    let (_, first) = begin(&mut world);
    world.run(200);
    world.pass(150);
    world.probed_with(&first.endpoint, ProbeResult::Unreachable);
    assert_eq!(stops(&world.actions), 1);
    assert!(first_attempt(&world.actions).is_some());
}

#[test]
fn silent_engines_get_no_new_work_and_suspect_no_domain() {
    let mut world = world_with(GENEROUS, 5, 6);
    let silent: Vec<EndpointId> = ["engine-n1", "engine-n2"]
        .map(|id| id.parse().unwrap())
        .into();
    for id in &silent {
        world.probed_with(id, ProbeResult::Silent);
    }
    let fleet = world.dispatcher.fleet();
    let third = fleet.get(&"engine-n3".parse().unwrap()).unwrap();
    assert!(!fleet.is_suspected(third, world.now));
    assert_eq!(fleet.lost(world.now).count(), 0);
    for _ in 0..6 {
        let (_, attempt) = world.arrive(STREAMS);
        assert!(!silent.contains(&attempt.unwrap().endpoint));
    }
    world.pass(10);
    world.probed_with(&silent[0], ProbeResult::Answered);
    let fleet = world.dispatcher.fleet();
    assert!(!fleet.get(&silent[0]).unwrap().is_avoided(world.now));
}

#[test]
fn a_stream_moves_to_no_engine_that_was_not_heard_since_the_silence_began() {
    let mut world = world_with(GENEROUS, 5, 4);
    let (_, first) = begin(&mut world);
    world.run(200);
    world.pass(150);
    world.probed_with(&first.endpoint, ProbeResult::Silent);
    assert_eq!(stops(&world.actions), 0);
    let asked = probes(&world.actions);
    assert_eq!(asked.len(), 1);
    assert_ne!(asked[0], first.endpoint);
    assert_ne!(domain_of(&asked[0]), domain_of(&first.endpoint));
    world.probed_with(&asked[0], ProbeResult::Answered);
    let second = first_attempt(&world.run(75)).unwrap();
    assert_eq!(second.endpoint, asked[0]);
}

#[rstest]
#[case::the_budget_is_spent(SPENT, 2)]
#[case::there_is_no_other_server(GENEROUS, 1)]
fn a_slow_call_without_a_certain_successor_stays(
    #[case] retries: RetryPolicy,
    #[case] tills: usize,
) {
    let mut world = World::empty(retries);
    world.handle(Event::Table(Arc::new(table(1))));
    let specs = endpoints().into_iter();
    let specs = specs
        .filter(|spec| spec.service.as_str() == "till")
        .take(tills);
    world.handle(listed(specs.collect()));
    let (request, first) = world.arrive(QUOTES);
    let done = world.run(700);
    assert_eq!(stops(&done), 0);
    assert_eq!(refusal(&done), None);
    world.end(
        request,
        first.unwrap().attempt,
        Outcome::Answered { status: 200 },
    );
    assert_eq!(commands(&world.actions), vec![&Command::Deliver]);
}

#[test]
fn a_call_that_runs_once_is_never_moved() {
    let mut world = World::ready();
    world.arrive(PAYMENTS);
    assert_eq!(stops(&world.run(700)), 0);
}

/// How long a stream of the plays below takes, ms.
const STREAM_MS: u64 = 6_000;

/// Has streams run one after the other, so that the box knows how long one takes.
fn serve_streams(world: &mut World, count: usize) {
    for _ in 0..count {
        let (request, first) = begin(world);
        play(world, STREAM_MS, |_| false);
        world.end(request, first.attempt, Outcome::StreamEnded);
    }
}

/// An engine that takes connections and never answers looked empty and sound whenever no stream was left there.
#[test]
fn an_engine_that_hangs_for_good_gets_ever_fewer_streams() {
    let mut world = world_with(GENEROUS, 5, 4);
    let (_, first) = begin(&mut world);
    let silent = first.endpoint.clone();
    let mut sent = 0;
    for _ in 0..12 {
        play(&mut world, 1_100, |id| *id == silent);
        let (request, attempt) = world.arrive(STREAMS);
        let attempt = attempt.unwrap();
        if attempt.endpoint == silent {
            sent += 1;
            play(&mut world, 1_200, |id| *id == silent);
        } else {
            world.progress(request, attempt.attempt, 1);
            world.end(request, attempt.attempt, Outcome::StreamEnded);
        }
    }
    assert!(sent <= 4, "{sent} of 12 streams went to the engine");
}

/// A stream lost its engine, which went on, to a successor that could not end before the box exits.
#[test]
fn a_stream_stays_at_a_silent_engine_if_a_successor_would_outlast_the_stop() {
    let mut world = world_with(GENEROUS, 5, 4);
    serve_streams(&mut world, 3);
    let (_, first) = begin(&mut world);
    play(&mut world, STREAM_MS / 2, |_| false);
    let rest = Duration::from_millis(STREAM_MS / 2);
    world.handle(Event::Stop {
        grace: rest + Duration::from_millis(200),
    });
    let silent = first.endpoint.clone();
    let done = play(&mut world, 600, |id| *id == silent);
    assert_eq!(stops(&done), 0);
    assert_eq!(refusal(&done), None);
}

/// Streams on connections that were lost without a reset waited for TCP to notice.
#[test]
fn a_stream_leaves_its_connection_if_only_new_connections_are_answered() {
    let mut world = world_with(GENEROUS, 5, 4);
    let (_, first) = begin(&mut world);
    world.run(400);
    let anew = ProbeResult::AnsweredAnew;
    let done = world.probed_with(&first.endpoint, anew).to_vec();
    assert_eq!(stops(&done), 1);
    let closes = |action: &Action| matches!(action, Action::CloseIdleConnections(at) if *at == first.address);
    assert!(done.iter().any(closes));
}

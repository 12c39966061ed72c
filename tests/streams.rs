//! Where streams run, what they resume from after a loss, and callers that reconnect, on a simulated clock.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::sync::Arc;

use fixtures::{
    GENEROUS, STREAMS, World, changed, domain_of, endpoint, endpoints, first_attempt, listed, table,
};
use magpiemoor::gateway::dispatch::action::Action;
use magpiemoor::gateway::dispatch::event::{EndpointChange, Event, Fault, NotRunCause, Outcome};
use rstest::rstest;

const NOT_RUN: Outcome = Outcome::NotRun(NotRunCause::NoRoom);
const CLOSED: Outcome = Outcome::Broken(Fault::Closed);

#[test]
fn a_stream_runs_in_the_own_domain_and_is_copied_to_another() {
    let mut world = World::ready();
    let (_, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    assert_eq!(domain_of(&first.endpoint), "north");
    let backup = first.mirror_to.unwrap();
    assert!([9_003, 9_004].contains(&backup.port()), "{backup}");
}

#[test]
fn a_broken_stream_resumes_from_its_copy_after_the_last_event() {
    let mut world = World::ready();
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    world.progress(request, first.attempt, 1);
    world.progress(request, first.attempt, 12);
    world.end(request, first.attempt, CLOSED);
    let second = first_attempt(&world.actions).unwrap();
    assert_eq!(Some(second.address), first.mirror_to);
    assert_eq!(second.resume_from.unwrap().address, second.address);
    assert_eq!(second.after_event, Some(12));
    assert_ne!(second.mirror_to, Some(first.address));
}

#[test]
fn a_run_that_was_lost_before_its_first_event_has_no_copy() {
    let mut world = World::ready();
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    world.end(request, first.attempt, CLOSED);
    let second = first_attempt(&world.actions).unwrap();
    assert_eq!(second.resume_from, None);
}

#[test]
fn a_copy_that_is_gone_makes_the_stream_start_from_its_prompt_elsewhere() {
    let mut world = World::ready();
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    world.progress(request, first.attempt, 3);
    world.end(request, first.attempt, CLOSED);
    let second = first_attempt(&world.actions).unwrap();
    world.end(request, second.attempt, NOT_RUN);
    let third = first_attempt(&world.actions).unwrap();
    assert_eq!(third.resume_from, None);
    assert_eq!(third.after_event, Some(3));
    assert_ne!(third.endpoint, second.endpoint);
}

#[rstest]
#[case::leaving(true)]
#[case::no_longer_listed(false)]
fn a_stream_does_not_resume_from_a_copy_at_a_removed_endpoint(#[case] is_listed: bool) {
    let mut world = World::ready();
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    world.progress(request, first.attempt, 9);
    let holder = endpoints()
        .into_iter()
        .find(|e| Some(e.address) == first.mirror_to);
    let mut holder = holder.unwrap();
    let id = holder.id.clone();
    holder.leaving = true;
    let change = if is_listed {
        EndpointChange::Present(holder)
    } else {
        EndpointChange::Absent(id.clone())
    };
    world.handle(changed(vec![change]));
    world.end(request, first.attempt, CLOSED);
    let second = first_attempt(&world.actions).unwrap();
    assert_ne!(second.endpoint, id);
    assert_eq!(second.resume_from, None);
}

#[test]
fn a_reconnecting_caller_is_sent_to_the_engine_that_keeps_its_prompt() {
    let mut world = World::ready();
    let mut arrival = world.arrival(STREAMS);
    arrival.after_event = Some(40);
    let (request, first) = world.arrive_as(arrival);
    assert!(first.is_none());
    let requested = world.actions.iter().any(
        |action| matches!(action, Action::Locate { part, among, .. } if part == "part-1" && among.len() == 4),
    );
    assert!(requested);
    let keeper = "engine-s2".parse().unwrap();
    world.handle(Event::Located {
        request,
        endpoint: Some(keeper),
    });
    let sent = first_attempt(&world.actions).unwrap();
    assert_eq!(sent.endpoint.as_str(), "engine-s2");
    assert_eq!(sent.after_event, Some(40));
}

#[test]
fn a_caller_whose_prompt_no_engine_keeps_is_still_served() {
    let mut world = World::ready();
    let mut arrival = world.arrival(STREAMS);
    arrival.after_event = Some(40);
    let (request, _) = world.arrive_as(arrival);
    world.handle(Event::Located {
        request,
        endpoint: None,
    });
    assert!(first_attempt(&world.actions).is_some());
}

#[test]
fn a_prompt_search_goes_mostly_to_engines_of_the_own_domain() {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(table(1))));
    let local = (0..60).map(|n| endpoint(&format!("engine-n{n}"), "engines", "north", 9_000 + n));
    let remote = (0..60).map(|n| endpoint(&format!("engine-s{n}"), "engines", "south", 9_200 + n));
    world.handle(listed(local.chain(remote).collect()));
    let mut arrival = world.arrival(STREAMS);
    arrival.after_event = Some(5);
    let (request, mut sent) = world.arrive_as(arrival);
    let mut requested = Vec::new();
    while sent.is_none() {
        let wave = world.actions.iter().find_map(|action| match action {
            Action::Locate { among, .. } => Some(among.clone()),
            _ => None,
        });
        let wave = wave.expect("the box sends requests until it makes an attempt");
        assert!(wave.len() <= 6, "slow links carry no more answers at once");
        requested.extend(wave);
        world.handle(Event::Located {
            request,
            endpoint: None,
        });
        sent = first_attempt(&world.actions);
    }
    let (local, remote) = requested.split_at(18);
    assert!(local.iter().all(|(id, _)| domain_of(id) == "north"));
    assert!(remote.iter().all(|(id, _)| domain_of(id) == "south"));
    assert_eq!(remote.len(), 6);
}

#[test]
fn engines_removed_during_a_prompt_search_are_not_queried() {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(table(1))));
    let engines: Vec<_> = (0..12)
        .map(|n| endpoint(&format!("engine-n{n}"), "engines", "north", 9_000 + n))
        .collect();
    world.handle(listed(engines.clone()));
    let mut arrival = world.arrival(STREAMS);
    arrival.after_event = Some(5);
    let (request, _) = world.arrive_as(arrival);
    let requested = |actions: &[Action]| {
        let waves = actions.iter().filter_map(|action| match action {
            Action::Locate { among, .. } => Some(among.clone()),
            _ => None,
        });
        waves.flatten().map(|(id, _)| id).collect::<Vec<_>>()
    };
    let first = requested(&world.actions);
    let mut rest = engines.iter().filter(|e| !first.contains(&e.id));
    let stays = rest.next_back().unwrap().id.clone();
    let removed = rest.map(|e| EndpointChange::Absent(e.id.clone()));
    world.handle(changed(removed.collect()));
    world.handle(Event::Located {
        request,
        endpoint: None,
    });
    assert_eq!(requested(&world.actions), [stays]);
}

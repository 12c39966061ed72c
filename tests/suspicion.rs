//! When endpoints are suspected, avoided and trusted again, on a simulated clock.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::sync::Arc;

use fixtures::{
    GENEROUS, PAYMENTS, QUOTES, STREAMS, World, box_state, changed, commands, domain_of, endpoint,
    endpoints, first_attempt, listed, probes, table,
};
use magpiemoor::gateway::dispatch::action::{Action, Command};
use magpiemoor::gateway::dispatch::event::{EndpointChange, Event, Fault, NotRunCause, Outcome};
use magpiemoor::schema::BoxState;

const CLOSED: Outcome = Outcome::Broken(Fault::Closed);

fn peer(from: &str, version: u64, lost: &[&str]) -> BoxState {
    BoxState {
        table_version: version,
        lost: lost.iter().map(|id| id.parse().unwrap()).collect(),
        ..box_state(from, "north", "127.0.0.2:7200")
    }
}

#[test]
fn an_unresponsive_engine_is_probed_and_abandoned_if_it_does_not_answer() {
    let mut world = World::ready();
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    world.progress(request, first.attempt, 1);
    let done = world.run(200);
    assert_eq!(probes(&done), vec![first.endpoint.clone()]);
    world.pass(150);
    world.probed(&first.endpoint, false);
    let second = first_attempt(&world.actions).unwrap();
    assert_eq!(Some(second.address), first.mirror_to);
    assert!(commands(&world.actions).contains(&&Command::StopAttempt(first.attempt)));
}

#[test]
fn an_engine_that_answers_is_left_alone_however_long_a_stream_pauses() {
    let mut world = World::ready();
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    world.progress(request, first.attempt, 1);
    for _ in 0..20 {
        let done = world.run(200);
        assert!(first_attempt(&done).is_none());
        world.probed(&first.endpoint, true);
        assert!(first_attempt(&world.actions).is_none());
    }
}

#[test]
fn an_engine_that_sent_events_after_the_probe_is_not_abandoned() {
    let mut world = World::ready();
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    world.progress(request, first.attempt, 1);
    world.run(200);
    world.pass(50);
    world.progress(request, first.attempt, 2);
    world.probed(&first.endpoint, false);
    assert!(first_attempt(&world.actions).is_none());
}

#[test]
fn late_events_of_an_abandoned_attempt_change_nothing() {
    let mut world = World::ready();
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    world.progress(request, first.attempt, 5);
    world.run(200);
    world.probed(&first.endpoint, false);
    let second = first_attempt(&world.actions).unwrap();
    world.end(request, first.attempt, Outcome::StreamEnded);
    assert!(world.actions.is_empty());
    world.end(request, second.attempt, Outcome::StreamEnded);
    assert_eq!(commands(&world.actions), vec![&Command::Finish]);
}

#[test]
fn after_several_losses_in_a_domain_its_other_endpoints_are_suspected_until_seen() {
    let mut world = World::ready();
    for port in 0..6 {
        let id = format!("engine-n{}", port + 3);
        let spec = endpoint(&id, "engines", "north", 9_200 + port);
        world.handle(changed(vec![EndpointChange::Present(spec)]));
    }
    for _ in 0..2 {
        world.pass(10);
        let (request, first) = world.arrive(STREAMS);
        let first = first.unwrap();
        assert_eq!(domain_of(&first.endpoint), "north");
        world.end(request, first.attempt, CLOSED);
    }
    let (_, after) = world.arrive(STREAMS);
    let after = after.unwrap();
    assert_eq!(domain_of(&after.endpoint), "south");
    // A copy in the suspected domain would be lost with it, so the only other engine of the south is used.
    assert!([9_003, 9_004].contains(&after.mirror_to.unwrap().port()));
}

#[test]
fn an_endpoint_that_a_peer_lost_is_avoided() {
    let mut world = World::ready();
    world.handle(Event::Peer(peer("box-2", 1, &["engine-n1", "engine-n2"])));
    let (_, first) = world.arrive(STREAMS);
    assert_eq!(domain_of(&first.unwrap().endpoint), "south");
}

#[test]
fn a_peer_report_is_ignored_for_an_endpoint_that_was_just_seen() {
    let mut world = World::ready();
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    world.progress(request, first.attempt, 1);
    world.handle(Event::Peer(peer("box-2", 1, &[&first.endpoint])));
    let endpoint = world.dispatcher.fleet().get(&first.endpoint).unwrap();
    assert!(!endpoint.is_avoided(world.now));
}

#[test]
fn a_successor_at_an_engines_address_is_used_once_it_is_identified() {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(table(1))));
    world.handle(listed(vec![endpoint(
        "engine-n1",
        "engines",
        "north",
        9_001,
    )]));
    let (request, first) = world.arrive(STREAMS);
    let successor = Some("engine-n1b".parse().unwrap());
    let cause = NotRunCause::OtherInstance(successor);
    world.end(request, first.unwrap().attempt, Outcome::NotRun(cause));
    let spec = world.actions.iter().find_map(|action| match action {
        Action::Identify(spec) => Some(spec.clone()),
        _ => None,
    });
    let spec = spec.unwrap();
    assert_eq!(spec.id.as_str(), "engine-n1b");
    world.handle(Event::Identified(spec));
    let sent = first_attempt(&world.run(60)).unwrap();
    assert_eq!(sent.endpoint.as_str(), "engine-n1b");
}

#[test]
fn a_new_endpoint_at_a_plain_services_address_is_never_its_successor() {
    let mut world = World::ready();
    let (request, first) = world.arrive(PAYMENTS);
    let cause = NotRunCause::OtherInstance(Some("stranger".parse().unwrap()));
    world.end(request, first.unwrap().attempt, Outcome::NotRun(cause));
    let is_identify = |action: &Action| matches!(action, Action::Identify(_));
    assert!(!world.actions.iter().any(is_identify));
}

#[test]
fn an_unreachable_domain_is_tried_only_occasionally() {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(table(1))));
    let remote = (0..20).map(|n| endpoint(&format!("engine-s{n}"), "engines", "south", 9_300 + n));
    world.handle(listed(remote.collect()));
    let mut attempts = 0;
    for _ in 0..30 {
        world.pass(10);
        let (request, mut sent) = world.arrive(STREAMS);
        while let Some(sending_now) = sent {
            attempts += 1;
            world.end(request, sending_now.attempt, Outcome::NotSent);
            sent = first_attempt(&world.actions);
        }
    }
    assert!(attempts <= 6, "{attempts} attempts in 300 ms");
}

#[test]
fn a_slow_call_that_may_be_repeated_is_tried_elsewhere_and_one_that_runs_once_is_not() {
    let mut world = World::ready();
    let (_, quote) = world.arrive(QUOTES);
    let (_, payment) = world.arrive(PAYMENTS);
    let done = world.run(90);
    let second = first_attempt(&done).unwrap();
    assert_ne!(second.endpoint, quote.unwrap().endpoint);
    let sent = commands(&done)
        .into_iter()
        .filter(|c| matches!(c, Command::Send(_)));
    assert_eq!(sent.count(), 1);
    assert!(payment.is_some());
}

#[test]
fn suspected_engines_of_the_own_domain_are_requested_to_identify_themselves() {
    let mut world = World::ready();
    for port in 0..4 {
        let spec = endpoint(
            &format!("engine-n{}", port + 3),
            "engines",
            "north",
            9_200 + port,
        );
        world.handle(changed(vec![EndpointChange::Present(spec)]));
    }
    for _ in 0..2 {
        world.pass(10);
        let (request, first) = world.arrive(STREAMS);
        world.end(request, first.unwrap().attempt, CLOSED);
    }
    let identity_requests = |actions: &[Action]| {
        let named = actions.iter().filter_map(|action| match action {
            Action::RequestIdentity { spec, .. } => Some(spec.clone()),
            _ => None,
        });
        named.collect::<Vec<_>>()
    };
    assert!(identity_requests(&world.run(1_000)).is_empty());
    let named = identity_requests(&world.run(600));
    assert!(!named.is_empty());
    assert!(named.iter().all(|spec| domain_of(&spec.id) == "north"));
    // An engine that confirms its identity is trusted again; one with another identity is examined.
    let before = named[0].clone();
    world.handle(Event::IdentityReported {
        endpoint: before.id.clone(),
        instance: before.id.clone(),
        born: None,
    });
    let fleet = world.dispatcher.fleet();
    assert!(!fleet.is_suspected(fleet.get(&before.id).unwrap(), world.now));
    let other = named[1].clone();
    world.handle(Event::IdentityReported {
        endpoint: other.id.clone(),
        instance: "engine-n9".parse().unwrap(),
        born: None,
    });
    let identifies = |action: &Action| matches!(action, Action::Identify(spec) if spec.id.as_str() == "engine-n9");
    assert!(world.actions.iter().any(identifies));
}

#[test]
fn an_unlisted_engine_is_not_restored_by_its_own_report() {
    let mut world = World::ready();
    let dropped = endpoints()[0].clone();
    let removed = EndpointChange::Absent(dropped.id.clone());
    world.handle(changed(vec![removed]));
    world.handle(Event::Identified(dropped.clone()));
    let fleet = world.dispatcher.fleet();
    let found = fleet.get(&dropped.id);
    assert!(found.is_none_or(|e| !fleet.takes_work(e)));
}

//! Which endpoints have to name themselves before they get a request, and what boxes tell each other
//! of the processes that they found, on a simulated clock.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use fixtures::{
    GENEROUS, STREAMS, World, box_state, endpoint, first_attempt, listed, records, table,
};
use magpiemoor::gateway::dispatch::action::{Action, Attempt};
use magpiemoor::gateway::dispatch::event::{
    EndpointSpec, Event, Fault, NotRunCause, Outcome, RequestNumber,
};
use magpiemoor::gateway::dispatch::record::Record;
use magpiemoor::schema::{EndpointId, IdentityReport, IdentityUpdate};
use rstest::rstest;

fn id(name: &str) -> EndpointId {
    name.parse().unwrap()
}

fn engines(domain: &str, count: u16) -> Vec<EndpointSpec> {
    let base = if domain == "north" { 9_000 } else { 9_500 };
    let spec = |n| endpoint(&format!("{domain}-{n}"), "engines", domain, base + n);
    (0..count).map(spec).collect()
}

/// A box of `north` before six engines there, all streams of which broke at two of them.
fn after_an_outage() -> World {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(table(1))));
    let mut specs = engines("north", 6);
    specs.push(endpoint("till-n1", "till", "north", 9_101));
    world.handle(listed(specs));
    world.pass(100);
    for _ in 0..2 {
        let (request, attempt) = world.arrive(STREAMS);
        let attempt = attempt.unwrap();
        let broken = Outcome::Broken(Fault::Closed);
        world.end(request, attempt.attempt, broken);
        world.handle(Event::CallerDisconnected(request));
        world.pass(10);
    }
    world
}

fn published(actions: &[Action]) -> Vec<IdentityReport> {
    let updates = actions.iter().filter_map(|action| match action {
        Action::PublishIdentities { update, .. } => Some(update.reports.clone()),
        _ => None,
    });
    updates.flatten().collect()
}

fn with_peer(world: &mut World) {
    let peer = box_state("box-2", "north", "127.0.0.1:7202");
    world.handle(Event::Peer(peer));
}

fn stream(world: &mut World) -> (RequestNumber, Attempt) {
    let (request, attempt) = world.arrive(STREAMS);
    (request, attempt.expect("an engine is left"))
}

fn report(endpoint: &str, instance: &str, is_engine: bool) -> Event {
    Event::PeerIdentities(IdentityUpdate {
        from: "box-2".parse().unwrap(),
        domain: "north".parse().unwrap(),
        reports: vec![IdentityReport {
            endpoint: id(endpoint).into(),
            instance: id(instance).into(),
            is_engine,
            age_ms: 1,
        }],
    })
}

/// Guards against requests that are turned away since suspicion had ended by time: with the store out
/// nothing had shown that the engines were still there.
#[rstest]
fn an_engine_is_not_trusted_again_by_time_alone(#[values(1, 5, 20, 60)] seconds: u64) {
    let mut world = after_an_outage();
    world.run(seconds * 1_000);
    let (_, attempt) = stream(&mut world);
    assert!(attempt.identity_path.is_some(), "{attempt:?}");
}

#[test]
fn engines_that_nothing_speaks_against_are_not_asked() {
    let mut world = World::ready();
    let (_, attempt) = stream(&mut world);
    assert_eq!(attempt.identity_path, None);
}

/// Another process that is found before the send has cost no arrival: the next attempt takes no retry.
#[test]
fn a_request_goes_on_from_replaced_engines_without_a_retry() {
    let mut world = after_an_outage();
    let (request, mut attempt) = stream(&mut world);
    for n in 0..3 {
        let replaced = NotRunCause::Replaced(id(&format!("other-{n}")));
        let actions = world.end(request, attempt.attempt, Outcome::NotRun(replaced));
        let is_retry = |record: &&Record| matches!(record, Record::Retry { .. });
        assert_eq!(records(actions).into_iter().filter(is_retry).count(), 0);
        let next = first_attempt(actions).expect("an engine is left");
        assert_ne!(next.endpoint, attempt.endpoint);
        attempt = next;
    }
}

/// A caller with time left must not be refused because its request met more replaced engines than a
/// request may have attempts.
#[test]
fn checks_before_the_send_do_not_use_up_the_attempts_of_a_request() {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(table(1))));
    world.handle(listed(engines("north", 40)));
    let (request, mut attempt) = stream(&mut world);
    for n in 0..39 {
        let replaced = NotRunCause::Replaced(id(&format!("other-{n}")));
        let actions = world.end(request, attempt.attempt, Outcome::NotRun(replaced));
        attempt = first_attempt(actions).expect("an engine is left");
    }
}

#[rstest]
#[case::turned_away(Outcome::NotRun(NotRunCause::OtherInstance(Some("other".parse().unwrap()))))]
#[case::found_before_the_send(Outcome::NotRun(NotRunCause::Replaced("other".parse().unwrap())))]
fn a_replaced_engine_is_told_to_the_domain_at_once(#[case] outcome: Outcome) {
    let mut world = World::ready();
    with_peer(&mut world);
    let (request, attempt) = stream(&mut world);
    world.end(request, attempt.attempt, outcome);
    let reports = published(&world.run(10));
    assert_eq!(reports.len(), 1, "{reports:?}");
    assert_eq!(reports[0].endpoint.id, attempt.endpoint);
    assert_eq!(reports[0].instance.id, id("other"));
}

#[test]
fn an_engine_that_turns_out_to_be_there_is_told_once() {
    let mut world = after_an_outage();
    with_peer(&mut world);
    let (request, attempt) = stream(&mut world);
    world.progress(request, attempt.attempt, 1);
    let reports = published(&world.run(10));
    assert_eq!(reports.len(), 1, "{reports:?}");
    assert_eq!(reports[0].endpoint, reports[0].instance);
    world.progress(request, attempt.attempt, 2);
    assert_eq!(published(&world.run(10)), Vec::new());
}

#[test]
fn what_a_peer_found_is_true_here_too() {
    let mut world = after_an_outage();
    for n in 0..6 {
        let north = format!("north-{n}");
        assert!(world.dispatcher.fleet().get(&id(&north)).is_some());
        world.handle(report(&north, &format!("successor-{n}"), false));
        let gone = world.dispatcher.fleet().get(&id(&north));
        assert!(gone.is_none(), "{gone:?}");
        world.handle(report(&north, &format!("successor-{n}"), true));
    }
    let (_, attempt) = stream(&mut world);
    assert!(attempt.endpoint.as_str().starts_with("successor-"));
    assert_eq!(attempt.identity_path, None, "a peer has asked it");
}

#[test]
fn an_engine_that_a_peer_found_there_is_trusted() {
    let mut world = after_an_outage();
    for n in 0..6 {
        let north = format!("north-{n}");
        world.handle(report(&north, &north, true));
    }
    let (_, attempt) = stream(&mut world);
    assert_eq!(attempt.identity_path, None);
}

/// A list that is read again while the store still names a dead engine must not bring it back.
#[test]
fn a_late_list_does_not_restore_a_replaced_engine() {
    let mut world = after_an_outage();
    world.handle(report("north-0", "successor-0", true));
    world.run(1_000);
    world.handle(listed(engines("north", 6)));
    assert!(world.dispatcher.fleet().get(&id("north-0")).is_none());
    assert!(world.dispatcher.fleet().get(&id("north-1")).is_some());
}

/// A stream whose box has no retry left waits for one: the window moves on and requests add to it.
#[test]
fn a_stream_without_a_retry_waits_for_one() {
    let mut world = World::empty(magpiemoor::gateway::dispatch::retry_budget::RetryPolicy {
        ratio: 0.5,
        reserve: 0.0,
        window: Duration::from_secs(10),
    });
    world.handle(Event::Table(Arc::new(table(1))));
    world.handle(listed(engines("north", 6)));
    let (request, attempt) = stream(&mut world);
    let broken = Outcome::Broken(Fault::Closed);
    let actions = world.end(request, attempt.attempt, broken);
    assert_eq!(first_attempt(actions), None, "no retry is left");
    let others: Vec<_> = (0..4).map(|_| stream(&mut world).0).collect();
    let started = first_attempt(&world.run(100));
    assert!(started.is_some(), "{others:?}");
}

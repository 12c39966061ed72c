//! The dispatcher's decisions about requests, and what it publishes to peers and fetches from them,
//! on a simulated clock.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::sync::Arc;
use std::time::Duration;

use fixtures::{
    GENEROUS, PAYMENTS, QUOTES, STREAMS, World, box_state, changed, commands, endpoint, endpoints,
    first_attempt, listed, records, refusal, table,
};
use magpiemoor::gateway::dispatch::action::{Action, Command};
use magpiemoor::gateway::dispatch::event::{
    EndpointChange, Event, Fault, NotRunCause, Outcome, Tokens,
};
use magpiemoor::gateway::dispatch::fetches::{FetchKind, FetchOutcome};
use magpiemoor::gateway::dispatch::record::Record;
use magpiemoor::gateway::dispatch::refusal::RefusalReason;
use magpiemoor::gateway::dispatch::retry_budget::RetryPolicy;
use magpiemoor::schema::BoxState;
use rstest::rstest;

const NOT_RUN: Outcome = Outcome::NotRun(NotRunCause::NoRoom);
const MISDIRECTED: Outcome = Outcome::NotRun(NotRunCause::OtherInstance(None));
const CLOSED: Outcome = Outcome::Broken(Fault::Closed);

fn answered(status: u16) -> Outcome {
    Outcome::Answered { status }
}

fn peer(from: &str, version: u64, lost: &[&str]) -> BoxState {
    BoxState {
        table_version: version,
        lost: lost.iter().map(|id| id.parse().unwrap()).collect(),
        ..box_state(from, "north", "127.0.0.2:7200")
    }
}

#[rstest]
#[case::connection_failed(Outcome::NotSent)]
#[case::no_room(NOT_RUN)]
#[case::other_instance(MISDIRECTED)]
fn a_call_that_runs_once_is_retried_elsewhere_only_if_it_has_not_run(#[case] outcome: Outcome) {
    let mut world = World::ready();
    let (request, first) = world.arrive(PAYMENTS);
    let first = first.unwrap();
    world.end(request, first.attempt, outcome);
    let second = first_attempt(&world.actions).unwrap();
    assert_ne!(second.endpoint, first.endpoint);
}

#[rstest]
#[case::closed(CLOSED)]
#[case::malformed(Outcome::Broken(Fault::Malformed))]
#[case::foreign(Outcome::Broken(Fault::Foreign))]
fn a_call_that_runs_once_and_may_have_run_is_refused_at_once(#[case] outcome: Outcome) {
    let mut world = World::ready();
    let (request, first) = world.arrive(PAYMENTS);
    world.end(request, first.unwrap().attempt, outcome);
    assert_eq!(refusal(&world.actions), Some(RefusalReason::EndpointFailed));
    assert!(first_attempt(&world.actions).is_none());
}

#[test]
fn a_call_that_runs_once_is_not_reported_as_not_run_after_it_was_sent() {
    let mut world = World::ready();
    let (_, first) = world.arrive(PAYMENTS);
    assert!(first.is_some());
    let done = world.run(900);
    assert_eq!(refusal(&done), Some(RefusalReason::Expired));
}

#[test]
fn a_repeatable_call_is_repeated_after_an_error_but_only_as_often_as_the_route_allows() {
    let mut world = World::ready();
    let (request, first) = world.arrive(QUOTES);
    world.end(request, first.unwrap().attempt, answered(500));
    let second = first_attempt(&world.actions).unwrap();
    world.end(request, second.attempt, answered(500));
    assert_eq!(commands(&world.actions), vec![&Command::Deliver]);
}

#[test]
fn retries_stop_when_the_budget_is_used_up() {
    let policy = RetryPolicy {
        ratio: 0.5,
        reserve: 0.0,
        window: Duration::from_secs(10),
    };
    let mut world = World::empty(policy);
    world.handle(Event::Table(Arc::new(table(1))));
    world.handle(listed(endpoints()));
    let mut retried = 0;
    for _ in 0..100 {
        let (request, first) = world.arrive(QUOTES);
        world.end(request, first.unwrap().attempt, answered(500));
        if let Some(second) = first_attempt(&world.actions) {
            retried += 1;
            world.end(request, second.attempt, answered(200));
        }
    }
    assert!((30..=50).contains(&retried), "{retried} retries");
}

#[test]
fn the_time_left_is_limited_by_both_the_caller_and_the_route() {
    let mut world = World::ready();
    let mut arrival = world.arrival(QUOTES);
    arrival.timeout = Some(Duration::from_millis(300));
    let (request, first) = world.arrive_as(arrival);
    assert_eq!(
        first.as_ref().unwrap().time_left,
        Duration::from_millis(300)
    );
    world.pass(100);
    world.end(request, first.unwrap().attempt, CLOSED);
    let second = first_attempt(&world.actions).unwrap();
    assert_eq!(second.time_left, Duration::from_millis(200));
    let (_, other) = world.arrive(QUOTES);
    assert_eq!(other.unwrap().time_left, Duration::from_millis(800));
}

#[rstest]
#[case::leaving(true)]
#[case::no_longer_listed(false)]
fn a_leaving_or_removed_endpoint_gets_no_new_requests_but_finishes_its_own(
    #[case] is_listed: bool,
) {
    let mut world = World::ready();
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    let mut spec = endpoints()
        .into_iter()
        .find(|e| e.id == first.endpoint)
        .unwrap();
    spec.leaving = true;
    let change = if is_listed {
        EndpointChange::Present(spec)
    } else {
        EndpointChange::Absent(first.endpoint.clone())
    };
    world.handle(changed(vec![change]));
    assert!(commands(&world.actions).is_empty());
    for _ in 0..20 {
        // Streams of the usual size would find no room at the other engines and wait.
        let mut small = world.arrival(STREAMS);
        small.prompt = Tokens(500);
        let (_, other) = world.arrive_as(small);
        assert_ne!(other.unwrap().endpoint, first.endpoint);
    }
    world.end(request, first.attempt, Outcome::StreamEnded);
    assert_eq!(commands(&world.actions), vec![&Command::Finish]);
}

#[test]
fn an_endpoint_whose_address_has_another_owner_gets_no_requests() {
    let mut world = World::ready();
    let (_, first) = world.arrive(PAYMENTS);
    let first = first.unwrap();
    let port = first.address.port();
    let owner = endpoint("till-new", "till", "south", port);
    world.handle(changed(vec![EndpointChange::Present(owner)]));
    for _ in 0..10 {
        let (_, other) = world.arrive(PAYMENTS);
        assert_ne!(other.unwrap().endpoint, first.endpoint);
    }
}

#[test]
fn a_request_without_any_endpoint_is_refused_as_not_run_within_a_part_of_its_objective() {
    let mut world = World::empty(GENEROUS);
    world.handle(Event::Table(Arc::new(table(1))));
    world.handle(listed(Vec::new()));
    world.arrive(QUOTES);
    let done = world.run(75);
    assert_eq!(refusal(&done), Some(RefusalReason::NoEndpoint));
    let retry_after = done.iter().any(|action| {
        matches!(action, Action::Command { command: Command::Refuse(r), .. } if r.retry_after.is_some())
    });
    assert!(retry_after);
}

#[test]
fn the_request_of_a_disconnected_caller_is_removed() {
    let mut world = World::ready();
    let (request, first) = world.arrive(STREAMS);
    world.handle(Event::CallerDisconnected(request));
    assert_eq!(world.dispatcher.active(), 0);
    let endpoint = world.dispatcher.fleet().get(&first.unwrap().endpoint);
    assert_eq!(endpoint.unwrap().own.running, 0);
}

#[test]
fn a_newer_table_is_requested_from_the_peer_that_has_it() {
    let mut world = World::ready();
    world.handle(Event::Peer(peer("box-2", 9, &[])));
    let requested = world.actions.iter().find_map(|action| match action {
        Action::FetchState { from, wanted, .. } => Some((*from, wanted.table_after)),
        _ => None,
    });
    assert_eq!(requested, Some(("127.0.0.2:7200".parse().unwrap(), 1)));
}

#[test]
fn a_box_without_state_requests_endpoints_from_its_peers_too() {
    let mut world = World::empty(GENEROUS);
    let mut state = peer("box-2", 9, &[]);
    state.endpoints_at = 7;
    world.handle(Event::Peer(state));
    let requested = world.actions.iter().any(
        |action| matches!(action, Action::FetchState { wanted, .. } if wanted.endpoints_after == 0),
    );
    assert!(requested);
}

/// The end of a fetch from the address that all peers of these tests have.
fn fetch_ended(kind: FetchKind, outcome: FetchOutcome) -> Event {
    Event::Fetched {
        kind,
        from: "127.0.0.2:7200".parse().unwrap(),
        outcome,
    }
}

fn fetched(actions: &[Action]) -> Vec<FetchKind> {
    let kinds = actions.iter().filter_map(|action| match action {
        Action::FetchState { kind, .. } => Some(*kind),
        _ => None,
    });
    kinds.collect()
}

/// A peer reports a newer table and newer endpoints than all before; returns the fetches that
/// start.
fn receive_newer_versions(world: &mut World, number: u64) -> Vec<FetchKind> {
    let mut state = peer(&format!("box-{number}"), 10 + number, &[]);
    state.endpoints_at = 10 + number;
    world.handle(Event::Peer(state));
    fetched(&world.actions)
}

#[test]
fn a_slow_fetch_of_endpoints_does_not_delay_the_table() {
    let mut world = World::empty(GENEROUS);
    assert_eq!(
        receive_newer_versions(&mut world, 2),
        vec![FetchKind::Table, FetchKind::Endpoints]
    );
    // Fetching thousands of endpoints may take long; the fetch of the table does not wait for it.
    world.handle(fetch_ended(FetchKind::Table, FetchOutcome::Complete));
    world.pass(150);
    assert_eq!(
        receive_newer_versions(&mut world, 3),
        vec![FetchKind::Table]
    );
}

#[test]
fn only_one_fetch_of_a_kind_is_in_progress_at_a_time() {
    let mut world = World::empty(GENEROUS);
    receive_newer_versions(&mut world, 2);
    for number in 3..30 {
        world.pass(20);
        assert_eq!(receive_newer_versions(&mut world, number), Vec::new());
    }
    world.handle(fetch_ended(FetchKind::Endpoints, FetchOutcome::Complete));
    assert_eq!(
        receive_newer_versions(&mut world, 40),
        Vec::new(),
        "the next fetch starts after a pause"
    );
    world.pass(100);
    assert_eq!(
        receive_newer_versions(&mut world, 41),
        vec![FetchKind::Endpoints]
    );
}

#[test]
fn a_fetch_without_an_answer_times_out() {
    let mut world = World::empty(GENEROUS);
    receive_newer_versions(&mut world, 2);
    world.pass(3_000);
    assert_eq!(
        receive_newer_versions(&mut world, 3),
        vec![FetchKind::Table, FetchKind::Endpoints]
    );
}

#[test]
fn a_lost_endpoint_is_reported_to_peers_at_once() {
    let mut world = World::ready();
    world.run(301);
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    world.end(request, first.attempt, CLOSED);
    let done = world.run(30);
    let is_reported = done.iter().any(
        |action| matches!(action, Action::Gossip { state, .. } if state.lost == [first.endpoint.clone().into()]),
    );
    assert!(is_reported);
}

#[test]
fn every_refusal_leaves_a_record_with_its_cause() {
    let mut world = World::ready();
    let (request, first) = world.arrive(PAYMENTS);
    world.end(request, first.unwrap().attempt, CLOSED);
    let refused = records(&world.actions).into_iter().any(|record| {
        matches!(
            record,
            Record::Refused {
                reason: RefusalReason::EndpointFailed,
                fault: Some(Fault::Closed),
                attempts: 1,
                ..
            }
        )
    });
    assert!(refused);
}

#[test]
fn newer_endpoints_are_requested_from_the_peer_that_has_them() {
    let mut world = World::ready();
    let mut state = peer("box-2", 1, &[]);
    state.endpoints_at = 50;
    world.handle(Event::Peer(state));
    let requested = world.actions.iter().any(
        |action| matches!(action, Action::FetchState { wanted, .. } if wanted.endpoints_after == 1),
    );
    assert!(requested);
}

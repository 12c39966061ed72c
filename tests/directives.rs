//! What endpoints ask of their callers in their answers: a rest for this box, and that they are leaving.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::net::SocketAddr;
use std::time::Duration;

use fixtures::{
    QUOTES, STREAMS, World, box_state, endpoint, endpoints, first_attempt, listed, probes, records,
    refusal,
};
use magpiemoor::gateway::dispatch::action::{Action, Attempt};
use magpiemoor::gateway::dispatch::event::{Event, Fault, NotRunCause, Outcome, RequestNumber};
use magpiemoor::gateway::dispatch::fleet::directives::AnswerDirectives;
use magpiemoor::gateway::dispatch::record::Record;
use magpiemoor::gateway::dispatch::refusal::RefusalReason;
use magpiemoor::schema::{BoxState, DepartureUpdate, EndpointId, StartTime};
use rstest::rstest;

/// Time between two requests of a caller.
const PAUSE_MS: u64 = 50;

fn rest(millis: u64) -> AnswerDirectives {
    AnswerDirectives {
        rest: Some(Duration::from_millis(millis)),
        ..AnswerDirectives::default()
    }
}

fn leaving() -> AnswerDirectives {
    AnswerDirectives {
        is_leaving: true,
        ..AnswerDirectives::default()
    }
}

/// The head of an answer to an attempt, and its end.
fn answer(
    world: &mut World,
    request: RequestNumber,
    sent: &Attempt,
    stated: AnswerDirectives,
    outcome: Outcome,
) {
    world.handle(Event::DirectivesRead {
        request,
        attempt: sent.attempt,
        directives: stated,
    });
    world.end(request, sent.attempt, outcome);
}

fn turned_away() -> Outcome {
    Outcome::NotRun(NotRunCause::NoRoom)
}

fn served(path: &str) -> Outcome {
    if path == STREAMS {
        Outcome::StreamEnded
    } else {
        Outcome::Answered { status: 200 }
    }
}

/// Sends a request each [`PAUSE_MS`] for a time, all of which are served; returns where they went.
fn endpoints_used(world: &mut World, path: &str, millis: u64) -> Vec<EndpointId> {
    let mut used = Vec::new();
    for _ in 0..millis / PAUSE_MS {
        let (request, sent) = world.arrive(path);
        let sent = sent.expect("another endpoint is free");
        world.end(request, sent.attempt, served(path));
        used.push(sent.endpoint);
        world.pass(PAUSE_MS);
    }
    used
}

/// Servers turned a box's calls away for seven seconds and asked it for 3 s of rest each time; it sent
/// one of them six calls in 1.7 s.
#[rstest]
#[case::call(QUOTES, 3_000)]
#[case::short(QUOTES, 250)]
#[case::stream(STREAMS, 3_000)]
fn an_endpoint_that_asked_for_a_rest_gets_no_request_until_it_is_over(
    #[case] path: &str,
    #[case] rest_ms: u64,
) {
    let mut world = World::ready();
    let (request, sent) = world.arrive(path);
    let sent = sent.unwrap();
    answer(&mut world, request, &sent, rest(rest_ms), turned_away());
    let used = endpoints_used(&mut world, path, rest_ms);
    assert!(!used.contains(&sent.endpoint), "{used:?}");
    let used = endpoints_used(&mut world, path, 5_000);
    assert!(used.contains(&sent.endpoint), "it is used again: {used:?}");
}

/// Boxes knew that a server was leaving from its entry in the store only.
#[rstest]
#[case::call(QUOTES)]
#[case::stream(STREAMS)]
fn an_endpoint_that_says_that_it_is_leaving_gets_no_new_work(#[case] path: &str) {
    let mut world = World::ready();
    let (request, sent) = world.arrive(path);
    let sent = sent.unwrap();
    answer(&mut world, request, &sent, leaving(), served(path));
    let used = endpoints_used(&mut world, path, 20_000);
    assert!(!used.contains(&sent.endpoint), "{used:?}");
}

#[test]
fn a_rest_and_a_departure_are_recorded_once() {
    let mut world = World::ready();
    // All are sent before any answer arrives.
    let mut sent = Vec::new();
    while sent.len() < 4 {
        let (request, attempt) = world.arrive(QUOTES);
        sent.extend(
            attempt
                .filter(|a| &*a.endpoint == "till-n1")
                .map(|a| (request, a)),
        );
    }
    let mut recorded = Vec::new();
    let stated = [rest(3_000), rest(1_000), leaving(), leaving()];
    for ((request, attempt), stated) in sent.into_iter().zip(stated) {
        world.handle(Event::DirectivesRead {
            request,
            attempt: attempt.attempt,
            directives: stated,
        });
        recorded.extend(records(&world.actions).into_iter().cloned());
    }
    let endpoint = || "till-n1".to_owned();
    let rest_asked = Record::RestAsked {
        endpoint: endpoint(),
        for_ms: 3_000,
    };
    let leaving_stated = Record::LeavingStated {
        endpoint: endpoint(),
    };
    assert_eq!(recorded, [rest_asked, leaving_stated]);
}

/// Waiting can't help a caller if all endpoints want a rest for longer; another box may be free to send.
#[rstest]
#[case::long(3_000, true)]
#[case::shorter_than_the_wait(10, false)]
fn a_request_is_refused_at_once_if_all_endpoints_rest_longer_than_it_may_wait(
    #[case] rest_ms: u64,
    #[case] is_refused: bool,
) {
    let mut world = World::ready();
    let (request, sent) = world.arrive(QUOTES);
    answer(
        &mut world,
        request,
        &sent.unwrap(),
        rest(rest_ms),
        turned_away(),
    );
    let sent = first_attempt(&world.actions).unwrap();
    answer(&mut world, request, &sent, rest(rest_ms), turned_away());
    let refused = refusal(&world.actions);
    assert_eq!(refused == Some(RefusalReason::NoEndpoint), is_refused);
}

/// A replica at an endpoint that rests can't be used, so the stream goes on elsewhere.
#[test]
fn a_stream_does_not_resume_at_an_endpoint_that_wants_a_rest() {
    let mut world = World::ready();
    let (request, sent) = world.arrive(STREAMS);
    let sent = sent.unwrap();
    let mirror = sent.mirror_to.unwrap();
    world.progress(request, sent.attempt, 1);
    // Another stream is turned away by the mirror's host.
    let resting = loop {
        let (other, attempt) = world.arrive(STREAMS);
        let attempt = attempt.unwrap();
        if attempt.address == mirror {
            break (other, attempt);
        }
    };
    answer(
        &mut world,
        resting.0,
        &resting.1,
        rest(3_000),
        turned_away(),
    );
    world.end(request, sent.attempt, Outcome::Broken(Fault::Closed));
    let next = first_attempt(&world.actions).unwrap();
    assert_ne!(next.address, mirror);
    assert_eq!(next.resume_from, None);
}

/// An engine that rests is probed once at most for a stream that stalls there.
#[test]
fn an_engine_that_wants_a_rest_is_probed_once() {
    let mut world = World::ready();
    let (request, sent) = world.arrive(STREAMS);
    let sent = sent.unwrap();
    world.progress(request, sent.attempt, 1);
    let other = loop {
        let (other, attempt) = world.arrive(STREAMS);
        let attempt = attempt.unwrap();
        if attempt.endpoint == sent.endpoint {
            break (other, attempt);
        }
    };
    answer(&mut world, other.0, &other.1, rest(3_000), turned_away());
    let mut count = 0;
    for _ in 0..50 {
        let actions = world.run(50);
        let sent_probes = probes(&actions);
        for endpoint in sent_probes.iter().filter(|id| **id == sent.endpoint) {
            count += 1;
            world.probed(endpoint, true);
        }
    }
    assert_eq!(count, 1);
}

/// What is known of a process holds while its entry is missing, and ends with the process.
#[rstest]
#[case::same_process(Some(1), true)]
#[case::unknown_process(None, true)]
#[case::restarted(Some(2), false)]
fn a_rest_outlasts_a_missing_entry_but_not_a_restart(
    #[case] born: Option<u64>,
    #[case] is_resting: bool,
) {
    let mut world = World::ready();
    let with_start = |born: Option<u64>| {
        let mut specs = endpoints();
        specs[4].born = born.map(StartTime);
        specs[4].revision = born.unwrap_or(1);
        specs
    };
    world.handle(listed(with_start(Some(1))));
    let (request, sent) = world.arrive(QUOTES);
    let sent = sent.unwrap();
    assert_eq!(&*sent.endpoint, "till-n1");
    answer(&mut world, request, &sent, rest(3_000), turned_away());
    let next = first_attempt(&world.actions).unwrap();
    world.end(request, next.attempt, served(QUOTES));
    let others = endpoints().into_iter().filter(|e| e.id != sent.endpoint);
    world.handle(listed(others.collect()));
    world.handle(Event::Tick);
    world.handle(listed(with_start(born)));
    let directives = &world.dispatcher.fleet().directives;
    let rest = directives.rest(&sent.endpoint, world.now);
    assert_eq!(rest.is_some(), is_resting);
}

/// A process that starts anew under the endpoint's id is not the one that left.
#[test]
fn a_departure_ends_with_the_process() {
    let mut world = World::ready();
    let with_start = |born: u64| {
        let mut specs = endpoints();
        specs[4].born = Some(StartTime(born));
        specs[4].revision = born;
        specs
    };
    let (request, sent) = world.arrive(QUOTES);
    let sent = sent.unwrap();
    assert_eq!(&*sent.endpoint, "till-n1");
    // The box doesn't know the start time yet.
    answer(&mut world, request, &sent, leaving(), served(QUOTES));
    world.handle(listed(with_start(1)));
    let used = endpoints_used(&mut world, QUOTES, 1_000);
    assert!(!used.contains(&sent.endpoint), "{used:?}");
    world.handle(listed(with_start(2)));
    let used = endpoints_used(&mut world, QUOTES, 1_000);
    assert!(used.contains(&sent.endpoint), "{used:?}");
}

/// A probe and a request for an identity are answered by the endpoint too.
#[rstest]
#[case::rest(rest(3_000))]
#[case::leaving(leaving())]
fn an_answer_to_a_probe_asks_as_well(#[case] stated: AnswerDirectives) {
    let mut world = World::ready();
    let (request, sent) = world.arrive(STREAMS);
    let sent = sent.unwrap();
    world.handle(Event::EndpointDirectives {
        endpoint: sent.endpoint.clone(),
        directives: stated,
    });
    world.end(request, sent.attempt, served(STREAMS));
    let used = endpoints_used(&mut world, STREAMS, 1_000);
    assert!(!used.contains(&sent.endpoint), "{used:?}");
}

/// A full engine answers its health check with an error as an ill one does, so the answer shows only that it lives.
#[test]
fn an_engine_that_answers_who_it_is_is_no_longer_avoided() {
    let mut world = World::ready();
    let (request, sent) = world.arrive(STREAMS);
    let sent = sent.unwrap();
    world.end(request, sent.attempt, Outcome::Broken(Fault::Closed));
    let is_avoided = |world: &World| {
        let endpoint = world.dispatcher.fleet().get(&sent.endpoint).unwrap();
        endpoint.is_avoided(world.now)
    };
    assert!(is_avoided(&world));
    world.handle(Event::IdentityReported {
        endpoint: sent.endpoint.clone(),
        instance: sent.endpoint.clone(),
        born: None,
    });
    assert!(!is_avoided(&world));
}

/// The updates about departures among the actions, with the boxes that they go to.
fn departures(actions: &[Action]) -> Vec<(Vec<SocketAddr>, DepartureUpdate)> {
    let published = actions.iter().filter_map(|action| match action {
        Action::PublishDepartures { to, update } => Some((to.clone(), update.clone())),
        _ => None,
    });
    published.collect()
}

/// A box tells the others of its domain at once; those that hear of it send no new work and tell nobody further.
#[test]
fn a_departure_is_told_to_other_boxes() {
    let mut world = World::ready();
    world.handle(Event::Peer(peer("box-2", "127.0.0.2:7200")));
    let (request, sent) = world.arrive(QUOTES);
    let sent = sent.unwrap();
    world.handle(Event::DirectivesRead {
        request,
        attempt: sent.attempt,
        directives: leaving(),
    });
    let published = departures(&world.actions);
    let [(to, update)] = &published[..] else {
        panic!("{published:?}");
    };
    assert_eq!(to, &["127.0.0.2:7200".parse().unwrap()]);
    let mut other = World::ready();
    other.handle(Event::Peer(peer("box-3", "127.0.0.3:7200")));
    other.handle(Event::PeerDepartures(update.clone()));
    let used = endpoints_used(&mut other, QUOTES, 2_000);
    assert!(!used.contains(&sent.endpoint), "{used:?}");
    assert_eq!(departures(&other.run(2_000)), []);
}

/// A box of the own domain that runs.
fn peer(from: &str, address: &str) -> BoxState {
    BoxState {
        beat: 1,
        ..box_state(from, "north", address)
    }
}

/// A report about a process that has ended since says nothing of the one that runs now.
#[test]
fn a_peers_report_of_a_departure_is_about_one_process() {
    let mut world = World::ready();
    let mut specs = endpoints();
    specs[4].born = Some(StartTime(2));
    world.handle(listed(specs));
    world.handle(Event::PeerDepartures(DepartureUpdate {
        from: "box-2".parse().unwrap(),
        endpoints: vec!["till-n1@1".parse().unwrap()],
    }));
    let used = endpoints_used(&mut world, QUOTES, 1_000);
    assert!(used.iter().any(|id| &**id == "till-n1"), "{used:?}");
}

/// The report of a departure may come before the entry of the endpoint.
#[test]
fn a_departure_of_an_endpoint_that_is_not_listed_yet_counts_once_it_is() {
    let mut world = World::ready();
    world.handle(Event::PeerDepartures(DepartureUpdate {
        from: "box-2".parse().unwrap(),
        endpoints: vec!["till-n9".parse().unwrap()],
    }));
    let mut specs = endpoints();
    specs.push(endpoint("till-n9", "till", "north", 9_109));
    world.handle(listed(specs));
    let used = endpoints_used(&mut world, QUOTES, 2_000);
    assert!(used.iter().all(|id| &**id != "till-n9"), "{used:?}");
}

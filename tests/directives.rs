//! What endpoints ask of their callers in their answers: a rest for this box, and that they are leaving.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::time::Duration;

use fixtures::{QUOTES, STREAMS, World, records};
use magpiemoor::gateway::dispatch::action::Attempt;
use magpiemoor::gateway::dispatch::event::{Event, NotRunCause, Outcome, RequestNumber};
use magpiemoor::gateway::dispatch::fleet::directives::AnswerDirectives;
use magpiemoor::gateway::dispatch::record::Record;
use magpiemoor::schema::EndpointId;
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

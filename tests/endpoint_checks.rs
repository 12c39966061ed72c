//! How many checks endpoints get, and how they are counted.

#[path = "gateway/fixtures.rs"]
mod fixtures;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use fixtures::{
    GENEROUS, STREAMS, World, box_state, commands, config, endpoint, first_attempt, listed, probes,
    table,
};
use magpiemoor::gateway::check_report;
use magpiemoor::gateway::dispatch::Dispatcher;
use magpiemoor::gateway::dispatch::action::{Action, Attempt, Command};
use magpiemoor::gateway::dispatch::checks::CheckReason;
use magpiemoor::gateway::dispatch::event::{Event, RequestNumber, Tokens};
use magpiemoor::gateway::dispatch::fleet::Fleet;
use magpiemoor::gateway::explain::{LogLine, read};
use magpiemoor::gateway::shell::check_counts::CheckLog;
use magpiemoor::gateway::shell::metrics::GatewayMetrics;
use magpiemoor::schema::{BoxState, DomainId, EndpointId, EndpointUsage, HybridTime, Micros};
use rstest::rstest;

/// Guards against checks that are missing in the log or counted twice when records are added up.
#[test]
fn records_of_checks_add_up_to_the_metric() {
    let metrics = GatewayMetrics::new();
    let mut log = CheckLog::default();
    let mut lines = Vec::new();
    for ms in (0..=1_500).step_by(250) {
        metrics.checks.of(CheckReason::PromptSearch).inc();
        let record = log.due_record(&metrics.checks, Micros(ms * 1_000));
        lines.extend(record);
    }
    assert_eq!(lines.len(), 2, "one record a second");
    lines.extend(log.record(&metrics.checks));
    assert_eq!(log.record(&metrics.checks), None);
    let text = lines.into_iter().map(|record| {
        let line = LogLine {
            at: HybridTime(1),
            r#box: "box-1".to_owned(),
            record,
        };
        serde_json::to_string(&line).unwrap() + "\n"
    });
    let report = check_report::report(&read([text.collect::<String>().as_str()]));
    assert_eq!(report.by_reason["prompt_search"], 7);
    assert_eq!(report.checks, 7);
    let text = String::from_utf8(metrics.set().text()).unwrap();
    assert!(text.contains("gateway_endpoint_checks_total{reason=\"prompt_search\"} 7\n"));
    assert!(text.contains("gateway_endpoint_checks_total{reason=\"exit_check\"} 0\n"));
}

/// A stream that has had its first event, and another attempt of this box at the same engine.
fn two_at_one_engine(world: &mut World) -> [(RequestNumber, Attempt); 2] {
    let (request, first) = world.arrive(STREAMS);
    let first = first.unwrap();
    world.progress(request, first.attempt, 1);
    loop {
        let (other, attempt) = world.arrive(STREAMS);
        let attempt = attempt.unwrap();
        if attempt.endpoint == first.endpoint {
            return [(request, first), (other, attempt)];
        }
        world.progress(other, attempt.attempt, 1);
    }
}

/// Lets time pass until an engine is probed; returns the time, the reason and the timeout.
fn run_to_probe(world: &mut World, of: &EndpointId) -> (u64, CheckReason, Duration) {
    let probed = (25..10_000).step_by(25).find_map(|ms| {
        let done = world.run(25);
        done.into_iter().find_map(|action| match action {
            Action::Probe {
                endpoint,
                reason,
                limit,
                ..
            } if endpoint == *of => Some((ms, reason, limit)),
            _ => None,
        })
    });
    probed.expect("the engine is probed")
}

fn peer_reading(world: &World, at: &EndpointId, reading: u32) -> Event {
    let engine = world.dispatcher.fleet().get(at).unwrap();
    Event::Peer(BoxState {
        usage: vec![EndpointUsage {
            endpoint: engine.spec.incarnation(),
            memory: 6_000,
            reading,
            running: 1,
        }],
        ..box_state("box-2", "north", "127.0.0.2:7200")
    })
}

#[derive(Clone, Copy, Debug)]
enum Prefill {
    Nothing,
    OwnPrompt,
    FinishedPromptOfPeer,
    LongPause,
}

/// Guards against probes for the usual pauses while prompts are prefilled, and against an engine
/// that hangs with running streams and is left later than 350 ms after its last event.
#[rstest]
#[case(Prefill::Nothing, 200)]
#[case(Prefill::OwnPrompt, 250)]
#[case(Prefill::FinishedPromptOfPeer, 250)]
#[case(Prefill::LongPause, 250)]
fn a_hanging_engine_is_left_after_350_ms_whether_or_not_prompts_are_prefilled(
    #[case] prefill: Prefill,
    #[case] probed_after: u64,
) {
    let mut world = World::ready();
    let [(request, first), (other, second)] = two_at_one_engine(&mut world);
    if !matches!(prefill, Prefill::OwnPrompt) {
        world.progress(other, second.attempt, 1);
    }
    let engine = first.endpoint.clone();
    match prefill {
        Prefill::FinishedPromptOfPeer => {
            world.handle(peer_reading(&world, &engine, 5_000));
            world.pass(20);
            world.handle(peer_reading(&world, &engine, 0));
        }
        Prefill::LongPause => {
            world.progress(request, first.attempt, 2);
            world.run(175);
        }
        Prefill::Nothing | Prefill::OwnPrompt => {}
    }
    world.progress(request, first.attempt, 3);
    let (after, reason, limit) = run_to_probe(&mut world, &engine);
    assert_eq!((after, reason), (probed_after, CheckReason::ProbeInStream));
    assert_eq!(
        Duration::from_millis(after) + limit,
        Duration::from_millis(350)
    );
    world.run(350 - after);
    world.probed(&engine, false);
    assert!(commands(&world.actions).contains(&&Command::StopAttempt(first.attempt)));
}

/// Guards against probes of an engine that sends events to any attempt of this box.
#[test]
fn an_engine_that_sends_events_to_another_attempt_is_not_probed() {
    let mut world = World::ready();
    let [(_, first), (other, second)] = two_at_one_engine(&mut world);
    for event in 1..20 {
        world.progress(other, second.attempt, event);
        assert!(!probes(&world.run(175)).contains(&first.endpoint));
    }
}

/// Guards against probes while a prompt is still prefilled, and against a probe that comes too late
/// to move the request within its objective (4.5 s), or late where the engine seems lost.
#[rstest]
#[case::usual_prompt(5_000, false, 1_500)]
#[case::short_prompt(1_000, false, 700)]
#[case::prompt_that_leaves_no_time(15_000, false, 1_000)]
#[case::lost_by_a_peer(5_000, true, 700)]
fn an_engine_is_probed_before_the_first_event_once_that_is_overdue(
    #[case] prompt: u32,
    #[case] is_lost: bool,
    #[case] probed_after: u64,
) {
    let mut world = World::ready();
    let mut arrival = world.arrival(STREAMS);
    arrival.prompt = Tokens(prompt);
    let (_, sent) = world.arrive_as(arrival);
    let engine = sent.unwrap().endpoint;
    if is_lost {
        world.handle(Event::Peer(BoxState {
            lost: vec![engine.parse().unwrap()],
            ..box_state("box-2", "north", "127.0.0.2:7200")
        }));
    }
    let (after, reason, _) = run_to_probe(&mut world, &engine);
    assert_eq!((after, reason), (probed_after, CheckReason::ProbeInPrefill));
}

/// Guards against searches that take longer than the prefill, and that ask many engines for callers
/// that are most likely new.
#[rstest]
#[case::short_prompt(Some(5), 400, &[])]
#[case::time_for_two_groups(Some(5), 1_000, &[4, 4])]
#[case::unknown_length(Some(5), 0, &[4, 4, 4])]
#[case::no_event_id_after_a_restart(None, 5_000, &[4])]
fn a_prompt_search_is_bounded(
    #[case] after_event: Option<u64>,
    #[case] prompt: u32,
    #[case] groups: &[usize],
) {
    let mut world = World::empty(GENEROUS);
    let mut cfg = config(GENEROUS);
    cfg.first_start = false;
    world.dispatcher = Dispatcher::new(cfg, 7, world.now);
    world.handle(Event::Table(Arc::new(table(1))));
    let engines = (0..12).map(|n| endpoint(&format!("engine-n{n}"), "engines", "north", 9_000 + n));
    world.handle(listed(engines.collect()));
    let mut arrival = world.arrival(STREAMS);
    arrival.after_event = after_event;
    arrival.prompt = Tokens(prompt);
    let (request, mut sent) = world.arrive_as(arrival);
    let mut asked = Vec::new();
    while sent.is_none() {
        asked.extend(world.actions.iter().filter_map(|action| match action {
            Action::Locate { among, .. } => Some(among.len()),
            _ => None,
        }));
        world.pass(80);
        let endpoint = None;
        world.handle(Event::Located { request, endpoint });
        sent = first_attempt(&world.actions);
    }
    assert_eq!(asked, groups);
}

/// Guards against identity requests of all boxes to all engines of a domain that was lost, and
/// against rounds that ask the same engines again.
#[test]
fn the_boxes_of_a_domain_share_the_identity_requests() {
    let north: DomainId = "north".parse().unwrap();
    let mut asked_by_any = BTreeSet::new();
    for n in 0..25 {
        let mut fleet = Fleet::default();
        let engines = (0..40).map(|n| endpoint(&format!("e-{n}"), "engines", "north", 9_000 + n));
        fleet.replace(engines.collect(), &[], Micros(1));
        fleet.share_identity_requests(&format!("box-{n}").parse().unwrap(), 25);
        for lost in ["e-0", "e-1"] {
            fleet.on_failure(&lost.parse().unwrap(), Micros(1_000_000));
        }
        let mut round = |from_ms: u64| {
            let times = (from_ms..from_ms + 200)
                .step_by(25)
                .map(|ms| Micros(ms * 1_000));
            let asked = times.flat_map(|at| fleet.take_due_identity_requests(&north, at));
            asked.map(|spec| spec.id).collect::<Vec<_>>()
        };
        let (first, second) = (round(2_425), round(3_950));
        assert_eq!((first.len(), second.len()), (5, 5));
        assert!(first.iter().all(|id| !second.contains(id)));
        asked_by_any.extend(first);
    }
    assert!(asked_by_any.len() > 30, "{} of 40", asked_by_any.len());
}
